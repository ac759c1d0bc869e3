//! Maintains the ratio of prefill and decode runners with fenced orders. An order is a request to a
//! runner to change its stage.
//!
//! Any gateway may do so; the first relay does. A gateway that conditionally writes the order
//! record in the store may send the one order that the record names, with the new revision of the
//! record as fencing token. The record also tells other gateways which stage changes are in
//! progress.

use std::collections::BTreeMap;
use std::sync::Arc;

use bulrushusher_forward::{
    OrderLease, OrderLeaseConfig, Runner, Stage, StageChange, StagePacing, StagesConfig,
    StartStatus, StartTime, needed_stage_changes,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::dialect::{Dialect, PlatformStore, RecordWrite, StageOrder};
use crate::lifecycle::Lifecycle;
use crate::runners::exchange::Exchanger;
use crate::runners::permit::Permit;
use crate::shared::SharedState;

/// How often the ratio is checked.
const CHECK_INTERVAL: Millis = Millis(500);

/// Timeout of calls to the store and to runners. It is short compared with the lease, so that an
/// order never arrives much later than the write that permitted it.
const CALL_TIMEOUT: Millis = Millis(400);

/// An order without effect after this time counts as lost. A runner may carry one out 12 s late.
const ORDER_TIMEOUT: Millis = Millis(15_000);

/// The number of runners must be stable for this time before an order is sent, since a list that is
/// still filling up looks like a wrong ratio. Runners write their entries about once in this time.
const STABLE_COUNT_TIME: Millis = Millis(1_200);

/// The order record in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OrderRecord {
    /// The VM that wrote it last.
    holder: String,
    /// Stage changes that may be in progress.
    orders: Vec<PendingOrder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PendingOrder {
    runner: String,
    to_decode: bool,
    /// Process start that the order was for. A later start has not received it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born: Option<StartTime>,
}

/// A stage change that may be in progress, the process start of its runner, and when this gateway
/// recorded it.
#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    stage: Stage,
    born: Option<StartTime>,
    known_since: Millis,
}

/// Parses the record. A record of another writer counts as empty and is overwritten by the next
/// write.
fn read_record(name: &str, value: &serde_json::Value) -> OrderRecord {
    serde_json::from_value(value.clone()).unwrap_or_else(|e| {
        log::warn!("orders: record ignored name={name} cause=\"{e}\"");
        OrderRecord::default()
    })
}

/// State of the orders for one service.
#[derive(Debug)]
struct OrderState {
    lease: OrderLease,
    open: BTreeMap<RunnerId, OpenOrder>,
    pacing: StagePacing,
    /// Number of listed runners, and since when it has not changed.
    runner_count: (usize, Millis),
    /// True if the store holds a record, so some gateway has sent orders before.
    has_record: bool,
}

/// The task that maintains the ratio.
#[derive(Debug)]
pub(crate) struct StageKeeper<D, S> {
    pub dialect: D,
    pub store: S,
    pub exchanger: Exchanger<D>,
    pub shared: Arc<SharedState>,
    pub lifecycle: Lifecycle,
    pub metrics: Arc<GatewayMetrics>,
}

