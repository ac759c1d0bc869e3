//! One call of a plain service. A call that was sent is never sent again.

use std::time::Duration;

use bulrushusher_http::{HttpError, HttpReply, RequestParts};
use bulrushusher_once::RunStatus;
use bulrushusher_time::Millis;
use bulrushusher_wire::{CallOrder, RunOrder};

use crate::LOG;
use crate::agent::Shared;
use crate::answer::{Answer, Ending};

/// The header that carries the request's key to the service.
const KEY_HEADER: &str = "x-request-key";
/// The longest time a service may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Status of a refusal that may come with the time until which no other request is wanted.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Calls the service for an order that was taken.
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
            if let Some(length) = backoff_asked(&reply) {
                log::info!(
                    "{LOG} the service refused {} and is called again after {length}",
                    order.key
                );
                shared.desk.back_off(length);
            }
            let content_type = reply.header("content-type").to_owned();
            let ending = Ending::Service { status: reply.status, content_type, body: reply.body };
            answer.end(ending);
            shared.keys.finish(&order.key, answer.bytes());
        }
        Err(e) if e.is_unsent() => {
            log::warn!("{LOG} the service did not take {}: {e}", order.key);
            shared.keys.not_begun(&order.key, &order.ballot);
            answer.end(Ending::KvGone);
        }
        Err(e) => lost(shared, order, answer, &e),
    }
}

/// The time for which a service that refuses a call wants no other.
fn backoff_asked(reply: &HttpReply) -> Option<Millis> {
    let seconds: f64 = reply.header("retry-after").trim().parse().ok()?;
    let is_backoff = reply.status == SERVICE_UNAVAILABLE && seconds.is_finite() && seconds > 0.0;
    is_backoff.then(|| Millis((seconds * 1_000.0).ceil() as u64))
}

fn lost(shared: &Shared, order: &RunOrder, answer: &Answer, error: &HttpError) {
    log::warn!("{LOG} the service's answer to {} was lost: {error}", order.key);
    shared.keys.end(&order.key, RunStatus::Failed);
    answer.end(Ending::Failed { cause: error.to_string(), engine_ended: false });
}
