//! Which runners could prefill a prompt in time, and which one does.

use bulrushusher_forward::{PrefillSite, PrefillSiteConfig, PrefillTask, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::DataCentreName;

use crate::dialect::Dialect;
use crate::placement::holds::MemoryHold;
use crate::runners::router::{ForwardedRequest, Router};
use crate::shared::PrefillOptions;

/// Longest prefill for which memory is held. A hold lasts 2 s, and prompts of other gateways may
/// lengthen the queue at a prefill runner meanwhile.
const MAX_PREFILL_WAIT: Millis = Millis(1_200);

/// Selects which runner prefills the prompt.
pub(crate) fn select_site<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    held: &MemoryHold<D>,
    prefill: &Runner,
) -> PrefillSite {
    let decode = &held.runner.data_centre;
    let task = prefill_task(cx, fwd, Some(prefill), decode);
    let load = cx.shared.decode_load(&fwd.service, &held.runner.id);
    let site = task.select_site(load, PrefillSiteConfig::default());
    log::debug!("read: id={} reader={site:?} prompt={task:?} decode={load:?}", fwd.request.id);
    site
}

/// True if the decode runner that holds memory for the run may prefill the prompt itself.
pub(crate) fn decode_may_prefill<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    held: &MemoryHold<D>,
) -> bool {
    let load = cx.shared.decode_load(&fwd.service, &held.runner.id);
    prefill_task(cx, fwd, None, &held.runner.data_centre).decode_may_prefill(load)
}

/// The prefill of the request's prompt for a decode runner in data centre `decode`, with the timing
/// known for it.
pub(crate) fn prefill_task<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    prefill: Option<&Runner>,
    decode: &DataCentreName,
) -> PrefillTask {
    let per_event = cx.shared.tokens_per_event(&fwd.service) as f64;
    let queued = prefill.map(|prefill| cx.shared.queued_prefill_tokens(&prefill.id));
    let factor = prefill.map_or(1.0, |it| cx.shared.prefill_factor(&fwd.service, &it.id));
    let distance = prefill.map(|it| cx.shared.prefill_extra_ms(&it.data_centre, decode));
    // The first event of a run in another region takes a round trip longer.
    let time_to_target = fwd.remaining_to_target(cx.now()).since(cx.shared.extra_time(decode));
    cx.shared.with_timing(&fwd.service, |pace| PrefillTask {
        tokens: fwd.prompt_tokens(),
        queued_tokens: queued,
        distance_ms: distance.unwrap_or(0.0),
        prefill_timing: pace.prefill().scaled(factor),
        decode_timing: pace.decode(),
        event_gap: Millis((per_event / pace.tokens_per_ms()) as u64),
        gap_target: fwd.route.gap_target,
        pauses: pace.pauses(),
        generation_time: pace.mean_generation_time(),
        time_to_target,
    })
}

/// The runners that could prefill the prompt in time for a run that is placed now.
pub(crate) fn prefill_options<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
) -> PrefillOptions {
    let near = &cx.shared.cfg().data_centre;
    let prefill = cx.shared.pick_for_prefill(&cx.destination(fwd), &[], near, fwd.prompt_tokens());
    let task = prefill_task(cx, fwd, prefill.as_ref(), near);
    let remaining = task.time_to_target;
    let max_wait = if remaining > Millis(0) { remaining } else { MAX_PREFILL_WAIT };
    let max_wait = max_wait.since(PrefillSiteConfig::default().first_event_delay);
    match task.prefill_runner_is_in_time(max_wait.min(MAX_PREFILL_WAIT)) {
        true => PrefillOptions::Any(task),
        false => PrefillOptions::Decode(task),
    }
}
