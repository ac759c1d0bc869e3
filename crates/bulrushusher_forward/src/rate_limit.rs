//! The rate limit that a runner signals in its answers.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Requests per second that a runner accepts from all gateways together.
///
/// ```
/// use bulrushusher_forward::RateLimit;
/// let limit = RateLimit::try_from("5.1").unwrap();
/// assert_eq!(limit.per_second(), 5.1);
/// assert!(RateLimit::try_from("-1").is_err() && RateLimit::try_from("NaN").is_err());
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

/// The text is not a valid rate limit.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a rate limit must be a decimal number of requests per second, 0 or more")]
pub struct RateLimitError;

impl RateLimit {
    /// Requests per second, 0 or more.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<&str> for RateLimit {
    type Error = RateLimitError;

    fn try_from(text: &str) -> Result<RateLimit, RateLimitError> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateLimitError)?;
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(RateLimit(per_second)),
            false => Err(RateLimitError),
        }
    }
}
