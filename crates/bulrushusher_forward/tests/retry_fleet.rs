//! The retry budget of a fleet of gateways that are killed, stopped, added, removed and cut off from
//! the store: no window may hold more retries than the rule for all of them allows.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bulrushusher_forward::{GatewayAnnouncement, GatewayDirectory, GatewayDirectoryConfig};
use bulrushusher_routing::{RetryBudget, RetryConfig};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 100;
const TICKS: usize = 500;
/// Ticks of a window, including both ends.
const WINDOW: usize = 101;
const HALF: usize = 50;

/// Delays between the reads of the store's list, the last of which repeats.
const READS_MS: [u64; 4] = [0, 1_000, 3_000, 15_000];
const UNCERTAIN_READ_MS: u64 = 3_000;
/// Age up to which the store may answer a list from.
const MAX_LIST_AGE_TICKS: usize = 20;
const GONE_AFTER_MS: u64 = 60_000;

struct Process {
    name: Arc<str>,
    directory: GatewayDirectory,
    budget: RetryBudget,
    reads: usize,
    next_read: u64,
    /// The process is down until then.
    down_until: Option<u64>,
    cut_until: u64,
    seen_by_store: u64,
}

#[derive(Clone, Copy)]
struct Case {
    gateways: usize,
    per_request: f64,
    burst: f64,
    seed: u64,
    /// The fault to be detected: every start has the burst at once.
    has_burst_at_start: bool,
}

