//! Prefills, from the order until the KV cache is exported or evicted. Closing the stream cancels
//! the prefill.

use std::sync::Arc;

use bulrushusher_admission::ReservationId;
use bulrushusher_http::{HttpError, json_line};
use bulrushusher_wire::{Frame, KvHandle, OrderRejection, PrefillRun};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::LOG;
use crate::agent::Shared;
use crate::engine::PrefillEvent;
use crate::slots::Slots;

/// Runs a prefill and sends its frames to `tx`. Holds the slot until the KV cache is exported or
/// evicted, so that no more KV caches accumulate than the link can transfer in time.
pub(crate) async fn run(shared: Arc<Shared>, order: PrefillRun, tx: mpsc::Sender<Bytes>) {
    if let Err(refusal) = shared.slots.start(order.reservation) {
        let rejected = Frame::NotTaken(OrderRejection::Refused { refusal });
        tx.send(json_line(&rejected)).await.ok();
        return;
    }
    let _slot = SlotGuard { slots: &shared.slots, id: order.reservation };
    tokio::select! {
        result = follow(&shared, &order, &tx) => {
            if let Err(e) = result {
                log::warn!("{LOG} prefill {} failed: {e}", order.run);
                let failed = Frame::Failed { cause: e.to_string(), engine_ended: false };
                tx.send(json_line(&failed)).await.ok();
            }
        }
        () = tx.closed() => log::debug!("{LOG} prefill {} cancelled by its entry", order.run),
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
        let disconnected = tx.send(json_line(&frame)).await.is_err();
        if is_last || disconnected {
            return Ok(());
        }
    }
    Ok(())
}

/// A started slot; released on drop.
pub(crate) struct SlotGuard<'a> {
    pub(crate) slots: &'a Slots,
    pub(crate) id: ReservationId,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.slots.release(self.id);
    }
}
