//! The other gateways: found, told, heard.

pub(crate) mod announcing;
pub(crate) mod relaying;
pub(crate) mod report_codec;
pub(crate) mod reporting;
