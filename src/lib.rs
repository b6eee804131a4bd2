//! doorcourse makes the decisions of a front door: a set of gateways that meter many customers' use of one
//! shared service. It does no input or output and reads no clock: the host tells a [`Gateway`] what happened
//! and when, and carries out the actions it gives back.
//!
//! ```
//! use doorcourse::{Action, BackendEntry, BackendState, DeduplicationScope, Event, Gateway, Idempotency, IncomingRequest, Name, Placement, Plan,
//!     RequestClass};
//!
//! let settings = doorcourse::Settings {
//!     gateways: 1, number: 0, zone: "a".into(), tick: 1.0,
//!     classes: vec![Class { name: "read".into(), aim: 500.0, effect: Effect::Safe, group: Group::All,
//!         memory: 0.0, worth: 1.0, late_worth: 0.0 }],
//!     plans: vec![Plan { name: "basic".into(), rate: 5.0, burst: 10.0, open: 0, ceiling_rate: 0.0,
//!         ceiling_burst: 0.0, ceiling_slack: 0.0, price: 1.0, over_worth: 0.0, over_cost: 1.0 }],
//!     most_attempts: 3, longest_advice: 1000.0, ..Default::default()
//! };
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let backend = BackendEntry { name: "b1".into(), zone: "a".into(), cell: 0, state: BackendState::Ready,
//!     started: None, place: Place::default() };
//! gateway.handle(0.0, Event::BackendList(vec![backend]), &mut actions);
//! gateway.handle(1.0, Event::Request(Arrival { id: 1, customer: "c".into(), plan: "basic".into(),
//!     class: "read".into(), units: 1.0, repeat: false, patience: 900.0, first: 0, spread: 1,
//!     bound: Name::default() }), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//! # Ok::<(), doorcourse::SettingsError>(())
//! ```
//!
//! # What the host must provide
//!
//! - One gateway object in a process of its own; after a restart a new one, with a fresh seed and the last list.
//!   No two share a seed: chance would choose alike.
//! - Clocks that agree among gateways to well within the shortest window of any plan: count names are made of the
//!   window's number. Gateways whose clocks differ by a window count apart, and each grants the quota again.
//! - A counter that adds an amount to a number by name and answers the total. A call without an answer in time is
//!   reported as [`CountOutcome::Unknown`]. One answer for each call, in the order of the calls of a name; what is
//!   learnt later of one that was reported so may be told as [`CountOutcome::Late`].
//! - Every timer asked for, once, at or after its time.
//! - For every [`Action::Send`] exactly one [`Event::AttemptEnded`], by the client's patience at the latest.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
mod interface;
mod logic;
mod mix;
mod routes;
mod state;

pub use interface::*;
pub use logic::Gateway;
