//! A record without violations passes, and for each rule a record that violates it is reported.

use doorcourse_conformance::{
    Bounds, Event, Kind, PlanBounds, Record, RetrySafety, Rule, check_rules, parse_records, summarize,
};
use std::collections::BTreeMap;

fn at(t: f64, event: Event) -> Record {
    Record { t, event }
}

fn ask(t: f64, id: &str, retry_safety: RetrySafety, units: f64) -> Record {
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

fn answer(t: f64, id: &str, kind: Kind) -> Record {
    at(t, Event::ResponseReceived { id: id.into(), kind, status: 200, code: String::new() })
}

fn got(t: f64, id: &str, node: &str, attempt: u64) -> Record {
    at(t, Event::RequestRead { id: id.into(), node: node.into(), attempt, work_ms: 50.0 })
}

fn ran(t: f64, id: &str) -> Record {
    at(t, Event::RequestExecuted { id: id.into(), node: "a".into(), dropped: false })
}

fn replied(t: f64, attempt: u64, status: u16) -> Record {
    at(t, Event::ResponseSent { attempt, status, units: 1.0 })
}

fn up(t: f64, node: &str, cell: u64, cold: bool) -> Record {
    at(t, Event::NodeUp { node: node.into(), cell, cold, cold_share: 0.2, warm_up_ms: 5000.0, capacity: 2.0 })
}

fn good() -> Vec<Record> {
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
        up(0.0, "a", 1, false),
        up(0.0, "b", 2, false),
        up(0.0, "c", 1, true),
        ask(10.0, "r1", RetrySafety::Unsafe, 1.0),
        got(12.0, "r1", "a", 1),
        ran(12.0, "r1"),
        replied(60.0, 1, 200),
        answer(61.0, "r1", Kind::Served),
        ask(100.0, "r2", RetrySafety::Keyed, 1.0),
        got(101.0, "r2", "a", 2),
        at(150.0, Event::AttemptClosed { attempt: 2 }),
        got(151.0, "r2", "c", 3),
        ran(152.0, "r2"),
        replied(200.0, 3, 200),
        answer(201.0, "r2", Kind::Served),
        ask(300.0, "r3", RetrySafety::Safe, 1.0),
        answer(310.0, "r3", Kind::Refused),
        at(4000.0, Event::Phase { name: "end".into() }),
    ]
}

fn spoiled(rule: Rule, part: &str, more: Vec<Record>) {
    let mut records = good();
    records.extend(more);
    let violations = check_rules(&records);
    assert!(violations.iter().any(|b| b.rule == rule && b.what.contains(part)), "{part}: {violations:?}");
    assert!(!summarize(&records).rules_kept);
}

#[test]
fn a_good_record_passes() {
    assert_eq!(check_rules(&good()), []);
    let report = summarize(&good());
    assert!(report.rules_kept);
    assert_eq!((report.attempts, report.worth["p"]), ((3, 1), (2.0, 3.0)));
    let text: String = good().iter().map(|r| serde_json::to_string(r).unwrap() + "\n").collect();
    assert_eq!(parse_records(&text).unwrap(), good());
    assert!(parse_records("{\"t\":1,\"ev\":\"nonsense\"}").unwrap_err().starts_with("line 1"));
    assert_eq!(check_rules(&[]).len(), 1, "a record without bounds proves nothing");
}

#[test]
fn one_answer() {
    let rule = Rule::OneAnswer;
    spoiled(rule, "after the final answer", vec![answer(330.0, "r3", Kind::Served)]);
    spoiled(rule, "after the final answer", vec![at(330.0, Event::DataAfterResponse { id: "r3".into() })]);
    spoiled(
        rule,
        "ms after the client's time",
        vec![ask(500.0, "x", RetrySafety::Safe, 0.1), answer(1400.0, "x", Kind::Failed)],
    );
    let gave_up = at(1300.0, Event::TimedOut { id: "x".into() });
    spoiled(rule, "no answer from gateway 0", vec![ask(500.0, "x", RetrySafety::Safe, 0.1), gave_up.clone()]);
    let lost = at(600.0, Event::ConnectionLost { id: "x".into() });
    spoiled(rule, "broke off without", vec![ask(500.0, "x", RetrySafety::Safe, 0.1), lost.clone()]);
    spoiled(rule, "tells no end", vec![ask(500.0, "x", RetrySafety::Safe, 0.1)]);
    spoiled(rule, "an end without a request", vec![answer(500.0, "y", Kind::Served)]);
    // Requests to a gateway that was killed meanwhile may be lost; the end of another gateway is no excuse.
    let mut killed = good();
    killed.extend([
        ask(500.0, "x", RetrySafety::Safe, 0.1),
        at(590.0, Event::GatewayDown { gateway: 0 }),
        lost.clone(),
    ]);
    assert_eq!(check_rules(&killed), []);
    spoiled(
        rule,
        "broke off",
        vec![ask(500.0, "x", RetrySafety::Safe, 0.1), at(590.0, Event::GatewayDown { gateway: 1 }), lost],
    );
}

