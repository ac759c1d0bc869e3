//! Operators' RPC: types generated from `proto/operator.proto`, and conversions to checked types.
//!
//! The generated code is committed; `cargo run -p bulrushusher_protogen` makes it anew.

pub mod convert;

/// The schema's messages, client and server.
#[expect(
    missing_docs,
    unused_qualifications,
    clippy::allow_attributes,
    clippy::allow_attributes_without_reason,
    reason = "generated from the schema, which has the comments"
)]
pub mod v1 {
    include!("generated/bulrushusher.operator.v1.rs");
}
