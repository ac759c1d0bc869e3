//! Responses to callers: the gateway's own refusals, and forwarded responses of runners.

pub(crate) mod answer;
pub(crate) mod body;
