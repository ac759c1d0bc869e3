//! What callers are answered: the gateway's own answers, and bodies that are passed on.

pub(crate) mod answer;
pub(crate) mod body;
