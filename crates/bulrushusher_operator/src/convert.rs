//! Conversions between the schema's messages and the validated types of `bulrushusher_world`.

use bulrushusher_world::{
    ClientAccount, Closing, Endpoint, RawClientAccount, RawClosing, RawDeliverableClass,
    RawEndpoint, ValidationError,
};

use crate::v1;

/// Validates a message and converts it to a closing.
///
/// ```
/// use bulrushusher_operator::{convert::closing_from, v1};
/// let message = closing_from(v1::Closing::default()).unwrap_err().to_string();
/// assert_eq!(message, "ends_unix_ms is 0; give a later time");
/// ```
///
/// # Errors
/// [`ValidationError`] names the field and the remedy.
pub fn closing_from(message: v1::Closing) -> Result<Closing, ValidationError> {
    let class = |c: v1::DeliverableClass| RawDeliverableClass {
        name: c.name,
        patience: c.patience,
        repeat: c.repeat,
        ttft_ms: c.ttft_ms,
        per_token_ms: c.per_token_ms,
        deadline_ms: c.deadline_ms,
    };
    Closing::try_from(RawClosing {
        name: message.name,
        starts_unix_ms: message.starts_unix_ms,
        ends_unix_ms: message.ends_unix_ms,
        services: message.services,
        classes: message.classes.into_iter().map(class).collect(),
        goodput_weight: message.goodput_weight,
        waste_weight: message.waste_weight,
    })
}

/// Converts a closing of the given store version to a message.
pub fn closing_to(closing: &Closing, version: u64) -> v1::Closing {
    let raw = RawClosing::from(closing.clone());
    let class = |c: RawDeliverableClass| v1::DeliverableClass {
        name: c.name,
        patience: c.patience,
        repeat: c.repeat,
        ttft_ms: c.ttft_ms,
        per_token_ms: c.per_token_ms,
        deadline_ms: c.deadline_ms,
    };
    v1::Closing {
        name: raw.name,
        version,
        starts_unix_ms: raw.starts_unix_ms,
        ends_unix_ms: raw.ends_unix_ms,
        services: raw.services,
        classes: raw.classes.into_iter().map(class).collect(),
        goodput_weight: raw.goodput_weight,
        waste_weight: raw.waste_weight,
    }
}

/// Validates a message and converts it to an endpoint.
///
/// # Errors
/// [`ValidationError`] names the field and the remedy.
pub fn endpoint_from(message: v1::Endpoint) -> Result<Endpoint, ValidationError> {
    Endpoint::try_from(RawEndpoint {
        name: message.name,
        service: message.service,
        role: message.role,
        data_centre: message.data_centre,
        control: message.control,
        stream: message.stream,
        checks_fencing: message.checks_fencing,
        leaving: message.leaving,
        removed_unix_ms: None,
    })
}

/// Converts an endpoint of the given store version to a message.
pub fn endpoint_to(endpoint: &Endpoint, version: u64) -> v1::Endpoint {
    let raw = RawEndpoint::from(endpoint.clone());
    v1::Endpoint {
        name: raw.name,
        version,
        service: raw.service,
        role: raw.role,
        data_centre: raw.data_centre,
        control: raw.control,
        stream: raw.stream,
        checks_fencing: raw.checks_fencing,
        leaving: raw.leaving,
    }
}

/// Validates a message and converts it to a client account.
///
/// # Errors
/// [`ValidationError`] names the field and the remedy.
pub fn account_from(message: v1::Account) -> Result<ClientAccount, ValidationError> {
    ClientAccount::try_from(RawClientAccount {
        name: message.name,
        requests_per_second: message.requests_per_second,
        burst: message.burst,
    })
}

/// Converts a client account of the given store version to a message.
pub fn account_to(account: &ClientAccount, version: u64) -> v1::Account {
    let raw = RawClientAccount::from(account.clone());
    v1::Account {
        name: raw.name,
        version,
        requests_per_second: raw.requests_per_second,
        burst: raw.burst,
    }
}
