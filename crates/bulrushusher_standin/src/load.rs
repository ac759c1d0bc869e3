//! A seeded open-loop load generator: requests are sent on schedule, whether or not earlier ones
//! have completed.

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::caller::{Request, RequestKind};
use crate::prompt::{BLOCK_TOKENS, BYTES_PER_TOKEN};

/// Kind of requests in a flow, and the distribution of their sizes.
#[derive(Clone, Debug)]
pub enum FlowKind {
    /// Prompts for a model.
    Prompts {
        /// Name of the model.
        model: String,
        /// Range of the prompt length in tokens, uniform and inclusive.
        prompt_tokens: (usize, usize),
        /// Range of the answer length in tokens, uniform and inclusive.
        answer_tokens: (usize, usize),
        /// Length of the prefix shared by the prompts of an account, in prefix-cache blocks.
        shared_blocks: usize,
    },
    /// Calls of a plain service.
    Calls {
        /// Name of the service.
        service: String,
        /// Path of the calls at the service.
        path: String,
    },
}

/// A stream of requests of one kind and class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Deliverable class of the requests.
    pub class: String,
    /// Kind of the requests.
    pub kind: FlowKind,
    /// Whether a request may run more than once. Requests that must not carry an idempotency key.
    pub idempotent: bool,
    /// Mean request rate per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Number of client accounts among which the requests are distributed uniformly.
    pub accounts: usize,
}

/// A request and the time at which to send it.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Time since the start of the load.
    pub at: Millis,
    /// Index of the request's flow.
    pub flow: usize,
    /// The request.
    pub request: Request,
}

/// Schedules the requests of all flows over `duration`, sorted by time. The same seed gives the
/// same schedule, except for the request keys.
///
/// ```
/// use bulrushusher_standin::load::{Flow, FlowKind, schedule};
/// use bulrushusher_time::Millis;
/// let kind = FlowKind::Calls { service: "pass-desk".into(), path: "lookup".into() };
/// let flow = Flow { class: "lookup".into(), kind, idempotent: false, rate: 50.0, accounts: 4 };
/// let scheduled = schedule(&[flow], Millis(2_000), 7);
/// assert!(scheduled.len() > 50 && scheduled.len() < 150);
/// assert!(scheduled.iter().all(|s| s.request.key.is_some()));
/// ```
pub fn schedule(flows: &[Flow], duration: Millis, seed: u64) -> Vec<ScheduledRequest> {
    let mut scheduled: Vec<ScheduledRequest> = Vec::new();
    for (number, flow) in flows.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let mut at_ms = 0.0;
        loop {
            at_ms += exponential(&mut rng, flow.rate) * 1000.0;
            let at = Millis(at_ms as u64);
            if at >= duration || flow.rate <= 0.0 {
                break;
            }
            let mark = format!("{}-{number}-{}", seed, scheduled.len());
            let request = generate(flow, mark, &mut rng);
            scheduled.push(ScheduledRequest { at, flow: number, request });
        }
    }
    scheduled.sort_by_key(|request| request.at);
    scheduled
}

/// Generates a request key. Keys contain their creation time, so a key should be generated when its
/// request is sent.
pub fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn exponential(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    let u: f64 = rng.random_range(f64::EPSILON..1.0);
    -u.ln() / rate.max(f64::MIN_POSITIVE)
}

fn generate(flow: &Flow, mark: String, rng: &mut ChaCha8Rng) -> Request {
    let account = rng.random_range(0..flow.accounts.max(1));
    let kind = match &flow.kind {
        FlowKind::Calls { service, path } => {
            RequestKind::Call { service: service.clone(), path: path.clone() }
        }
        FlowKind::Prompts { model, prompt_tokens, answer_tokens, shared_blocks } => {
            let tokens = rng.random_range(prompt_tokens.0..=prompt_tokens.1);
            RequestKind::Prompt {
                model: model.clone(),
                prompt: prompt_text(account, tokens, *shared_blocks, &mark),
                max_tokens: rng.random_range(answer_tokens.0..=answer_tokens.1),
            }
        }
    };
    Request {
        kind,
        mark,
        key: (!flow.idempotent).then(fresh_key),
        class: Some(flow.class.clone()),
        account: Some(format!("account-{account}")),
        cancel_after: None,
    }
}

/// Builds a prompt of `tokens` tokens that starts with the account's shared blocks and ends with
/// the mark.
fn prompt_text(account: usize, tokens: usize, shared_blocks: usize, mark: &str) -> String {
    let bytes = tokens * BYTES_PER_TOKEN;
    let shared_bytes = shared_blocks * BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut text = format!("house style of account {account}. ").repeat(shared_bytes / 20 + 1);
    text.truncate(shared_bytes.min(bytes));
    let filler = format!("brief {mark}. ");
    while text.len() + mark.len() + 1 < bytes {
        text.push_str(&filler);
    }
    text.truncate(bytes.saturating_sub(mark.len() + 1));
    text.push('#');
    text.push_str(mark);
    text
}
