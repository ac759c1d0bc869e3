//! Errors sent to callers: a stable code, whether the request was executed, and the remedy.

use bulrushusher_time::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether a request was executed, as guaranteed to its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It was not executed and will not be.
    #[display("not_run")]
    NotRun,
    /// It was executed once, and its response is no longer available.
    #[display("ran")]
    Ran,
    /// It may have been executed once; it will not be executed again.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

/// The stable code of an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(missing_docs, reason = "the codes are described by `status` and `remedy`")]
pub enum ErrorCode {
    #[display("bad_json")]
    BadJson,
    #[display("bad_header")]
    BadHeader,
    #[display("body_too_large")]
    BodyTooLarge,
    #[display("unknown_model")]
    UnknownModel,
    #[display("unknown_service")]
    UnknownService,
    #[display("unknown_path")]
    UnknownPath,
    #[display("unknown_class")]
    UnknownClass,
    #[display("unknown_account")]
    UnknownAccount,
    #[display("account_limit")]
    AccountLimit,
    #[display("overloaded")]
    Overloaded,
    #[display("no_endpoint")]
    NoEndpoint,
    #[display("quarantined")]
    Quarantined,
    #[display("shutting_down")]
    ShuttingDown,
    #[display("deadline")]
    Deadline,
    #[display("key_too_old")]
    KeyTooOld,
    #[display("answer_gone")]
    AnswerGone,
    #[display("outcome_unknown")]
    OutcomeUnknown,
    #[display("internal")]
    Internal,
}

impl ErrorCode {
    /// The HTTP status sent with the code.
    pub fn status(self) -> u16 {
        match self {
            ErrorCode::BadJson | ErrorCode::BadHeader | ErrorCode::UnknownClass => 400,
            ErrorCode::UnknownAccount => 401,
            ErrorCode::UnknownModel | ErrorCode::UnknownService | ErrorCode::UnknownPath => 404,
            ErrorCode::KeyTooOld | ErrorCode::AnswerGone => 409,
            ErrorCode::BodyTooLarge => 413,
            ErrorCode::AccountLimit => 429,
            ErrorCode::OutcomeUnknown | ErrorCode::Internal => 500,
            ErrorCode::Overloaded
            | ErrorCode::NoEndpoint
            | ErrorCode::Quarantined
            | ErrorCode::ShuttingDown => 503,
            ErrorCode::Deadline => 504,
        }
    }

    /// What the caller can do about the error.
    pub fn remedy(self) -> &'static str {
        match self {
            ErrorCode::BadJson => "send a JSON body as the README shows",
            ErrorCode::BadHeader => "correct the header named in the message",
            ErrorCode::BodyTooLarge => "send a smaller body",
            ErrorCode::UnknownModel => "name a model that has prefill and decode endpoints",
            ErrorCode::UnknownService => "name a service that has endpoints",
            ErrorCode::UnknownPath => "use /v1/completions, /v1/chat/completions or /services/...",
            ErrorCode::UnknownClass => "name a class of a closing that is open for this service",
            ErrorCode::UnknownAccount => "name a configured client account",
            ErrorCode::AccountLimit
            | ErrorCode::Overloaded
            | ErrorCode::NoEndpoint
            | ErrorCode::ShuttingDown => "come back after the time in Retry-After",
            ErrorCode::Quarantined => "change the prompt: engines end each time it is run",
            ErrorCode::Deadline => "send it again with a later deadline",
            ErrorCode::KeyTooOld => "send it with a new idempotency key if it is still wanted",
            ErrorCode::AnswerGone => "it ran once; look at its effect before sending a new key",
            ErrorCode::OutcomeUnknown => "it may have run; look at its effect before a new key",
            ErrorCode::Internal => "report it with the message",
        }
    }
}

/// An error to be sent to a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// The error code.
    pub code: ErrorCode,
    /// Whether the request was executed.
    pub run: RunState,
    /// What happened.
    pub message: String,
    /// How long the caller should wait before retrying, if a retry can succeed.
    pub retry_after: Option<Millis>,
}

impl ApiError {
    /// Creates an error for a request that was not executed.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError { code, run: RunState::NotRun, message: message.into(), retry_after: None }
    }

    /// Sets the time that the caller should wait before retrying.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Millis) -> ApiError {
        self.retry_after = Some(wait);
        self
    }

    /// The JSON body sent to the caller.
    ///
    /// ```
    /// use bulrushusher_wire::{ApiError, ErrorCode};
    /// let body = ApiError::not_run(ErrorCode::BadJson, "line 1").body();
    /// assert_eq!(body.error.run.to_string(), "not_run");
    /// ```
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code,
                run: self.run,
                message: self.message.clone(),
                remedy: self.code.remedy().to_owned(),
                retry_after_ms: self.retry_after,
            },
        }
    }

    /// Value of the `Retry-After` header in seconds, rounded up to at least 1; `None` without one.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|wait| wait.0.div_ceil(1000).max(1))
    }
}

/// The JSON body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The content of [`ErrorBody`]; see [`ApiError`] for the fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of ApiError")]
pub struct ErrorDetail {
    pub code: ErrorCode,
    pub run: RunState,
    pub message: String,
    pub remedy: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}
