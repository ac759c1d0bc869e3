//! Before a run: memory at a decode runner, and who reads the prompt.

pub(crate) mod holds;
pub(crate) mod place;
pub(crate) mod reading;
pub(crate) mod tries;
