//! Generates callers: arrival times, lengths and behaviour.

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A period with more callers.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start of the burst.
    pub at: Millis,
    /// Duration of the burst.
    pub length: Millis,
    /// Factor on the usual rate.
    pub times: f64,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Duration of the load.
    pub length: Millis,
    /// Mean rate outside of bursts, in generations per second.
    pub per_second: f64,
    /// Relative amplitude of a sine wave on the rate, with a period of 11 s.
    pub amplitude: f64,
    /// Periods with a higher rate; the factors of overlapping ones multiply.
    pub bursts: Vec<Burst>,
    /// Median length of prompts, in tokens.
    pub prompt: f64,
    /// Median length of answers, in tokens.
    pub output: f64,
    /// Spread of both lengths, as the standard deviation of the logarithm.
    pub spread: f64,
    /// Spread of callers' estimates around the actual length of answers, in the same measure.
    pub estimate_spread: f64,
    /// Share of callers that disconnect after half of the response-time target.
    pub disconnecting: f64,
    /// Share of callers that retry immediately and ignore `Retry-After`.
    pub impatient: f64,
}

impl Default for Load {
    /// Matches what operators report of two deployments: about 13 generations per second on 12
    /// engines, with prompts of 5,200 tokens and answers of 70 events.
    fn default() -> Load {
        Load {
            length: Millis(34_000),
            per_second: 13.0,
            amplitude: 0.15,
            bursts: Vec::new(),
            prompt: 4_700.0,
            output: 4_700.0,
            spread: 0.5,
            estimate_spread: 0.5,
            disconnecting: 0.0,
            impatient: 0.0,
        }
    }
}

/// A caller; lengths are in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time of the first attempt.
    pub at: Millis,
    /// Length of the prompt.
    pub prompt: f64,
    /// Actual length of the answer.
    pub output: f64,
    /// Length of the answer that the caller expects.
    pub expected: f64,
    /// Maximum length of the answer.
    pub max_output: f64,
    /// Time at which the caller disconnects unless its run has started.
    pub disconnects_at: Option<Millis>,
    /// Whether the caller retries immediately and ignores `Retry-After`.
    pub impatient: bool,
}

/// Maximum length of prompts and answers, as a multiple of the medians.
const MAX_LENGTH_FACTOR: f64 = 2.2;

/// Generates the callers of a load, in order of arrival.
pub fn generate_arrivals(load: &Load, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut callers = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate(load, at) * 1_000.0;
        if at >= load.length.0 as f64 {
            return callers;
        }
        callers.push(draw_caller(load, Millis(at as u64), &mut rng));
    }
}

/// Rate in generations per second at a time in ms.
fn rate(load: &Load, at: f64) -> f64 {
    let wave = 1.0 + load.amplitude * (at / 11_000.0 * std::f64::consts::TAU).sin();
    let now = Millis(at as u64);
    let is_on = |burst: &&Burst| burst.at <= now && now < burst.at.plus(burst.length);
    let times: f64 = load.bursts.iter().filter(is_on).map(|burst| burst.times).product();
    load.per_second * wave * times
}

fn draw_caller(load: &Load, at: Millis, rng: &mut ChaCha8Rng) -> Arrival {
    let mut lognormal = |median: f64, spread: f64| median * (spread * normal(rng)).exp();
    let prompt = lognormal(load.prompt, load.spread).min(load.prompt * MAX_LENGTH_FACTOR);
    let max_output = load.output * MAX_LENGTH_FACTOR;
    let output = lognormal(load.output, load.spread).min(max_output).max(1.0);
    let expected = lognormal(output, load.estimate_spread).clamp(1.0, max_output);
    let disconnects_at = (rng.random::<f64>() < load.disconnecting).then(|| at.plus(Millis(450)));
    let impatient = rng.random::<f64>() < load.impatient;
    Arrival { at, prompt, output, expected, max_output, disconnects_at, impatient }
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
