//! The reasons why datagrams are dropped, and counts of the dropped datagrams.

use thiserror::Error;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// Longer than any datagram that a gateway sends.
    #[error("longer than {} bytes", crate::MAX_DATAGRAM_BYTES)]
    TooLong,
    /// Not a datagram of this protocol.
    #[error("not a datagram of this protocol")]
    Unreadable,
    /// Sent in another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// The authentication tag was not made with a secret of the fleet.
    #[error("its tag was made with no secret of the fleet")]
    Forged,
    /// Has an envelope of another version.
    #[error("of another version of the envelope")]
    UnknownVersion,
    /// Sent by a gateway that is not a peer in the settings.
    #[error("from a gateway that is no peer")]
    UnknownSender,
    /// Addressed to another gateway.
    #[error("for another gateway")]
    OtherReceiver,
    /// Addressed to another start of this gateway, or sent by a former start of the sender.
    #[error("of a former start of sender or receiver")]
    Stale,
    /// Accepted before, or so late that it is not known whether it was.
    #[error("accepted before, or too late")]
    Replayed,
    /// Exceeds the rate at which a peer may send.
    #[error("above the rate limit of a peer")]
    RateExceeded,
}

/// The number of reasons.
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

    /// The name in metrics and admin replies, which operators' charts match: it must not change.
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

/// Counts the dropped datagrams by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters([u64; REASON_COUNT]);

impl DropCounters {
    pub(crate) fn record(&mut self, reason: DropReason) {
        self.0[reason as usize] += 1;
    }

    /// How many datagrams were dropped for a reason.
    #[must_use]
    pub fn count(&self, reason: DropReason) -> u64 {
        self.0[reason as usize]
    }

    /// The names of all reasons, with how many datagrams were dropped for each.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> {
        DropReason::ALL.into_iter().map(DropReason::name).zip(self.0)
    }
}

#[cfg(test)]
mod tests;
