//! Metrics by `opentelemetry`, with the text that a scraper reads.

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
    /// Metrics that all carry the entry's name.
    ///
    /// ```
    /// let metrics = bulrushusher_report::EntryMetrics::new("entry-1");
    /// metrics.accepted();
    /// assert!(metrics.text().contains("bulrush_requests_accepted_total"));
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

    /// A request passed the checks.
    pub fn accepted(&self) {
        self.accepted.add(1, &[]);
    }

    /// A request ended with the error of that code.
    pub fn refused(&self, code: &str) {
        self.refused.add(1, &[KeyValue::new("code", code.to_owned())]);
    }

    /// All metrics in the text form that scrapers read.
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}
