//! Parsing and validation of callers' requests, before any resource is reserved for them.

use bulrushusher_routing::{RequestDigest, RequestKeys};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, ErrorCode};
use bulrushusher_world::{
    ClassName, ClientAccountName, DeliverableClass, Repeat, RequestKey, ServiceName,
};
use serde::Deserialize;
use uuid::Uuid;
use warp::http::HeaderMap;

use crate::configuration::Configuration;

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the deliverable class.
pub const CLASS_HEADER: &str = "x-bulrush-class";
/// Header with the client account.
pub const ACCOUNT_HEADER: &str = "x-bulrush-account";
/// Header with the time within which the request must be fully answered, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-bulrush-deadline-ms";

/// Value of `max_tokens` if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that a caller may set.
const MAX_TOKENS_LIMIT: u32 = 65_536;

/// Attributes common to all requests.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Its idempotency key.
    pub(crate) key: RequestKey,
    /// True if the caller chose the idempotency key, so that other requests may use it too.
    pub(crate) shared_key: bool,
    /// Its deliverable class.
    pub(crate) class: DeliverableClass,
    /// The client account that it is charged to.
    pub(crate) account: Option<ClientAccountName>,
    /// The service or model that it is for.
    pub(crate) service: ServiceName,
    /// When the entry received it.
    pub(crate) arrived: Millis,
    /// When its answer must be complete.
    pub(crate) deadline: Millis,
}

impl Job {
    /// Time until the deadline; an error if it has passed and the request has not run.
    pub(crate) fn time_left(&self, now: Millis) -> Result<Millis, ApiError> {
        match self.deadline.since(now) {
            Millis(0) => Err(ApiError::not_run(
                ErrorCode::Deadline,
                "the deadline passed before the request could run",
            )
            .with_retry_after(Millis(1_000))),
            remaining => Ok(remaining),
        }
    }

    /// True if it may run again after a run whose outcome is unknown.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.class.repeat == Repeat::Idempotent
    }

    /// Time from now within which its work must start to meet its latency target; 0 if it is
    /// missed.
    pub(crate) fn start_within(&self, now: Millis) -> Millis {
        /// Share of the target available for queueing; the rest is for the work.
        const QUEUEING_PERCENT: u64 = 80;
        let max_queueing = self.class.ttft.0.saturating_mul(QUEUEING_PERCENT) / 100;
        self.arrived.plus(Millis(max_queueing)).since(now)
    }

    /// Time from now within which its work should start if its target is missed: halfway between
    /// arrival and deadline. The second half is reserved for late work, so that patient requests
    /// do not starve.
    pub(crate) fn late_within(&self, now: Millis) -> Millis {
        let half = Millis(self.deadline.since(self.arrived).0 / 2);
        self.arrived.plus(half).since(now)
    }
}

/// A prompt to complete.
/// Size of a prompt block, for the prefix index and for the quarantine.
pub(crate) const BLOCK_BYTES: usize = 1_024;

/// Blocks of a prompt of which the quarantine keeps crashes.
const MAX_CRASH_BLOCKS: usize = 32;

#[derive(Clone, Debug)]
pub(crate) struct PromptJob {
    pub(crate) job: Job,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
}

impl PromptJob {
    /// Identifies the prompt and its sender: equal for every retry, also under a new key.
    pub(crate) fn digest(&self) -> RequestDigest {
        let account = self.job.account.as_ref().map_or("", |account| account.as_str());
        RequestDigest::of([
            self.job.service.as_str().as_bytes(),
            account.as_bytes(),
            self.prompt.as_bytes(),
            &self.max_tokens.to_le_bytes(),
        ])
    }

    /// What the prompt is recognised by when engines crash on it: the whole, and each of its first
    /// complete blocks, whichever stand before it.
    pub(crate) fn crash_keys(&self) -> RequestKeys {
        let service = self.job.service.as_str().as_bytes();
        let blocks = self.prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_CRASH_BLOCKS);
        RequestKeys::new(self.digest(), blocks.map(|block| RequestDigest::of([service, block])))
    }
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

fn bad_json(e: &serde_json::Error) -> ApiError {
    ApiError::not_run(ErrorCode::BadJson, e.to_string())
}

