//! One account floods the wait queue: who is served, in arrival order and with fair queueing over
//! accounts.
//!
//! Memory becomes free at a steady rate at one gateway, and every request that waits too long is
//! refused, as generations are. The order does not change how many requests are served.

use std::collections::BTreeMap;

use bulrushusher_forward::{AccountCost, QueueOrder, QueueRank, WaitQueue, WaitQueueConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time in ms after which memory for one more request becomes free.
const FREE_INTERVAL: u64 = 40;

/// How long a request waits before it is refused, in ms: half of a target of 900 ms.
const PATIENCE: u64 = 450;

/// Simulated time, in ms.
const LENGTH: u64 = 60_000;

/// Requests per second of each account; 25 per second can be served.
const DEMAND: [(&str, f64); 4] = [("flood", 75.0), ("b", 3.0), ("c", 2.0), ("d", 1.0)];

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    arrived: f64,
    served: f64,
}

impl Served {
    fn share(self) -> f64 {
        self.served / self.arrived
    }
}

fn simulate(order: QueueOrder, flood_cost: u64) -> BTreeMap<&'static str, Served> {
    let mut queue =
        WaitQueue::new(WaitQueueConfig { order, concurrency: 1, ..WaitQueueConfig::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut waiting: Vec<(QueueRank, &'static str)> = Vec::new();
    let mut accounts: BTreeMap<&'static str, Served> = BTreeMap::new();
    for now in 0..LENGTH {
        for (name, per_second) in DEMAND {
            if rng.random::<f64>() < per_second / 1_000.0 {
                let account = ClientAccountName::try_from(name).expect("valid account name");
                let cost = if name == "flood" { flood_cost } else { 3_000 };
                let request = AccountCost { account: Some(&account), cost };
                waiting.push((queue.join(false, 1, request, Millis(now)), name));
                accounts.entry(name).or_default().arrived += 1.0;
            }
        }
        if now.is_multiple_of(FREE_INTERVAL) {
            let next = waiting.iter().position(|(rank, _)| queue.may_request_memory(rank));
            if let Some((rank, name)) = next.map(|next| waiting.remove(next)) {
                queue.leave(&rank);
                accounts.entry(name).or_default().served += 1.0;
            }
        }
        let (stay, leave) =
            waiting.into_iter().partition(|(it, _)| it.arrived_at.0 + PATIENCE > now);
        waiting = stay;
        leave.iter().for_each(|(rank, _): &(QueueRank, _)| queue.leave(rank));
    }
    accounts
}

fn all(accounts: &BTreeMap<&'static str, Served>) -> Served {
    accounts.values().fold(Served::default(), |sum, it| Served {
        arrived: sum.arrived + it.arrived,
        served: sum.served + it.served,
    })
}

#[test]
fn fair_queueing_serves_accounts_with_low_demand() {
    let accounts = simulate(QueueOrder::Account, 3_000);
    for name in ["b", "c", "d"] {
        assert!(accounts[name].share() > 0.95, "{name}: {accounts:?}");
    }
}

#[test]
fn in_arrival_order_one_account_starves_the_others() {
    let accounts = simulate(QueueOrder::Arrival, 3_000);
    for name in ["b", "c", "d"] {
        assert!(accounts[name].share() < 0.5, "{name}: {accounts:?}");
    }
}

#[test]
fn fair_queueing_serves_as_many_as_arrival_order() {
    let (fair, arrival) =
        (simulate(QueueOrder::Account, 3_000), simulate(QueueOrder::Arrival, 3_000));
    assert!(all(&fair).served >= all(&arrival).served * 0.99, "{fair:?} {arrival:?}");
}

/// The served share of every account is above a quarter of the overall share, whether its requests
/// are large or small.
#[test]
fn no_account_is_starved() {
    for cost in [300, 3_000, 30_000] {
        let accounts = simulate(QueueOrder::Account, cost);
        let overall = all(&accounts).share();
        for (name, served) in &accounts {
            assert!(served.share() > overall / 4.0, "{name} at {cost}: {accounts:?}");
        }
    }
}

/// Requests without an account form a single flow and are served in arrival order.
#[test]
fn without_accounts_the_order_is_that_of_arrival() {
    let mut queue = WaitQueue::new(WaitQueueConfig::default());
    let ranks: Vec<QueueRank> =
        (0..10).map(|n| queue.join(false, 1, AccountCost::default(), Millis(n / 3))).collect();
    assert!(ranks.is_sorted());
}
