//! Patterns of demand and faults while gateways enforce a shared quota.

use derive_more::Display;

/// A pattern of demand, with a fault where its description says so.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QuotaPattern {
    /// The usual demand, somewhat more than half of the quota.
    #[display("usual demand")]
    Usual,
    /// The account sends 7.5 times its usual demand for some seconds.
    #[display("hot account")]
    HotAccount,
    /// The quota is lowered to a quarter; demand stays the same.
    #[display("lowered quota")]
    LoweredQuota,
    /// All gateways are killed at the same time and restart a second later, three times within a
    /// window, while the account is hot.
    #[display("total restart")]
    TotalRestart,
    /// Gateways restart one after the other while the account is hot.
    #[display("rolling restart")]
    RollingRestart,
    /// Gateways restart one after the other at the usual demand.
    #[display("rolling restart, usual demand")]
    UsualRollingRestart,
    /// All gateways are killed at the same time and restart a second later, once, at the usual
    /// demand.
    #[display("total restart, usual demand")]
    UsualTotalRestart,
    /// A network partition into two halves while the account is hot.
    #[display("two halves")]
    Partition,
    /// A tenth of the gateways exchange no reports with any other gateway while the account is hot.
    #[display("a tenth cut off")]
    TenthIsolated,
    /// One in ten reports between gateways is lost while the account is hot.
    #[display("lost words")]
    LostReports,
}

impl QuotaPattern {
    /// All patterns.
    pub const ALL: [QuotaPattern; 10] = [
        QuotaPattern::Usual,
        QuotaPattern::HotAccount,
        QuotaPattern::LoweredQuota,
        QuotaPattern::TotalRestart,
        QuotaPattern::RollingRestart,
        QuotaPattern::UsualRollingRestart,
        QuotaPattern::UsualTotalRestart,
        QuotaPattern::Partition,
        QuotaPattern::TenthIsolated,
        QuotaPattern::LostReports,
    ];

    /// Whether demand is far above the quota for some seconds.
    pub(crate) fn is_hot(self) -> bool {
        use QuotaPattern::{LoweredQuota, Usual, UsualRollingRestart, UsualTotalRestart};
        !matches!(self, Usual | LoweredQuota | UsualRollingRestart | UsualTotalRestart)
    }

    /// Share of lost reports between gateways.
    pub(crate) fn report_loss(self) -> f64 {
        match self {
            QuotaPattern::LostReports => 0.1,
            _ => 0.001,
        }
    }
}
