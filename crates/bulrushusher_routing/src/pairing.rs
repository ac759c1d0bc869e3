//! Choice of the runners that serve a request.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{Endpoint, EndpointName, Role, ServiceName};
use derive_more::{Display, Error};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{LoadHint, Policy, PrefixConfig, PrefixIndex};

/// How runners are chosen.
#[derive(Clone, Copy, Debug)]
pub struct PairingConfig {
    /// The policy.
    pub policy: Policy,
    /// Number of randomly sampled runners that are compared per choice.
    pub choices: usize,
    /// Half-life of a load report, by which its weight decays with age.
    pub hint_half_life: Millis,
    /// A runner with the prefix cached is preferred while its load exceeds that of the least loaded
    /// candidate by at most this much, in requests per concurrency slot.
    pub affinity_slack: f64,
    /// Minimum number of cached blocks for which a runner is preferred.
    pub affinity_min_blocks: usize,
    /// Limits of the prefix index.
    pub prefix: PrefixConfig,
    /// Seed of the random sampling.
    pub seed: u64,
}

impl Default for PairingConfig {
    fn default() -> PairingConfig {
        PairingConfig {
            policy: Policy::Paired,
            choices: 4,
            hint_half_life: Millis(2_000),
            affinity_slack: 0.5,
            affinity_min_blocks: 1,
            prefix: PrefixConfig::default(),
            seed: 1,
        }
    }
}

/// A prompt that needs a prefill and a decode runner.
#[derive(Clone, Debug)]
pub struct PromptRequest<'a> {
    /// The service, that is, the pool of the model.
    pub service: &'a ServiceName,
    /// Chained hashes of the prompt's complete blocks.
    pub blocks: &'a [u64],
    /// Endpoints that must not be chosen: the key's home, and those that have just refused.
    pub excluded: &'a [EndpointName],
}

/// A plain service call that needs a runner.
#[derive(Clone, Debug)]
pub struct ServiceRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointName],
}

/// A chosen runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The runner.
    pub endpoint: Endpoint,
    /// The runner's index in the table, for [`PairingTable::record_sent`] and
    /// [`PairingTable::record_done`].
    pub slot: usize,
}

/// The two runners that serve a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pairing {
    /// The runner that computes the prompt.
    pub prefill: Chosen,
    /// The runner that generates the tokens.
    pub decode: Chosen,
}

/// Why no runner was chosen. The request was not run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NotPlaced {
    /// The service has no endpoint of that role.
    #[display("service {service} has no endpoint; configure one, the request was not run")]
    UnknownService {
        /// The service.
        service: ServiceName,
    },
    /// Every endpoint of that role is leaving or excluded.
    #[display("no {role} endpoint of {service} is available; retry later, the request was not run")]
    NoneAvailable {
        /// The service.
        service: ServiceName,
        /// The role.
        role: Role,
    },
}

#[derive(Debug)]
struct Slot {
    endpoint: Endpoint,
    hint: LoadHint,
    listed: bool,
    last_sent: Millis,
}

/// The configured endpoints with their load estimates, from which runners are chosen.
///
/// ```
/// use bulrushusher_routing::{PairingConfig, PairingTable, ServiceRequest};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{Endpoint, RawEndpoint, ServiceName};
/// let raw = RawEndpoint {
///     name: "pass-1".into(), service: "pass-desk".into(), role: "service".into(),
///     data_centre: "chag".into(), control: "127.0.0.1:1".into(), stream: "127.0.0.1:2".into(),
///     ..RawEndpoint::default()
/// };
/// let mut table = PairingTable::new(PairingConfig::default());
/// table.set_endpoints(vec![Endpoint::try_from(raw).unwrap()]);
/// let service = ServiceName::try_from("pass-desk").unwrap();
/// let req = ServiceRequest { service: &service, excluded: &[] };
/// assert_eq!(table.choose_service(&req, Millis(0)).unwrap().endpoint.name.as_str(), "pass-1");
/// ```
#[derive(Debug)]
pub struct PairingTable {
    cfg: PairingConfig,
    slots: Vec<Slot>,
    by_name: HashMap<EndpointName, usize>,
    pools: HashMap<(ServiceName, Role), Vec<usize>>,
    round_robin_turns: HashMap<(ServiceName, Role), usize>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
}

impl PairingTable {
    /// A table without endpoints.
    pub fn new(cfg: PairingConfig) -> PairingTable {
        PairingTable {
            cfg,
            slots: Vec::new(),
            by_name: HashMap::new(),
            pools: HashMap::new(),
            round_robin_turns: HashMap::new(),
            prefixes: PrefixIndex::new(cfg.prefix),
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        }
    }

