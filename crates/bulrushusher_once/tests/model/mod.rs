//! A simulation of agents, entries and messages around the decision types, for fuzzing.
//!
//! Messages may be lost or delayed, and their replies may be lost; agents and entries restart with
//! empty records; list changes reach each process at a different time; clocks differ by up to the
//! skew. The oracle only counts which attempt ran which key.

mod step;

pub use step::{Step, step};

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_once::{
    AgentBarReply, Ballot, ClaimReply, KeyRecords, ListView, OrderReply, Owner, RecordCoverage,
    RecordsConfig, RunStatus, ServiceList, SettleAction, SettleRequest, Settled, Settlement,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, EntryName, RequestKey};

pub const AGENTS: usize = 4;
pub const ENTRIES: usize = 3;
const SKEW: u64 = 50;
const HORIZON: u64 = 5_000;
const RESERVATION_TTL: u64 = 600;
const START: u64 = 1_000_000;
const MAX_KEYS: usize = 3;

struct Agent {
    records: KeyRecords,
    incarnation: u64,
    clock_offset: u64,
    reservations: BTreeMap<u64, Millis>,
    running: Vec<RequestKey>,
}

struct Entry {
    name: EntryName,
    incarnation: u64,
    /// Index of its present list.
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
    /// True until the sender times out.
    awaited: bool,
}

