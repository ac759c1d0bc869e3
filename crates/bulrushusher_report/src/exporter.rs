//! Where the metrics of a process are made, and the text that a scraper reads.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Makes instruments by `opentelemetry` and renders them as text.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// An exporter whose resource carries the name of the process under `kind`.
    ///
    /// ```
    /// let exporter = bulrushusher_report::Exporter::new("entry", "entry-1");
    /// exporter.meter().u64_counter("bulrush_starts").build().add(1, &[]);
    /// assert!(exporter.text().contains("bulrush_starts_total"));
    /// ```
    ///
    /// # Panics
    /// When a fresh registry refuses the exporter: a mistake in the program.
    pub fn new(kind: &'static str, name: &str) -> Exporter {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes an exporter");
        let resource = opentelemetry_sdk::Resource::builder()
            .with_attribute(KeyValue::new(kind, name.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        Exporter { registry, provider }
    }

    /// Makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("bulrush")
    }

    /// All metrics in the text form that scrapers read.
    pub fn text(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(e) => format!("# metrics cannot be written: {e}\n"),
        }
    }
}
