//! The stream server: entries' orders to prefill, to run and to attach to a run, each answered with
//! a stream of frames.

use std::convert::Infallible;
use std::sync::Arc;

use bulrushusher_admission::Refusal;
use bulrushusher_http::{get_route, json_line, json_reply, post_route, reject_json, stream_reply};
use bulrushusher_time::Millis;
use bulrushusher_wire::{AttachOrder, Frame, OrderRejection, PrefillRun, RunOrder};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout;
use warp::Filter;
use warp::reply::Response;

use crate::agent::Shared;
use crate::answer::Answer;
use crate::keys::AcceptedOrder;
use crate::{prefill, run};

/// Messages buffered per stream.
const STREAM_BUFFER: usize = 64;
const NDJSON: &str = "application/x-ndjson";

pub(crate) fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone + Send + Sync {
    post_route("prefill", Arc::clone(&shared), start_prefill)
        .or(post_route("run", Arc::clone(&shared), start_run))
        .unify()
        .or(post_route("attach", Arc::clone(&shared), attach))
        .unify()
        .or(get_route("status", shared, status))
        .unify()
        .recover(reject_json)
}

async fn status(shared: Arc<Shared>) -> Response {
    json_reply(&shared.status())
}

async fn start_prefill(shared: Arc<Shared>, order: PrefillRun) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(prefill::run(shared, order, tx));
    stream_reply(rx, NDJSON)
}

async fn start_run(shared: Arc<Shared>, order: RunOrder) -> Response {
    let stream = order.stream.clone();
    match accept(&shared, order) {
        Ok(answer) => follow(shared, answer, stream, 0),
        Err(rejection) => reject(rejection),
    }
}

fn accept(shared: &Arc<Shared>, order: RunOrder) -> Result<Arc<Answer>, OrderRejection> {
    if order.incarnation != shared.incarnation {
        return Err(OrderRejection::Refused { refusal: Refusal::NoReservation });
    }
    let start = || {
        let started = shared.slots.start(order.reservation);
        started.map_err(|refusal| OrderRejection::Refused { refusal })
    };
    match shared.keys.order(&order, start) {
        Ok(AcceptedOrder::Run(answer)) => {
            answer.attach(&order.stream);
            tokio::spawn(run::run(Arc::clone(shared), order, Arc::clone(&answer)));
            Ok(answer)
        }
        Ok(AcceptedOrder::Attach(answer)) => {
            shared.slots.release(order.reservation);
            answer.attach(&order.stream);
            Ok(answer)
        }
        Err(rejection) => {
            shared.slots.release(order.reservation);
            Err(rejection)
        }
    }
}

async fn attach(shared: Arc<Shared>, order: AttachOrder) -> Response {
    let revoke = || {
        if let Some(reservation) = order.revoke {
            shared.slots.release(reservation);
        }
    };
    match shared.keys.attach(&order.key, Millis(order.wait_ms), revoke).await {
        Ok(answer) => {
            answer.attach(&order.stream);
            follow(shared, answer, order.stream, order.from as usize)
        }
        Err(rejection) => reject(rejection),
    }
}

fn reject(rejection: OrderRejection) -> Response {
    let (tx, rx) = mpsc::channel(1);
    tx.try_send(json_line(&Frame::NotTaken(rejection))).ok();
    stream_reply(rx, NDJSON)
}

fn follow(shared: Arc<Shared>, answer: Arc<Answer>, stream: String, from: usize) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(async move {
        send_frames(&shared, &answer, from, &tx).await;
        answer.detach(&stream);
    });
    stream_reply(rx, NDJSON)
}

/// Sends the frames of an answer as they are added, and heartbeats while there are none, until the
/// answer ends or the stream closes.
async fn send_frames(shared: &Shared, answer: &Answer, from: usize, tx: &mpsc::Sender<Bytes>) {
    let mut next = from;
    let heartbeat_interval = shared.cfg.heartbeat_interval.duration();
    loop {
        let changed = answer.changed.notified();
        let (frames, body, is_end) = answer.frames_from(next);
        if frames.is_empty() {
            let waited = tokio::select! {
                waited = timeout(heartbeat_interval, changed) => waited,
                () = tx.closed() => return,
            };
            if waited.is_err() && tx.send(json_line(&Frame::Beat)).await.is_err() {
                return;
            }
            continue;
        }
        next += frames.iter().filter(|frame| matches!(frame, Frame::Token { .. })).count();
        let mut buf = Vec::new();
        for frame in &frames {
            buf.extend_from_slice(&json_line(frame));
        }
        buf.extend_from_slice(&body.unwrap_or_default());
        if tx.send(buf.into()).await.is_err() || is_end {
            return;
        }
    }
}
