//! Callers: when they come, and what they ask for.

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A time with more callers.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// When it begins.
    pub at: Millis,
    /// How long it lasts.
    pub length: Millis,
    /// How many times the usual rate.
    pub times: f64,
}

/// A pattern of load.
#[derive(Clone, Debug)]
pub struct Load {
    /// How long it lasts.
    pub length: Millis,
    /// Usual generations a second.
    pub per_second: f64,
    /// Swing of the rate around the usual one, as a share, with a period of eleven seconds.
    pub swing: f64,
    /// Times with more.
    pub bursts: Vec<Burst>,
    /// Median tokens of a prompt.
    pub prompt: f64,
    /// Median tokens of an answer.
    pub output: f64,
    /// Spread of both, as the standard deviation of the logarithm.
    pub spread: f64,
    /// Spread of callers' estimates around what answers become, likewise.
    pub estimate_spread: f64,
    /// Share of the callers that leave within half of the response-time target.
    pub leaving: f64,
    /// Share of the callers that come back at once, whatever they are told.
    pub impatient: f64,
}

impl Default for Load {
    /// Two deployments of some thirteen generations a second on twelve engines, with prompts of
    /// 5,200 tokens and answers of seventy events, as their operators describe them.
    fn default() -> Load {
        Load {
            length: Millis(34_000),
            per_second: 13.0,
            swing: 0.15,
            bursts: Vec::new(),
            prompt: 4_700.0,
            output: 4_700.0,
            spread: 0.5,
            estimate_spread: 0.5,
            leaving: 0.0,
            impatient: 0.0,
        }
    }
}

/// One caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it comes first.
    pub at: Millis,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Tokens that its answer becomes.
    pub output: f64,
    /// Tokens that it expects.
    pub expected: f64,
    /// The most tokens that its answer may become.
    pub most: f64,
    /// When it leaves, if it does before it is served.
    pub leaves: Option<Millis>,
    /// True when it comes back at once.
    pub impatient: bool,
}

/// Largest prompt and answer of a caller, as multiples of the medians.
const LARGEST: f64 = 2.2;

/// Draws the callers of a pattern.
pub fn arrivals(load: &Load, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate(load, at) * 1_000.0;
        if at >= load.length.0 as f64 {
            return callers;
        }
        callers.push(draw(load, Millis(at as u64), &mut rng));
    }
}

/// Generations a second at a time in ms.
fn rate(load: &Load, at: f64) -> f64 {
    let wave = 1.0 + load.swing * (at / 11_000.0 * std::f64::consts::TAU).sin();
    let now = Millis(at as u64);
    let is_on = |burst: &&Burst| burst.at <= now && now < burst.at.plus(burst.length);
    let times: f64 = load.bursts.iter().filter(is_on).map(|burst| burst.times).product();
    load.per_second * wave * times
}

fn draw(load: &Load, at: Millis, rng: &mut ChaCha8Rng) -> Arrival {
    let mut around = |median: f64, spread: f64| median * (spread * normal(rng)).exp();
    let prompt = around(load.prompt, load.spread).min(load.prompt * LARGEST);
    let most = load.output * LARGEST;
    let output = around(load.output, load.spread).min(most).max(1.0);
    let expected = around(output, load.estimate_spread).clamp(1.0, most);
    let leaves = (rng.random::<f64>() < load.leaving).then(|| at.plus(Millis(450)));
    let impatient = rng.random::<f64>() < load.impatient;
    Arrival { at, prompt, output, expected, most, leaves, impatient }
}

/// A standard normal draw (Box and Muller).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
