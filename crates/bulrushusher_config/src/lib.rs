//! INI settings, checked at start.
