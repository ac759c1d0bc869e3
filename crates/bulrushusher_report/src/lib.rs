//! Figures: histograms per class, the two measures, service-level burn, and metrics.

mod figures;
mod metrics;

pub use figures::{ClassFigures, ClassReport, Percentiles, Targets};
pub use metrics::EntryMetrics;
