//! The decision logic of an API gateway: several gateways together enforce the quotas of many customers of one shared
//! service. The crate does no I/O and reads no clock: the host reports to a [`Gateway`] what happened and when, and
//! executes the actions it returns.
//!
//! ```
//! use doorcourse::{
//!     Action, BackendEntry, BackendState, DeduplicationScope, Event, Gateway, Idempotency, IncomingRequest, Name,
//!     Placement, Plan, RequestClass, Settings,
//! };
//!
//! let read = RequestClass {
//!     name: "read".into(),
//!     latency_objective: 500.0,
//!     idempotency: Idempotency::Idempotent,
//!     deduplication_scope: DeduplicationScope::All,
//!     deduplication_window: 0.0,
//!     priority_weight: 1.0,
//!     late_response_value: 0.0,
//! };
//! let basic = Plan {
//!     name: "basic".into(),
//!     rate: 5.0,
//!     burst: 10.0,
//!     max_in_flight: 0,
//!     ceiling_rate: 0.0,
//!     ceiling_burst: 0.0,
//!     ceiling_slack: 0.0,
//!     priority_factor: 1.0,
//!     over_quota_value: 0.0,
//!     over_quota_cost: 1.0,
//! };
//! let settings = Settings {
//!     gateway_count: 1,
//!     gateway_index: 0,
//!     zone: "a".into(),
//!     tick: 1.0,
//!     classes: vec![read],
//!     plans: vec![basic],
//!     max_attempts: 3,
//!     max_retry_after: 1000.0,
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let backend = BackendEntry {
//!     name: "b1".into(),
//!     zone: "a".into(),
//!     cell: 0,
//!     state: BackendState::Ready,
//!     started: None,
//!     placement: Placement::default(),
//! };
//! gateway.handle(0.0, Event::BackendList(vec![backend]), &mut actions);
//! let request = IncomingRequest {
//!     id: 1,
//!     customer: "c".into(),
//!     plan: "basic".into(),
//!     class: "read".into(),
//!     units: 1.0,
//!     client_retry: false,
//!     timeout: 900.0,
//!     first_gateway: 0,
//!     gateway_count: 1,
//!     sticky_route: Name::default(),
//! };
//! gateway.handle(1.0, Event::RequestReceived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::SendAttempt { id: 1, .. })));
//! # Ok::<(), doorcourse::SettingsError>(())
//! ```
//!
//! # What the host must provide
//!
//! - One [`Gateway`] for each gateway of the fleet; after a restart a new one, with a fresh seed and the last endpoint
//!   list. Two gateways must not share a seed: their random choices would be the same.
//! - Clocks that agree among gateways to well within the shortest window of any plan: counter names are derived from
//!   the number of the window. Gateways whose clocks differ by a window use different counters, and each of them grants
//!   the quota again.
//! - A counter that adds an amount to the number stored under a name and returns the total. A call without a response
//!   in time is reported as [`CounterOutcome::Unknown`]. Each call is reported once, in the order of the calls to a
//!   name. If the host later learns the result of a call that it reported as unknown, it may report that as
//!   [`CounterOutcome::Late`].
//! - Timers: every timer that is set expires once, at or after its time.
//! - For every [`Action::SendAttempt`] exactly one [`Event::AttemptEnded`], by the client's timeout at the latest.
//! - Actions for requests that have ended. Between the end of a request (disconnect of its client, deadline, shutdown) and
//!   the event that reports it, other events may be queued, and the actions that follow from them may name the request. A
//!   [`Action::Reject`] or [`Action::Fail`] of it has no effect. A [`Action::SendAttempt`] of it, like any that cannot be
//!   started, is [`ActionOutcome::AttemptNotStarted`]; the host reports its end before any other event.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accounting;
mod action;
mod admission;
mod balancer;
mod counter;
mod event;
mod gateway;
mod gossip;
mod health;
mod maintenance;
mod quota;
mod random;
mod request;
mod restore;
mod retry;
mod settings;
mod settings_change;
mod status;
mod types;
mod validation;

pub use accounting::{AccountingCheck, CountMismatch, Counted};
pub use action::{Action, ActionOutcome, RejectReason};
pub use event::{
    AttemptEnd, AttemptOutcome, BackendEntry, BackendRole, BackendState, CounterOutcome, Event,
    IncomingRequest, LoadReport, Placement,
};
pub use gateway::Gateway;
pub use settings::{
    DeduplicationScope, Idempotency, LoadBalancing, LoadReportSource, MIN_CEILING_FACTOR, Plan, Quota,
    RequestClass, Routing, Settings, SettingsError,
};
pub use status::{BackendStatus, CustomerStatus};
pub use types::{Millis, Name, RequestId};
