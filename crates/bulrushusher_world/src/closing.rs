//! Closings: named time windows with the services, deliverable classes and latency targets that
//! apply during them.

use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ClassName, ClosingName, ServiceName, ValidationError};

/// The maximum number of services, and of classes, in one closing.
const MAX_ITEMS: usize = 64;

/// Whether a request is latency-sensitive.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Patience {
    /// A user waits for the answer; scheduled first, within its latency targets.
    #[display("interactive")]
    Interactive,
    /// Batch work: may queue, but is never dropped or starved.
    #[display("patient")]
    Patient,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// May be executed again after a failure.
    #[display("idempotent")]
    Idempotent,
    /// Must be executed at most once.
    #[display("non_idempotent")]
    NonIdempotent,
}

/// A validated deliverable class: how its requests are scheduled and retried, and their targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawDeliverableClass", into = "RawDeliverableClass")]
pub struct DeliverableClass {
    /// Its name, unique in the closing.
    pub name: ClassName,
    /// Whether its requests are latency-sensitive.
    pub patience: Patience,
    /// Whether its requests may be executed again.
    pub repeat: Repeat,
    /// Target time to first token.
    pub ttft: Millis,
    /// Target time between tokens.
    pub per_token: Millis,
    /// The maximum time from arrival to the end of the response.
    pub deadline: Millis,
}

/// A deliverable class as written by operators, not yet validated; times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of DeliverableClass")]
pub struct RawDeliverableClass {
    pub name: String,
    pub patience: String,
    pub repeat: String,
    pub ttft_ms: u64,
    pub per_token_ms: u64,
    pub deadline_ms: u64,
}

/// Weights of the two optimization goals of a closing; both finite and at least 0, not both 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of goodput.
    pub goodput: f64,
    /// Weight of avoiding wasted prefill work.
    pub waste: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { goodput: 1.0, waste: 1.0 }
    }
}

/// A validated closing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawClosing", into = "RawClosing")]
pub struct Closing {
    /// Its name, unique in the deployment.
    pub name: ClosingName,
    /// Start of the window (inclusive), Unix time.
    pub starts: Millis,
    /// End of the window (exclusive), Unix time.
    pub ends: Millis,
    /// The services it applies to.
    pub services: Vec<ServiceName>,
    /// Its deliverable classes.
    pub classes: Vec<DeliverableClass>,
    /// Weights of its optimization goals.
    pub weights: Weights,
}

impl Closing {
    /// True when `now`, a Unix time, lies in the window.
    pub fn is_open(&self, now: Millis) -> bool {
        self.starts <= now && now < self.ends
    }

    /// The class with that name.
    pub fn class(&self, name: &ClassName) -> Option<&DeliverableClass> {
        self.classes.iter().find(|class| &class.name == name)
    }
}

/// A closing as written by operators, not yet validated; times in Unix milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of Closing")]
pub struct RawClosing {
    pub name: String,
    pub starts_unix_ms: u64,
    pub ends_unix_ms: u64,
    pub services: Vec<String>,
    pub classes: Vec<RawDeliverableClass>,
    pub goodput_weight: f64,
    pub waste_weight: f64,
}

impl TryFrom<&str> for Patience {
    type Error = ValidationError;
    fn try_from(text: &str) -> Result<Patience, ValidationError> {
        match text {
            "interactive" => Ok(Patience::Interactive),
            "patient" => Ok(Patience::Patient),
            other => {
                Err(ValidationError::field("patience", other, "give `interactive` or `patient`"))
            }
        }
    }
}

impl TryFrom<&str> for Repeat {
    type Error = ValidationError;
    fn try_from(text: &str) -> Result<Repeat, ValidationError> {
        match text {
            "idempotent" => Ok(Repeat::Idempotent),
            "non_idempotent" => Ok(Repeat::NonIdempotent),
            other => Err(ValidationError::field(
                "repeat",
                other,
                "give `idempotent` or `non_idempotent`",
            )),
        }
    }
}

fn check_positive(field: &'static str, ms: u64) -> Result<Millis, ValidationError> {
    match ms {
        0 => Err(ValidationError::field(field, ms, "give at least 1 ms")),
        ms => Ok(Millis(ms)),
    }
}

impl TryFrom<RawDeliverableClass> for DeliverableClass {
    type Error = ValidationError;
    fn try_from(raw: RawDeliverableClass) -> Result<DeliverableClass, ValidationError> {
        Ok(DeliverableClass {
            name: raw.name.try_into()?,
            patience: raw.patience.as_str().try_into()?,
            repeat: raw.repeat.as_str().try_into()?,
            ttft: check_positive("ttft_ms", raw.ttft_ms)?,
            per_token: check_positive("per_token_ms", raw.per_token_ms)?,
            deadline: check_positive("deadline_ms", raw.deadline_ms)?,
        })
    }
}

impl From<DeliverableClass> for RawDeliverableClass {
    fn from(c: DeliverableClass) -> RawDeliverableClass {
        RawDeliverableClass {
            name: c.name.into(),
            patience: c.patience.to_string(),
            repeat: c.repeat.to_string(),
            ttft_ms: c.ttft.0,
            per_token_ms: c.per_token.0,
            deadline_ms: c.deadline.0,
        }
    }
}

fn check_count(field: &'static str, count: usize) -> Result<(), ValidationError> {
    if count == 0 || count > MAX_ITEMS {
        return Err(ValidationError::field(field, count, "give 1 to 64"));
    }
    Ok(())
}

fn check_weights(weights: Weights) -> Result<Weights, ValidationError> {
    let is_valid = |w: f64| w.is_finite() && w >= 0.0;
    if !is_valid(weights.goodput)
        || !is_valid(weights.waste)
        || weights.goodput + weights.waste == 0.0
    {
        return Err(ValidationError::field(
            "weights",
            format!("{} and {}", weights.goodput, weights.waste),
            "give two numbers of at least 0, not both 0",
        ));
    }
    Ok(weights)
}

impl TryFrom<RawClosing> for Closing {
    type Error = ValidationError;
    fn try_from(raw: RawClosing) -> Result<Closing, ValidationError> {
        if raw.ends_unix_ms <= raw.starts_unix_ms {
            return Err(ValidationError::field(
                "ends_unix_ms",
                raw.ends_unix_ms,
                "give a later time",
            ));
        }
        check_count("services", raw.services.len())?;
        check_count("classes", raw.classes.len())?;
        let weights =
            check_weights(Weights { goodput: raw.goodput_weight, waste: raw.waste_weight })?;
        let mut classes: Vec<DeliverableClass> = Vec::new();
        for class in raw.classes {
            let class = DeliverableClass::try_from(class)?;
            if classes.iter().any(|other| other.name == class.name) {
                return Err(ValidationError::field("classes", class.name, "name each class once"));
            }
            classes.push(class);
        }
        let services: Result<Vec<ServiceName>, _> =
            raw.services.into_iter().map(ServiceName::try_from).collect();
        Ok(Closing {
            name: raw.name.try_into()?,
            starts: Millis(raw.starts_unix_ms),
            ends: Millis(raw.ends_unix_ms),
            services: services?,
            classes,
            weights,
        })
    }
}

impl From<Closing> for RawClosing {
    fn from(c: Closing) -> RawClosing {
        RawClosing {
            name: c.name.into(),
            starts_unix_ms: c.starts.0,
            ends_unix_ms: c.ends.0,
            services: c.services.into_iter().map(String::from).collect(),
            classes: c.classes.into_iter().map(RawDeliverableClass::from).collect(),
            goodput_weight: c.weights.goodput,
            waste_weight: c.weights.waste,
        }
    }
}
