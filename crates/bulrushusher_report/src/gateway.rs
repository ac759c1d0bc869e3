//! Metrics of a gateway.

use std::collections::BTreeSet;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use parking_lot::Mutex;

use crate::Exporter;

/// The metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    response_ms: Histogram<f64>,
    attempts: Counter<u64>,
    send_wait_ms: Histogram<f64>,
    attempt_ms: Histogram<f64>,
    memory_requests: Counter<u64>,
    late_prefills: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    crashes: Counter<u64>,
    quarantine_refusals: Counter<u64>,
    turned_away: Counter<u64>,
    connections_closed: Counter<u64>,
    aborted_streams: Counter<u64>,
    invalid_events: Counter<u64>,
    panics: Counter<u64>,
    quarantine: Gauge<u64>,
    /// Keys that the gauge shows with a time.
    quarantines_shown: Mutex<BTreeSet<String>>,
    signals: Counter<u64>,
    withheld_sends: Counter<u64>,
    residency_refusals: Counter<u64>,
    retries: Counter<u64>,
    resumed_streams: Counter<u64>,
    peer_bytes: Counter<u64>,
    state: Gauge<u64>,
    account_usage: Gauge<u64>,
    runner_pace: Gauge<u64>,
    call_pool: Gauge<u64>,
    region_round_trip_ms: Gauge<u64>,
    work_by_region: Counter<u64>,
}

/// Quota use of a client account, in the unit of its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountMetrics {
    /// Use at all gateways within the last window.
    pub used: u64,
    /// Largest use within any window since this gateway started.
    pub worst_window: u64,
    /// Use that the quota allows per window; 0 without a quota.
    pub quota: u64,
    /// Use refused by this gateway.
    pub refused: u64,
}

/// State of the runners of a plain service that all gateways share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallPoolMetrics {
    /// Calls in flight, over all gateways.
    pub in_flight: u64,
    /// Calls that wait for a runner, over all gateways.
    pub waiting: u64,
    /// Calls that the runners process concurrently.
    pub slots: u64,
    /// Mean service time in ms.
    pub service_time_ms: u64,
    /// Calls that this gateway refused because the pool was full.
    pub refused: u64,
}

/// Upper bounds of the latency buckets in ms. They are dense around the response-time targets of
/// plain calls (about 0.3 s) and generations (about 1 s) and reach up to the longest timeouts.
const LATENCY_BUCKETS_MS: &[f64] = &[
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 700.0, 900.0, 1_500.0, 3_000.0, 6_000.0,
    14_000.0,
];

