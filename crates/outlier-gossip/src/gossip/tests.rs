use super::*;
use crate::{VerdictEffect, is_well, verdict_effect};

fn node(node: &str, failures: u32) -> NodeStatus {
    NodeStatus { node: node.into(), started: 5, failures, ready: true }
}

fn gossip(gateway: GatewayNumber) -> OutlierGossip {
    OutlierGossip::new(Settings { gateway, probe_interval: 100, max_outlier_fraction: 0.25, retention: 1000 })
}

fn tick(gossip: &mut OutlierGossip, now: Millis, failures: &[u32], lease_token: Option<u64>) -> Vec<Output> {
    let nodes = failures.iter().enumerate().map(|(at, f)| node(&format!("n{at}"), *f)).collect();
    let mut out = Vec::new();
    gossip.handle(now, Input::Tick { nodes, lease_token }, &mut out);
    out
}

fn probe_finished(gossip: &mut OutlierGossip, now: Millis, node: &str, succeeded: bool) {
    gossip.handle(now, Input::ProbeFinished { node: node.into(), succeeded }, &mut Vec::new());
}

fn receive_report(gossip: &mut OutlierGossip, now: Millis, from: GatewayNumber, node: &str, started: u64) {
    let message = Message::Reports(vec![FailureReport { node: node.into(), started }]);
    gossip.handle(now, Input::MessageReceived { from, message }, &mut Vec::new());
}

fn verdict_changes(out: &[Output]) -> Vec<(String, bool)> {
    let change = |o: &Output| match o {
        Output::VerdictChanged(verdict) => Some((verdict.node.clone(), verdict.is_outlier)),
        _ => None,
    };
    out.iter().filter_map(change).collect()
}

