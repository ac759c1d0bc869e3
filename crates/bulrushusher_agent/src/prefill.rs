//! One prefill: from the order to the end of its result. Closing the stream cancels it.

use std::sync::Arc;

use bulrushusher_admission::ReservationId;
use bulrushusher_http::{HttpError, json_line};
use bulrushusher_wire::{Frame, KvHandle, OrderRejection, PrefillRun};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::LOG;
use crate::agent::Shared;
use crate::desk::Desk;
use crate::engine::PrefillEvent;

/// Runs a prefill and tells `tx`; holds the place until its result is used or gone, so that no
/// more results pile up than the link can carry away in time.
pub(crate) async fn run(shared: Arc<Shared>, order: PrefillRun, tx: mpsc::Sender<Bytes>) {
    if let Err(refusal) = shared.desk.start(order.reservation) {
        let refused = Frame::NotTaken(OrderRejection::Refused { refusal });
        tx.send(json_line(&refused)).await.ok();
        return;
    }
    let _place = Place { desk: &shared.desk, id: order.reservation };
    tokio::select! {
        told = follow(&shared, &order, &tx) => {
            if let Err(e) = told {
                log::warn!("{LOG} prefill {} failed: {e}", order.run);
                let failed = Frame::Failed { cause: e.to_string(), engine_ended: false };
                tx.send(json_line(&failed)).await.ok();
            }
        }
        () = tx.closed() => log::debug!("{LOG} prefill {} given up", order.run),
    }
}

async fn follow(
    shared: &Shared,
    order: &PrefillRun,
    tx: &mpsc::Sender<Bytes>,
) -> Result<(), HttpError> {
    let mut stream = shared.engine.prefill(order).await?;
    while let Some(event) = stream.next_message().await? {
        let (frame, is_last) = match event {
            PrefillEvent::Beat => (Frame::Beat, false),
            PrefillEvent::Done { kv, tokens, cached } => {
                let kv = KvHandle { engine: shared.engine.addr(), kv };
                (Frame::Prefilled { kv, tokens, cached }, false)
            }
            PrefillEvent::Exported => (Frame::Exported, true),
            PrefillEvent::Evicted => (Frame::Evicted, true),
        };
        let gone = tx.send(json_line(&frame)).await.is_err();
        if is_last || gone {
            return Ok(());
        }
    }
    Ok(())
}

/// A started place; given back when dropped.
pub(crate) struct Place<'a> {
    pub(crate) desk: &'a Desk,
    pub(crate) id: ReservationId,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.desk.finish(self.id);
    }
}
