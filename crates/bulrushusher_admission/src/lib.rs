//! An agent's decisions on its places: grants, queue, time-to-live, drain.
