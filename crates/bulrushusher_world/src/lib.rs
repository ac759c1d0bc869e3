//! Domain types of the router: names, data centres, links, endpoints, client accounts, closings.
//!
//! Every type is validated on construction (`TryFrom` from raw input), so the rest of the router
//! need not validate again. Nothing here does I/O.

mod account;
mod closing;
mod endpoint;
mod link;
mod name;
mod region;

pub use account::{ClientAccount, RawClientAccount};
pub use closing::{
    Closing, DeliverableClass, Patience, RawClosing, RawDeliverableClass, Repeat, Weights,
};
pub use endpoint::{Endpoint, Fencing, RawEndpoint, Role};
pub use link::Link;
pub use name::{
    CacheHandle, ClassName, ClientAccountName, ClosingName, DataCentreName, EndpointName,
    EntryName, HoldId, ModelName, NameError, RegionName, RequestKey, RouteName, RunnerId,
    ServiceName, VmName,
};
pub use region::{Residency, Topology, TopologyError};

use derive_more::{Display, Error, From};

/// Why raw input failed validation.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum ValidationError {
    /// A name is malformed.
    #[display("{_0}")]
    Name(NameError),
    /// A field has a value outside its range.
    #[display("{field} is {value}; {remedy}")]
    #[from(ignore)]
    Field {
        /// The field, as named in the raw input.
        field: &'static str,
        /// The rejected value.
        value: String,
        /// Which values are allowed.
        remedy: &'static str,
    },
}

impl ValidationError {
    /// An error for one field.
    pub fn field(
        field: &'static str,
        value: impl ToString,
        remedy: &'static str,
    ) -> ValidationError {
        ValidationError::Field { field, value: value.to_string(), remedy }
    }
}

/// Re-exports of the commonly used types.
pub mod prelude {
    pub use crate::{
        ClassName, ClientAccount, ClientAccountName, Closing, ClosingName, DataCentreName,
        DeliverableClass, Endpoint, EndpointName, EntryName, Fencing, Patience, Repeat, RequestKey,
        Role, ServiceName, ValidationError, Weights,
    };
}
