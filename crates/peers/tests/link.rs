//! Two and three links that pass datagrams by hand: what counts, what is dropped and as what.

use doorcourse_peers::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECRET: &[u8] = b"a secret of the fleet";
const OTHER: &[u8] = b"the next secret of it";

fn settings(number: GatewayNumber, incarnation: u64, secrets: &[&[u8]]) -> Settings {
    let address = |n: GatewayNumber| format!("127.0.0.1:{}", 9000 + n).parse().expect("an address");
    let peers: BTreeMap<_, _> = (0..3).filter(|n| *n != number).map(|n| (n, address(n))).collect();
    let secrets = secrets.iter().map(|s| s.to_vec()).collect();
    Settings {
        fleet: fleet_of("night"),
        gateway: number,
        incarnation,
        peers,
        secrets,
        unreachable_after: 1000,
    }
}

fn link(number: GatewayNumber, incarnation: u64) -> Link {
    Link::new(0, settings(number, incarnation, &[SECRET])).expect("settings that can be used")
}

/// Passes a datagram on, and the hellos that it gives rise to, until all is quiet.
fn pass(now: Millis, from: &mut Link, to: &mut Link, out: OutgoingDatagram) -> Option<ReceivedPayload> {
    let (mut hellos, mut told) = (Vec::new(), Vec::new());
    let heard = to.receive(now, now, &out.bytes, &mut hellos, &mut told);
    for hello in hellos {
        pass(now, to, from, hello);
    }
    heard
}

fn met(now: Millis, a: &mut Link, b: &mut Link, to: GatewayNumber) {
    let hello = a.send(now, now, to, 1, b"lost: it is not known yet".to_vec()).expect("a hello");
    assert_eq!(pass(now, a, b, hello), None);
}

#[test]
fn strangers_greet_and_then_talk() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    let out = a.send(20, 20, 1, 7, b"hear".to_vec()).expect("a datagram");
    let heard = pass(24, &mut a, &mut b, out.clone()).expect("heard");
    assert_eq!(
        (heard.sender, heard.incarnation, heard.channel, &heard.payload[..]),
        (0, 11, 7, &b"hear"[..])
    );
    // The same again is replayed, and nothing comes of it.
    assert_eq!(pass(25, &mut a, &mut b, out), None);
    assert_eq!(b.drops().count(DropReason::Replayed), 1);
    let answer = b.send(30, 30, 0, 7, Vec::new()).expect("an answer");
    assert!(pass(34, &mut b, &mut a, answer).is_some());
    let view = a.statuses(34).find(|v| v.number == 1).expect("a peer");
    assert_eq!((view.heard, view.silent, view.lost), (Some(0), false, 0));
    assert!(view.round_trip.is_some_and(|ms| (0.0..=8.0).contains(&ms)), "{view:?}");
}

#[test]
fn what_was_recorded_before_a_start_is_of_no_use_after_it() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    let old = a.send(20, 20, 1, 7, b"old".to_vec()).expect("a datagram");
    // The receiver starts again: it drops what was for its last start, and both know each other again.
    let mut b = link(1, 33);
    assert_eq!(pass(30, &mut a, &mut b, old.clone()), None);
    assert_eq!(b.drops().count(DropReason::Stale), 1);
    let new = a.send(100, 100, 1, 7, b"new".to_vec()).expect("a datagram");
    assert!(pass(101, &mut a, &mut b, new.clone()).is_some());
    // The sender starts again: what its last start said does not come back.
    let late = a.send(102, 102, 1, 7, b"late".to_vec()).expect("a datagram");
    let mut a = link(0, 44);
    met(200, &mut a, &mut b, 1);
    let fresh = a.send(300, 300, 1, 7, b"fresh".to_vec()).expect("a datagram");
    assert!(pass(301, &mut a, &mut b, fresh).is_some());
    assert_eq!(pass(302, &mut a, &mut b, late), None);
    assert_eq!(b.drops().count(DropReason::Stale), 3);
}

