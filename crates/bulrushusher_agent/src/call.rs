//! Calls of a plain service. A call that may have been sent is never retried.

use std::time::Duration;

use bulrushusher_http::{HttpError, HttpReply, RequestParts};
use bulrushusher_once::RunStatus;
use bulrushusher_time::Millis;
use bulrushusher_wire::{CallOrder, RunOrder};

use crate::LOG;
use crate::agent::Shared;
use crate::answer::{Answer, Ending};

/// The header that carries the request's idempotency key to the service.
const KEY_HEADER: &str = "x-request-key";
/// Maximum duration of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Status of a refusal, which may carry the time for which to send no further request.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Calls the service for an accepted order.
pub(crate) async fn run(shared: &Shared, order: &RunOrder, work: &CallOrder, answer: &Answer) {
    let headers = [("content-type", work.content_type.as_str()), (KEY_HEADER, order.key.as_str())];
    let parts = RequestParts {
        method: &work.method,
        path: &work.path,
        headers: &headers,
        body: work.body.clone().into(),
    };
    let called = shared.http.call(shared.cfg.target, parts, CALL_TIMEOUT).await;
    match called {
        Ok(reply) => {
            if let Some(backoff) = requested_backoff(&reply) {
                log::info!(
                    "{LOG} the service refused {} and gets no further calls for {backoff}",
                    order.key
                );
                shared.slots.back_off(backoff);
            }
            let content_type = reply.header("content-type").to_owned();
            let ending = Ending::Service { status: reply.status, content_type, body: reply.body };
            answer.end(ending);
            shared.keys.finish(&order.key, answer.bytes());
        }
        Err(e) if e.is_unsent() => {
            log::warn!("{LOG} the call for {} was not sent: {e}", order.key);
            shared.keys.undo_start(&order.key, &order.ballot);
            answer.end(Ending::NotExecuted);
        }
        Err(e) => handle_lost_response(shared, order, answer, &e),
    }
}

/// The time for which a service that refused a call accepts no others: its `retry-after` header.
fn requested_backoff(reply: &HttpReply) -> Option<Millis> {
    let seconds: f64 = reply.header("retry-after").trim().parse().ok()?;
    let is_backoff = reply.status == SERVICE_UNAVAILABLE && seconds.is_finite() && seconds > 0.0;
    is_backoff.then(|| Millis((seconds * 1_000.0).ceil() as u64))
}

fn handle_lost_response(shared: &Shared, order: &RunOrder, answer: &Answer, error: &HttpError) {
    log::warn!("{LOG} no response of the service to {}, which may have run: {error}", order.key);
    shared.keys.end(&order.key, RunStatus::Failed);
    answer.end(Ending::Failed { cause: error.to_string(), engine_ended: false });
}