impl GatewayMetrics {
    /// Creates the metrics; each has the gateway's name as a resource attribute.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_request("idempotent", "answered", 12.0);
    /// assert!(metrics.render().contains("bulrush_gateway_requests_total"));
    /// ```
    pub fn new(name: &str) -> GatewayMetrics {
        let exporter = Exporter::new("gateway", name);
        let meter = exporter.meter();
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let latency = |name: &'static str, about: &'static str| {
            let buckets = LATENCY_BUCKETS_MS.to_vec();
            meter.f64_histogram(name).with_description(about).with_boundaries(buckets).build()
        };
        GatewayMetrics {
            requests: counter("bulrush_gateway_requests", "Requests ended, by kind and outcome"),
            response_ms: latency(
                "bulrush_gateway_response_ms",
                "Time to the head of the answer, by kind, in ms",
            ),
            attempts: counter("bulrush_gateway_attempts", "Sends to runners, by step and result"),
            send_wait_ms: latency(
                "bulrush_gateway_send_wait_ms",
                "Time from the choice of a runner to the send, by step, in ms",
            ),
            attempt_ms: latency(
                "bulrush_gateway_attempt_ms",
                "Time of sends to runners, by step, in ms",
            ),
            memory_requests: counter("bulrush_gateway_holds", "Holds on decode memory, by result"),
            late_prefills: counter(
                "bulrush_gateway_late_prefills",
                "Prefills past their timeout: waited for, given up, ended after a wait",
            ),
            store_calls: counter("bulrush_gateway_store_calls", "Store calls, by topic and result"),
            orders: counter("bulrush_gateway_orders", "Orders to runners, by result"),
            crashes: counter(
                "bulrush_gateway_crashes",
                "Connections that broke just after a run began, by what became of the runner",
            ),
            quarantine_refusals: counter(
                "bulrush_gateway_quarantine_refusals",
                "Requests refused because runners crash on them, by what is in quarantine",
            ),
            turned_away: counter(
                "bulrush_gateway_turned_away",
                "New connections closed unread because the gateway is overloaded",
            ),
            connections_closed: counter(
                "bulrush_gateway_connections_closed",
                "Callers' connections that the gateway closed, by reason",
            ),
            aborted_streams: counter(
                "bulrush_gateway_aborted_streams",
                "Streams that ended incomplete for their caller, by reason",
            ),
            invalid_events: counter(
                "bulrush_gateway_invalid_events",
                "Runs that sent something else than the next event of their stream, by reason",
            ),
            panics: counter(
                "bulrush_gateway_panics",
                "Panics, which are faults of the gateway; the log has the place of each",
            ),
            quarantine: meter
                .u64_gauge("bulrush_gateway_quarantine_ms")
                .with_description("Time until a quarantine ends, by its keys, in ms")
                .build(),
            quarantines_shown: Mutex::default(),
            signals: counter(
                "bulrush_gateway_runner_signals",
                "Changes of runners' back-pressure signals, by kind",
            ),
            withheld_sends: counter(
                "bulrush_gateway_sends_withheld",
                "Sends that did not go out by a runner's back-pressure or residency, by signal",
            ),
            residency_refusals: counter(
                "bulrush_gateway_residency_refusals",
                "Requests refused because no runner is in their allowed regions",
            ),
            retries: counter(
                "bulrush_gateway_retries",
                "Arrivals of requests at runners beyond the first of each",
            ),
            resumed_streams: counter(
                "bulrush_gateway_resumed_streams",
                "Callers that continue a stream, by how its version is known, or why it ends",
            ),
            peer_bytes: counter(
                "bulrush_gateway_peer_bytes",
                "Bytes of datagrams to other gateways, by region (own or other)",
            ),
            state: meter
                .u64_gauge("bulrush_gateway_state")
                .with_description("Version in force, runners known, requests waiting and in flight")
                .build(),
            account_usage: meter
                .u64_gauge("bulrush_gateway_account")
                .with_description("Use of quotas by the client accounts that use most")
                .build(),
            runner_pace: meter
                .u64_gauge("bulrush_gateway_runner_pace")
                .with_description("Tokens per second of a run, by runner of an uneven pool")
                .build(),
            call_pool: meter
                .u64_gauge("bulrush_gateway_call_pool")
                .with_description("Load of plain services whose calls the gateways share")
                .build(),
            region_round_trip_ms: meter
                .u64_gauge("bulrush_gateway_region_round_trip_ms")
                .with_description("Round trip to another region beyond one inside the own, in ms")
                .build(),
            work_by_region: counter(
                "bulrush_gateway_work_by_region",
                "Work sent to runners: decode runners and calls relative to the gateway's region, \
                 prefills relative to their decode runner's",
            ),
            exporter,
        }
    }

    /// Sets the generation rate of a run at a runner, in tokens per second.
    pub fn set_runner_pace(&self, runner: &str, tokens_per_second: u64) {
        self.runner_pace.record(tokens_per_second, &[KeyValue::new("runner", runner.to_owned())]);
    }

    /// Sets the estimated round trip to another region, in ms.
    pub fn set_region_round_trip(&self, region: &str, ms: u64) {
        self.region_round_trip_ms.record(ms, &[KeyValue::new("region", region.to_owned())]);
    }

    /// Records work that was sent to a runner; `place` is `own` or `other`.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_work("decode", "other");
    /// assert!(metrics.render().contains("bulrush_gateway_work_by_region_total"));
    /// ```
    pub fn record_work(&self, work: &'static str, place: &'static str) {
        let labels = [KeyValue::new("work", work), KeyValue::new("place", place)];
        self.work_by_region.add(1, &labels);
    }

    /// Sets the quota use of a client account.
    pub fn set_account_usage(&self, account: &str, usage: AccountMetrics) {
        let AccountMetrics { used, worst_window, quota, refused } = usage;
        for (what, value) in
            [("used", used), ("worst_window", worst_window), ("quota", quota), ("refused", refused)]
        {
            let account = KeyValue::new("account", account.to_owned());
            self.account_usage.record(value, &[account, KeyValue::new("what", what)]);
        }
    }

    /// Sets the load of a plain service.
    pub fn set_call_pool(&self, service: &str, load: CallPoolMetrics) {
        let CallPoolMetrics { in_flight, waiting, slots, service_time_ms, refused } = load;
        for (what, value) in [
            ("in_flight", in_flight),
            ("waiting", waiting),
            ("slots", slots),
            ("service_time_ms", service_time_ms),
            ("refused", refused),
        ] {
            let service = KeyValue::new("service", service.to_owned());
            self.call_pool.record(value, &[service, KeyValue::new("what", what)]);
        }
    }

