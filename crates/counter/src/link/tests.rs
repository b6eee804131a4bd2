use super::*;
use crate::{HttpCodec, RespCodec};

fn settings() -> LinkSettings {
    LinkSettings {
        call_timeout: 50.0,
        initial_backoff: 100.0,
        max_backoff: 1000.0,
        unresponsive_timeout: 500.0,
        idle_timeout: f64::INFINITY,
    }
}

fn ready_link() -> CounterLink<RespCodec> {
    let mut link = CounterLink::new(settings(), RespCodec::default());
    let mut actions = Vec::new();
    link.handle_timeout(0.0, &mut actions);
    assert_eq!(actions, [LinkAction::Connect]);
    link.connection_opened(0.0);
    link
}

fn outcomes(actions: &[LinkAction]) -> Vec<(u64, CallOutcome)> {
    let outcome = |action: &LinkAction| match action {
        LinkAction::CallEnded { counter, outcome, .. } => Some((*counter, *outcome)),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

const REPLY: &[u8] = b"+OK\r\n+QUEUED\r\n+QUEUED\r\n*2\r\n$3\r\n7.5\r\n:1\r\n";

fn call(counter: u64) -> CounterCall {
    CounterCall { counter, amount: 2.5, time_to_live: 1000.0 }
}

#[test]
fn calls_end_once_in_order_when_replies_come_byte_by_byte() {
    let mut link = ready_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.call(1.0, call(2), &mut actions);
    link.take_output();
    for byte in [REPLY, REPLY].concat() {
        link.handle_input(2.0, &[byte], &mut actions);
    }
    assert_eq!(outcomes(&actions), [(1, CallOutcome::Total(7.5)), (2, CallOutcome::Total(7.5))]);
}

#[test]
fn late_reply_after_timeout_reports_added_and_next_call_has_its_own_total() {
    let mut link = ready_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.handle_timeout(50.0, &mut actions);
    link.call(60.0, call(2), &mut actions);
    link.take_output();
    link.handle_input(61.0, &[REPLY, REPLY].concat(), &mut actions);
    let late = CallOutcome::Late { added: true, total: Some(7.5) };
    assert_eq!(outcomes(&actions), [(1, CallOutcome::Unknown), (1, late), (2, CallOutcome::Total(7.5))]);
}

#[test]
fn unresponsive_connection_is_replaced_with_exponential_backoff() {
    let mut link = ready_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.handle_timeout(499.0, &mut actions);
    assert!(!actions.contains(&LinkAction::Close));
    assert_eq!(link.handle_timeout(500.0, &mut actions), 600.0);
    assert!(actions.contains(&LinkAction::Close));
    assert_eq!(outcomes(&actions), [(1, CallOutcome::Unknown)]);
    link.handle_timeout(600.0, &mut actions);
    link.connection_lost(600.0, "refused", &mut actions);
    assert_eq!(link.handle_timeout(601.0, &mut actions), 800.0);
    actions.clear();
    link.call(602.0, call(2), &mut actions);
    link.take_output();
    assert_eq!(outcomes(&actions), [(2, CallOutcome::NotAdded)]);
}

#[test]
fn refused_transaction_is_not_added_and_interrupted_one_is_unknown() {
    let mut link = ready_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    let refused = b"+OK\r\n-ERR no\r\n+QUEUED\r\n-EXECABORT discarded\r\n";
    link.handle_input(1.0, refused, &mut actions);
    link.call(2.0, call(2), &mut actions);
    link.take_output();
    link.connection_lost(3.0, "reset", &mut actions);
    assert_eq!(outcomes(&actions), [(1, CallOutcome::NotAdded), (2, CallOutcome::Unknown)]);
}

#[test]
fn unreadable_reply_closes_the_connection_once() {
    let mut link = ready_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.handle_input(1.0, b"HTTP/1.1 400\r\n", &mut actions);
    link.handle_input(1.0, REPLY, &mut actions);
    assert_eq!(actions.iter().filter(|a| **a == LinkAction::Close).count(), 1);
    assert_eq!(outcomes(&actions), [(1, CallOutcome::Unknown)]);
}

#[test]
fn refused_password_closes_the_connection() {
    let mut link = CounterLink::new(settings(), RespCodec::new(Some("x".into())));
    let mut actions = Vec::new();
    link.handle_timeout(0.0, &mut actions);
    link.connection_opened(0.0);
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.handle_input(1.0, b"-WRONGPASS\r\n", &mut actions);
    assert!(actions.contains(&LinkAction::Close));
    assert_eq!(outcomes(&actions), [(1, CallOutcome::Unknown)]);
}

fn http_link() -> CounterLink<HttpCodec> {
    let mut link = CounterLink::new(LinkSettings { idle_timeout: 3000.0, ..settings() }, HttpCodec::new("c"));
    link.handle_timeout(0.0, &mut Vec::new());
    link.connection_opened(0.0);
    link
}

#[test]
fn partially_written_call_is_not_added_when_the_connection_is_lost() {
    let mut link = http_link();
    let mut actions = Vec::new();
    link.call(0.0, call(1), &mut actions);
    link.call(0.0, call(2), &mut actions);
    let all = link.take_output().len();
    link.set_unwritten_bytes(1);
    link.call(0.0, call(3), &mut actions);
    link.connection_lost(1.0, "reset", &mut actions);
    assert!(all > 2);
    assert_eq!(
        outcomes(&actions),
        [(1, CallOutcome::Unknown), (2, CallOutcome::NotAdded), (3, CallOutcome::NotAdded)]
    );
}

#[test]
fn idle_connection_is_replaced_after_the_idle_timeout() {
    let mut link = http_link();
    let mut actions = Vec::new();
    assert_eq!(link.handle_timeout(2999.0, &mut actions), 3000.0);
    assert!(actions.is_empty());
    link.handle_timeout(3000.0, &mut actions);
    assert_eq!(actions, [LinkAction::Close, LinkAction::Connect]);
    link.connection_opened(3001.0);
    assert!(link.is_ready());
}

#[test]
fn connection_that_is_never_made_is_closed_after_the_unresponsive_timeout() {
    let mut link = CounterLink::new(settings(), HttpCodec::new("c"));
    let mut actions = Vec::new();
    assert_eq!(link.handle_timeout(0.0, &mut actions), 500.0);
    actions.clear();
    assert_eq!(link.handle_timeout(500.0, &mut actions), 600.0);
    assert!(actions.contains(&LinkAction::Close));
    actions.clear();
    link.handle_timeout(600.0, &mut actions);
    assert_eq!(actions, [LinkAction::Connect]);
}

#[test]
fn unreadable_total_leaves_its_call_and_later_calls_unknown() {
    let mut link = http_link();
    let mut actions = Vec::new();
    for counter in 1..4 {
        link.call(0.0, call(counter), &mut actions);
    }
    link.take_output();
    let good = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n4";
    link.handle_input(
        1.0,
        &[&good[..], b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n??", good].concat(),
        &mut actions,
    );
    let expected = [
        (1, CallOutcome::Total(4.0)),
        (2, CallOutcome::Unknown),
        (2, CallOutcome::Late { added: true, total: None }),
        (3, CallOutcome::Unknown),
    ];
    assert_eq!(
        outcomes(&actions),
        expected,
        "the one with the unreadable total was added, later ones may have been"
    );
    assert_eq!(actions.iter().filter(|a| **a == LinkAction::Close).count(), 1);
}
