//! Why datagrams are dropped, and how many were.

use thiserror::Error;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// Longer than any that is sent.
    #[error("longer than {} bytes", crate::MAX_DATAGRAM_BYTES)]
    TooLong,
    /// Not a datagram of this protocol.
    #[error("not a datagram of this protocol")]
    Unreadable,
    /// Of another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// Its tag was made with no secret of the fleet.
    #[error("its tag was made with no secret of the fleet")]
    Forged,
    /// Of another version of the envelope.
    #[error("of another version of the envelope")]
    UnknownVersion,
    /// From a gateway that the settings do not name.
    #[error("from a gateway that is no peer")]
    UnknownSender,
    /// For another gateway.
    #[error("for another gateway")]
    OtherReceiver,
    /// For another start of this gateway, or from a former start of its sender.
    #[error("of a former start of sender or receiver")]
    Stale,
    /// Accepted before, or so late that this cannot be known.
    #[error("accepted before, or too late")]
    Replayed,
    /// More than one peer may send.
    #[error("above the rate limit of a peer")]
    RateExceeded,
}

/// How many reasons there are.
const REASON_COUNT: usize = 10;

impl DropReason {
    const ALL: [Self; REASON_COUNT] = [
        Self::TooLong,
        Self::Unreadable,
        Self::OtherFleet,
        Self::Forged,
        Self::UnknownVersion,
        Self::UnknownSender,
        Self::OtherReceiver,
        Self::Stale,
        Self::Replayed,
        Self::RateExceeded,
    ];

    /// The name in metrics and admin replies, which operators chart.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::Unreadable => "unreadable",
            Self::OtherFleet => "foreign",
            Self::Forged => "forged",
            Self::UnknownVersion => "version",
            Self::UnknownSender => "sender",
            Self::OtherReceiver => "receiver",
            Self::Stale => "stale",
            Self::Replayed => "replayed",
            Self::RateExceeded => "too_many",
        }
    }
}

/// How many datagrams were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters([u64; REASON_COUNT]);

impl DropCounters {
    pub(crate) fn record(&mut self, reason: DropReason) {
        self.0[reason as usize] += 1;
    }

    /// How many were dropped for a reason.
    #[must_use]
    pub fn count(&self, reason: DropReason) -> u64 {
        self.0[reason as usize]
    }

    /// The names of all reasons, and how many were dropped for each.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
        DropReason::ALL.into_iter().map(DropReason::name).zip(self.0)
    }
}

#[cfg(test)]
mod tests;
