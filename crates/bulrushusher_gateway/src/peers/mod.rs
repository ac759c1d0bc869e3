//! Communication with the other gateways: discovery, reports and forwarded changes of the store.

pub(crate) mod announcing;
pub(crate) mod call_updates;
pub(crate) mod peer_names;
pub(crate) mod relaying;
pub(crate) mod report_codec;
pub(crate) mod reporting;
pub(crate) mod sending;
pub(crate) mod stream_records;
