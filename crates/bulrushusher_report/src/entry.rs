//! Metrics of an entry.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

use crate::Exporter;

/// The metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    exporter: Exporter,
    accepted: Counter<u64>,
    refused: Counter<u64>,
}

impl EntryMetrics {
    /// Creates the metrics; each has the entry's name as a resource attribute.
    ///
    /// ```
    /// let metrics = bulrushusher_report::EntryMetrics::new("entry-1");
    /// metrics.record_accepted();
    /// assert!(metrics.render().contains("bulrush_requests_accepted_total"));
    /// ```
    pub fn new(entry: &str) -> EntryMetrics {
        let exporter = Exporter::new("entry", entry);
        let meter = exporter.meter();
        let accepted = meter
            .u64_counter("bulrush_requests_accepted")
            .with_description("Requests that passed the entry's checks")
            .build();
        let refused = meter
            .u64_counter("bulrush_requests_refused")
            .with_description("Requests that ended with a typed error, by its code")
            .build();
        EntryMetrics { exporter, accepted, refused }
    }

    /// Records a request that passed the entry's checks.
    pub fn record_accepted(&self) {
        self.accepted.add(1, &[]);
    }

    /// Records a request that ended with the error `code`.
    pub fn record_refused(&self, code: &str) {
        self.refused.add(1, &[KeyValue::new("code", code.to_owned())]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.exporter.render()
    }
}
