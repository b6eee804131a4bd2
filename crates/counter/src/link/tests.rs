use super::*;
use crate::{HttpCodec, RespCodec};

fn settings() -> LinkSettings {
    let (timeout, first_wait, longest_wait, dead_after) = (50.0, 100.0, 1000.0, 500.0);
    LinkSettings { timeout, first_wait, longest_wait, dead_after, idle_after: f64::INFINITY }
}

fn ready() -> Link<RespCodec> {
    let mut link = Link::new(settings(), RespCodec::default());
    let mut actions = Vec::new();
    link.tick(0.0, &mut actions);
    assert_eq!(actions, [LinkAction::Connect]);
    link.connected(0.0);
    link
}

fn ends(actions: &[LinkAction]) -> Vec<(u64, Ended)> {
    let one = |a: &LinkAction| match a {
        LinkAction::End { name, ended, .. } => Some((*name, *ended)),
        _ => None,
    };
    actions.iter().filter_map(one).collect()
}

const REPLY: &[u8] = b"+OK\r\n+QUEUED\r\n+QUEUED\r\n*2\r\n$3\r\n7.5\r\n:1\r\n";

fn call(name: u64) -> Call {
    Call { name, amount: 2.5, keep: 1000.0 }
}

#[test]
fn each_call_ends_once_in_order() {
    let (mut link, mut actions) = (ready(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.call(1.0, call(2), &mut actions);
    link.take_output();
    for byte in [REPLY, REPLY].concat() {
        link.input(2.0, &[byte], &mut actions);
    }
    assert_eq!(ends(&actions), [(1, Ended::Total(7.5)), (2, Ended::Total(7.5))]);
}

#[test]
fn a_late_total_tells_that_it_was_added_and_the_next_call_has_its_own() {
    let (mut link, mut actions) = (ready(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.tick(50.0, &mut actions);
    link.call(60.0, call(2), &mut actions);
    link.take_output();
    link.input(61.0, &[REPLY, REPLY].concat(), &mut actions);
    let late = Ended::Late { added: true, total: Some(7.5) };
    assert_eq!(ends(&actions), [(1, Ended::Unknown), (1, late), (2, Ended::Total(7.5))]);
}

#[test]
fn a_silent_connection_is_replaced_after_growing_waits() {
    let (mut link, mut actions) = (ready(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.tick(499.0, &mut actions);
    assert!(!actions.contains(&LinkAction::Close));
    assert_eq!(link.tick(500.0, &mut actions), 600.0);
    assert!(actions.contains(&LinkAction::Close));
    assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
    link.tick(600.0, &mut actions);
    link.lost(600.0, "refused", &mut actions);
    assert_eq!(link.tick(601.0, &mut actions), 800.0);
    actions.clear();
    link.call(602.0, call(2), &mut actions);
    link.take_output();
    assert_eq!(ends(&actions), [(2, Ended::NotAdded)]);
}

#[test]
fn a_refused_transaction_adds_nothing_and_a_broken_one_may_have() {
    let (mut link, mut actions) = (ready(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    let refused = b"+OK\r\n-ERR no\r\n+QUEUED\r\n-EXECABORT discarded\r\n";
    link.input(1.0, refused, &mut actions);
    link.call(2.0, call(2), &mut actions);
    link.take_output();
    link.lost(3.0, "reset", &mut actions);
    assert_eq!(ends(&actions), [(1, Ended::NotAdded), (2, Ended::Unknown)]);
}

#[test]
fn junk_closes_the_connection_once() {
    let (mut link, mut actions) = (ready(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.input(1.0, b"HTTP/1.1 400\r\n", &mut actions);
    link.input(1.0, REPLY, &mut actions);
    assert_eq!(actions.iter().filter(|a| **a == LinkAction::Close).count(), 1);
    assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
}

#[test]
fn a_refused_password_is_no_connection() {
    let mut link = Link::new(settings(), RespCodec::new(Some("x".into())));
    let mut actions = Vec::new();
    link.tick(0.0, &mut actions);
    link.connected(0.0);
    link.call(0.0, call(1), &mut actions);
    link.take_output();
    link.input(1.0, b"-WRONGPASS\r\n", &mut actions);
    assert!(actions.contains(&LinkAction::Close));
    assert_eq!(ends(&actions), [(1, Ended::Unknown)]);
}

fn http() -> Link<HttpCodec> {
    let mut link = Link::new(LinkSettings { idle_after: 3000.0, ..settings() }, HttpCodec::new("c"));
    link.tick(0.0, &mut Vec::new());
    link.connected(0.0);
    link
}

#[test]
fn what_was_not_written_whole_was_not_added() {
    let (mut link, mut actions) = (http(), Vec::new());
    link.call(0.0, call(1), &mut actions);
    link.call(0.0, call(2), &mut actions);
    let all = link.take_output().len();
    link.unwritten(1);
    link.call(0.0, call(3), &mut actions);
    link.lost(1.0, "reset", &mut actions);
    assert!(all > 2);
    assert_eq!(ends(&actions), [(1, Ended::Unknown), (2, Ended::NotAdded), (3, Ended::NotAdded)]);
}

#[test]
fn an_idle_connection_is_replaced_before_the_counter_ends_it() {
    let (mut link, mut actions) = (http(), Vec::new());
    assert_eq!(link.tick(2999.0, &mut actions), 3000.0);
    assert!(actions.is_empty());
    link.tick(3000.0, &mut actions);
    assert_eq!(actions, [LinkAction::Close, LinkAction::Connect]);
    link.connected(3001.0);
    assert!(link.is_ready());
}

#[test]
fn a_connection_that_never_comes_up_is_given_up() {
    let (mut link, mut actions) = (Link::new(settings(), HttpCodec::new("c")), Vec::new());
    assert_eq!(link.tick(0.0, &mut actions), 500.0);
    actions.clear();
    assert_eq!(link.tick(500.0, &mut actions), 600.0);
    assert!(actions.contains(&LinkAction::Close));
    actions.clear();
    link.tick(600.0, &mut actions);
    assert_eq!(actions, [LinkAction::Connect]);
}

#[test]
fn a_spoilt_total_leaves_its_call_and_those_behind_unknown() {
    let (mut link, mut actions) = (http(), Vec::new());
    for name in 1..4 {
        link.call(0.0, call(name), &mut actions);
    }
    link.take_output();
    let good = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n4";
    link.input(
        1.0,
        &[&good[..], b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n??", good].concat(),
        &mut actions,
    );
    let wanted = [
        (1, Ended::Total(4.0)),
        (2, Ended::Unknown),
        (2, Ended::Late { added: true, total: None }),
        (3, Ended::Unknown),
    ];
    assert_eq!(ends(&actions), wanted, "the spoilt one was added, what lay behind it may have been");
    assert_eq!(actions.iter().filter(|a| **a == LinkAction::Close).count(), 1);
}