struct Fleet {
    case: Case,
    rng: ChaCha8Rng,
    cfg: RetryConfig,
    processes: Vec<Process>,
    /// Announcements in the store, by name.
    announced: BTreeMap<Arc<str>, GatewayAnnouncement>,
    /// The lists of the last ticks, for reads that are answered from an old one.
    history: VecDeque<Arc<Vec<GatewayAnnouncement>>>,
    revision: u64,
    names: usize,
    /// When all processes are killed.
    total_kills: Vec<u64>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(case: Case) -> Fleet {
        let mut fleet = Fleet {
            case,
            rng: ChaCha8Rng::seed_from_u64(case.seed),
            cfg: RetryConfig {
                per_request: case.per_request,
                burst: case.burst,
                ..RetryConfig::default()
            },
            processes: Vec::new(),
            announced: BTreeMap::new(),
            history: VecDeque::new(),
            revision: 0,
            names: 0,
            total_kills: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        (0..case.gateways).for_each(|_| fleet.add(20_000));
        fleet
    }

    fn add(&mut self, now: u64) {
        self.names += 1;
        let name: Arc<str> = format!("gateway-{}", self.names).into();
        let (directory, budget) = self.fresh(&name, now);
        self.processes.push(Process {
            name,
            directory,
            budget,
            reads: 0,
            next_read: now,
            down_until: None,
            cut_until: 0,
            seen_by_store: now,
        });
    }

    fn fresh(&self, name: &Arc<str>, now: u64) -> (GatewayDirectory, RetryBudget) {
        let started_at = if self.case.has_burst_at_start { 0 } else { now };
        let directory = GatewayDirectory::new(GatewayDirectoryConfig::default(), name.clone());
        (directory, RetryBudget::new(self.cfg.share(None), Millis(started_at)))
    }

    fn announce(&mut self, nth: usize, now: u64) {
        self.revision += 1;
        let name = self.processes[nth].name.clone();
        let address = ([127, 0, (self.names / 250) as u8, 1], 7_000).into();
        let revision = self.revision;
        let entry =
            GatewayAnnouncement { name: name.clone(), address, revision, data_centre: None };
        self.announced.insert(name, entry);
        self.processes[nth].directory.record_own_announcement(Millis(now));
    }

    /// Reads the list of announcements, which may be some seconds old.
    fn read(&mut self, nth: usize, now: u64) {
        let age = self.rng.random_range(0..=MAX_LIST_AGE_TICKS);
        let at = self.history.len().saturating_sub(age + 1);
        let mut listed = self.history.get(at).cloned().unwrap_or_default();
        let name = self.processes[nth].name.clone();
        if self.processes[nth].reads == 0 {
            match listed.iter().any(|it| it.name == name) {
                // The announcement of the previous start is old.
                true => self.processes[nth].directory.record_own_announcement(Millis(0)),
                false => self.announce(nth, now),
            }
            listed = Arc::new(self.announced.values().cloned().collect());
        }
        let process = &mut self.processes[nth];
        let diff = process.directory.apply_announcements(&listed, Millis(now));
        let wait = READS_MS[(process.reads + 1).min(READS_MS.len() - 1)];
        let is_certain = process.directory.known_gateways().certain_until.is_some();
        process.next_read = now + if is_certain { wait } else { wait.min(UNCERTAIN_READ_MS) };
        process.reads += 1;
        if diff.own_is_missing && process.reads > 3 {
            self.announce(nth, now);
        }
    }

    fn stop(&mut self, nth: usize, now: u64) {
        let down = self.rng.random_range(200..1_500);
        let process = &mut self.processes[nth];
        process.down_until = process.down_until.or(Some(now + down));
    }

    fn disturb(&mut self, now: u64) {
        let count = self.processes.len();
        let share = self.rng.random_range(0.0..1.0);
        match self.rng.random_range(0..240) {
            0 => self.total_kills = (0..5).map(|nth| now + TICK_MS * (1 + 24 * nth)).collect(),
            1..=4 => {
                for nth in 0..count {
                    if self.rng.random_bool(share) {
                        self.stop(nth, now);
                    }
                }
            }
            5 | 6 => {
                // A graceful stop withdraws the announcement.
                let nth = self.rng.random_range(0..count);
                let name = self.processes[nth].name.clone();
                self.announced.remove(&name);
                self.stop(nth, now);
            }
            7 => {
                let more = ((count as f64 * share / 4.0) as usize).max(1);
                (0..more).for_each(|_| self.add(now));
            }
            8 if count > 1 => {
                let nth = self.rng.random_range(0..count);
                self.processes.swap_remove(nth);
            }
            9 | 10 => {
                let until = now + self.rng.random_range(1_000..70_000);
                for nth in 0..count {
                    if self.rng.random_bool(share) {
                        self.processes[nth].cut_until = until;
                    }
                }
            }
            _ => {}
        }
    }

    /// Requests in this tick at one gateway: steady, or bursts with silence between them.
    fn requests_now(&mut self, tick: usize) -> u64 {
        let rate = match (self.case.seed % 3, tick % 137) {
            (0, _) => 1.0,
            (1, 0..10) => 6.0,
            (1, _) => 0.05,
            (_, at) => at as f64 / 60.0,
        };
        let mean = rate * (60.0 / self.case.gateways as f64).min(1.0);
        mean as u64 + u64::from(self.rng.random_bool(mean.fract()))
    }

    fn tick(&mut self, tick: usize) {
        let now = 20_000 + tick as u64 * TICK_MS;
        self.history.push_back(Arc::new(self.announced.values().cloned().collect()));
        if self.history.len() > MAX_LIST_AGE_TICKS + 1 {
            self.history.pop_front();
        }
        if self.total_kills.contains(&now) {
            (0..self.processes.len()).for_each(|nth| self.stop(nth, now));
        }
        self.disturb(now);
        let is_failing = tick % 97 > 20;
        let (mut requests, mut retries) = (0, 0);
        for nth in 0..self.processes.len() {
            if let Some(until) = self.processes[nth].down_until {
                if now < until {
                    continue;
                }
                let (directory, budget) = self.fresh(&self.processes[nth].name, now);
                let process = &mut self.processes[nth];
                (process.directory, process.budget) = (directory, budget);
                (process.reads, process.next_read, process.down_until) = (0, now, None);
            }
            if now >= self.processes[nth].cut_until {
                self.processes[nth].seen_by_store = now;
                if now >= self.processes[nth].next_read {
                    self.read(nth, now);
                }
            }
            let arrived = self.requests_now(tick);
            let cfg = self.cfg;
            let wants = is_failing && self.rng.random_bool(0.5);
            let process = &mut self.processes[nth];
            let sharers = process.directory.known_gateways().certain_count(Millis(now));
            process.budget.reconfigure(cfg.share(sharers));
            process.budget.advance(Millis(now));
            (0..arrived).for_each(|_| process.budget.earn());
            requests += arrived;
            while wants && process.budget.take() {
                retries += 1;
            }
        }
        let gone = |it: &Process| now - it.seen_by_store >= GONE_AFTER_MS;
        let gone: Vec<Arc<str>> =
            self.processes.iter().filter(|it| gone(it)).map(|it| it.name.clone()).collect();
        gone.iter().for_each(|name| drop(self.announced.remove(name)));
        self.requests.push(requests);
        self.retries.push(retries);
    }

    /// The most by which the retries of a window exceed what is allowed, and the total of retries.
    fn run(mut self) -> (f64, u64) {
        (0..TICKS).for_each(|tick| self.tick(tick));
        let sum = |counts: &[u64], end: usize| -> u64 {
            counts[end.saturating_sub(WINDOW - 1).min(end)..=end].iter().sum()
        };
        let with_retries = (0..TICKS).filter(|end| self.retries[*end] > 0);
        let excess = with_retries.map(|end| {
            let earlier = |by: usize| end.checked_sub(by).map_or(0, |it| sum(&self.requests, it));
            let requests = earlier(0).max(earlier(HALF)).max(earlier(2 * HALF));
            let allowed = self.cfg.per_request * requests as f64 + self.case.burst;
            sum(&self.retries, end) as f64 - allowed
        });
        (excess.fold(f64::MIN, f64::max), self.retries.iter().sum())
    }
}

/// A large number of gateways takes longer to simulate.
fn cases(gateways: usize) -> Vec<Case> {
    let seeds = if gateways >= 300 { 1 } else { 10 };
    let case = |seed, per_request, burst| Case {
        gateways,
        per_request,
        burst,
        seed,
        has_burst_at_start: false,
    };
    // Next to no retries for requests leaves only the bursts, which are spent to the last.
    (0..seeds)
        .flat_map(|seed| [case(seed, 0.2, 1.0), case(seed, 0.2, 82.0), case(seed, 0.001, 106.0)])
        .collect()
}

/// Guards against retries beyond the budget, over all starts of all gateways and whatever lists of
/// gateways they have.
#[test]
fn no_window_holds_more_retries_than_the_fleet_may_send() {
    for gateways in [1, 5, 21, 31, 300, 492] {
        let (mut most, mut retries) = (f64::MIN, 0);
        for case in cases(gateways) {
            let (excess, spent) = Fleet::new(case).run();
            assert!(
                excess <= 1e-6,
                "{gateways} gateways, burst {}, seed {}: {excess:.1} beyond",
                case.burst,
                case.seed
            );
            (most, retries) = (most.max(excess), retries + spent);
        }
        println!("{gateways} gateways: {retries} retries, closest window {most:.1}");
        assert!(retries > 0, "{gateways} gateways never retried");
    }
}

/// The check detects bursts that are spent again by each start.
#[test]
fn bursts_at_each_start_are_detected() {
    let exceeds = |case| Fleet::new(Case { has_burst_at_start: true, ..case }).run().0 > 0.0;
    assert!(cases(21).into_iter().any(exceeds));
}
