//! Router for separate prefill and decode pools.
//!
//! This crate re-exports the workspace's crates under short names. The decision crates
//! ([`admission`], [`once`], [`routing`]) do no I/O and can be embedded in other programs. Use
//! [`entry`] and [`agent`] to run the daemons inside another program.

pub use bulrushusher_admission as admission;
pub use bulrushusher_agent as agent;
pub use bulrushusher_config as config;
pub use bulrushusher_entry as entry;
pub use bulrushusher_once as once;
pub use bulrushusher_operator as operator;
pub use bulrushusher_report as report;
pub use bulrushusher_routing as routing;
pub use bulrushusher_store as platform;
pub use bulrushusher_time as time;
pub use bulrushusher_wire as wire;
pub use bulrushusher_world as world;
