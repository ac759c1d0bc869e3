//! Messages between the router's own processes, and callers' typed errors.
