//! Fail points: rules of the gateways that a test build can disable by name, to show that the tests that start
//! processes detect when a rule is missing.
//!
//! A build with the feature `failpoints` disables the one rule that the environment variable `DOORCOURSE_FAIL_POINT`
//! names, or none. Without the feature no rule can be disabled: [`rule_disabled`] is constant, and no fail point is
//! left in the program. `.ci/run` disables each rule in turn and fails if the tests still pass; `docs/platform.md`
//! lists the tests that detect each missing rule.
//!
//! | rule | package | what it ensures |
//! | --- | --- | --- |
//! | `discovery-call-timeout` | `discovery` | an unanswered request to discovery is repeated within the drain grace |
//! | `shutdown-deadline` | `graceful-shutdown` | requests are admitted, and get their final responses, only until shortly before SIGKILL |
//! | `close-idle-until-exit` | `graceful-shutdown` | after SIGTERM each connection closes once it is idle |
//! | `poll-peer-close` | `resp-gateway` | the poller reports the close of a client's connection separately from readability |
//! | `drain-accept-queue` | `resp-gateway` | the connections in the accept queue are accepted before the listener closes |
//! | `track-written-responses` | `resp-gateway` | a connection with a response that is not written yet does not expire by its idle timeout |
//! | `last-read-before-close` | `resp-gateway` | a connection is read once more before it closes |
//! | `pool-per-incarnation` | `resp-gateway` | a backend that was restarted or has another address gets a new pool of connections |
//! | `superseded-call-kept-apart` | `resp-gateway` | an incomplete response to a superseded call does not make it the current one |
//! | `pool-per-endpoint` | `http-gateway` | no connection to a backend's former address is used |
//! | `withdraw-unwritten-attempts` | `http-gateway` | attempts that a backend must not receive are withdrawn unless written |
//! | `re-poll-stalled-iteration` | `http-gateway` | a stalled iteration polls again for disconnected clients |
//!
//! The code of a rule checks whether it is disabled:
//!
//! ```
//! use doorcourse_fail_points::rule_disabled;
//!
//! fn may_use(connection_endpoint: &str, backend_endpoint: &str) -> bool {
//!     connection_endpoint == backend_endpoint || rule_disabled("pool-per-endpoint")
//! }
//! # assert!(may_use("10.0.0.1:80", "10.0.0.1:80") && !may_use("10.0.0.1:80", "10.0.0.2:80"));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The environment variable that names the rule to disable. It is read once, when the first rule is checked.
#[cfg(feature = "failpoints")]
const FAIL_POINT_VARIABLE: &str = "DOORCOURSE_FAIL_POINT";

/// Whether the rule of this name is disabled in this process.
#[inline]
#[must_use]
pub fn rule_disabled(rule: &str) -> bool {
    disabled_rule() == Some(rule)
}

/// The rule that is disabled, if any.
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
