//! Creates the metric instruments of a process and renders them for Prometheus.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Creates `opentelemetry` instruments and renders them in the Prometheus text format.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter whose resource has the attribute `kind` with the name of the process.
    ///
    /// ```
    /// let exporter = bulrushusher_report::Exporter::new("entry", "entry-1");
    /// exporter.meter().u64_counter("bulrush_starts").build().add(1, &[]);
    /// assert!(exporter.render().contains("bulrush_starts_total"));
    /// ```
    ///
    /// # Panics
    /// If the new registry rejects the exporter, which is a bug.
    pub fn new(kind: &'static str, name: &str) -> Exporter {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry accepts an exporter");
        let resource = opentelemetry_sdk::Resource::builder()
            .with_attribute(KeyValue::new(kind, name.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        Exporter { registry, provider }
    }

    /// The meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("bulrush")
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(e) => format!("# metrics cannot be written: {e}\n"),
        }
    }
}
