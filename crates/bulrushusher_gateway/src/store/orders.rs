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
const LOOK_EVERY: Millis = Millis(500);

/// Longest wait for the store and for a runner. Short against the lease, so that an order never
/// arrives much later than the write that allowed it.
const CALL_TIMEOUT: Millis = Millis(400);

/// An order without effect after this time is lost; a runner may carry one out twelve seconds late.
const ORDER_SETTLES: Millis = Millis(15_000);

/// After one order the next ones follow at once: a ratio that is off by two has been off as long.
const GOES_ON: Millis = Millis(3_000);

/// No order is given while runners come and go: a list that is still filling up looks like a wrong
/// ratio. Runners write their entries about once in this time.
const COUNT_SETTLES: Millis = Millis(1_200);

/// What the record in the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DutyRecord {
    /// The VM that wrote it last.
    holder: String,
    /// Changes that may be under way.
    orders: Vec<OrderNote>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OrderNote {
    runner: String,
    to_decode: bool,
    /// The start that the order was for: a later one knows nothing of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born: Option<StartTime>,
}

/// A change that may be under way, at which start, and since when this process knows of it.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    stage: Stage,
    born: Option<StartTime>,
    known_since: Millis,
}

/// Reads the record. One by another writer names no orders; what is written next replaces it.
fn read_record(name: &str, value: &serde_json::Value) -> DutyRecord {
    serde_json::from_value(value.clone()).unwrap_or_else(|e| {
        log::warn!("orders: record passed over name={name} cause=\"{e}\"");
        DutyRecord::default()
    })
}

/// What is known of one service's duty.
#[derive(Debug)]
struct Duty {
    may: OrderLease,
    ordered: BTreeMap<RunnerId, Ordered>,
    off_since: Option<Millis>,
    /// Runners listed, and since when their number is the same.
    counted: (usize, Millis),
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
    pub(crate) async fn keep(self) {
        let mut duties: BTreeMap<ServiceName, Duty> = BTreeMap::new();
        let mut restores = self.knowledge.restores();
        let mut restored_at = None;
        loop {
            tokio::time::sleep(LOOK_EVERY.duration()).await;
            if restores.has_changed().unwrap_or(false) {
                restores.mark_unchanged();
                let now = self.knowledge.now();
                restored_at = Some(now);
                duties.values_mut().for_each(|duty| duty.may.record_restore(now));
            }
            if self.lifecycle.is_stopping() || !self.knowledge.is_complete() {
                continue;
            }
            if !self.knowledge.keeps_duties() {
                self.leave_orders_to_another(&mut duties);
                continue;
            }
            for service in self.services() {
                let duty =
                    duties.entry(service.clone()).or_insert_with(|| self.new_duty(restored_at));
                self.look(&service, duty).await;
                let changing = duty.ordered.keys().cloned().collect();
                self.knowledge.set_changing(&service, changing);
            }
        }
    }

    /// Another gateway looks, and tells its peers what is under way. Who takes over reads it in the record.
    fn leave_orders_to_another(&self, duties: &mut BTreeMap<ServiceName, Duty>) {
        for (service, duty) in duties {
            duty.ordered.clear();
            self.knowledge.set_changing(service, Vec::new());
        }
    }

    fn new_duty(&self, restored_at: Option<Millis>) -> Duty {
        let lease = self.knowledge.cfg().order_spacing;
        let cfg = OrderLeaseConfig { lease, max_order_delay: CALL_TIMEOUT };
        let mut may = OrderLease::new(cfg);
        if let Some(at) = restored_at {
            may.record_restore(at);
        }
        Duty {
            may,
            ordered: BTreeMap::new(),
            off_since: None,
            counted: (0, Millis(0)),
            last_order: None,
            has_record: false,
        }
    }

    fn services(&self) -> Vec<ServiceName> {
        let Some(routing) = self.knowledge.routing() else { return Vec::new() };
        let with_engine = routing.services().filter(|service| service.engine.is_some());
        with_engine.map(|service| service.name.clone()).collect()
    }

    async fn look(&self, service: &ServiceName, duty: &mut Duty) {
        let now = self.knowledge.now();
        let cfg = self.knowledge.cfg().stages;
        if self.wanted(service, duty, cfg).is_none() {
            duty.off_since = None;
            return;
        }
        let off_since = *duty.off_since.get_or_insert(now);
        let goes_on = duty.last_order.is_some_and(|at| now.since(at) < GOES_ON);
        let is_first = !duty.has_record;
        let is_due = goes_on || is_first || now.since(off_since) >= cfg.min_imbalance_time;
        if !is_due || now.since(duty.counted.1) < COUNT_SETTLES {
            return;
        }
        if let Err(cause) = self.act(service, duty, cfg).await {
            log::info!("orders: none given service={service} cause=\"{cause}\"");
        }
    }

    /// The change that is wanted, with what is under way taken into account.
    fn wanted(
        &self,
        service: &ServiceName,
        duty: &mut Duty,
        cfg: StagesConfig,
    ) -> Option<StageChange> {
        let runners: Vec<Runner> = self
            .knowledge
            .with_runners(|known, now| known.members.usable(service, now).cloned().collect());
        let now = self.knowledge.now();
        if duty.counted.0 != runners.len() {
            duty.counted = (runners.len(), now);
        }
        duty.ordered.retain(|id, ordered| {
            let listed = runners.iter().find(|runner| runner.id == *id);
            let is_same = |runner: &&Runner| runner.born == ordered.born;
            listed.filter(is_same).is_some_and(|runner| runner.stage != Some(ordered.stage))
                && now.since(ordered.known_since) < ORDER_SETTLES
        });
        let under_way = duty.ordered.iter().map(|(id, o)| (id.clone(), o.stage)).collect();
        next_stage_change(&runners, &under_way, cfg)
    }

