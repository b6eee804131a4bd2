//! The settings of a gateway: request classes, plans, limits and the capabilities of its host.

use crate::types::{Millis, Name};

/// What executing a request more than once does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried at any time.
    Idempotent,
    /// It carries an idempotency key: the backends of one scope deduplicate repetitions for a stated time.
    WithKey,
    /// It must never be executed twice.
    NonIdempotent,
}

/// The set of backends that deduplicate requests by a common record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class's name.
    pub name: Name,
    /// The latency objective in ms: a response within it has its full value.
    pub latency_objective: Millis,
    /// What executing a request of the class more than once does.
    pub idempotency: Idempotency,
    /// Which backends deduplicate repetitions of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// For how long repetitions are deduplicated, in ms from the first attempt that may have been executed.
    pub deduplication_window: Millis,
    /// The value of a response, relative to those of other classes; 0 or more.
    pub priority_weight: f64,
    /// The share of the value that a response after the latency objective still has, 0 to 1. Not used yet.
    pub late_response_value: f64,
}

/// The least ratio of a ceiling's burst to the burst of the quota under it. With it a ceiling is kept also where the
/// counter has lost its totals: `docs/design.md`, "Bounds on what a customer can be forwarded".
pub const MIN_CEILING_FACTOR: f64 = 1.6;

/// The units that all gateways together grant a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
}

/// One plan: the limits that hold for each of its customers over all gateways together. Rate, requests in flight and
/// ceiling are independent of each other: a plan may have any of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The plan's name.
    pub name: Name,
    /// Units per second; 0 means that the plan has no rate quota.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
    /// The most requests in flight at once; 0 means no such limit.
    pub max_in_flight: u32,
    /// The refill rate of the hard ceiling, in units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling holds.
    pub ceiling_burst: f64,
    /// The units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
    /// A factor on the priority weight of the plan's requests.
    pub priority_factor: f64,
    /// The share of its value that a response to a request beyond the quota earns.
    pub over_quota_value: f64,
    /// The share of its value that a request beyond the quota costs.
    pub over_quota_cost: f64,
}

impl Plan {
    /// The quota that the gateways enforce; `None` for a plan with neither a rate nor a ceiling.
    ///
    /// A ceiling limits it: to the ceiling's rate, and to a burst that leaves room under the ceiling for what the
    /// gateways may grant while they know no totals. A plan with a ceiling alone gets the largest such quota.
    #[must_use]
    pub fn enforced_quota(&self) -> Option<Quota> {
        let by_rate = (self.rate > 0.0).then_some(Quota { rate: self.rate, burst: self.burst });
        if self.ceiling_rate <= 0.0 {
            return by_rate;
        }
        let under_ceiling = Quota { rate: self.ceiling_rate, burst: self.ceiling_burst / MIN_CEILING_FACTOR };
        let Some(quota) = by_rate else { return Some(under_ceiling) };
        // The ratio is compared as the check of the settings does, so that a burst at the limit is not rounded.
        let burst_fits = self.ceiling_burst >= quota.burst * MIN_CEILING_FACTOR;
        Some(Quota {
            rate: quota.rate.min(under_ceiling.rate),
            burst: if burst_fits { quota.burst } else { under_ceiling.burst },
        })
    }

    /// Replaces rate and burst by those of the quota that is enforced.
    pub(crate) fn apply_enforced_quota(&mut self) {
        if let Some(quota) = self.enforced_quota() {
            self.rate = quota.rate;
            self.burst = quota.burst;
        }
    }
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With every response.
    Responses,
    /// With the responses to health checks only.
    HealthChecks,
}

/// How requests are spread over the backends of a priority level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadBalancing {
    /// To the backend with the fewest requests of this gateway in flight; by weight where weights differ.
    #[default]
    LeastInFlight,
    /// By weight alone.
    WeightedRoundRobin,
    /// To the backend with the fewest requests in flight relative to its weight; of equals by weight.
    WeightedLeastInFlight,
}

/// Rules for the choice among backends whose placement the endpoint list states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Routing {
    /// How requests are spread.
    pub load_balancing: LoadBalancing,
    /// Whether a request with a sticky route waits and is rejected rather than served elsewhere.
    pub strict_affinity: bool,
    /// Whether a backend without a known start time that refused a connection is assumed to have started when it is
    /// tried again.
    pub assume_restart: bool,
}

/// The configuration of a gateway. The default has zeros and no classes, for the caller to fill in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many gateways there are in all; a customer may use fewer, see `IncomingRequest::gateway_count`.
    pub gateway_count: u32,
    /// This gateway's index among them, from 0.
    pub gateway_index: u32,
    /// The zone this gateway is in.
    pub zone: Name,
    /// The resolution of the host's time, in ms: the shortest time by which two calls of `handle` differ if their times
    /// are not equal. In a simulator it is the time between batches (`period-ms` of the deployment document, which the
    /// RESP gateway reads as well); in the HTTP gateway it is 1 ms, the resolution of its timers.
    pub tick: Millis,
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter.
    pub has_counter: bool,
    /// A counter call without a response for this long, in ms, has timed out.
    pub counter_timeout: Millis,
    /// Whether responses report the units that their requests used. Not used yet: units are settled by each response
    /// that reports them.
    pub responses_report_units: bool,
    /// The most units of one request; 0 for no limit. The RESP gateway responds with an error to a request of more; the
    /// decisions do not use it.
    pub max_request_units: f64,
    /// The most customers whose state is kept; `None` for no limit. A customer that would be one more takes the place of
    /// one that is idle.
    pub max_customers: Option<usize>,
    /// Where load reports come from. Not used yet.
    pub load_reports: LoadReportSource,
    /// Whether backends may be sent health checks. Not used yet.
    pub health_checks_allowed: bool,
    /// Whether gateways may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled. Not used yet.
    pub cancellation_allowed: bool,
    /// Whether the endpoint list has to be asked for.
    pub watch_on_request: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest Retry-After that a client follows, in ms.
    pub max_retry_after: Millis,
    /// The share of its capacity that a backend has at its start, at least; 0 to 1.
    pub slow_start_share: f64,
    /// A backend has warmed up after this time at most, in ms.
    pub slow_start_duration: Millis,
    /// A backend that warms up fails when it is sent more than this multiple of its present capacity. Not used yet,
    /// only checked.
    pub overload_multiple: f64,
    /// The time over which that multiple is measured, in ms. Not used yet, only checked.
    pub overload_window: Millis,
    /// The price of crossing zones, as a share of the value of all requests (0 to 1). It is paid in full if the first
    /// attempt of every request goes to a backend in another zone, and in proportion if only some do.
    pub cross_zone_price: f64,
    /// How backends with a stated placement are chosen.
    pub routing: Routing,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// A value is negative, not finite, or zero where it may not be; the text names it.
    InvalidValue(&'static str),
    /// The gateway's own index is not below the number of gateways.
    GatewayIndexOutOfRange,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no request class"),
            Self::InvalidValue(what) => write!(f, "settings hold an unusable figure: {what}"),
            Self::GatewayIndexOutOfRange => {
                write!(f, "the gateway's number is not below the number of gateways")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
