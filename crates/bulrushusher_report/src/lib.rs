//! Figures: histograms per class, the two measures, service-level burn, and metrics.

mod exporter;
mod figures;
mod gateway;
mod metrics;

pub use exporter::Exporter;
pub use figures::{ClassFigures, ClassReport, Percentiles, Targets};
pub use gateway::{AccountFigures, GatewayMetrics};
pub use metrics::EntryMetrics;
