//! Keeps the ratio of prefill and decode runners, by fenced orders.
//!
//! Any gateway may act, and of many the first relay does: who writes the duty's record in the store under a
//! condition may send the one order that the record names, with the record's new revision as its
//! fencing token. The record also tells the others which changes are under way.

use std::collections::BTreeMap;
use std::sync::Arc;

use bulrushusher_forward::{
    OrderLease, OrderLeaseConfig, Runner, Stage, StageChange, StagesConfig, StartStatus, StartTime,
    next_stage_change,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::dialect::{Dialect, PlatformStore, RecordWrite, StageOrder};
use crate::knowledge::Knowledge;
use crate::lifecycle::Lifecycle;
use crate::runners::exchange::Exchanger;
use crate::runners::permit::Permit;

/// How often the ratio is looked at.
const CHECK_INTERVAL: Millis = Millis(500);

/// Longest wait for the store and for a runner. Short against the lease, so that an order never
/// arrives much later than the write that allowed it.
const CALL_TIMEOUT: Millis = Millis(400);

/// An order without effect after this time is lost; a runner may carry one out twelve seconds late.
const ORDER_TIMEOUT: Millis = Millis(15_000);

/// After one order the next ones follow at once: a ratio that is off by two has been off as long.
const FOLLOW_UP_WINDOW: Millis = Millis(3_000);

/// No order is given while runners come and go: a list that is still filling up looks like a wrong
/// ratio. Runners write their entries about once in this time.
const STABLE_COUNT_TIME: Millis = Millis(1_200);

/// What the record in the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OrderRecord {
    /// The VM that wrote it last.
    holder: String,
    /// Changes that may be under way.
    orders: Vec<PendingOrder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PendingOrder {
    runner: String,
    to_decode: bool,
    /// The start that the order was for: a later one knows nothing of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born: Option<StartTime>,
}

/// A change that may be under way, at which start, and since when this process knows of it.
#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    stage: Stage,
    born: Option<StartTime>,
    known_since: Millis,
}

/// Reads the record. One by another writer names no orders; what is written next replaces it.
fn read_record(name: &str, value: &serde_json::Value) -> OrderRecord {
    serde_json::from_value(value.clone()).unwrap_or_else(|e| {
        log::warn!("orders: record ignored name={name} cause=\"{e}\"");
        OrderRecord::default()
    })
}

/// What is known of one service's duty.
#[derive(Debug)]
struct OrderState {
    lease: OrderLease,
    open: BTreeMap<RunnerId, OpenOrder>,
    imbalanced_since: Option<Millis>,
    /// Runners listed, and since when their number is the same.
    runner_count: (usize, Millis),
    /// When this process gave its last order.
    last_order: Option<Millis>,
    /// True once a record was read: somebody has given orders before.
    has_record: bool,
}

/// The task that keeps the ratio.
#[derive(Debug)]
pub(crate) struct StageKeeper<D, S> {
    pub dialect: D,
    pub store: S,
    pub exchanger: Exchanger<D>,
    pub knowledge: Arc<Knowledge>,
    pub lifecycle: Lifecycle,
    pub metrics: Arc<GatewayMetrics>,
}

