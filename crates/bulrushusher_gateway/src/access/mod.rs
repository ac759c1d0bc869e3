//! The caller of a request, and the request's charge against the account's quota.

pub(crate) mod caller;