impl<D: Dialect, S: PlatformStore> StageKeeper<D, S> {
    /// Checks the ratio and sends orders until dropped.
    pub(crate) async fn run(self) {
        let mut states: BTreeMap<ServiceName, OrderState> = BTreeMap::new();
        let mut restores = self.shared.store_restores();
        let mut restored_at = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            if restores.has_changed().unwrap_or(false) {
                restores.mark_unchanged();
                let now = self.shared.now();
                restored_at = Some(now);
                states.values_mut().for_each(|state| state.lease.record_restore(now));
            }
            if self.lifecycle.is_stopping() || !self.shared.is_complete() {
                continue;
            }
            if !self.shared.runs_shared_duties() {
                self.clear_orders(&mut states);
                continue;
            }
            for service in self.services() {
                let state =
                    states.entry(service.clone()).or_insert_with(|| self.new_state(restored_at));
                self.check_ratio(&service, state).await;
                let changing = state.open.keys().cloned().collect();
                self.shared.set_switching(&service, changing);
            }
        }
    }

    /// Clears the orders of this gateway while another one maintains the ratio and reports the
    /// changes in progress to its peers. A gateway that takes over reads them from the record.
    fn clear_orders(&self, states: &mut BTreeMap<ServiceName, OrderState>) {
        for (service, state) in states {
            state.open.clear();
            self.shared.set_switching(service, Vec::new());
        }
    }

    fn new_state(&self, restored_at: Option<Millis>) -> OrderState {
        let lease = self.shared.cfg().order_spacing;
        let cfg = OrderLeaseConfig { lease, max_order_delay: CALL_TIMEOUT };
        let mut lease = OrderLease::new(cfg);
        if let Some(at) = restored_at {
            lease.record_restore(at);
        }
        OrderState {
            lease,
            open: BTreeMap::new(),
            pacing: StagePacing::new(self.shared.cfg().stages.min_imbalance_time),
            runner_count: (0, Millis(0)),
            has_record: false,
        }
    }

    fn services(&self) -> Vec<ServiceName> {
        let Some(routing) = self.shared.routing() else { return Vec::new() };
        let with_engine = routing.services().filter(|service| service.engine.is_some());
        with_engine.map(|service| service.name.clone()).collect()
    }

    async fn check_ratio(&self, service: &ServiceName, state: &mut OrderState) {
        let now = self.shared.now();
        let cfg = self.shared.cfg().stages;
        let changes = self.needed_changes(service, state, cfg);
        state.pacing.set_min_time(cfg.min_imbalance_time);
        state.pacing.set_last_evacuation(self.shared.last_evacuation());
        state.pacing.update(&changes, now);
        let is_due = |change: &StageChange| state.pacing.is_due(change, !state.has_record, now);
        if !changes.iter().any(is_due) || now.since(state.runner_count.1) < STABLE_COUNT_TIME {
            return;
        }
        if let Err(cause) = self.order_change(service, state, cfg).await {
            log::info!("orders: no order sent service={service} cause=\"{cause}\"");
        }
    }

    /// The stage changes that are needed, given the changes in progress.
    fn needed_changes(
        &self,
        service: &ServiceName,
        state: &mut OrderState,
        cfg: StagesConfig,
    ) -> Vec<StageChange> {
        let runners: Vec<Runner> = self
            .shared
            .with_runners(|runners, now| runners.directory.usable(service, now).cloned().collect());
        let now = self.shared.now();
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
        needed_stage_changes(&runners, &open_changes, &self.shared.cfg().topology, cfg)
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
        let is_first = !state.has_record;
        state.has_record = record.is_some();
        if let Some(record) = &record {
            self.merge_record(state, &read_record(&name, &record.value));
        }
        let changes = self.needed_changes(service, state, cfg);
        let now = self.shared.now();
        let due = changes.into_iter().find(|it| state.pacing.is_due(it, is_first, now));
        let Some(change) = due else { return Ok(()) };
        let revision = record.map(|record| record.revision);
        if !state.lease.may_write(revision, self.shared.now()) {
            return Ok(());
        }
        let accepted = self.accepted_order_count(state, &change).await?;
        let fence = self.write_record(state, &name, revision, &change).await?;
        self.send_order(state, &change, fence, accepted).await;
        Ok(())
    }

    /// Merges the stage changes that the record names.
    fn merge_record(&self, state: &mut OrderState, record: &OrderRecord) {
        let now = self.shared.now();
        for order in &record.orders {
            let Ok(id) = RunnerId::try_from(order.runner.as_str()) else { continue };
            let stage = if order.to_decode { Stage::Decode } else { Stage::Prefill };
            let open = OpenOrder { stage, born: order.born, known_since: now };
            state.open.entry(id).or_insert(open);
        }
    }

    /// Requests the number of accepted orders from the runner itself, since its entry may be
    /// outdated.
    async fn accepted_order_count(
        &self,
        state: &mut OrderState,
        change: &StageChange,
    ) -> Result<u64, String> {
        let runner = &change.runner;
        let call = self.dialect.status_request(&runner.id);
        let answer =
            self.exchanger.control_request(runner, call, Permit::Acquire, CALL_TIMEOUT).await;
        let (_, body) = answer.map_err(|e| format!("{} returned no report: {e}", runner.id))?;
        let report = self.dialect.parse_status(&runner.id, &body).map_err(|e| e.to_string())?;
        // On some platforms only the entry of a runner contains its start. The order names the
        // runner and its reported number of accepted orders, so another process start either
        // rejects it or has accepted as many.
        let born = report.born.or(runner.born);
        match self.shared.record_start(&runner.id, born) {
            StartStatus::Current => {}
            StartStatus::Newer => return Err(format!("{} has restarted", runner.id)),
            StartStatus::Stale => return Err(format!("{} reported an earlier start", runner.id)),
            StartStatus::Missing => {
                return Err(format!("{} did not report a valid start", runner.id));
            }
        }
        if report.busy || report.stage == Some(change.stage) {
            let known_since = self.shared.now();
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
        let holder = self.shared.cfg().name.to_string();
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
        let holder = self.shared.cfg().name.to_string();
        let stage = change.stage;
        let order = StageOrder { runner: &runner.id, stage, holder: &holder, fence, accepted };
        let call = self.dialect.change_stage(&order);
        let known_since = self.shared.now();
        state.open.insert(runner.id.clone(), OpenOrder { stage, born: runner.born, known_since });
        state.pacing.record_order(change, !state.has_record, known_since);
        let answer =
            self.exchanger.control_request(runner, call, Permit::Order, CALL_TIMEOUT).await;
        let (result, detail) = match answer {
            Ok((head, _)) if matches!(head.status, StatusCode::OK | StatusCode::ACCEPTED) => {
                self.pause_while_switching(runner);
                ("accepted", String::new())
            }
            Ok((head, _)) => ("refused", head.status.to_string()),
            // It may still be carried out, so it stays recorded until it must have taken effect.
            Err(e) => ("unanswered", e.to_string()),
        };
        self.metrics.record_order(result);
        log::info!(
            "orders: stage runner={} to={stage} fence={fence} accepted_before={accepted} \
             result={result} detail=\"{detail}\"",
            runner.id,
        );
    }

    /// Sends a runner no work while it switches stage.
    fn pause_while_switching(&self, runner: &Runner) {
        let Some(engine) = self.shared.engine(&runner.service) else { return };
        self.shared.with_runners(|runners, now| {
            runners.loads.pause(&runner.id, now.plus(engine.switch_time));
        });
    }
}