    /// Records the end of a request and its response time in ms.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str, response_ms: f64) {
        let kind = KeyValue::new("kind", kind);
        self.requests.add(1, &[kind.clone(), KeyValue::new("outcome", outcome)]);
        self.response_ms.record(response_ms, &[kind]);
    }

    /// Records the end of an attempt at a runner and its duration in ms.
    pub fn record_attempt(&self, step: &'static str, result: &'static str, ms: f64) {
        let step = KeyValue::new("step", step);
        self.attempts.add(1, &[step.clone(), KeyValue::new("result", result)]);
        self.attempt_ms.record(ms, &[step]);
    }

    /// Records the time from the choice of a runner to the send of a request.
    pub fn record_send_wait(&self, step: &'static str, ms: f64) {
        self.send_wait_ms.record(ms, &[KeyValue::new("step", step)]);
    }

    /// Records the result of a request for decode memory at a runner.
    pub fn record_memory_request(&self, result: &'static str) {
        self.memory_requests.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records a decision on a prefill past its timeout, or the end of one that was waited for.
    pub fn record_late_prefill(&self, outcome: &'static str) {
        self.late_prefills.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the result of a call to the store.
    pub fn record_store_call(&self, topic: &'static str, result: &'static str) {
        let labels = [KeyValue::new("topic", topic), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
    }

    /// Records the result of an order to a runner.
    pub fn record_order(&self, result: &'static str) {
        self.orders.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records a connection that broke just after a run began.
    pub fn record_crash(&self, result: &'static str) {
        self.crashes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records a request that was refused because of a quarantine of `kind`: `request` or `part`.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_quarantine_refusal("part");
    /// assert!(metrics.render().contains("bulrush_gateway_quarantine_refusals_total"));
    /// ```
    pub fn record_quarantine_refusal(&self, kind: &'static str) {
        self.quarantine_refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records a new connection that was closed unread because the gateway is overloaded.
    pub fn record_turned_away(&self) {
        self.turned_away.add(1, &[]);
    }

    /// Records that the gateway closed a caller's connection.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_connection_closed("idle");
    /// assert!(metrics.render().contains("bulrush_gateway_connections_closed_total"));
    /// ```
    pub fn record_connection_closed(&self, reason: &'static str) {
        self.connections_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records a stream that was broken off towards its caller.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_aborted_stream("no_retry");
    /// assert!(metrics.render().contains("bulrush_gateway_aborted_streams_total"));
    /// ```
    pub fn record_aborted_stream(&self, reason: &'static str) {
        self.aborted_streams.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a run that sent something else than the next event of its stream.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_invalid_event("no_id");
    /// assert!(metrics.render().contains("bulrush_gateway_invalid_events_total"));
    /// ```
    pub fn record_invalid_event(&self, reason: &'static str) {
        self.invalid_events.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a panic.
    ///
    /// ```
    /// let metrics = bulrushusher_report::GatewayMetrics::new("front-1");
    /// metrics.record_panic();
    /// assert!(metrics.render().contains("bulrush_gateway_panics_total"));
    /// ```
    pub fn record_panic(&self) {
        self.panics.add(1, &[]);
    }

    /// Sets the keys in quarantine, with the time until the quarantine of each ends, in ms. Former ones
    /// are set to 0.
    pub fn set_quarantines(&self, entries: impl IntoIterator<Item = (String, u64)>) {
        let mut shown = self.quarantines_shown.lock();
        let former = std::mem::take(&mut *shown).into_iter().map(|keys| (keys, 0));
        for (keys, remaining_ms) in former.chain(entries) {
            if remaining_ms > 0 {
                shown.insert(keys.clone());
            }
            self.quarantine.record(remaining_ms, &[KeyValue::new("keys", keys)]);
        }
    }

    /// Records a change of the back-pressure signals in a runner's responses.
    pub fn record_signal(&self, kind: &'static str) {
        self.signals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records a request that was refused because no runner is in its allowed regions.
    pub fn record_residency_refusal(&self) {
        self.residency_refusals.add(1, &[]);
    }

    /// Records an arrival of a request at a runner beyond its first.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records a caller that continues a stream, or why the stream cannot continue.
    pub fn record_resumed_stream(&self, outcome: &'static str) {
        self.resumed_streams.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a request that was not sent because of the runner's back-pressure or residency.
    pub fn record_withheld_send(&self, signal: &'static str) {
        self.withheld_sends.add(1, &[KeyValue::new("signal", signal)]);
    }

    /// Records the bytes of datagrams to gateways of the own region, and of other regions.
    pub fn record_peer_bytes(&self, own: u64, other: u64) {
        self.peer_bytes.add(own, &[KeyValue::new("region", "own")]);
        self.peer_bytes.add(other, &[KeyValue::new("region", "other")]);
    }

    /// Sets a gauge of the gateway's state, labelled `what`.
    pub fn set_state(&self, what: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("what", what)]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.exporter.render()
    }
}
