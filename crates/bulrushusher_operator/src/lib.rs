//! Operators' RPC: types generated from `proto/operator.proto`, and conversions to and from the
//! validated domain types.
//!
//! The generated code is committed; `cargo run -p bulrushusher_protogen` regenerates it.

pub mod convert;

/// Messages, client and server of the schema.
#[expect(
    missing_docs,
    unused_qualifications,
    clippy::allow_attributes,
    clippy::allow_attributes_without_reason,
    reason = "generated code; the schema has the documentation"
)]
pub mod v1 {
    include!("generated/bulrushusher.operator.v1.rs");
}
