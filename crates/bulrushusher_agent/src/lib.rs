//! The agent: only gate to its engine or plain service.
