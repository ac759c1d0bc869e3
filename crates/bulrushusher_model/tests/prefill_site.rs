//! The choice of the prefill site under several loads and engine shapes. Results are sums over ten
//! seeds; the bounds allow for a variation of a tenth between seeds.

use bulrushusher_model::{
    PrefillLoad, PrefillOutcome, PrefillPolicy, PrefillShape, simulate_prefill_site,
};

const SEEDS: u64 = 10;

const SHAPES: [(&str, PrefillShape); 3] = [
    ("quick", PrefillShape::QUICK),
    ("slow", PrefillShape::SLOW),
    ("single", PrefillShape::SINGLE),
];

fn simulate_seeds(shape: PrefillShape, load: PrefillLoad, policy: PrefillPolicy) -> PrefillOutcome {
    let mut sum = PrefillOutcome::default();
    for seed in 0..SEEDS {
        let one = simulate_prefill_site(shape, load, policy, seed);
        sum.prompts += one.prompts;
        sum.on_time += one.on_time;
        sum.refused += one.refused;
        sum.delayed_runs += one.delayed_runs;
        sum.decode_ms += one.decode_ms;
    }
    sum
}

fn fixed_and_learned(shape: PrefillShape, load: PrefillLoad) -> (PrefillOutcome, PrefillOutcome) {
    (
        simulate_seeds(shape, load, PrefillPolicy::Fixed),
        simulate_seeds(shape, load, PrefillPolicy::Learned),
    )
}

#[test]
fn decode_runners_compensate_capacity_lost_before_a_burst() {
    for (name, shape) in SHAPES {
        let (fixed, learned) = fixed_and_learned(shape, PrefillLoad::LOST_BEFORE_A_BURST);
        eprintln!("{name}: fixed {fixed:?} learned {learned:?}");
        assert!(
            learned.net_on_time() >= fixed.net_on_time() * 1.1,
            "{name}: {fixed:?} {learned:?}"
        );
        assert!(learned.refused < fixed.refused, "{name}: {fixed:?} {learned:?}");
        // The pool has capacity for all prompts, so the bound is relative to their number.
        assert!(learned.net_on_time() >= 0.7 * f64::from(learned.prompts), "{name}: {learned:?}");
    }
}

#[test]
fn full_decode_runners_are_not_delayed_by_prefill() {
    for (name, shape) in SHAPES {
        let (fixed, learned) = fixed_and_learned(shape, PrefillLoad::BURST_ON_FULL_MEMORY);
        eprintln!("{name}: fixed {fixed:?} learned {learned:?}");
        assert!(
            learned.net_on_time() >= 0.95 * fixed.net_on_time(),
            "{name}: {fixed:?} {learned:?}"
        );
        let share = learned.decode_ms / (10.0 * 7.0 * 4_000.0);
        assert!(share < 0.1, "{name}: decode runners spend {share:.2} of their time on prefill");
    }
}
