//! Metrics of entries and gateways, and latency, goodput and error-budget statistics per
//! deliverable class.

mod class_stats;
mod entry;
mod exporter;
mod gateway;

pub use class_stats::{ClassReport, ClassStats, LatencyTargets, Percentiles};
pub use entry::EntryMetrics;
pub use exporter::Exporter;
pub use gateway::{AccountMetrics, CallPoolMetrics, GatewayMetrics};
