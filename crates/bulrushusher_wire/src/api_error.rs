//! Errors as callers see them: a stable code, whether the request was run, and the remedy.

use bulrushusher_time::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What a caller may believe about its request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It certainly did not run, and will not.
    #[display("not_run")]
    NotRun,
    /// It ran once, and the answer cannot be had any more.
    #[display("ran")]
    Ran,
    /// It may have run once; it will not run again.
    #[display("outcome_unknown")]
    OutcomeUnknown,
}

/// The stable code of an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(missing_docs, reason = "each code is told by its status and remedy below")]
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
    /// The HTTP status that goes with the code.
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

    /// What the caller can do.
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

/// An error on its way to a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// Its code.
    pub code: ErrorCode,
    /// What the caller may believe.
    pub run: RunState,
    /// What happened.
    pub message: String,
    /// When to come back, where that makes sense.
    pub retry_after: Option<Millis>,
}

impl ApiError {
    /// An error about a request that did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError { code, run: RunState::NotRun, message: message.into(), retry_after: None }
    }

    /// The same error with a time to come back.
    #[must_use]
    pub fn after(mut self, wait: Millis) -> ApiError {
        self.retry_after = Some(wait);
        self
    }

    /// The body that the caller gets.
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

    /// Whole seconds for the `Retry-After` header, rounded up; `None` when there is none to give.
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

/// See [`ApiError`] for the fields.
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
