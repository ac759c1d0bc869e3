//! Open-loop seeded load.
