use super::*;

fn seen(node: &str, failures: u32) -> Seen {
    Seen { node: node.into(), started: 5, failures, ready: true }
}

fn suspects(number: GatewayNumber) -> OutlierGossip {
    OutlierGossip::new(Settings {
        gateway: number,
        probe_interval: 100,
        max_outlier_fraction: 0.25,
        retention: 1000,
    })
}

fn tick(suspects: &mut OutlierGossip, now: Millis, failures: &[u32], held: Option<u64>) -> Vec<Output> {
    let seen = failures.iter().enumerate().map(|(at, f)| seen(&format!("n{at}"), *f)).collect();
    let mut out = Vec::new();
    suspects.handle(now, Input::Tick { nodes: seen, lease_token: held }, &mut out);
    out
}

fn tried(suspects: &mut OutlierGossip, now: Millis, node: &str, good: bool) {
    suspects.handle(now, Input::ProbeFinished { node: node.into(), succeeded: good }, &mut Vec::new());
}

fn reported(suspects: &mut OutlierGossip, now: Millis, from: GatewayNumber, node: &str, started: u64) {
    let message = Message::Reports(vec![FailureReport { node: node.into(), started }]);
    suspects.handle(now, Input::MessageReceived { from, message }, &mut Vec::new());
}

fn hints(out: &[Output]) -> Vec<(String, bool)> {
    let hint = |o: &Output| match o {
        Output::VerdictChanged(word) => Some((word.node.clone(), word.is_outlier)),
        _ => None,
    };
    out.iter().filter_map(hint).collect()
}

#[test]
fn the_holder_tries_what_others_report_and_calls_it_bad() {
    let mut holder = suspects(0);
    tick(&mut holder, 0, &[0, 0, 0, 0], Some(9));
    reported(&mut holder, 10, 3, "n1", 5);
    assert_eq!(tick(&mut holder, 100, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
    assert!(tick(&mut holder, 150, &[0, 0, 0, 0], Some(9)).is_empty(), "one trial is out");
    tried(&mut holder, 200, "n1", false);
    let out = tick(&mut holder, 210, &[0, 0, 0, 0], Some(9));
    assert_eq!(hints(&out), [("n1".to_owned(), true)]);
    let word = Verdict { node: "n1".into(), started: 5, is_outlier: true, age_ms: 0, reporting_gateways: 2 };
    assert!(
        out.contains(&Output::Broadcast(Message::Verdicts { token: 9, verdicts: vec![word] })),
        "{out:?}"
    );
    // It is tried on while its word holds, and good again with one answer.
    assert_eq!(tick(&mut holder, 600, &[0, 0, 0, 0], Some(9)), [Output::SendProbe("n1".into())]);
    tried(&mut holder, 610, "n1", true);
    assert_eq!(hints(&tick(&mut holder, 620, &[0, 0, 0, 0], Some(9))), [("n1".to_owned(), false)]);
}

#[test]
fn one_gateway_alone_calls_nothing_bad() {
    let mut holder = suspects(0);
    // Its own requests fail and its own trial fails: that is one gateway.
    assert!(tick(&mut holder, 0, &[0, 5], Some(9)).contains(&Output::SendProbe("n1".into())));
    tried(&mut holder, 50, "n1", false);
    assert!(hints(&tick(&mut holder, 60, &[0, 5], Some(9))).is_empty());
    // Whoever hears such a word does not take it either.
    let mut other = suspects(1);
    tick(&mut other, 0, &[0, 0], None);
    let words =
        vec![Verdict { node: "n1".into(), started: 5, is_outlier: true, age_ms: 0, reporting_gateways: 1 }];
    let mut out = Vec::new();
    other.handle(
        10,
        Input::MessageReceived { from: 0, message: Message::Verdicts { token: 9, verdicts: words } },
        &mut out,
    );
    assert!(out.is_empty());
}

#[test]
fn words_are_bounded_in_number_age_and_token() {
    let mut other = suspects(1);
    tick(&mut other, 0, &[0; 8], None);
    let say = |other: &mut OutlierGossip, now, token, node: &str, started, age| {
        let words = vec![Verdict {
            node: node.into(),
            started,
            is_outlier: true,
            age_ms: age,
            reporting_gateways: 3,
        }];
        let mut out = Vec::new();
        other.handle(
            now,
            Input::MessageReceived { from: 0, message: Message::Verdicts { token, verdicts: words } },
            &mut out,
        );
        hints(&out).len()
    };
    assert_eq!(say(&mut other, 10, 9, "n1", 5, 0), 1);
    assert_eq!(say(&mut other, 20, 9, "n2", 5, 0), 1);
    assert_eq!(say(&mut other, 30, 9, "n3", 5, 0), 0, "a quarter of eight nodes");
    assert_eq!(say(&mut other, 40, 9, "n1", 4, 0), 0, "another start of it");
    assert_eq!(say(&mut other, 50, 9, "nobody", 5, 0), 0);
    assert_eq!(say(&mut other, 60, 8, "n1", 5, 0), 0, "of a holder that is none any more");
    assert_eq!(say(&mut other, 70, 9, "n1", 5, 1000), 0, "too old");
    // Words run out by themselves.
    tick(&mut other, 1100, &[0; 8], None);
    assert_eq!(say(&mut other, 1110, 9, "n3", 5, 0), 1);
}

#[test]
fn a_word_alone_never_makes_a_report() {
    let word = |bad, age| Verdict {
        node: "n0".into(),
        started: 5,
        is_outlier: bad,
        age_ms: age,
        reporting_gateways: 2,
    };
    assert_eq!(remembered(&word(true, 400), 1000, 0), (1, 600));
    assert_eq!(remembered(&word(true, 400), 1000, 7), (7, 600), "its own failures stay");
    assert_eq!(remembered(&word(false, 0), 1000, 7), (0, 0));
    // Else what was heard would come back as evidence, and no word would ever run out.
    let (failures, _) = remembered(&word(true, 0), 1000, 0);
    assert!(tick(&mut suspects(1), 0, &[failures], None).is_empty());
    assert!(is_well(200) && is_well(400) && !is_well(503) && !is_well(100));
}

#[test]
fn nothing_is_tried_without_the_lease_nor_where_the_list_forbids() {
    let mut gateway = suspects(0);
    let out = tick(&mut gateway, 0, &[5, 0], None);
    assert_eq!(
        out,
        [Output::Broadcast(Message::Reports(vec![FailureReport { node: "n0".into(), started: 5 }]))]
    );
    let seen = vec![Seen { ready: false, ..seen("n0", 5) }];
    let mut out = Vec::new();
    gateway.handle(200, Input::Tick { nodes: seen, lease_token: Some(9) }, &mut out);
    assert!(out.is_empty(), "{out:?}");
}

#[test]
fn the_fleet_s_rate_of_trials_is_kept() {
    let mut holder = suspects(0);
    tick(&mut holder, 0, &[0; 6], Some(9));
    for node in 0..6 {
        reported(&mut holder, 10, 3, &format!("n{node}"), 5);
    }
    let tries = |out: &[Output]| out.iter().filter(|o| matches!(o, Output::SendProbe(_))).count();
    let all: usize = (1..=50).map(|at| tries(&tick(&mut holder, at * 10, &[0; 6], Some(9)))).sum();
    assert_eq!(all, 5, "one each 100 ms");
}