#[test]
fn each_wrong_datagram_is_dropped_by_its_cause() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    let good = a.send(20, 20, 1, 7, vec![1; 100]).expect("a datagram");
    let mut forged = good.clone();
    *forged.bytes.last_mut().expect("bytes") ^= 1;
    let mut said = Vec::new();
    let mut drop = |link: &mut Link, bytes: &[u8], why: DropReason| {
        let before = link.drops().count(why);
        assert_eq!(link.receive(30, 30, bytes, &mut said, &mut Vec::new()), None, "{why:?}");
        assert_eq!(link.drops().count(why), before + 1, "{why:?}");
    };
    drop(&mut b, &forged.bytes, DropReason::Forged);
    drop(&mut b, &vec![0; MAX_DATAGRAM_BYTES + 1], DropReason::TooLong);
    drop(&mut b, b"\xff\xff\xff", DropReason::Unreadable);
    let mut c = link(2, 33);
    drop(&mut c, &good.bytes, DropReason::OtherReceiver);
    let foreign = Settings { fleet: fleet_of("day"), ..settings(0, 11, &[SECRET]) };
    let mut foreign = Link::new(0, foreign).expect("usable");
    let out = foreign.send(20, 20, 1, 7, Vec::new()).expect("a hello");
    drop(&mut b, &out.bytes, DropReason::OtherFleet);
    let mut unknown = settings(1, 22, &[SECRET]);
    unknown.peers.remove(&0);
    drop(&mut Link::new(0, unknown).expect("usable"), &good.bytes, DropReason::UnknownSender);
    assert!(said.is_empty());
    // The good one is still good: nothing of the wrong ones was believed.
    assert!(b.receive(40, 40, &good.bytes, &mut said, &mut Vec::new()).is_some());
}

#[test]
fn secrets_change_while_all_go_on() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    // Both are taken by one before either sends with the new one.
    b.configure(20, settings(1, 99, &[SECRET, OTHER])).expect("usable");
    assert_eq!(b.incarnation(), 22, "a reload is no start");
    a.configure(20, settings(0, 99, &[OTHER, SECRET])).expect("usable");
    let out = a.send(30, 30, 1, 7, Vec::new()).expect("a datagram");
    assert!(pass(31, &mut a, &mut b, out).is_some());
    let out = b.send(32, 32, 0, 7, Vec::new()).expect("a datagram");
    assert!(pass(33, &mut b, &mut a, out).is_some());
    b.configure(40, settings(1, 22, &[OTHER])).expect("usable");
    a.configure(40, settings(0, 11, &[SECRET])).expect("usable");
    let out = a.send(50, 50, 1, 7, Vec::new()).expect("a datagram");
    assert_eq!(pass(51, &mut a, &mut b, out), None);
    assert_eq!(b.drops().count(DropReason::Forged), 1);
    assert_eq!(Link::new(0, settings(0, 1, &[b"short"])).err(), Some(SettingsError::SecretTooShort));
}

#[test]
fn silence_is_told_once_and_so_is_its_end() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    let known = a.send(20, 20, 1, 1, Vec::new()).expect("a datagram");
    pass(20, &mut a, &mut b, known);
    let mut told = Vec::new();
    let hello = b.send(60, 60, 0, 1, Vec::new()).expect("a datagram");
    a.receive(60, 60, &hello.bytes, &mut Vec::new(), &mut told);
    assert_eq!(a.next_timeout(), 1000, "the third peer was never heard of");
    a.tick(1059, &mut told);
    a.tick(1060, &mut told);
    a.tick(5000, &mut told);
    let silent: Vec<_> = told.drain(..).filter(|t| matches!(t, PeerEvent::Unreachable(_))).collect();
    assert_eq!(
        (silent, a.next_timeout()),
        (vec![PeerEvent::Unreachable(2), PeerEvent::Unreachable(1)], Millis::MAX)
    );
    let back = b.send(5100, 5100, 0, 1, Vec::new()).expect("a datagram");
    a.receive(5100, 5100, &back.bytes, &mut Vec::new(), &mut told);
    assert_eq!(told, [PeerEvent::Up(1)]);
}

#[test]
fn one_peer_costs_no_more_than_its_rate() {
    let (mut a, mut b) = (link(0, 11), link(1, 22));
    met(10, &mut a, &mut b, 1);
    let sent = (0..5000).filter(|_| a.send(20, 20, 1, 7, Vec::new()).is_some()).count();
    assert!(sent <= 800, "{sent}");
    assert!(a.send(30, 30, 1, 7, Vec::new()).is_some(), "it goes on at the rate");
    assert!(
        a.send(40, 40, 1, 7, vec![0; MAX_DATAGRAM_BYTES]).is_none(),
        "nothing beyond the longest goes out"
    );
}

proptest! {
    #[test]
    fn no_bytes_break_it(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut b = link(1, 22);
        let heard = b.receive(10, 10, &bytes, &mut Vec::new(), &mut Vec::new());
        prop_assert_eq!(heard, None);
    }

    /// One bit turned anywhere in a good datagram: it is dropped, whatever it then says.
    #[test]
    fn no_turned_bit_is_believed(at in 0usize..4000, bit in 0u8..8) {
        let (mut a, mut b) = (link(0, 11), link(1, 22));
        met(10, &mut a, &mut b, 1);
        let mut out = a.send(20, 20, 1, 7, vec![9; 40]).expect("a datagram");
        let at = at % out.bytes.len();
        out.bytes[at] ^= 1 << bit;
        prop_assert_eq!(b.receive(21, 21, &out.bytes, &mut Vec::new(), &mut Vec::new()), None);
    }
}
