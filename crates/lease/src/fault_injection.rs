//! Rules of the protocol that a test disables to see that it is caught. In a build without the feature `fault-injection`,
//! which the product is, no rule can be disabled and none is looked up.

/// A rule of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DisabledRule {
    /// None: all rules are in force.
    #[default]
    None,
    /// A voter does not vote for the longest lease after a start.
    StartupWait,
    /// A lease expires counted from before its request was sent, not from the reply.
    ExpiryFromRequest,
    /// Only a majority of the present voter configuration counts, and no version is skipped.
    VoterVersions,
    /// A voter grants no token twice, and a candidate never reuses one.
    TokenUniqueness,
}
