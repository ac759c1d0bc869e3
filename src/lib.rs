//! Router for separate prefill and decode pools.
