//! The things the router knows: VMs, data centres, links, endpoints, client accounts, closings.
//!
//! Every type here is checked when it is made (`TryFrom` from raw input), so the rest of the router
//! need not check again. Nothing here does I/O.

mod account;
mod closing;
mod endpoint;
mod link;
mod name;

pub use account::{ClientAccount, RawClientAccount};
pub use closing::{
    Closing, DeliverableClass, Patience, RawClosing, RawDeliverableClass, Repeat, Weights,
};
pub use endpoint::{Endpoint, Fencing, RawEndpoint, Role};
pub use link::Link;
pub use name::{
    ClassName, ClientAccountName, ClosingName, DataCentreName, EndpointName, EntryName, ModelName,
    NameError, RequestKey, RouteName, RunnerId, ServiceName, VmName,
};

use derive_more::{Display, Error, From};

/// Why raw input is not a thing of the world.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum WorldError {
    /// A name is malformed.
    #[display("{_0}")]
    Name(NameError),
    /// A field has a value outside its range.
    #[display("{field} is {value}; {remedy}")]
    #[from(ignore)]
    Field {
        /// Which field.
        field: &'static str,
        /// What was given.
        value: String,
        /// What to give instead.
        remedy: &'static str,
    },
}

impl WorldError {
    /// An error about one field.
    pub fn field(field: &'static str, value: impl ToString, remedy: &'static str) -> WorldError {
        WorldError::Field { field, value: value.to_string(), remedy }
    }
}

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        ClassName, ClientAccount, ClientAccountName, Closing, ClosingName, DataCentreName,
        DeliverableClass, Endpoint, EndpointName, EntryName, Fencing, Patience, Repeat, RequestKey,
        Role, ServiceName, Weights, WorldError,
    };
}