    /// Replaces the configured endpoints. Endpoints that stay keep their load hints.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        for slot in &mut self.slots {
            slot.listed = false;
        }
        for endpoint in endpoints {
            match self.by_name.get(&endpoint.name) {
                Some(slot) => {
                    self.slots[*slot].endpoint = endpoint;
                    self.slots[*slot].listed = true;
                }
                None => {
                    self.by_name.insert(endpoint.name.clone(), self.slots.len());
                    let hint = LoadHint::default();
                    let last_sent = Millis(0);
                    self.slots.push(Slot { endpoint, hint, listed: true, last_sent });
                }
            }
        }
        self.rebuild_pools();
    }

    /// True if the service has an endpoint of that role, leaving or not.
    pub fn has_endpoint(&self, service: &ServiceName, role: Role) -> bool {
        let matches = |slot: &Slot| slot.endpoint.service == *service && slot.endpoint.role == role;
        self.slots.iter().any(|slot| slot.listed && matches(slot))
    }

    /// Every configured endpoint, with its load hint.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Endpoint, &LoadHint)> {
        let listed = self.slots.iter().filter(|slot| slot.listed);
        listed.map(|slot| (&slot.endpoint, &slot.hint))
    }

    /// Chooses both runners for a prompt.
    ///
    /// # Errors
    /// [`NotPlaced`] if a pool has no endpoint, or none that may be chosen.
    pub fn choose(&mut self, req: &PromptRequest, now: Millis) -> Result<Pairing, NotPlaced> {
        let prefill = self.choose_prefill(req, now)?;
        let decode = self.choose_decode(req, now)?;
        Ok(Pairing { prefill, decode })
    }

    /// Chooses the runner that computes a prompt.
    ///
    /// # Errors
    /// As [`PairingTable::choose`].
    pub fn choose_prefill(
        &mut self,
        req: &PromptRequest,
        now: Millis,
    ) -> Result<Chosen, NotPlaced> {
        let best = self.pick(req.service, Role::Prefill, req.excluded, now)?;
        let at = match self.cfg.policy {
            Policy::RoundRobin | Policy::LeastLoaded => best,
            Policy::PrefillFirst | Policy::Paired => self.with_affinity(req, best, now),
        };
        Ok(self.chosen(at))
    }

    /// Chooses the runner that generates the tokens.
    ///
    /// # Errors
    /// As [`PairingTable::choose`].
    pub fn choose_decode(&mut self, req: &PromptRequest, now: Millis) -> Result<Chosen, NotPlaced> {
        let at = self.pick(req.service, Role::Decode, req.excluded, now)?;
        Ok(self.chosen(at))
    }

    /// Chooses the runner for a plain service call.
    ///
    /// # Errors
    /// As [`PairingTable::choose`].
    pub fn choose_service(
        &mut self,
        req: &ServiceRequest,
        now: Millis,
    ) -> Result<Chosen, NotPlaced> {
        let at = self.pick(req.service, Role::Service, req.excluded, now)?;
        Ok(self.chosen(at))
    }

    /// Stores a runner's load report. The fields `own_in_flight`, `own_since_report` and
    /// `engine_load` of `hint` are ignored.
    pub fn update_load(&mut self, endpoint: &EndpointName, hint: LoadHint) {
        let Some(at) = self.by_name.get(endpoint) else { return };
        let stored = &mut self.slots[*at].hint;
        *stored = LoadHint {
            own_in_flight: stored.own_in_flight,
            own_since_report: 0,
            engine_load: stored.engine_load,
            ..hint
        };
    }

    /// Stores the load by the metrics of a runner's engine: running and waiting requests.
    pub fn update_engine_load(&mut self, endpoint: &EndpointName, engine_load: u32) {
        if let Some(at) = self.by_name.get(endpoint) {
            self.slots[*at].hint.engine_load = engine_load;
        }
    }

    /// True if a request was sent to the runner in the last 10 s, or is in flight there.
    pub fn recently_used(&self, endpoint: &EndpointName, now: Millis) -> bool {
        const RECENT: Millis = Millis(10_000);
        let slot = self.by_name.get(endpoint).map(|at| &self.slots[*at]);
        slot.is_some_and(|slot| slot.hint.own_in_flight > 0 || now.since(slot.last_sent) < RECENT)
    }

    /// Records that a request was sent to a chosen runner.
    pub fn record_sent(&mut self, chosen: &Chosen, now: Millis) {
        self.slots[chosen.slot].last_sent = now;
        let hint = &mut self.slots[chosen.slot].hint;
        hint.own_in_flight += 1;
        hint.own_since_report += 1;
    }

    /// Records that a request sent to a chosen runner has ended there.
    pub fn record_done(&mut self, chosen: &Chosen) {
        let hint = &mut self.slots[chosen.slot].hint;
        hint.own_in_flight = hint.own_in_flight.saturating_sub(1);
        hint.own_since_report = hint.own_since_report.saturating_sub(1);
    }

    /// Records that a runner computed a prompt's blocks, which are now in its prefix cache.
    pub fn record_prefill(&mut self, chosen: &Chosen, blocks: &[u64]) {
        self.prefixes.insert(blocks, chosen.slot);
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for (at, slot) in self.slots.iter().enumerate() {
            if slot.listed && !slot.endpoint.leaving {
                let pool = (slot.endpoint.service.clone(), slot.endpoint.role);
                self.pools.entry(pool).or_default().push(at);
            }
        }
    }

    fn chosen(&self, at: usize) -> Chosen {
        Chosen { endpoint: self.slots[at].endpoint.clone(), slot: at }
    }

    fn pick(
        &mut self,
        service: &ServiceName,
        role: Role,
        excluded: &[EndpointName],
        now: Millis,
    ) -> Result<usize, NotPlaced> {
        let key = (service.clone(), role);
        let pool = match self.pools.get(&key) {
            Some(pool) => pool,
            None if self.has_endpoint(service, role) => &Vec::new(),
            None => return Err(NotPlaced::UnknownService { service: service.clone() }),
        };
        let allowed = |at: &usize| !excluded.contains(&self.slots[*at].endpoint.name);
        let none = NotPlaced::NoneAvailable { service: service.clone(), role };
        if !pool.iter().any(allowed) {
            return Err(none);
        }
        let picked = match self.cfg.policy {
            Policy::RoundRobin => {
                let turn = self.round_robin_turns.entry(key).or_default();
                let order = (0..pool.len()).map(|step| pool[(*turn + step) % pool.len()]);
                let picked = order.into_iter().find(allowed);
                *turn += 1;
                picked
            }
            Policy::LeastLoaded => {
                let load = |at: &usize| self.slots[*at].hint.engine_load;
                pool.iter().copied().filter(allowed).min_by_key(load)
            }
            Policy::PrefillFirst | Policy::Paired => {
                let utilization =
                    |at: usize| self.slots[at].hint.utilization(now, self.cfg.hint_half_life);
                sample_pool(pool, self.cfg.choices, &mut self.rng)
                    .filter(allowed)
                    .map(|at| (utilization(at), at))
                    .min_by(|a, b| a.0.total_cmp(&b.0))
                    .map(|(_, at)| at)
                    .or_else(|| pool.iter().copied().find(allowed))
            }
        };
        picked.ok_or(none)
    }

    /// The runner that has the prompt's prefix cached, unless its load exceeds that of `best` by
    /// more than [`PairingConfig::affinity_slack`].
    fn with_affinity(&self, req: &PromptRequest, best: usize, now: Millis) -> usize {
        let Some((at, length)) = self.prefixes.find(req.blocks) else { return best };
        let slot = &self.slots[at];
        let usable = slot.listed
            && !slot.endpoint.leaving
            && slot.endpoint.role == Role::Prefill
            && slot.endpoint.service == *req.service
            && !req.excluded.contains(&slot.endpoint.name);
        if !usable || length < self.cfg.affinity_min_blocks {
            return best;
        }
        let utilization = |at: usize| self.slots[at].hint.utilization(now, self.cfg.hint_half_life);
        let allowed = utilization(best) + self.cfg.affinity_slack;
        if utilization(at) <= allowed { at } else { best }
    }
}

/// Up to `choices` distinct members of a pool, visited from a random start with a random stride. A
/// stride that shares a factor with the length of the pool may yield fewer.
fn sample_pool(
    pool: &[usize],
    choices: usize,
    rng: &mut ChaCha8Rng,
) -> impl Iterator<Item = usize> {
    let len = pool.len();
    let count = choices.max(1).min(len);
    let start = rng.random_range(0..len);
    let stride = if len > 1 { rng.random_range(1..len) } else { 1 };
    let mut seen: Vec<usize> = Vec::with_capacity(count);
    for step in 0..count {
        let at = pool[(start + step * stride) % len];
        if !seen.contains(&at) {
            seen.push(at);
        }
    }
    seen.into_iter()
}
