//! Whose request it is, and what it counts as.

pub(crate) mod caller;
