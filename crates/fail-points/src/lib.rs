//! Fail points: rules of the gateways that a test build disables by name, to show that the tests which start processes
//! catch the absence of each.
//!
//! A build with the feature `failpoints` disables the one rule that the environment variable `DOORCOURSE_FAIL_POINT`
//! names, or none. Without the feature no rule can be disabled: [`rule_disabled`] is constant, and no fail point is left
//! in the program. `docs/platform.md` lists the names and the rules; `.ci/run` disables each in turn and fails where the
//! tests still pass.
//!
//! A rule asks where it applies:
//!
//! ```
//! use doorcourse_fail_points::rule_disabled;
//!
//! fn may_accept(open_connections: usize, limit: usize) -> bool {
//!     open_connections < limit || rule_disabled("connection-limit")
//! }
//! # assert!(may_accept(1, 2) && !may_accept(2, 2));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The environment variable that names the rule to disable. It is read once, when the first rule asks.
#[cfg(feature = "failpoints")]
const FAIL_POINT_VARIABLE: &str = "DOORCOURSE_FAIL_POINT";

/// Whether the rule of this name is disabled in this process.
#[inline]
#[must_use]
pub fn rule_disabled(rule: &str) -> bool {
    disabled_rule() == Some(rule)
}

/// The one rule that is disabled.
#[cfg(feature = "failpoints")]
fn disabled_rule() -> Option<&'static str> {
    use std::sync::OnceLock;
    static DISABLED_RULE: OnceLock<Option<String>> = OnceLock::new();
    DISABLED_RULE.get_or_init(|| std::env::var(FAIL_POINT_VARIABLE).ok()).as_deref()
}

/// A build without fail points disables no rule.
#[cfg(not(feature = "failpoints"))]
#[inline]
fn disabled_rule() -> Option<&'static str> {
    None
}
