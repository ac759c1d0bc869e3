//! A small world of agents, entries and messages around the decision types, for fuzzing.
//!
//! Messages may be lost, late, or answered in vain; agents and entries restart with empty memory;
//! lists change and reach everyone at their own time; clocks differ by up to the skew. The oracle
//! only counts which attempt ran which key.

mod step;

pub use step::{Step, step};

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_once::{
    Ballot, BarResponse, ClaimReply, KeyRecords, ListView, OrderReply, Owner, RecordCoverage,
    RecordsConfig, RunStatus, ServiceList, SettleAction, SettleRequest, Settled, Settlement,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, EntryName, RequestKey};

pub const AGENTS: usize = 4;
pub const ENTRIES: usize = 3;
const SKEW: u64 = 50;
const HORIZON: u64 = 5_000;
const RESERVATION_LIFE: u64 = 600;
const START: u64 = 1_000_000;
const MAX_KEYS: usize = 3;

struct Agent {
    records: KeyRecords,
    incarnation: u64,
    clock_ahead: u64,
    reservations: BTreeMap<u64, Millis>,
    running: Vec<RequestKey>,
}

struct Entry {
    name: EntryName,
    incarnation: u64,
    /// Index of the list held.
    list: usize,
    learned: Millis,
}

#[derive(Clone, Debug)]
enum Body {
    Claim { executor: EndpointName, revision: u64 },
    Bar { ballot: Ballot, revision: u64 },
    Run { ballot: Ballot, reservation: u64, incarnation: u64 },
}

#[derive(Clone, Debug)]
struct Message {
    attempt: usize,
    agent: usize,
    body: Body,
    awaited: bool,
}

enum State {
    Settling(Box<Settlement>),
    /// Settled to run; holds a place at the executor asked for.
    MayRun(Ballot),
    Ordered {
        agent: usize,
        reservation: u64,
        incarnation: u64,
    },
    ToldNotRun,
    /// Answered, told "unknown", attached elsewhere, or its entry died.
    Over,
}

struct Attempt {
    entry: usize,
    key: usize,
    executor: usize,
    reservation: (u64, u64),
    state: State,
}

struct Key {
    key: RequestKey,
    born: Millis,
    timeless: bool,
}

struct List {
    members: Vec<usize>,
    made: Millis,
}

/// The world. `violation` is the first broken promise.
pub struct World {
    now: Millis,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    lists: Vec<List>,
    keys: Vec<Key>,
    attempts: Vec<Attempt>,
    net: Vec<Message>,
    runs: BTreeMap<usize, Vec<usize>>,
    next: u64,
    pub violation: Option<String>,
    /// Prints each step and what came of it.
    tracing: bool,
    /// How often something of note happened, to see that the fuzzing reaches it.
    pub seen: BTreeMap<&'static str, u64>,
}

fn agent_name(n: usize) -> EndpointName {
    EndpointName::try_from(format!("d{n}")).expect("a valid name")
}

impl World {
    pub fn new() -> World {
        let now = Millis(START);
        let mut world = World {
            now,
            agents: Vec::new(),
            entries: Vec::new(),
            lists: vec![List { members: (0..AGENTS).collect(), made: now }],
            keys: Vec::new(),
            attempts: Vec::new(),
            net: Vec::new(),
            runs: BTreeMap::new(),
            next: 1,
            violation: None,
            tracing: std::env::var_os("BULRUSH_FUZZ_TRACE").is_some(),
            seen: BTreeMap::new(),
        };
        for n in 0..AGENTS {
            let clock_ahead = (n as u64 * 17) % (SKEW + 1);
            let agent = world.fresh_agent(n, clock_ahead);
            world.agents.push(agent);
        }
        for n in 0..ENTRIES {
            let name = EntryName::try_from(format!("e{n}")).expect("a valid name");
            world.entries.push(Entry { name, incarnation: 1, list: 0, learned: now });
        }
        world.pass(1_000);
        for n in 0..AGENTS {
            world.agent_learns(n, 0, false);
        }
        for n in 0..AGENTS {
            world.ask_peers(n);
        }
        world.pass(200);
        world
    }