    async fn act(
        &self,
        service: &ServiceName,
        duty: &mut Duty,
        cfg: StagesConfig,
    ) -> Result<(), String> {
        let name = format!("stages-{service}");
        let record = self.store.read_record(&name, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        duty.has_record = record.is_some();
        if let Some(record) = &record {
            self.learn(duty, &read_record(&name, &record.value));
        }
        let Some(change) = self.wanted(service, duty, cfg) else { return Ok(()) };
        let revision = record.map(|record| record.revision);
        if !duty.may.may_write(revision, self.knowledge.now()) {
            return Ok(());
        }
        let accepted = self.orders_accepted(duty, &change).await?;
        let fence = self.write_record(duty, &name, revision, &change).await?;
        self.order(duty, &change, fence, accepted).await;
        Ok(())
    }

    /// Takes in the changes that the record names.
    fn learn(&self, duty: &mut Duty, held: &DutyRecord) {
        let now = self.knowledge.now();
        for note in &held.orders {
            let Ok(id) = RunnerId::try_from(note.runner.as_str()) else { continue };
            let stage = if note.to_decode { Stage::Decode } else { Stage::Prefill };
            let ordered = Ordered { stage, born: note.born, known_since: now };
            duty.ordered.entry(id).or_insert(ordered);
        }
    }

    /// Asks the runner itself; the list may be late.
    async fn orders_accepted(&self, duty: &mut Duty, change: &StageChange) -> Result<u64, String> {
        let runner = &change.runner;
        let call = self.dialect.status_request(&runner.id);
        let answer =
            self.exchanger.control_request(runner, call, Permit::Acquire, CALL_TIMEOUT).await;
        let (_, body) = answer.map_err(|e| format!("{} gives no report: {e}", runner.id))?;
        let report = self.dialect.parse_status(&runner.id, &body).map_err(|e| e.to_string())?;
        // Runners of some platforms tell their start in their entries only. The order names their identity and
        // the count of orders that they told, so that another start refuses it or has as many.
        let born = report.born.or(runner.born);
        match self.knowledge.hear_start(&runner.id, born) {
            StartStatus::Current => {}
            StartStatus::Newer => return Err(format!("{} started again", runner.id)),
            StartStatus::Stale => return Err(format!("{} tells of an earlier start", runner.id)),
            StartStatus::Missing => return Err(format!("{} does not tell its start", runner.id)),
        }
        if report.busy || report.stage == Some(change.stage) {
            let known_since = self.knowledge.now();
            let ordered = Ordered { stage: change.stage, born, known_since };
            duty.ordered.insert(runner.id.clone(), ordered);
            return Err(format!("{} changes already", runner.id));
        }
        Ok(report.accepted)
    }

    async fn write_record(
        &self,
        duty: &mut Duty,
        name: &str,
        revision: Option<u64>,
        change: &StageChange,
    ) -> Result<u64, String> {
        let under_way = duty.ordered.iter().map(|(id, it)| (id, it.stage, it.born));
        let new = std::iter::once((&change.runner.id, change.stage, change.runner.born));
        let orders = under_way.chain(new).map(|(id, stage, born)| OrderNote {
            runner: id.as_str().to_owned(),
            to_decode: stage == Stage::Decode,
            born,
        });
        let holder = self.knowledge.cfg().name.to_string();
        let record = DutyRecord { holder, orders: orders.collect() };
        let value = serde_json::to_value(&record).map_err(|e| e.to_string())?;
        let written = self.store.write_record(name, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                duty.may.record_write(revision);
                Ok(revision)
            }
            RecordWrite::Conflict => Err("another gateway wrote first".to_owned()),
        }
    }

    async fn order(&self, duty: &mut Duty, change: &StageChange, fence: u64, accepted: u64) {
        let runner = &change.runner;
        let holder = self.knowledge.cfg().name.to_string();
        let stage = change.stage;
        let order = StageOrder { runner: &runner.id, stage, holder: &holder, fence, accepted };
        let call = self.dialect.change_stage(&order);
        let known_since = self.knowledge.now();
        duty.ordered.insert(runner.id.clone(), Ordered { stage, born: runner.born, known_since });
        duty.last_order = Some(known_since);
        let answer =
            self.exchanger.control_request(runner, call, Permit::Exempt, CALL_TIMEOUT).await;
        let (result, detail) = match answer {
            Ok((head, _)) if matches!(head.status, StatusCode::OK | StatusCode::ACCEPTED) => {
                self.pause_while_changing(runner);
                ("accepted", String::new())
            }
            Ok((head, _)) => ("refused", head.status.to_string()),
            // It may be carried out yet: the note stays until it must have been.
            Err(e) => ("unanswered", e.to_string()),
        };
        self.metrics.record_order(result);
        log::info!(
            "orders: stage runner={} to={stage} fence={fence} accepted_before={accepted} \
             result={result} detail=\"{detail}\"",
            runner.id,
        );
    }

    /// A runner takes no work while it changes.
    fn pause_while_changing(&self, runner: &Runner) {
        let Some(engine) = self.knowledge.engine(&runner.service) else { return };
        self.knowledge.with_runners(|known, now| {
            known.loads.pause(&runner.id, now.plus(engine.switch_time));
        });
    }
}
