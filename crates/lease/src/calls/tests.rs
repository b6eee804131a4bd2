use super::*;
use crate::{Input, Settings, VoterConfiguration};

/// The leases of a fleet of one gateway, which has acquired its only task.
fn single_voter(now: Millis) -> Leases {
    let settings = Settings {
        incarnation: 1,
        lease_duration: 100,
        max_lease_duration: 100,
        gateways: [0].into(),
        voters: VoterConfiguration::first([0]),
        tasks: vec![7],
        ..Settings::default()
    };
    let mut leases = Leases::new(now, settings).expect("usable");
    leases.handle(now + 200, 0, Input::Tick, &mut Vec::new());
    leases
}

#[test]
fn one_call_is_in_flight_and_none_starts_that_outlasts_the_lease() {
    let mut leases = single_voter(0);
    let mut calls = CallSchedule::default();
    calls.configure(200, &BTreeMap::from([(7, CallSettings { interval: 10, duration: 30 })]));
    assert_eq!(calls.start_due(200, &leases).len(), 1);
    assert!(calls.start_due(205, &leases).is_empty(), "one is in flight");
    let call = calls.authorize_write(210, &mut leases, 7).expect("the write is authorized");
    assert!(call.deadline == 240 && call.deadline <= call.permit.expires_at);
    assert_eq!(calls.next_timeout(211, &leases), 240);
    calls.finish(220, 7);
    assert!(calls.start_due(229, &leases).is_empty());
    // The lease lasts from 200 to 300 ms and was not renewed: a call of 30 ms from 270 ms on does not fit.
    assert!(calls.start_due(270, &leases).is_empty());
    assert_eq!(calls.next_timeout(270, &leases), Millis::MAX);
}

#[test]
fn a_delayed_call_is_not_written_and_is_overdue() {
    let mut leases = single_voter(0);
    let mut calls = CallSchedule::default();
    calls.configure(200, &BTreeMap::from([(7, CallSettings { interval: 10, duration: 30 })]));
    calls.start_due(200, &leases);
    // The process was paused between the check and the write.
    assert_eq!(calls.authorize_write(500, &mut leases, 7), None);
    assert_eq!(calls.overdue(500), [7]);
    calls.finish(500, 7);
    assert!(calls.overdue(500).is_empty());
}