impl<D: Dialect, S: PlatformStore> StageKeeper<D, S> {
    /// Looks and acts until dropped.
    pub(crate) async fn run(self) {
        let mut states: BTreeMap<ServiceName, OrderState> = BTreeMap::new();
        let mut restores = self.knowledge.store_restores();
        let mut restored_at = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            if restores.has_changed().unwrap_or(false) {
                restores.mark_unchanged();
                let now = self.knowledge.now();
                restored_at = Some(now);
                states.values_mut().for_each(|state| state.lease.record_restore(now));
            }
            if self.lifecycle.is_stopping() || !self.knowledge.is_complete() {
                continue;
            }
            if !self.knowledge.runs_shared_duties() {
                self.clear_orders(&mut states);
                continue;
            }
            for service in self.services() {
                let state =
                    states.entry(service.clone()).or_insert_with(|| self.new_state(restored_at));
                self.check_ratio(&service, state).await;
                let changing = state.open.keys().cloned().collect();
                self.knowledge.set_switching(&service, changing);
            }
        }
    }

    /// Another gateway looks, and tells its peers what is under way. Who takes over reads it in the record.
    fn clear_orders(&self, states: &mut BTreeMap<ServiceName, OrderState>) {
        for (service, state) in states {
            state.open.clear();
            self.knowledge.set_switching(service, Vec::new());
        }
    }

    fn new_state(&self, restored_at: Option<Millis>) -> OrderState {
        let lease = self.knowledge.cfg().lease;
        let cfg = OrderLeaseConfig { lease, max_order_delay: CALL_TIMEOUT };
        let mut lease = OrderLease::new(cfg);
        if let Some(at) = restored_at {
            lease.record_restore(at);
        }
        OrderState {
            lease,
            open: BTreeMap::new(),
            imbalanced_since: None,
            runner_count: (0, Millis(0)),
            last_order: None,
            has_record: false,
        }
    }

    fn services(&self) -> Vec<ServiceName> {
        let Some(routing) = self.knowledge.routing() else { return Vec::new() };
        let with_engine = routing.services().filter(|service| service.engine.is_some());
        with_engine.map(|service| service.name.clone()).collect()
    }

    async fn check_ratio(&self, service: &ServiceName, state: &mut OrderState) {
        let now = self.knowledge.now();
        let cfg = self.knowledge.cfg().stages;
        if self.needed_change(service, state, cfg).is_none() {
            state.imbalanced_since = None;
            return;
        }
        let imbalanced_since = *state.imbalanced_since.get_or_insert(now);
        let is_follow_up = state.last_order.is_some_and(|at| now.since(at) < FOLLOW_UP_WINDOW);
        let is_first = !state.has_record;
        let is_due =
            is_follow_up || is_first || now.since(imbalanced_since) >= cfg.min_imbalance_time;
        if !is_due || now.since(state.runner_count.1) < STABLE_COUNT_TIME {
            return;
        }
        if let Err(cause) = self.order_change(service, state, cfg).await {
            log::info!("orders: no order sent service={service} cause=\"{cause}\"");
        }
    }

    /// The change that is wanted, with what is under way taken into account.
    fn needed_change(
        &self,
        service: &ServiceName,
        state: &mut OrderState,
        cfg: StagesConfig,
    ) -> Option<StageChange> {
        let runners: Vec<Runner> = self
            .knowledge
            .with_runners(|runners, now| runners.directory.usable(service, now).cloned().collect());
        let now = self.knowledge.now();
        if state.runner_count.0 != runners.len() {
            state.runner_count = (runners.len(), now);
        }
        state.open.retain(|id, open| {
            let listed = runners.iter().find(|runner| runner.id == *id);
            let is_same = |runner: &&Runner| runner.born == open.born;
            listed.filter(is_same).is_some_and(|runner| runner.stage != Some(open.stage))
                && now.since(open.known_since) < ORDER_TIMEOUT
        });
        let open_changes = state.open.iter().map(|(id, o)| (id.clone(), o.stage)).collect();
        next_stage_change(&runners, &open_changes, cfg)
    }

    async fn order_change(
        &self,
        service: &ServiceName,
        state: &mut OrderState,
        cfg: StagesConfig,
    ) -> Result<(), String> {
        let name = format!("stages-{service}");
        let record = self.store.read_record(&name, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        state.has_record = record.is_some();
        if let Some(record) = &record {
            self.merge_record(state, &read_record(&name, &record.value));
        }
        let Some(change) = self.needed_change(service, state, cfg) else { return Ok(()) };
        let revision = record.map(|record| record.revision);
        if !state.lease.may_write(revision, self.knowledge.now()) {
            return Ok(());
        }
        let accepted = self.accepted_order_count(state, &change).await?;
        let fence = self.write_record(state, &name, revision, &change).await?;
        self.send_order(state, &change, fence, accepted).await;
        Ok(())
    }

    /// Takes in the changes that the record names.
    fn merge_record(&self, state: &mut OrderState, record: &OrderRecord) {
        let now = self.knowledge.now();
        for order in &record.orders {
            let Ok(id) = RunnerId::try_from(order.runner.as_str()) else { continue };
            let stage = if order.to_decode { Stage::Decode } else { Stage::Prefill };
            let open = OpenOrder { stage, born: order.born, known_since: now };
            state.open.entry(id).or_insert(open);
        }
    }

    /// Asks the runner itself; the list may be late.
    async fn accepted_order_count(
        &self,
        state: &mut OrderState,
        change: &StageChange,
    ) -> Result<u64, String> {
        let runner = &change.runner;
        let call = self.dialect.ask_report(&runner.id);
        let answer = self.exchanger.side_call(runner, call, Permit::Needed, CALL_TIMEOUT).await;
        let (_, body) = answer.map_err(|e| format!("{} returned no report: {e}", runner.id))?;
        let report = self.dialect.report(&runner.id, &body).map_err(|e| e.to_string())?;
        // Runners of some platforms tell their start in their entries only. The order names their identity and
        // the count of orders that they told, so that another start refuses it or has as many.
        let born = report.born.or(runner.born);
        match self.knowledge.record_start(&runner.id, born) {
            StartStatus::Current => {}
            StartStatus::Newer => return Err(format!("{} has restarted", runner.id)),
            StartStatus::Stale => return Err(format!("{} reported an earlier start", runner.id)),
            StartStatus::Missing => return Err(format!("{} did not report its start", runner.id)),
        }
        if report.busy || report.stage == Some(change.stage) {
            let known_since = self.knowledge.now();
            let open = OpenOrder { stage: change.stage, born, known_since };
            state.open.insert(runner.id.clone(), open);
            return Err(format!("{} is already switching its stage", runner.id));
        }
        Ok(report.accepted)
    }

    async fn write_record(
        &self,
        state: &mut OrderState,
        name: &str,
        revision: Option<u64>,
        change: &StageChange,
    ) -> Result<u64, String> {
        let open_changes = state.open.iter().map(|(id, it)| (id, it.stage, it.born));
        let new = std::iter::once((&change.runner.id, change.stage, change.runner.born));
        let orders = open_changes.chain(new).map(|(id, stage, born)| PendingOrder {
            runner: id.as_str().to_owned(),
            to_decode: stage == Stage::Decode,
            born,
        });
        let holder = self.knowledge.cfg().name.to_string();
        let record = OrderRecord { holder, orders: orders.collect() };
        let value = serde_json::to_value(&record).map_err(|e| e.to_string())?;
        let written = self.store.write_record(name, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                state.lease.record_write(revision);
                Ok(revision)
            }
            RecordWrite::Conflict => Err("another gateway wrote the record first".to_owned()),
        }
    }

    async fn send_order(
        &self,
        state: &mut OrderState,
        change: &StageChange,
        fence: u64,
        accepted: u64,
    ) {
        let runner = &change.runner;
        let holder = self.knowledge.cfg().name.to_string();
        let stage = change.stage;
        let order = StageOrder { runner: &runner.id, stage, holder: &holder, fence, accepted };
        let call = self.dialect.order_stage(&order);
        let known_since = self.knowledge.now();
        state.open.insert(runner.id.clone(), OpenOrder { stage, born: runner.born, known_since });
        state.last_order = Some(known_since);
        let answer = self.exchanger.side_call(runner, call, Permit::Exempt, CALL_TIMEOUT).await;
        let (result, detail) = match answer {
            Ok((head, _)) if matches!(head.status, StatusCode::OK | StatusCode::ACCEPTED) => {
                self.pause_while_switching(runner);
                ("accepted", String::new())
            }
            Ok((head, _)) => ("refused", head.status.to_string()),
            // It may be carried out yet: the note stays until it must have been.
            Err(e) => ("unanswered", e.to_string()),
        };
        self.metrics.order(result);
        log::info!(
            "orders: stage runner={} to={stage} fence={fence} accepted_before={accepted} \
             result={result} detail=\"{detail}\"",
            runner.id,
        );
    }

    /// A runner takes no work while it changes.
    fn pause_while_switching(&self, runner: &Runner) {
        let Some(engine) = self.knowledge.engine(&runner.service) else { return };
        self.knowledge.with_runners(|runners, now| {
            runners.loads.pause(&runner.id, now.plus(engine.switch_time));
        });
    }
}
