//! One account crowds the line: who is served, by arrival and by turns of accounts.
//!
//! Memory comes free at a steady rate at one gateway, and every request that waits too long is refused, as
//! generations are. Whatever the order, as many are served.

use std::collections::BTreeMap;

use bulrushusher_forward::{AccountCost, QueueOrder, QueueRank, WaitQueue, WaitQueueConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Memory for one request comes free every so many ms.
const FREE_EVERY: u64 = 40;

/// How long a request waits before it is refused: half of a target of 900 ms.
const PATIENCE: u64 = 450;

const LENGTH: u64 = 60_000;

/// Requests a second of each account; 25 a second can be served.
const DEMAND: [(&str, f64); 4] = [("crowd", 75.0), ("b", 3.0), ("c", 2.0), ("d", 1.0)];

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: f64,
    served: f64,
}

impl Served {
    fn share(self) -> f64 {
        self.served / self.asked
    }
}

fn play(order: QueueOrder, cost_of_crowd: u64) -> BTreeMap<&'static str, Served> {
    let mut line =
        WaitQueue::new(WaitQueueConfig { order, concurrency: 1, ..WaitQueueConfig::default() });
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut waiting: Vec<(QueueRank, &'static str)> = Vec::new();
    let mut accounts: BTreeMap<&'static str, Served> = BTreeMap::new();
    for now in 0..LENGTH {
        for (name, per_second) in DEMAND {
            if rng.random::<f64>() < per_second / 1_000.0 {
                let account = ClientAccountName::try_from(name).expect("it is a name");
                let cost = if name == "crowd" { cost_of_crowd } else { 3_000 };
                let cost = AccountCost { account: Some(&account), cost };
                waiting.push((line.join(false, 1, cost, Millis(now)), name));
                accounts.entry(name).or_default().asked += 1.0;
            }
        }
        if now.is_multiple_of(FREE_EVERY) {
            let next = waiting.iter().position(|(rank, _)| line.may_request_memory(rank));
            if let Some((rank, name)) = next.map(|next| waiting.remove(next)) {
                line.leave(&rank);
                accounts.entry(name).or_default().served += 1.0;
            }
        }
        let (stay, leave) =
            waiting.into_iter().partition(|(it, _)| it.arrived_at.0 + PATIENCE > now);
        waiting = stay;
        leave.iter().for_each(|(rank, _): &(QueueRank, _)| line.leave(rank));
    }
    accounts
}

fn all(accounts: &BTreeMap<&'static str, Served>) -> Served {
    accounts.values().fold(Served::default(), |sum, it| Served {
        asked: sum.asked + it.asked,
        served: sum.served + it.served,
    })
}

#[test]
fn accounts_by_turns_serve_those_that_ask_for_little() {
    let accounts = play(QueueOrder::Account, 3_000);
    for name in ["b", "c", "d"] {
        assert!(accounts[name].share() > 0.95, "{name}: {accounts:?}");
    }
}

#[test]
fn by_arrival_one_account_crowds_out_the_others() {
    let accounts = play(QueueOrder::Arrival, 3_000);
    for name in ["b", "c", "d"] {
        assert!(accounts[name].share() < 0.5, "{name}: {accounts:?}");
    }
}

#[test]
fn turns_serve_as_many_as_arrival_does() {
    let (turns, arrival) = (play(QueueOrder::Account, 3_000), play(QueueOrder::Arrival, 3_000));
    assert!(all(&turns).served >= all(&arrival).served * 0.99, "{turns:?} {arrival:?}");
}

/// No account is served less than a quarter as often as all, whether its requests are large or small.
#[test]
fn nobody_is_starved() {
    for cost in [300, 3_000, 30_000] {
        let accounts = play(QueueOrder::Account, cost);
        let usual = all(&accounts).share();
        for (name, served) in &accounts {
            assert!(served.share() > usual / 4.0, "{name} at {cost}: {accounts:?}");
        }
    }
}

/// Without accounts all requests share their turns: whoever came first goes first.
#[test]
fn without_accounts_turns_are_those_of_arrival() {
    let mut line = WaitQueue::new(WaitQueueConfig::default());
    let ranks: Vec<QueueRank> =
        (0..10).map(|n| line.join(false, 1, AccountCost::default(), Millis(n / 3))).collect();
    assert!(ranks.is_sorted());
}
