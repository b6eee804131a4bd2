//! Rules of the protocol that a test can disable to show that it detects a missing rule. In a build without the feature
//! `fault-injection`, such as a release, no rule can be disabled and none is looked up.

/// A rule of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DisabledRule {
    /// No rule is disabled.
    #[default]
    None,
    /// After a start a voter does not vote until every lease that it may have granted before has expired.
    StartupWait,
    /// The duration of a lease counts from before its request was sent, not from the reply.
    ExpiryFromRequest,
    /// Only a majority of the current voter configuration counts, and no version is skipped.
    VoterVersions,
    /// A voter grants no token to two leases, and a candidate never reuses a token.
    TokenUniqueness,
}
