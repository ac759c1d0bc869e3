//! The gateway: forwards callers' requests to runners that check who they are themselves.
//!
//! `gateway` starts the parts. `server` takes connections and `front` turns a request into a
//! forwarded one. `call` carries out plain calls; `generation` has a run begun (`begin`, with
//! `placement` and `reading`) and its stream carried (`pump`, each run by `carrying`). All reach runners by `exchange` and
//! `pool`. `feed` follows the store into `knowledge`, `orders` keeps the ratio of prefill and decode
//! runners, `peers` speaks with the other gateways, which `announcing` finds. `crashes` finds out which requests end the runners that
//! run them, and `quarantine` keeps them in the store. `access` finds out whose a request is and counts it to its client
//! account; `renewing` keeps the lease on the keys.
//!
//! The decisions are those of `bulrushusher_forward`. What the platform speaks comes in by the
//! traits of [`dialect`]; nothing here knows its names.

mod access;
mod announcing;
mod answer;
mod begin;
mod body;
mod call;
mod carrying;
mod connection;
mod crashes;
pub mod dialect;
mod exchange;
mod feed;
mod front;
mod gateway;
mod generation;
mod holds;
mod knowledge;
mod lifecycle;
mod moving;
mod orders;
mod peers;
mod placement;
mod pool;
mod probes;
mod pump;
mod quarantine;
mod reading;
mod renewing;
mod report_codec;
mod router;
mod run;
mod server;
mod settings;

pub use body::CutOff;
pub use gateway::{ReadSettings, run};
pub use settings::{GatewayConfig, PROGRAM};