enum State {
    Settling(Box<Settlement>),
    /// Settled to run; has a reservation at the chosen executor.
    MayRun(Ballot),
    Ordered {
        agent: usize,
        reservation: u64,
        incarnation: u64,
    },
    AnsweredNotRun,
    /// Answered with a result or with "unknown", attached elsewhere, or lost by a restart of its
    /// entry.
    Ended,
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

/// The simulation. `violation` describes a violated guarantee.
pub struct World {
    now: Millis,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    lists: Vec<List>,
    keys: Vec<Key>,
    attempts: Vec<Attempt>,
    in_flight: Vec<Message>,
    runs: BTreeMap<usize, Vec<usize>>,
    next_id: u64,
    pub violation: Option<String>,
    /// Prints each step and its result.
    tracing: bool,
    /// How often each event of note happened, to verify that fuzzing covers it.
    pub event_counts: BTreeMap<&'static str, u64>,
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
            in_flight: Vec::new(),
            runs: BTreeMap::new(),
            next_id: 1,
            violation: None,
            tracing: std::env::var_os("BULRUSH_FUZZ_TRACE").is_some(),
            event_counts: BTreeMap::new(),
        };
        for n in 0..AGENTS {
            let clock_offset = (n as u64 * 17) % (SKEW + 1);
            let agent = world.new_agent(n, clock_offset);
            world.agents.push(agent);
        }
        for n in 0..ENTRIES {
            let name = EntryName::try_from(format!("e{n}")).expect("a valid name");
            world.entries.push(Entry { name, incarnation: 1, list: 0, learned: now });
        }
        world.advance(1_000);
        for n in 0..AGENTS {
            world.agent_gets_list(n, 0, false);
        }
        for n in 0..AGENTS {
            world.poll_peers(n);
        }
        world.advance(200);
        world
    }

    fn new_agent(&mut self, n: usize, clock_offset: u64) -> Agent {
        self.next_id += 1;
        let since = self.now.plus(Millis(clock_offset));
        let coverage = RecordCoverage { since, skew: Millis(SKEW), horizon: Millis(HORIZON) };
        let cfg = RecordsConfig { max_keys: 100, max_answer_bytes: 1_000, coverage };
        Agent {
            records: KeyRecords::new(agent_name(n), cfg),
            incarnation: self.next_id,
            clock_offset,
            reservations: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn trace(&self, text: impl FnOnce() -> String) {
        if self.tracing {
            println!("fuzz:    {}", text());
        }
    }

    fn count_event(&mut self, event: &'static str) {
        *self.event_counts.entry(event).or_default() += 1;
    }

    pub fn apply(&mut self, step: &Step) {
        if self.tracing {
            println!("fuzz: at {}: {step:?}", self.now);
        }
        match *step {
            Step::NewKey { skew, timeless, random } => self.new_key(skew, timeless, random),
            Step::Start { entry, key, executor } => self.start(entry, key, executor),
            Step::Deliver { message, answered } => self.deliver(message, answered),
            Step::Timeout { message } => self.time_out(message, false),
            Step::Drop { message } => self.time_out(message, true),
            Step::Proceed { attempt, executor } => self.proceed(attempt, executor),
            Step::CheckOutcome { attempt } => self.check_outcome(attempt),
            Step::RestartAgent { agent } => {
                let agent = agent % AGENTS;
                let offset = self.agents[agent].clock_offset;
                self.agents[agent] = self.new_agent(agent, offset);
            }
            Step::RestartEntry { entry } => self.restart_entry(entry % ENTRIES),
            Step::NewList { members } => self.new_list(members),
            Step::EntryGetsList { entry, skip } => self.entry_gets_list(entry % ENTRIES, skip),
            Step::AgentGetsList { agent, skip } => {
                let agent = agent % AGENTS;
                let held = self.agents[agent].records.revision() as usize;
                let next = if skip { self.lists.len() - 1 } else { held };
                if next < self.lists.len() {
                    self.agent_gets_list(agent, next, skip && next != held);
                }
            }
            Step::PollPeers { agent } => self.poll_peers(agent % AGENTS),
            Step::Finish { agent, whole } => self.finish(agent % AGENTS, whole),
            Step::Advance { ms } => self.advance(ms),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus(Millis(ms));
        let now = self.now;
        for agent in &mut self.agents {
            agent.reservations.retain(|_, made| now.since(*made).0 < RESERVATION_TTL);
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
        self.now.plus(Millis(self.agents[agent].clock_offset))
    }

    /// Revision of a list; 0 means no list.
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
        // A key without a time counts as new after its record has expired. Callers retry it only
        // within the horizon.
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
        let req = SettleRequest {
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
            true => Settlement::bar(req, view, Ballot::Home),
            false => Settlement::claim(req, view, agent_name(executor)),
        };
        let state = State::Settling(Box::new(settlement));
        self.attempts.push(Attempt { entry, key, executor, reservation, state });
        self.next_action(self.attempts.len() - 1);
    }

    fn reserve(&mut self, agent: usize) -> (u64, u64) {
        self.next_id += 1;
        self.agents[agent].reservations.insert(self.next_id, self.now);
        (self.next_id, self.agents[agent].incarnation)
    }

    fn index(name: &EndpointName) -> usize {
        name.as_str()[1..].parse().expect("a name of the simulation")
    }

    /// Carries out the next step of a settlement, or takes its result.
    fn next_action(&mut self, attempt: usize) {
        let State::Settling(settlement) = &self.attempts[attempt].state else { return };
        match settlement.action() {
            SettleAction::Claim { home, executor, revision } => {
                let body = Body::Claim { executor, revision };
                let agent = World::index(&home);
                self.in_flight.push(Message { attempt, agent, body, awaited: true });
            }
            SettleAction::Bar { agents, ballot, revision } => {
                for agent in agents {
                    let body = Body::Bar { ballot: ballot.clone(), revision };
                    let agent = World::index(&agent);
                    self.in_flight.push(Message { attempt, agent, body, awaited: true });
                }
            }
            SettleAction::Pause => {}
            SettleAction::Done(Settled::Run(ballot)) => {
                self.count_event(if ballot == Ballot::Home {
                    "settled by home"
                } else {
                    "settled by bar"
                });
                self.attempts[attempt].state = State::MayRun(ballot);
            }
            SettleAction::Done(Settled::Attach { .. }) => {
                self.count_event("attached");
                self.attempts[attempt].state = State::Ended;
            }
            SettleAction::Done(Settled::Failed(_)) => {
                self.count_event("not settled");
                self.attempts[attempt].state = State::Ended;
            }
        }
    }

    fn deliver(&mut self, message: usize, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let message = self.in_flight.remove(message % self.in_flight.len());
        let now = self.agent_now(message.agent);
        let key = self.keys[self.attempts[message.attempt].key].key.clone();
        let reply_arrives = answered && message.awaited;
        self.trace(|| format!("{message:?}"));
        match message.body.clone() {
            Body::Claim { executor, revision } => {
                let records = &mut self.agents[message.agent].records;
                let reply = records.claim(&key, &executor, revision, now);
                self.trace(|| format!("{reply:?}"));
                self.claim_replied(message.attempt, reply_arrives.then_some(reply));
            }
            Body::Bar { ballot, revision } => {
                let response = self.agents[message.agent].records.bar(&key, &ballot, revision, now);
                self.trace(|| format!("{response:?}"));
                let response = reply_arrives.then_some(response);
                if reply_arrives || message.awaited {
                    self.bar_replied(message.attempt, message.agent, &ballot, response);
                }
            }
            Body::Run { ballot, reservation, incarnation } => {
                let ran = self.run(&message, &key, &ballot, (reservation, incarnation));
                if reply_arrives && !ran {
                    self.attempts[message.attempt].state = State::AnsweredNotRun;
                } else if reply_arrives {
                    self.attempts[message.attempt].state = State::Ended;
                }
            }
        }
    }

    /// An order arrives; returns true if the key runs or has run at the agent.
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
        self.count_event("run");
        let key = self.attempts[attempt].key;
        let runs = self.runs.entry(key).or_default();
        runs.push(attempt);
        if runs.len() > 1 {
            self.violation = Some(format!("key {key} ran at attempts {runs:?}"));
        }
        if matches!(self.attempts[attempt].state, State::AnsweredNotRun) {
            self.violation =
                Some(format!("attempt {attempt} ran after it was answered \"not run\""));
        }
    }

    fn claim_replied(&mut self, attempt: usize, reply: Option<ClaimReply>) {
        let Some(reply) = reply else { return };
        if let State::Settling(settlement) = &mut self.attempts[attempt].state {
            settlement.record_claim_reply(Some(reply));
            self.next_action(attempt);
        }
    }

    fn bar_replied(
        &mut self,
        attempt: usize,
        agent: usize,
        ballot: &Ballot,
        response: Option<AgentBarReply>,
    ) {
        if let State::Settling(settlement) = &mut self.attempts[attempt].state {
            settlement.record_bar_reply(&agent_name(agent), ballot, response);
            if !matches!(settlement.action(), SettleAction::Bar { .. }) {
                self.next_action(attempt);
            }
        }
    }

    /// The sender of a message times out; if `lost`, the message never arrives.
    fn time_out(&mut self, message: usize, lost: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = message % self.in_flight.len();
        let was_awaited = std::mem::replace(&mut self.in_flight[at].awaited, false);
        let message = match lost {
            true => self.in_flight.remove(at),
            false => self.in_flight[at].clone(),
        };
        if !was_awaited {
            return;
        }
        match message.body {
            Body::Claim { .. } => {
                if let State::Settling(settlement) = &mut self.attempts[message.attempt].state {
                    settlement.record_claim_reply(None);
                    self.next_action(message.attempt);
                }
            }
            Body::Bar { ballot, .. } => {
                self.count_event("bar without a reply");
                self.bar_replied(message.attempt, message.agent, &ballot, None);
            }
            Body::Run { .. } => {}
        }
    }

    fn proceed(&mut self, attempt: usize, executor: usize) {
        if self.attempts.is_empty() {
            return;
        }
        // The latest attempts are the most likely to have a next step.
        let at = self.attempts.len() - 1 - attempt % self.attempts.len().min(6);
        let entry = self.attempts[at].entry;
        match &mut self.attempts[at].state {
            State::Settling(settlement) => {
                if settlement.action() == SettleAction::Pause {
                    let view = self.view(entry);
                    let State::Settling(settlement) = &mut self.attempts[at].state else { return };
                    settlement.next_round(view);
                    self.next_action(at);
                }
            }
            State::MayRun(ballot) => {
                let ballot = ballot.clone();
                self.order(at, ballot, executor);
            }
            State::Ordered { .. } | State::AnsweredNotRun | State::Ended => {}
        }
    }

    fn order(&mut self, attempt: usize, ballot: Ballot, executor: usize) {
        let mut agent = self.attempts[attempt].executor;
        let mut reserved = self.attempts[attempt].reservation;
        if ballot != Ballot::Home {
            // After a bar, a key may run at any one executor of the list; its home refuses it.
            let members = &self.lists[self.entries[self.attempts[attempt].entry].list].members;
            agent = members[executor % members.len()];
            reserved = self.reserve(agent);
        }
        let (reservation, incarnation) = reserved;
        let body = Body::Run { ballot, reservation, incarnation };
        self.in_flight.push(Message { attempt, agent, body, awaited: true });
        self.attempts[attempt].state = State::Ordered { agent, reservation, incarnation };
    }

    fn check_outcome(&mut self, attempt: usize) {
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
            Some(_) => State::Ended,
            None if agent.incarnation == incarnation => {
                agent.reservations.remove(&reservation);
                State::AnsweredNotRun
            }
            None => State::Ended,
        };
        self.count_event("outcome checked");
    }

    fn restart_entry(&mut self, entry: usize) {
        self.next_id += 1;
        self.entries[entry].incarnation = self.next_id;
        self.entries[entry].learned = self.now;
        for attempt in &mut self.attempts {
            if attempt.entry == entry && !matches!(attempt.state, State::AnsweredNotRun) {
                attempt.state = State::Ended;
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

    fn entry_gets_list(&mut self, entry: usize, skip: bool) {
        let held = self.entries[entry].list;
        let next = if skip { self.lists.len() - 1 } else { (held + 1).min(self.lists.len() - 1) };
        if next > held {
            self.entries[entry].list = next;
            self.entries[entry].learned = self.now;
        }
    }

    fn agent_gets_list(&mut self, agent: usize, list: usize, skipped: bool) {
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

    fn poll_peers(&mut self, agent: usize) {
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
                // Two such answers exceed the size limit, so that some are dropped.
                true => agent.records.finish(&key, 600),
                false => agent.records.end(&key, RunStatus::Cancelled),
            }
        }
    }
}