    fn fresh_agent(&mut self, n: usize, clock_ahead: u64) -> Agent {
        self.next += 1;
        let since = self.now.plus(Millis(clock_ahead));
        let coverage = RecordCoverage { since, skew: Millis(SKEW), horizon: Millis(HORIZON) };
        let cfg = RecordsConfig { max_keys: 100, max_answer_bytes: 1_000, coverage };
        Agent {
            records: KeyRecords::new(agent_name(n), cfg),
            incarnation: self.next,
            clock_ahead,
            reservations: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn trace(&self, what: impl FnOnce() -> String) {
        if self.tracing {
            println!("fuzz:    {}", what());
        }
    }

    fn note(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    pub fn apply(&mut self, step: &Step) {
        if self.tracing {
            println!("fuzz: at {}: {step:?}", self.now);
        }
        match *step {
            Step::NewKey { skew, timeless, random } => self.new_key(skew, timeless, random),
            Step::Start { entry, key, executor } => self.start(entry, key, executor),
            Step::Deliver { message, answered } => self.deliver(message, answered),
            Step::GiveUp { message } => self.give_up(message, false),
            Step::Drop { message } => self.give_up(message, true),
            Step::GoOn { attempt, executor } => self.go_on(attempt, executor),
            Step::FindOut { attempt } => self.find_out(attempt),
            Step::RestartAgent { agent } => {
                let agent = agent % AGENTS;
                let ahead = self.agents[agent].clock_ahead;
                self.agents[agent] = self.fresh_agent(agent, ahead);
            }
            Step::RestartEntry { entry } => self.restart_entry(entry % ENTRIES),
            Step::NewList { members } => self.new_list(members),
            Step::EntryLearns { entry, skip } => self.entry_learns(entry % ENTRIES, skip),
            Step::AgentLearns { agent, skip } => {
                let agent = agent % AGENTS;
                let held = self.agents[agent].records.revision() as usize;
                let next = if skip { self.lists.len() - 1 } else { held };
                if next < self.lists.len() {
                    self.agent_learns(agent, next, skip && next != held);
                }
            }
            Step::AskPeers { agent } => self.ask_peers(agent % AGENTS),
            Step::Finish { agent, whole } => self.finish(agent % AGENTS, whole),
            Step::Pass { ms } => self.pass(ms),
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.plus(Millis(ms));
        let now = self.now;
        for agent in &mut self.agents {
            agent.reservations.retain(|_, made| now.since(*made).0 < RESERVATION_LIFE);
        }
    }

    fn new_key(&mut self, skew: u64, timeless: bool, random: u64) {
        if self.keys.len() >= MAX_KEYS {
            return;
        }
        let mut tail = [0; 10];
        tail[..8].copy_from_slice(&random.to_be_bytes());
        let time = self.now.0 + skew - SKEW;
        let text = match timeless {
            true => format!("order-{random}-{}", self.keys.len()),
            false => uuid::Builder::from_unix_timestamp_millis(time, &tail).into_uuid().to_string(),
        };
        let key = RequestKey::try_from(text).expect("a valid key");
        self.keys.push(Key { key, born: self.now, timeless });
    }

    fn agent_now(&self, agent: usize) -> Millis {
        self.now.plus(Millis(self.agents[agent].clock_ahead))
    }

    /// Revision of a list; 0 is "none".
    fn revision(list: usize) -> u64 {
        list as u64 + 1
    }

    fn departed(&self, list: usize) -> Vec<EndpointName> {
        let members = &self.lists[list].members;
        let mut gone = BTreeSet::new();
        for (earlier, held) in self.lists[..list].iter().enumerate() {
            let replaced = self.lists[earlier + 1].made;
            if self.now.since(replaced).0 <= HORIZON + 2 * SKEW {
                gone.extend(held.members.iter().filter(|member| !members.contains(member)));
            }
        }
        gone.into_iter().map(agent_name).collect()
    }

    fn view(&self, entry: usize) -> ListView {
        let held = &self.entries[entry];
        ListView {
            revision: World::revision(held.list),
            executors: self.lists[held.list].members.iter().map(|n| agent_name(*n)).collect(),
            departed: self.departed(held.list),
            learned: held.learned,
        }
    }

    fn start(&mut self, entry: usize, key: usize, executor: usize) {
        if self.keys.is_empty() {
            return;
        }
        let (entry, key) = (entry % ENTRIES, key % self.keys.len());
        // Keys without a time are new again after the horizon; callers retry within it.
        if self.keys[key].timeless && self.now.since(self.keys[key].born).0 > HORIZON - 1_000 {
            return;
        }
        let view = self.view(entry);
        let name = self.keys[key].key.clone();
        let home = view.home(&name).cloned();
        let mut members = self.lists[self.entries[entry].list].members.clone();
        members.retain(|member| Some(&agent_name(*member)) != home.as_ref());
        let executor = members[executor % members.len()];
        let reservation = self.reserve(executor);
        let now = self.agent_now(executor);
        let in_doubt = self.agents[executor].records.is_in_doubt(&name, now);
        let ask = SettleRequest {
            key: name,
            idempotent: false,
            owner: Owner {
                entry: self.entries[entry].name.clone(),
                incarnation: self.entries[entry].incarnation,
                attempt: self.attempts.len() as u64,
            },
            skew: Millis(SKEW),
        };
        let settlement = match in_doubt {
            true => Settlement::bar(ask, view, Ballot::Home),
            false => Settlement::claim(ask, view, agent_name(executor)),
        };
        let state = State::Settling(Box::new(settlement));
        self.attempts.push(Attempt { entry, key, executor, reservation, state });
        self.ask(self.attempts.len() - 1);
    }

    fn reserve(&mut self, agent: usize) -> (u64, u64) {
        self.next += 1;
        self.agents[agent].reservations.insert(self.next, self.now);
        (self.next, self.agents[agent].incarnation)
    }

    fn index(name: &EndpointName) -> usize {
        name.as_str()[1..].parse().expect("a name made here")
    }

    /// Sends what a settlement asks for, or takes its result.
    fn ask(&mut self, attempt: usize) {
        let State::Settling(settlement) = &self.attempts[attempt].state else { return };
        match settlement.action() {
            SettleAction::Claim { home, executor, revision } => {
                let body = Body::Claim { executor, revision };
                let agent = World::index(&home);
                self.net.push(Message { attempt, agent, body, awaited: true });
            }
            SettleAction::Bar { agents, ballot, revision } => {
                for agent in agents {
                    let body = Body::Bar { ballot: ballot.clone(), revision };
                    let agent = World::index(&agent);
                    self.net.push(Message { attempt, agent, body, awaited: true });
                }
            }
            SettleAction::Pause => {}
            SettleAction::Done(Settled::Run(ballot)) => {
                self.note(if ballot == Ballot::Home {
                    "settled by home"
                } else {
                    "settled by bar"
                });
                self.attempts[attempt].state = State::MayRun(ballot);
            }
            SettleAction::Done(Settled::Attach { .. }) => {
                self.note("attached");
                self.attempts[attempt].state = State::Over;
            }
            SettleAction::Done(Settled::Failed(_)) => {
                self.note("not settled");
                self.attempts[attempt].state = State::Over;
            }
        }
    }

    fn deliver(&mut self, message: usize, answered: bool) {
        if self.net.is_empty() {
            return;
        }
        let message = self.net.remove(message % self.net.len());
        let now = self.agent_now(message.agent);
        let key = self.keys[self.attempts[message.attempt].key].key.clone();
        let heard = answered && message.awaited;
        self.trace(|| format!("{message:?}"));
        match message.body.clone() {
            Body::Claim { executor, revision } => {
                let records = &mut self.agents[message.agent].records;
                let reply = records.claim(&key, &executor, revision, now);
                self.trace(|| format!("{reply:?}"));
                self.claimed(message.attempt, heard.then_some(reply));
            }
            Body::Bar { ballot, revision } => {
                let heard_of = self.agents[message.agent].records.bar(&key, &ballot, revision, now);
                self.trace(|| format!("{heard_of:?}"));
                let answer = heard.then_some(heard_of);
                if heard || message.awaited {
                    self.heard(message.attempt, message.agent, &ballot, answer);
                }
            }
            Body::Run { ballot, reservation, incarnation } => {
                let ran = self.run(&message, &key, &ballot, (reservation, incarnation));
                if heard && !ran {
                    self.attempts[message.attempt].state = State::ToldNotRun;
                } else if heard {
                    self.attempts[message.attempt].state = State::Over;
                }
            }
        }
    }

    /// An order arrives; true when it runs, or ran here before.
    fn run(
        &mut self,
        message: &Message,
        key: &RequestKey,
        ballot: &Ballot,
        (reservation, incarnation): (u64, u64),
    ) -> bool {
        let now = self.agent_now(message.agent);
        let agent = &mut self.agents[message.agent];
        if incarnation != agent.incarnation || agent.reservations.remove(&reservation).is_none() {
            return false;
        }
        match agent.records.order(key, true, ballot, now) {
            OrderReply::Run => {
                agent.running.push(key.clone());
                self.count_run(message.attempt);
                true
            }
            OrderReply::AlreadyRan(_) => true,
            OrderReply::Barred(_)
            | OrderReply::InDoubt
            | OrderReply::TooOld
            | OrderReply::TableFull => false,
        }
    }

    fn count_run(&mut self, attempt: usize) {
        self.note("run");
        let key = self.attempts[attempt].key;
        let runs = self.runs.entry(key).or_default();
        runs.push(attempt);
        if runs.len() > 1 {
            self.violation = Some(format!("key {key} ran at attempts {runs:?}"));
        }
        if matches!(self.attempts[attempt].state, State::ToldNotRun) {
            self.violation = Some(format!("attempt {attempt} ran after it was told \"not run\""));
        }
    }

    fn claimed(&mut self, attempt: usize, reply: Option<ClaimReply>) {
        let Some(reply) = reply else { return };
        if let State::Settling(settlement) = &mut self.attempts[attempt].state {
            settlement.record_claim_reply(Some(reply));
            self.ask(attempt);
        }
    }

    fn heard(&mut self, attempt: usize, agent: usize, ballot: &Ballot, heard: Option<BarResponse>) {
        if let State::Settling(settlement) = &mut self.attempts[attempt].state {
            settlement.record_bar_reply(&agent_name(agent), ballot, heard);
            if !matches!(settlement.action(), SettleAction::Bar { .. }) {
                self.ask(attempt);
            }
        }
    }

    /// The sender stops waiting; `lost` when the message never arrives.
    fn give_up(&mut self, message: usize, lost: bool) {
        if self.net.is_empty() {
            return;
        }
        let at = message % self.net.len();
        let was_awaited = std::mem::replace(&mut self.net[at].awaited, false);
        let message = match lost {
            true => self.net.remove(at),
            false => self.net[at].clone(),
        };
        if !was_awaited {
            return;
        }
        match message.body {
            Body::Claim { .. } => {
                if let State::Settling(settlement) = &mut self.attempts[message.attempt].state {
                    settlement.record_claim_reply(None);
                    self.ask(message.attempt);
                }
            }
            Body::Bar { ballot, .. } => {
                self.note("bar without an answer");
                self.heard(message.attempt, message.agent, &ballot, None);
            }
            Body::Run { .. } => {}
        }
    }

    fn go_on(&mut self, attempt: usize, executor: usize) {
        if self.attempts.is_empty() {
            return;
        }
        // The latest attempts are the likeliest to have something to go on with.
        let at = self.attempts.len() - 1 - attempt % self.attempts.len().min(6);
        let entry = self.attempts[at].entry;
        match &mut self.attempts[at].state {
            State::Settling(settlement) => {
                if settlement.action() == SettleAction::Pause {
                    let view = self.view(entry);
                    let State::Settling(settlement) = &mut self.attempts[at].state else { return };
                    settlement.next_round(view);
                    self.ask(at);
                }
            }
            State::MayRun(ballot) => {
                let ballot = ballot.clone();
                self.order(at, ballot, executor);
            }
            State::Ordered { .. } | State::ToldNotRun | State::Over => {}
        }
    }

    fn order(&mut self, attempt: usize, ballot: Ballot, executor: usize) {
        let mut agent = self.attempts[attempt].executor;
        let mut reserved = self.attempts[attempt].reservation;
        if ballot != Ballot::Home {
            // A barred key may run at any one executor of the list; its home never takes it.
            let members = &self.lists[self.entries[self.attempts[attempt].entry].list].members;
            agent = members[executor % members.len()];
            reserved = self.reserve(agent);
        }
        let (reservation, incarnation) = reserved;
        let body = Body::Run { ballot, reservation, incarnation };
        self.net.push(Message { attempt, agent, body, awaited: true });
        self.attempts[attempt].state = State::Ordered { agent, reservation, incarnation };
    }

    fn find_out(&mut self, attempt: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let at = attempt % self.attempts.len();
        let State::Ordered { agent, reservation, incarnation } = self.attempts[at].state else {
            return;
        };
        let key = self.keys[self.attempts[at].key].key.clone();
        let agent = &mut self.agents[agent];
        self.attempts[at].state = match agent.records.run_status(&key) {
            Some(_) => State::Over,
            None if agent.incarnation == incarnation => {
                agent.reservations.remove(&reservation);
                State::ToldNotRun
            }
            None => State::Over,
        };
        self.note("found out");
    }

    fn restart_entry(&mut self, entry: usize) {
        self.next += 1;
        self.entries[entry].incarnation = self.next;
        self.entries[entry].learned = self.now;
        for attempt in &mut self.attempts {
            if attempt.entry == entry && !matches!(attempt.state, State::ToldNotRun) {
                attempt.state = State::Over;
            }
        }
    }

    fn new_list(&mut self, members: usize) {
        let mask = members % (1 << AGENTS);
        let members: Vec<usize> = (0..AGENTS).filter(|n| mask & (1 << n) != 0).collect();
        if members.len() > 1 {
            self.lists.push(List { members, made: self.now });
        }
    }

    fn entry_learns(&mut self, entry: usize, skip: bool) {
        let held = self.entries[entry].list;
        let next = if skip { self.lists.len() - 1 } else { (held + 1).min(self.lists.len() - 1) };
        if next > held {
            self.entries[entry].list = next;
            self.entries[entry].learned = self.now;
        }
    }

    fn agent_learns(&mut self, agent: usize, list: usize, skipped: bool) {
        let previous = if skipped || list == 0 { 0 } else { World::revision(list - 1) };
        let list = ServiceList {
            revision: World::revision(list),
            previous,
            executors: self.lists[list].members.iter().map(|n| agent_name(*n)).collect(),
            departed: self.departed(list),
        };
        let now = self.agent_now(agent);
        self.agents[agent].records.set_list(list, now);
    }

    fn ask_peers(&mut self, agent: usize) {
        for peer in self.agents[agent].records.pending_acks() {
            let revision = self.agents[World::index(&peer)].records.revision();
            let now = self.agent_now(agent);
            self.agents[agent].records.record_ack(&peer, revision, now);
        }
    }

    fn finish(&mut self, agent: usize, whole: bool) {
        let agent = &mut self.agents[agent];
        if let Some(key) = agent.running.pop() {
            match whole {
                // Larger than the bound on answers, so that some are dropped.
                true => agent.records.finish(&key, 600),
                false => agent.records.end(&key, RunStatus::Cancelled),
            }
        }
    }
}
