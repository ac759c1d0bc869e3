//! Placement of a generation: a hold on memory at a decode runner, and the prefill of the prompt.

pub(crate) mod attempts;
pub(crate) mod holds;
pub(crate) mod patience;
pub(crate) mod place;
pub(crate) mod prefill;
pub(crate) mod prefill_site;
