//! Execution of plain calls and generations: start, streaming, migration and retries.

pub(crate) mod begin;
pub(crate) mod call;
pub(crate) mod forward;
pub(crate) mod generation;
pub(crate) mod migration;
pub(crate) mod returns;
pub(crate) mod run;
pub(crate) mod stream;
