//! Client of the platform's object API.
