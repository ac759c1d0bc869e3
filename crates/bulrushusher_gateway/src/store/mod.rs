//! Access to the platform's store: watches and lists it, and writes records.

pub(crate) mod feed;
pub(crate) mod intake;
pub(crate) mod orders;
pub(crate) mod quarantine;
pub(crate) mod renewing;
pub(crate) mod versions;
