//! Panics: each is logged with its place and counted, and tasks that run for as long as the process are
//! begun again.

use std::panic::{AssertUnwindSafe, PanicHookInfo};
use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use futures_util::FutureExt;

/// Longest panic message that is logged, in characters.
const MAX_MESSAGE: usize = 200;

/// Time after which a task that panicked is begun again. What it panicked on may still be there, and the
/// rest of the gateway must go on meanwhile.
const RESTART_DELAY: Millis = Millis(500);

/// Logs and counts each panic of the process from now on.
pub(crate) fn report_panics(metrics: Arc<GatewayMetrics>) {
    std::panic::set_hook(Box::new(move |info| {
        metrics.record_panic();
        log::error!("panic: place={} message=\"{}\"", place(info), message(info));
    }));
}

fn place(info: &PanicHookInfo<'_>) -> String {
    info.location().map_or_else(|| "unknown".to_owned(), ToString::to_string)
}

/// The message in one line, shortened.
fn message(info: &PanicHookInfo<'_>) -> String {
    let text = info.payload_as_str().unwrap_or("no text");
    text.chars().take(MAX_MESSAGE).flat_map(char::escape_debug).collect()
}

/// Runs a task of the gateway, and begins it again each time that it panics: without it the gateway would
/// go on with what the task last knew.
pub(crate) async fn keep_running<F: Future<Output = ()>>(
    name: &'static str,
    begin: impl Fn() -> F,
) {
    while AssertUnwindSafe(async { begin().await }).catch_unwind().await.is_err() {
        log::error!("gateway: task begins again after a panic task={name}");
        tokio::time::sleep(RESTART_DELAY.duration()).await;
    }
}
