//! The platform's store: followed, asked, and written to.

pub(crate) mod feed;
pub(crate) mod intake;
pub(crate) mod orders;
pub(crate) mod quarantine;
pub(crate) mod renewing;
