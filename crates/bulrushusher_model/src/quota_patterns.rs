//! What may happen to gateways while they keep a quota together.

use derive_more::Display;

/// A pattern of demand and trouble.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QuotaPattern {
    /// The usual demand: somewhat more than half of the quota.
    #[display("usual demand")]
    Usual,
    /// The account sends seven and a half times its usual for some seconds.
    #[display("hot account")]
    HotAccount,
    /// The quota is lowered to a quarter while demand stays.
    #[display("lowered quota")]
    LoweredQuota,
    /// All gateways are killed at once while the account is hot, and start again a second later; three times
    /// within a window.
    #[display("total restart")]
    TotalRestart,
    /// Gateways are started again one after the other while the account is hot.
    #[display("rolling restart")]
    RollingRestart,
    /// Half of the gateways do not hear the other half while the account is hot.
    #[display("two halves")]
    TwoHalves,
    /// A tenth of the gateways hears nobody while the account is hot.
    #[display("a tenth cut off")]
    TenthCutOff,
    /// One word in ten between gateways is lost while the account is hot.
    #[display("lost words")]
    LostWords,
}

impl QuotaPattern {
    /// All patterns.
    pub const ALL: [QuotaPattern; 8] = [
        QuotaPattern::Usual,
        QuotaPattern::HotAccount,
        QuotaPattern::LoweredQuota,
        QuotaPattern::TotalRestart,
        QuotaPattern::RollingRestart,
        QuotaPattern::TwoHalves,
        QuotaPattern::TenthCutOff,
        QuotaPattern::LostWords,
    ];

    /// True where demand is far above the quota for some seconds.
    pub(crate) fn is_hot(self) -> bool {
        !matches!(self, QuotaPattern::Usual | QuotaPattern::LoweredQuota)
    }

    /// Share of the words between gateways that are lost.
    pub(crate) fn loss(self) -> f64 {
        match self {
            QuotaPattern::LostWords => 0.1,
            _ => 0.001,
        }
    }
}