#[test]
fn the_holder_probes_a_reported_node_and_broadcasts_its_verdict() {
    let mut holder = gossip(0);
    tick(&mut holder, 0, &[0, 0, 0, 0], Some(9));
    receive_report(&mut holder, 10, 3, "n1", 5);
    assert_eq!(tick(&mut holder, 100, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
    assert!(tick(&mut holder, 150, &[0, 0, 0, 0], Some(9)).is_empty(), "one probe is in flight");
    probe_finished(&mut holder, 200, "n1", false);
    let out = tick(&mut holder, 210, &[0, 0, 0, 0], Some(9));
    assert_eq!(verdict_changes(&out), [("n1".to_owned(), true)]);
    let verdict =
        Verdict { node: "n1".into(), started: 5, is_outlier: true, age_ms: 0, reporting_gateways: 2 };
    assert!(
        out.contains(&Output::Broadcast(Message::Verdicts { token: 9, verdicts: vec![verdict] })),
        "{out:?}"
    );
    // The node is probed again while the verdict is in force, and one successful probe withdraws the verdict.
    assert_eq!(tick(&mut holder, 600, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
    probe_finished(&mut holder, 610, "n1", true);
    assert_eq!(verdict_changes(&tick(&mut holder, 620, &[0, 0, 0, 0], Some(9))), [("n1".to_owned(), false)]);
}

#[test]
fn the_evidence_of_one_gateway_makes_no_outlier() {
    let mut holder = gossip(0);
    // The holder's own requests and its probe fail: that is the evidence of one gateway.
    assert!(tick(&mut holder, 0, &[0, 5], Some(9)).contains(&Output::SendProbe("n1".into())));
    probe_finished(&mut holder, 50, "n1", false);
    assert!(verdict_changes(&tick(&mut holder, 60, &[0, 5], Some(9))).is_empty());
    // Another gateway does not accept such a verdict either.
    let mut other = gossip(1);
    tick(&mut other, 0, &[0, 0], None);
    let verdicts =
        vec![Verdict { node: "n1".into(), started: 5, is_outlier: true, age_ms: 0, reporting_gateways: 1 }];
    let mut out = Vec::new();
    other.handle(
        10,
        Input::MessageReceived { from: 0, message: Message::Verdicts { token: 9, verdicts } },
        &mut out,
    );
    assert!(out.is_empty());
}

#[test]
fn verdicts_are_bounded_in_number_age_and_token() {
    let mut other = gossip(1);
    tick(&mut other, 0, &[0; 8], None);
    let receive = |other: &mut OutlierGossip, now, token, node: &str, started, age_ms| {
        let verdicts =
            vec![Verdict { node: node.into(), started, is_outlier: true, age_ms, reporting_gateways: 3 }];
        let mut out = Vec::new();
        other.handle(
            now,
            Input::MessageReceived { from: 0, message: Message::Verdicts { token, verdicts } },
            &mut out,
        );
        verdict_changes(&out).len()
    };
    assert_eq!(receive(&mut other, 10, 9, "n1", 5, 0), 1);
    assert_eq!(receive(&mut other, 20, 9, "n2", 5, 0), 1);
    assert_eq!(receive(&mut other, 30, 9, "n3", 5, 0), 0, "a quarter of eight nodes");
    assert_eq!(receive(&mut other, 40, 9, "n1", 4, 0), 0, "another start of it");
    assert_eq!(receive(&mut other, 50, 9, "unlisted", 5, 0), 0);
    assert_eq!(receive(&mut other, 60, 8, "n1", 5, 0), 0, "of an earlier holder");
    assert_eq!(receive(&mut other, 70, 9, "n1", 5, 1000), 0, "too old");
    // Verdicts expire.
    tick(&mut other, 1100, &[0; 8], None);
    assert_eq!(receive(&mut other, 1110, 9, "n3", 5, 0), 1);
}

#[test]
fn a_verdict_alone_never_makes_a_report() {
    let verdict = |is_outlier, age_ms| Verdict {
        node: "n0".into(),
        started: 5,
        is_outlier,
        age_ms,
        reporting_gateways: 2,
    };
    let effect = |consecutive_failures, ejected_for| VerdictEffect { consecutive_failures, ejected_for };
    assert_eq!(verdict_effect(&verdict(true, 400), 1000, 0), effect(1, 600));
    assert_eq!(verdict_effect(&verdict(true, 400), 1000, 7), effect(7, 600), "its own failures stay");
    assert_eq!(verdict_effect(&verdict(false, 0), 1000, 7), effect(0, 0));
    // Otherwise a verdict would return as evidence and never expire.
    let VerdictEffect { consecutive_failures, .. } = verdict_effect(&verdict(true, 0), 1000, 0);
    assert!(tick(&mut gossip(1), 0, &[consecutive_failures], None).is_empty());
    assert!(is_well(200) && is_well(400) && !is_well(503) && !is_well(100));
}

#[test]
fn no_probe_without_the_lease_nor_of_a_node_that_is_not_ready() {
    let mut gateway = gossip(0);
    let out = tick(&mut gateway, 0, &[5, 0], None);
    assert_eq!(
        out,
        [Output::Broadcast(Message::Reports(vec![FailureReport { node: "n0".into(), started: 5 }]))]
    );
    let nodes = vec![NodeStatus { ready: false, ..node("n0", 5) }];
    let mut out = Vec::new();
    gateway.handle(200, Input::Tick { nodes, lease_token: Some(9) }, &mut out);
    assert!(out.is_empty(), "{out:?}");
}

#[test]
fn the_fleet_probes_at_the_configured_rate() {
    let mut holder = gossip(0);
    tick(&mut holder, 0, &[0; 6], Some(9));
    for node in 0..6 {
        receive_report(&mut holder, 10, 3, &format!("n{node}"), 5);
    }
    let probes = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::SendProbe(_))).count();
    let all: usize = (1..=50).map(|at| probes(&tick(&mut holder, at * 10, &[0; 6], Some(9)))).sum();
    assert_eq!(all, 5, "one each 100 ms");
}
