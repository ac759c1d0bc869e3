//! Operators' RPC: generated schema types and conversions.
