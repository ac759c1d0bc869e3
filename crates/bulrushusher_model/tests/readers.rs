//! Who reads prompts, by pattern of load, on engines of several shapes. Each figure is a sum over ten
//! seeds; the bounds leave a tenth to what the seeds draw.

use bulrushusher_model::{ReadingLoad, ReadingOutcome, ReadingPolicy, ReadingShape, play_readings};

const SEEDS: u64 = 10;

const SHAPES: [(&str, ReadingShape); 3] = [
    ("quick", ReadingShape::QUICK),
    ("slow", ReadingShape::SLOW),
    ("single", ReadingShape::SINGLE),
];

fn play(shape: ReadingShape, load: ReadingLoad, policy: ReadingPolicy) -> ReadingOutcome {
    let mut sum = ReadingOutcome::default();
    for seed in 0..SEEDS {
        let one = play_readings(shape, load, policy, seed);
        sum.asked += one.asked;
        sum.on_time += one.on_time;
        sum.refused += one.refused;
        sum.made_late += one.made_late;
        sum.decode_ms += one.decode_ms;
    }
    sum
}

fn both(shape: ReadingShape, load: ReadingLoad) -> (ReadingOutcome, ReadingOutcome) {
    (play(shape, load, ReadingPolicy::Fixed), play(shape, load, ReadingPolicy::Learned))
}

#[test]
fn capacity_lost_just_before_a_burst_is_made_up_for_by_decode_runners() {
    for (name, shape) in SHAPES {
        let (fixed, learned) = both(shape, ReadingLoad::LOST_BEFORE_A_BURST);
        eprintln!("{name}: fixed {fixed:?} learned {learned:?}");
        assert!(learned.won() >= fixed.won() * 1.1, "{name}: {fixed:?} {learned:?}");
        assert!(learned.refused < fixed.refused, "{name}: {fixed:?} {learned:?}");
        // The pool could read all: the bound is what came.
        assert!(learned.won() >= 0.7 * f64::from(learned.asked), "{name}: {learned:?}");
    }
}

#[test]
fn where_memory_is_full_decode_runners_are_not_held_up() {
    for (name, shape) in SHAPES {
        let (fixed, learned) = both(shape, ReadingLoad::BURST_ON_FULL_MEMORY);
        eprintln!("{name}: fixed {fixed:?} learned {learned:?}");
        assert!(learned.won() >= 0.95 * fixed.won(), "{name}: {fixed:?} {learned:?}");
        let share = learned.decode_ms / (10.0 * 7.0 * 4_000.0);
        assert!(share < 0.1, "{name}: decode runners spend {share:.2} of their time on readings");
    }
}
