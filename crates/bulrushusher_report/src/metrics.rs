//! Metrics by `opentelemetry`, with the text that a scraper reads.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
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
    ///
    /// # Panics
    /// When a fresh registry refuses the exporter: a mistake in the program.
    pub fn new(entry: &str) -> EntryMetrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes an exporter");
        let resource = opentelemetry_sdk::Resource::builder()
            .with_attribute(KeyValue::new("entry", entry.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("bulrush");
        let accepted = meter
            .u64_counter("bulrush_requests_accepted")
            .with_description("Requests that passed the entry's checks")
            .build();
        let refused = meter
            .u64_counter("bulrush_requests_refused")
            .with_description("Requests that ended with a typed error, by its code")
            .build();
        EntryMetrics { registry, _provider: provider, accepted, refused }
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
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
