//! Plain calls and generations: begun, carried, moved, tried again.

pub(crate) mod begin;
pub(crate) mod call;
pub(crate) mod carrying;
pub(crate) mod generation;
pub(crate) mod moving;
pub(crate) mod pump;
pub(crate) mod run;