#[test]
fn no_effect_twice() {
    let rule = Rule::NoEffectTwice;
    spoiled(rule, "may have run it", vec![got(65.0, "r1", "b", 9)]);
    spoiled(rule, "another cell", vec![got(180.0, "r2", "b", 9)]);
    spoiled(rule, "past the memory", vec![got(1500.0, "r2", "a", 9)]);
    spoiled(rule, "still had it", vec![got(20.0, "r1", "b", 9)]);
    spoiled(rule, "happened 2 times", vec![ran(190.0, "r2")]);
    spoiled(rule, "no client sent", vec![got(190.0, "nobody", "a", 9)]);
    let refused = vec![
        ask(500.0, "x", RetrySafety::Unsafe, 0.1),
        got(501.0, "x", "a", 9),
        answer(600.0, "x", Kind::Refused),
    ];
    spoiled(rule, "refused after", refused);
    // After a rejection with 429 another node may get the request, and a refusal is correct.
    let mut full = good();
    full.extend([ask(500.0, "x", RetrySafety::Unsafe, 0.1), got(501.0, "x", "a", 9), replied(502.0, 9, 429)]);
    full.extend([got(503.0, "x", "b", 10), replied(504.0, 10, 429), answer(600.0, "x", Kind::Refused)]);
    assert_eq!(check_rules(&full), []);
}

#[test]
fn drains_kept() {
    let told = at(400.0, Event::Listed { node: "a".into(), ready: false });
    let late = vec![
        told.clone(),
        ask(500.0, "x", RetrySafety::Safe, 0.1),
        got(750.0, "x", "a", 9),
        answer(760.0, "x", Kind::Served),
    ];
    spoiled(Rule::DrainsKept, "after the grace", late);
    let mut back = good();
    back.extend([told, at(450.0, Event::Listed { node: "a".into(), ready: true })]);
    back.extend([
        ask(500.0, "x", RetrySafety::Safe, 0.1),
        got(750.0, "x", "a", 9),
        answer(760.0, "x", Kind::Served),
    ]);
    assert_eq!(check_rules(&back), []);
}

#[test]
fn cold_nodes() {
    let fell = at(500.0, Event::NodeCrashed { node: "c".into() });
    spoiled(Rule::ColdNodes, "fell over", vec![fell]);
    // Capacity 2, a fifth of it cold: 2 x 0.4 x 1000 = 800 ms of work per window, and two requests of 50 ms as allowance.
    let burst = |count: u64| {
        let one = |n: u64| {
            [ask(500.0, &format!("x{n}"), RetrySafety::Safe, 0.0), got(501.0, &format!("x{n}"), "c", 20 + n)]
        };
        let ends = (0..count).map(|n| answer(600.0, &format!("x{n}"), Kind::Served));
        (0..count).flat_map(one).chain(ends).collect::<Vec<_>>()
    };
    spoiled(Rule::ColdNodes, "ms of work", burst(19));
    let mut fits = good();
    fits.extend(burst(15));
    assert_eq!(check_rules(&fits), []);
}

#[test]
fn ceilings_and_quotas() {
    let spend = |count: u64, units: f64| {
        let one = |n: u64| {
            [
                ask(900.0, &format!("x{n}"), RetrySafety::Safe, units),
                got(901.0, &format!("x{n}"), "a", 20 + n),
            ]
        };
        let ends = (0..count).map(|n| answer(950.0, &format!("x{n}"), Kind::Served));
        (0..count).flat_map(one).chain(ends).collect::<Vec<_>>()
    };
    spoiled(Rule::Ceilings, "below its ceiling", spend(10, 1.0));
    spoiled(Rule::Quotas, "beyond 1.5 bursts", spend(8, 1.0));
    let mut fits = good();
    fits.extend(spend(6, 1.0));
    assert_eq!(check_rules(&fits), []);
    // Units that are given back by the true units may be used again; a ceiling counts the price.
    let mut back = spend(6, 1.0);
    back.extend((0..6).map(|n| at(902.0, Event::ResponseSent { attempt: 20 + n, status: 200, units: 0.0 })));
    back.extend([
        ask(910.0, "y", RetrySafety::Safe, 4.0),
        got(911.0, "y", "a", 99),
        answer(950.0, "y", Kind::Served),
    ]);
    let mut records = good();
    records.extend(back);
    let violations = check_rules(&records);
    assert!(violations.iter().all(|b| b.rule == Rule::Ceilings) && violations.len() == 1, "{violations:?}");
}
