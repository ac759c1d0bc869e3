//! An entry's decisions: pairing, affinity, limits, retry budget.
