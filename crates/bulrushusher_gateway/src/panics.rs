//! Panics: each is logged with its place and counted.

use std::panic::PanicHookInfo;
use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;

/// Longest panic message that is logged, in characters.
const MAX_MESSAGE: usize = 200;

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
