//! Metrics of a gateway.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::Exporter;

/// The metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    response_ms: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_ms: Histogram<f64>,
    holds: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    crashes: Counter<u64>,
    signals: Counter<u64>,
    withheld: Counter<u64>,
    state: Gauge<u64>,
    accounts: Gauge<u64>,
}

/// What a client account used, in its unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountFigures {
    /// Within the last window, at all gateways.
    pub used: u64,
    /// The most within a window since this gateway's start.
    pub worst: u64,
    /// What its quota allows in a window; 0 where it has none.
    pub quota: u64,
    /// Refused by this gateway.
    pub refused: u64,
}

/// Upper bounds of the latency buckets, in ms: around the response-time targets of plain calls
/// (some 0.3 s) and generations (about 1 s), up to the longest timeouts.
const BUCKETS_MS: &[f64] = &[
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 700.0, 900.0, 1_500.0, 3_000.0, 6_000.0,
    14_000.0,
];

impl GatewayMetrics {
    /// Metrics that all carry the gateway's name.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.request("idempotent", "answered", 12.0);
    /// assert!(metrics.text().contains("bulrush_gateway_requests_total"));
    /// ```
    pub fn new(name: &str) -> GatewayMetrics {
        let exporter = Exporter::new("gateway", name);
        let meter = exporter.meter();
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let latency = |name: &'static str, about: &'static str| {
            let buckets = BUCKETS_MS.to_vec();
            meter.f64_histogram(name).with_description(about).with_boundaries(buckets).build()
        };
        GatewayMetrics {
            requests: counter("bulrush_gateway_requests", "Requests ended, by kind and outcome"),
            response_ms: latency(
                "bulrush_gateway_response_ms",
                "Time to the head of the answer, by kind, in ms",
            ),
            attempts: counter("bulrush_gateway_attempts", "Sends to runners, by step and result"),
            attempt_ms: latency(
                "bulrush_gateway_attempt_ms",
                "Time of sends to runners, by step, in ms",
            ),
            holds: counter("bulrush_gateway_holds", "Holds on decode memory, by result"),
            store_calls: counter("bulrush_gateway_store_calls", "Store calls, by topic and result"),
            orders: counter("bulrush_gateway_orders", "Orders to runners, by result"),
            crashes: counter(
                "bulrush_gateway_crashes",
                "Connections that broke just after a run began, by what became of the runner",
            ),
            signals: counter(
                "bulrush_gateway_runner_signals",
                "Changes of runners' back-pressure signals, by kind",
            ),
            withheld: counter(
                "bulrush_gateway_sends_withheld",
                "Sends that did not go out by a runner's back-pressure, by signal",
            ),
            state: meter
                .u64_gauge("bulrush_gateway_state")
                .with_description("Version in force, runners known, requests waiting and in flight")
                .build(),
            accounts: meter
                .u64_gauge("bulrush_gateway_account")
                .with_description("Use of quotas by the client accounts that use most")
                .build(),
            exporter,
        }
    }

    /// What a client account used.
    pub fn account(&self, account: &str, figures: AccountFigures) {
        let AccountFigures { used, worst, quota, refused } = figures;
        for (what, value) in
            [("used", used), ("worst_window", worst), ("quota", quota), ("refused", refused)]
        {
            let account = KeyValue::new("account", account.to_owned());
            self.accounts.record(value, &[account, KeyValue::new("what", what)]);
        }
    }

    /// A request ended.
    pub fn request(&self, kind: &'static str, outcome: &'static str, response_ms: f64) {
        let kind = KeyValue::new("kind", kind);
        self.requests.add(1, &[kind.clone(), KeyValue::new("outcome", outcome)]);
        self.response_ms.record(response_ms, &[kind]);
    }

    /// A send to a runner ended.
    pub fn attempt(&self, step: &'static str, result: &'static str, ms: f64) {
        let step = KeyValue::new("step", step);
        self.attempts.add(1, &[step.clone(), KeyValue::new("result", result)]);
        self.attempt_ms.record(ms, &[step]);
    }

    /// A runner was asked for decode memory.
    pub fn hold(&self, result: &'static str) {
        self.holds.add(1, &[KeyValue::new("result", result)]);
    }

    /// The store was called.
    pub fn store_call(&self, topic: &'static str, result: &'static str) {
        let labels = [KeyValue::new("topic", topic), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
    }

    /// A runner was given an order.
    pub fn order(&self, result: &'static str) {
        self.orders.add(1, &[KeyValue::new("result", result)]);
    }

    /// A connection broke just after a run began.
    pub fn crash(&self, result: &'static str) {
        self.crashes.add(1, &[KeyValue::new("result", result)]);
    }

    /// A runner's answer asked for something that the answers before did not.
    pub fn signal(&self, kind: &'static str) {
        self.signals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// A send was withheld by its runner's back-pressure.
    pub fn withheld(&self, signal: &'static str) {
        self.withheld.add(1, &[KeyValue::new("signal", signal)]);
    }

    /// Something that the gateway holds now.
    pub fn state(&self, what: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("what", what)]);
    }

    /// All metrics in the text form that scrapers read.
    pub fn text(&self) -> String {
        self.exporter.text()
    }
}