/// Parses a body of `/v1/completions` or `/v1/chat/completions`.
pub(crate) fn parse_prompt(
    cfg: &Configuration,
    headers: &HeaderMap,
    body: &[u8],
    chat: bool,
    now: Millis,
) -> Result<PromptJob, ApiError> {
    let (model, prompt, max_tokens, stream) = if chat {
        let body: ChatBody = serde_json::from_slice(body).map_err(|e| bad_json(&e))?;
        let lines = body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        (body.model, lines.collect(), body.max_tokens, body.stream)
    } else {
        let body: CompletionBody = serde_json::from_slice(body).map_err(|e| bad_json(&e))?;
        (body.model, body.prompt, body.max_tokens, body.stream)
    };
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        let message = format!("max_tokens is {max_tokens}; give 1 to {MAX_TOKENS_LIMIT}");
        return Err(ApiError::not_run(ErrorCode::BadJson, message));
    }
    let service = ServiceName::try_from(model.as_str())
        .map_err(|e| ApiError::not_run(ErrorCode::UnknownModel, e.to_string()))?;
    if !cfg.serves_prompts(&service) {
        let message = format!("model {service} has no prefill or no decode endpoints");
        return Err(ApiError::not_run(ErrorCode::UnknownModel, message));
    }
    let job = parse_job(cfg, headers, service, now)?;
    Ok(PromptJob { job, prompt, max_tokens, stream, chat })
}

/// Parses the headers of a request for `service`.
pub(crate) fn parse_job(
    cfg: &Configuration,
    headers: &HeaderMap,
    service: ServiceName,
    now: Millis,
) -> Result<Job, ApiError> {
    let class = match text_header(headers, CLASS_HEADER)? {
        Some(text) => find_class(cfg, &service, text, now)?,
        None => Configuration::default_class(),
    };
    let account = match text_header(headers, ACCOUNT_HEADER)? {
        Some(text) => Some(find_account(cfg, text)?),
        None => None,
    };
    let (key, shared_key) = match text_header(headers, KEY_HEADER)? {
        Some(text) => (RequestKey::try_from(text).map_err(|e| bad_header(KEY_HEADER, e))?, true),
        None => (generate_key()?, false),
    };
    let time_limit = match text_header(headers, DEADLINE_HEADER)? {
        Some(text) => parse_deadline(text)?.min(class.deadline),
        None => class.deadline,
    };
    Ok(Job {
        key,
        shared_key,
        class,
        account,
        service,
        arrived: now,
        deadline: now.plus(time_limit),
    })
}

/// Generates a key that no other request uses.
pub(crate) fn generate_key() -> Result<RequestKey, ApiError> {
    RequestKey::try_from(Uuid::now_v7().to_string())
        .map_err(|e| ApiError::not_run(ErrorCode::Internal, e.to_string()))
}

fn bad_header(name: &str, problem: impl std::fmt::Display) -> ApiError {
    ApiError::not_run(ErrorCode::BadHeader, format!("{name}: {problem}"))
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| bad_header(name, "give visible ASCII characters"))
}

fn parse_deadline(text: &str) -> Result<Millis, ApiError> {
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Millis(ms)),
        Ok(_) | Err(_) => Err(bad_header(
            DEADLINE_HEADER,
            format!("`{text}` is not a positive number of milliseconds"),
        )),
    }
}

fn find_class(
    cfg: &Configuration,
    service: &ServiceName,
    text: &str,
    now: Millis,
) -> Result<DeliverableClass, ApiError> {
    let name = ClassName::try_from(text).map_err(|e| bad_header(CLASS_HEADER, e))?;
    cfg.class(service, &name, now).ok_or_else(|| {
        let message = format!("no open closing of {service} has the class {name}");
        ApiError::not_run(ErrorCode::UnknownClass, message)
    })
}

fn find_account(cfg: &Configuration, text: &str) -> Result<ClientAccountName, ApiError> {
    let name = ClientAccountName::try_from(text).map_err(|e| bad_header(ACCOUNT_HEADER, e))?;
    match cfg.account(&name) {
        Some(_) => Ok(name),
        None => {
            let message = format!("client account {name} is not configured");
            Err(ApiError::not_run(ErrorCode::UnknownAccount, message))
        }
    }
}
