//! Reports to gateways of other regions over a network that loses datagrams.

use std::collections::BTreeSet;

use bulrushusher_forward::{
    DeltaOutcome, DrainReport, FarReports, GatewayDelta, GatewayReport, PeersConfig, RunReport,
    RunShape, Runs,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LOSS: f64 = 0.2;
const STEP_MS: u64 = 8;
const FULL_INTERVAL: u64 = 1_000;

fn runner() -> RunnerId {
    "i-1".try_into().expect("valid name")
}

fn run(number: u64) -> RunReport {
    let shape =
        RunShape { prompt: 1e3 + number as f64, generated: 0.0, expected: 2e3, max_output: 9e3 };
    RunReport { number, ..RunReport::new(runner(), shape) }
}

fn prompts(runs: &Runs, now: Millis) -> BTreeSet<u64> {
    runs.shapes_at(&runner(), 0.0, now).iter().map(|shape| shape.prompt as u64).collect()
}

/// Guards against wrong runs at a receiver that has lost a datagram: it detects the gap at the next
/// one, and after a full report it has exactly the sender's runs. Also against as many deltas as
/// inside the region.
#[test]
fn a_lost_datagram_leaves_no_wrong_runs() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut far, mut receiver) = (FarReports::default(), Runs::new(PeersConfig::default()));
    let mut report = GatewayReport { incarnation: 1, ..GatewayReport::default() };
    let (mut deltas, mut gaps, mut has_all, mut full_at) = (0, 0, false, None);
    for step in 1..=5_000 {
        let now = Millis(10_000 + step * STEP_MS);
        report.sequence += 1;
        report.runs.retain(|_| rng.random::<f64>() < 0.9);
        report.runs.push(run(step));
        let is_lost = rng.random::<f64>() < LOSS;
        if full_at.is_none_or(|at| now.since(at) >= Millis(FULL_INTERVAL)) {
            full_at = Some(now);
            far.record_full(&report, now);
            has_all = !is_lost && receiver.apply_report("g", report.clone(), now);
        } else {
            far.record_change(&report, now);
            if far.wait(now) != Some(Millis(0)) {
                continue;
            }
            let delta = far.take_delta(now).expect("a change was recorded");
            deltas += 1;
            match is_lost {
                true => has_all = false,
                false if receiver.apply_delta("g", delta, now) == DeltaOutcome::Gap => {
                    assert!(!has_all, "nothing was lost");
                    gaps += 1;
                    let last = far.last().expect("a report was sent");
                    // It has the sequence number of the delta that was already applied.
                    assert!(receiver.apply_report("g", last.clone(), now));
                    has_all = true;
                }
                false => {}
            }
        }
        if has_all {
            let sent: BTreeSet<u64> = report.runs.iter().map(|run| run.prompt).collect();
            assert_eq!(prompts(&receiver, now), sent, "step {step}");
        }
    }
    assert!(gaps > 10, "{gaps} gaps");
    let seconds = 5_000 * STEP_MS / 1_000;
    assert!(deltas <= seconds * 7, "{deltas} deltas in {seconds} s");
}

/// A drain notice bounds what gateways of other regions may still send, so it does not wait.
#[test]
fn a_drain_notice_is_sent_at_once() {
    let mut far = FarReports::default();
    let report = |sequence| GatewayReport { sequence, ..GatewayReport::default() };
    far.record_full(&report(1), Millis(1_000));
    far.record_change(&report(2), Millis(1_010));
    assert_eq!(far.wait(Millis(1_010)), Some(Millis(140)));
    let notice = DrainReport { runner: runner(), born: None };
    far.record_change(&GatewayReport { leaving: vec![notice], ..report(3) }, Millis(1_020));
    assert_eq!(far.wait(Millis(1_020)), Some(Millis(0)));
    let delta: GatewayDelta = far.take_delta(Millis(1_020)).expect("it is due");
    assert_eq!((delta.report.leaving.len(), delta.skipped), (1, 1));
}
