//! An open-loop, seeded load: requests come at their times whether or not earlier ones are done.

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::caller::{Ask, Call};
use crate::prompt::{BLOCK_TOKENS, BYTES_PER_TOKEN};

/// What a kind of request asks for.
#[derive(Clone, Debug)]
pub enum Kind {
    /// Prompts of a model.
    Prompts {
        /// The model.
        model: String,
        /// Prompt tokens, uniformly from this range.
        prompt_tokens: (usize, usize),
        /// Answer tokens, uniformly from this range.
        answer_tokens: (usize, usize),
        /// Whole blocks at the start that prompts of one account share.
        shared_blocks: usize,
    },
    /// Calls of a plain service.
    Calls {
        /// The service.
        service: String,
        /// Path at the service.
        path: String,
    },
}

/// A stream of requests of one kind and class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Its class.
    pub class: String,
    /// What its requests ask for.
    pub kind: Kind,
    /// Whether a request may run more than once; requests that may not carry a key.
    pub idempotent: bool,
    /// Requests a second, Poisson.
    pub rate: f64,
    /// Client accounts that send, evenly.
    pub accounts: usize,
}

/// A request and when it is to be sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Time from the start of the run.
    pub at: Millis,
    /// Which flow it belongs to.
    pub flow: usize,
    /// The request.
    pub call: Call,
}

/// Plans the requests of all flows over `length`, in the order of their times. The same seed gives
/// the same plan, but for the time in the keys.
///
/// ```
/// use bulrushusher_standin::load::{Flow, Kind, plan};
/// use bulrushusher_time::Millis;
/// let kind = Kind::Calls { service: "pass-desk".into(), path: "lookup".into() };
/// let flow = Flow { class: "lookup".into(), kind, idempotent: false, rate: 50.0, accounts: 4 };
/// let planned = plan(&[flow], Millis(2_000), 7);
/// assert!(planned.len() > 50 && planned.len() < 150);
/// assert!(planned.iter().all(|p| p.call.key.is_some()));
/// ```
pub fn plan(flows: &[Flow], length: Millis, seed: u64) -> Vec<Planned> {
    let mut planned: Vec<Planned> = Vec::new();
    for (number, flow) in flows.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let mut at_ms = 0.0;
        loop {
            at_ms += exponential(&mut rng, flow.rate) * 1000.0;
            let at = Millis(at_ms as u64);
            if at >= length || flow.rate <= 0.0 {
                break;
            }
            let mark = format!("{}-{number}-{}", seed, planned.len());
            planned.push(Planned { at, flow: number, call: make(flow, mark, &mut rng) });
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

/// Gives a request its key; called when it is sent, as the key carries the time.
pub fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn exponential(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    -u.ln() / rate.max(f64::MIN_POSITIVE)
}

fn make(flow: &Flow, mark: String, rng: &mut ChaCha8Rng) -> Call {
    let account = rng.random_range(0..flow.accounts.max(1));
    let ask = match &flow.kind {
        Kind::Calls { service, path } => Ask::Call { service: service.clone(), path: path.clone() },
        Kind::Prompts { model, prompt_tokens, answer_tokens, shared_blocks } => {
            let tokens = rng.random_range(prompt_tokens.0..=prompt_tokens.1);
            Ask::Prompt {
                model: model.clone(),
                prompt: prompt_text(account, tokens, *shared_blocks, &mark),
                max_tokens: rng.random_range(answer_tokens.0..=answer_tokens.1),
            }
        }
    };
    Call {
        ask,
        mark,
        key: (!flow.idempotent).then(fresh_key),
        class: Some(flow.class.clone()),
        account: Some(format!("account-{account}")),
        cancel_after: None,
    }
}

/// A prompt of `tokens` whose first blocks are the same for one account, with the mark at its end.
fn prompt_text(account: usize, tokens: usize, shared_blocks: usize, mark: &str) -> String {
    let length = tokens * BYTES_PER_TOKEN;
    let shared = shared_blocks * BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut text = format!("house style of account {account}. ").repeat(shared / 20 + 1);
    text.truncate(shared.min(length));
    let own = format!("brief {mark}. ");
    while text.len() + mark.len() + 1 < length {
        text.push_str(&own);
    }
    text.truncate(length.saturating_sub(mark.len() + 1));
    text.push('#');
    text.push_str(mark);
    text
}
