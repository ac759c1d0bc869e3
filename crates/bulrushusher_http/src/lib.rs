//! Small HTTP client and NDJSON stream reader used at process edges.
