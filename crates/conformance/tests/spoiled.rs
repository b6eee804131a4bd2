//! A record without violations passes, and for each rule a record that violates it is reported.

use doorcourse_conformance::{
    Bounds, Event, Kind, PlanBounds, Record, RetrySafety, Rule, check_rules, parse_records, summarize,
};
use std::collections::BTreeMap;

fn at(t: f64, event: Event) -> Record {
    Record { t, event }
}

fn request(t: f64, id: &str, retry_safety: RetrySafety, units: f64) -> Record {
    let (customer, plan, class) = ("c".into(), "p".into(), "x".into());
    let (key_retention_ms, worth, target_ms, timeout_ms) = (1000.0, 1.0, 300.0, 800.0);
    let (id, gateway, retry_of) = (id.into(), 0, None);
    at(
        t,
        Event::RequestSent {
            id,
            gateway,
            customer,
            plan,
            class,
            retry_safety,
            key_retention_ms,
            units,
            worth,
            target_ms,
            timeout_ms,
            retry_of,
        },
    )
}

fn response(t: f64, id: &str, kind: Kind) -> Record {
    at(t, Event::ResponseReceived { id: id.into(), kind, status: 200, code: String::new() })
}

fn request_read(t: f64, id: &str, node: &str, attempt: u64) -> Record {
    at(t, Event::RequestRead { id: id.into(), node: node.into(), attempt, work_ms: 50.0 })
}

fn executed(t: f64, id: &str) -> Record {
    at(t, Event::RequestExecuted { id: id.into(), node: "a".into(), dropped: false })
}

fn response_sent(t: f64, attempt: u64, status: u16) -> Record {
    at(t, Event::ResponseSent { attempt, status, units: 1.0 })
}

fn node_up(t: f64, node: &str, cell: u64, cold: bool) -> Record {
    at(t, Event::NodeUp { node: node.into(), cell, cold, cold_share: 0.2, warm_up_ms: 5000.0, capacity: 2.0 })
}

fn valid_record() -> Vec<Record> {
    let plan =
        PlanBounds { rate: 2.0, burst: 4.0, ceiling_rate: 4.0, ceiling_burst: 8.0, ceiling_slack: 1.0 };
    let bounds = Bounds {
        plans: BTreeMap::from([("p".into(), plan)]),
        response_slack_ms: 50.0,
        drain_grace_ms: 300.0,
        allowed_bursts: 1.5,
        max_request_units: 1.0,
        fall_multiple: 2.0,
        fall_window_ms: 1000.0,
    };
    vec![
        at(0.0, Event::Bounds(bounds)),
        node_up(0.0, "a", 1, false),
        node_up(0.0, "b", 2, false),
        node_up(0.0, "c", 1, true),
        request(10.0, "r1", RetrySafety::Unsafe, 1.0),
        request_read(12.0, "r1", "a", 1),
        executed(12.0, "r1"),
        response_sent(60.0, 1, 200),
        response(61.0, "r1", Kind::Served),
        request(100.0, "r2", RetrySafety::Keyed, 1.0),
        request_read(101.0, "r2", "a", 2),
        at(150.0, Event::AttemptClosed { attempt: 2 }),
        request_read(151.0, "r2", "c", 3),
        executed(152.0, "r2"),
        response_sent(200.0, 3, 200),
        response(201.0, "r2", Kind::Served),
        request(300.0, "r3", RetrySafety::Safe, 1.0),
        response(310.0, "r3", Kind::Refused),
        at(4000.0, Event::Phase { name: "end".into() }),
    ]
}

fn assert_violation(rule: Rule, part: &str, more: Vec<Record>) {
    let mut records = valid_record();
    records.extend(more);
    let violations = check_rules(&records);
    assert!(violations.iter().any(|b| b.rule == rule && b.what.contains(part)), "{part}: {violations:?}");
    assert!(!summarize(&records).rules_kept);
}

#[test]
fn a_good_record_passes() {
    assert_eq!(check_rules(&valid_record()), []);
    let report = summarize(&valid_record());
    assert!(report.rules_kept);
    assert_eq!((report.attempts, report.worth["p"]), ((3, 1), (2.0, 3.0)));
    let text: String = valid_record().iter().map(|r| serde_json::to_string(r).unwrap() + "\n").collect();
    assert_eq!(parse_records(&text).unwrap(), valid_record());
    assert!(parse_records("{\"t\":1,\"ev\":\"nonsense\"}").unwrap_err().starts_with("line 1"));
    assert_eq!(check_rules(&[]).len(), 1, "a record without bounds proves nothing");
}

#[test]
fn one_answer() {
    let rule = Rule::OneAnswer;
    assert_violation(rule, "after the final answer", vec![response(330.0, "r3", Kind::Served)]);
    assert_violation(
        rule,
        "after the final answer",
        vec![at(330.0, Event::DataAfterResponse { id: "r3".into() })],
    );
    assert_violation(
        rule,
        "ms after the client's time",
        vec![request(500.0, "x", RetrySafety::Safe, 0.1), response(1400.0, "x", Kind::Failed)],
    );
    let gave_up = at(1300.0, Event::TimedOut { id: "x".into() });
    assert_violation(
        rule,
        "no answer from gateway 0",
        vec![request(500.0, "x", RetrySafety::Safe, 0.1), gave_up.clone()],
    );
    let lost = at(600.0, Event::ConnectionLost { id: "x".into() });
    assert_violation(
        rule,
        "broke off without",
        vec![request(500.0, "x", RetrySafety::Safe, 0.1), lost.clone()],
    );
    assert_violation(rule, "tells no end", vec![request(500.0, "x", RetrySafety::Safe, 0.1)]);
    assert_violation(rule, "an end without a request", vec![response(500.0, "y", Kind::Served)]);
    // Requests to a gateway that was killed meanwhile may be lost; the end of another gateway is no excuse.
    let mut killed = valid_record();
    killed.extend([
        request(500.0, "x", RetrySafety::Safe, 0.1),
        at(590.0, Event::GatewayDown { gateway: 0 }),
        lost.clone(),
    ]);
    assert_eq!(check_rules(&killed), []);
    assert_violation(
        rule,
        "broke off",
        vec![request(500.0, "x", RetrySafety::Safe, 0.1), at(590.0, Event::GatewayDown { gateway: 1 }), lost],
    );
}

#[test]
fn no_effect_twice() {
    let rule = Rule::NoEffectTwice;
    assert_violation(rule, "may have run it", vec![request_read(65.0, "r1", "b", 9)]);
    assert_violation(rule, "another cell", vec![request_read(180.0, "r2", "b", 9)]);
    assert_violation(rule, "past the memory", vec![request_read(1500.0, "r2", "a", 9)]);
    assert_violation(rule, "still had it", vec![request_read(20.0, "r1", "b", 9)]);
    assert_violation(rule, "happened 2 times", vec![executed(190.0, "r2")]);
    assert_violation(rule, "no client sent", vec![request_read(190.0, "nobody", "a", 9)]);
    let refused = vec![
        request(500.0, "x", RetrySafety::Unsafe, 0.1),
        request_read(501.0, "x", "a", 9),
        response(600.0, "x", Kind::Refused),
    ];
    assert_violation(rule, "refused after", refused);
    // After a rejection with 429 another node may get the request, and a refusal is correct.
    let mut full = valid_record();
    full.extend([
        request(500.0, "x", RetrySafety::Unsafe, 0.1),
        request_read(501.0, "x", "a", 9),
        response_sent(502.0, 9, 429),
    ]);
    full.extend([
        request_read(503.0, "x", "b", 10),
        response_sent(504.0, 10, 429),
        response(600.0, "x", Kind::Refused),
    ]);
    assert_eq!(check_rules(&full), []);
}

#[test]
fn drains_kept() {
    let told = at(400.0, Event::Listed { node: "a".into(), ready: false });
    let late = vec![
        told.clone(),
        request(500.0, "x", RetrySafety::Safe, 0.1),
        request_read(750.0, "x", "a", 9),
        response(760.0, "x", Kind::Served),
    ];
    assert_violation(Rule::DrainsKept, "after the grace", late);
    let mut back = valid_record();
    back.extend([told, at(450.0, Event::Listed { node: "a".into(), ready: true })]);
    back.extend([
        request(500.0, "x", RetrySafety::Safe, 0.1),
        request_read(750.0, "x", "a", 9),
        response(760.0, "x", Kind::Served),
    ]);
    assert_eq!(check_rules(&back), []);
}

#[test]
fn cold_nodes() {
    let fell = at(500.0, Event::NodeCrashed { node: "c".into() });
    assert_violation(Rule::ColdNodes, "fell over", vec![fell]);
    // Capacity 2, a fifth of it cold: 2 x 0.4 x 1000 = 800 ms of work per window, and two requests of 50 ms as allowance.
    let burst = |count: u64| {
        let one = |n: u64| {
            [
                request(500.0, &format!("x{n}"), RetrySafety::Safe, 0.0),
                request_read(501.0, &format!("x{n}"), "c", 20 + n),
            ]
        };
        let ends = (0..count).map(|n| response(600.0, &format!("x{n}"), Kind::Served));
        (0..count).flat_map(one).chain(ends).collect::<Vec<_>>()
    };
    assert_violation(Rule::ColdNodes, "ms of work", burst(19));
    let mut fits = valid_record();
    fits.extend(burst(15));
    assert_eq!(check_rules(&fits), []);
}

#[test]
fn ceilings_and_quotas() {
    let spend = |count: u64, units: f64| {
        let one = |n: u64| {
            [
                request(900.0, &format!("x{n}"), RetrySafety::Safe, units),
                request_read(901.0, &format!("x{n}"), "a", 20 + n),
            ]
        };
        let ends = (0..count).map(|n| response(950.0, &format!("x{n}"), Kind::Served));
        (0..count).flat_map(one).chain(ends).collect::<Vec<_>>()
    };
    assert_violation(Rule::Ceilings, "below its ceiling", spend(10, 1.0));
    assert_violation(Rule::Quotas, "beyond 1.5 bursts", spend(8, 1.0));
    let mut fits = valid_record();
    fits.extend(spend(6, 1.0));
    assert_eq!(check_rules(&fits), []);
    // Units that are given back by the true units may be used again; a ceiling counts the price.
    let mut back = spend(6, 1.0);
    back.extend((0..6).map(|n| at(902.0, Event::ResponseSent { attempt: 20 + n, status: 200, units: 0.0 })));
    back.extend([
        request(910.0, "y", RetrySafety::Safe, 4.0),
        request_read(911.0, "y", "a", 99),
        response(950.0, "y", Kind::Served),
    ]);
    let mut records = valid_record();
    records.extend(back);
    let violations = check_rules(&records);
    assert!(violations.iter().all(|b| b.rule == Rule::Ceilings) && violations.len() == 1, "{violations:?}");
}
