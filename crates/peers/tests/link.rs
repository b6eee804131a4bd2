//! Tests with two or three links, between which the tests pass the datagrams: what is accepted, what is dropped and
//! why.

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

/// Delivers a datagram, and then the hellos that follow from it until there are no more.
fn deliver(now: Millis, from: &mut Link, to: &mut Link, out: OutgoingDatagram) -> Option<ReceivedPayload> {
    let mut hellos = Vec::new();
    let mut events = Vec::new();
    let received = to.receive(now, now, &out.bytes, &mut hellos, &mut events);
    for hello in hellos {
        deliver(now, to, from, hello);
    }
    received
}

fn exchange_hellos(now: Millis, a: &mut Link, b: &mut Link, to: GatewayNumber) {
    let hello = a.send(now, now, to, 1, b"not sent: the peer is unknown".to_vec()).expect("a hello");
    assert_eq!(deliver(now, a, b, hello), None);
}

#[test]
fn a_payload_is_accepted_after_an_exchange_of_hellos() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    let out = a.send(20, 20, 1, 7, b"ping".to_vec()).expect("a datagram");
    let received = deliver(24, &mut a, &mut b, out.clone()).expect("a payload");
    assert_eq!(
        (received.sender, received.incarnation, received.channel, &received.payload[..]),
        (0, 11, 7, &b"ping"[..])
    );
    // The same datagram again is a replay.
    assert_eq!(deliver(25, &mut a, &mut b, out), None);
    assert_eq!(b.drops().count(DropReason::Replayed), 1);
    let answer = b.send(30, 30, 0, 7, Vec::new()).expect("an answer");
    assert!(deliver(34, &mut b, &mut a, answer).is_some());
    let status = a.statuses(34).find(|status| status.gateway == 1).expect("a peer");
    assert_eq!((status.last_received_ago, status.unreachable, status.lost), (Some(0), false, 0));
    assert!(status.round_trip.is_some_and(|ms| (0.0..=8.0).contains(&ms)), "{status:?}");
}

#[test]
fn datagrams_of_former_starts_are_dropped() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    let old = a.send(20, 20, 1, 7, b"old".to_vec()).expect("a datagram");
    // The receiver restarts: it drops what was addressed to its previous start, and both exchange hellos again.
    let mut b = link(1, 33);
    assert_eq!(deliver(30, &mut a, &mut b, old.clone()), None);
    assert_eq!(b.drops().count(DropReason::Stale), 1);
    let new = a.send(100, 100, 1, 7, b"new".to_vec()).expect("a datagram");
    assert!(deliver(101, &mut a, &mut b, new.clone()).is_some());
    // The sender restarts: datagrams of its previous start are dropped.
    let late = a.send(102, 102, 1, 7, b"late".to_vec()).expect("a datagram");
    let mut a = link(0, 44);
    exchange_hellos(200, &mut a, &mut b, 1);
    let fresh = a.send(300, 300, 1, 7, b"fresh".to_vec()).expect("a datagram");
    assert!(deliver(301, &mut a, &mut b, fresh).is_some());
    assert_eq!(deliver(302, &mut a, &mut b, late), None);
    assert_eq!(b.drops().count(DropReason::Stale), 3);
}

#[test]
fn each_invalid_datagram_is_dropped_for_its_reason() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    let good = a.send(20, 20, 1, 7, vec![1; 100]).expect("a datagram");
    let mut forged = good.clone();
    *forged.bytes.last_mut().expect("bytes") ^= 1;
    let mut hellos = Vec::new();
    let mut drop = |link: &mut Link, bytes: &[u8], reason: DropReason| {
        let before = link.drops().count(reason);
        assert_eq!(link.receive(30, 30, bytes, &mut hellos, &mut Vec::new()), None, "{reason:?}");
        assert_eq!(link.drops().count(reason), before + 1, "{reason:?}");
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
    assert!(hellos.is_empty());
    // The valid datagram is still accepted: the invalid ones changed no state.
    assert!(b.receive(40, 40, &good.bytes, &mut hellos, &mut Vec::new()).is_some());
}

#[test]
fn secrets_rotate_without_loss() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    // One gateway accepts both secrets before any gateway sends with the new one.
    b.configure(20, settings(1, 99, &[SECRET, OTHER])).expect("usable");
    assert_eq!(b.incarnation(), 22, "a change of settings is no start");
    a.configure(20, settings(0, 99, &[OTHER, SECRET])).expect("usable");
    let out = a.send(30, 30, 1, 7, Vec::new()).expect("a datagram");
    assert!(deliver(31, &mut a, &mut b, out).is_some());
    let out = b.send(32, 32, 0, 7, Vec::new()).expect("a datagram");
    assert!(deliver(33, &mut b, &mut a, out).is_some());
    b.configure(40, settings(1, 22, &[OTHER])).expect("usable");
    a.configure(40, settings(0, 11, &[SECRET])).expect("usable");
    let out = a.send(50, 50, 1, 7, Vec::new()).expect("a datagram");
    assert_eq!(deliver(51, &mut a, &mut b, out), None);
    assert_eq!(b.drops().count(DropReason::Forged), 1);
    assert_eq!(Link::new(0, settings(0, 1, &[b"short"])).err(), Some(SettingsError::SecretTooShort));
}

#[test]
fn a_peer_becomes_unreachable_once_and_reachable_once() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    let known = a.send(20, 20, 1, 1, Vec::new()).expect("a datagram");
    deliver(20, &mut a, &mut b, known);
    let mut events = Vec::new();
    let hello = b.send(60, 60, 0, 1, Vec::new()).expect("a datagram");
    a.receive(60, 60, &hello.bytes, &mut Vec::new(), &mut events);
    assert_eq!(a.next_timeout(), 1000, "nothing was ever received from the third peer");
    a.tick(1059, &mut events);
    a.tick(1060, &mut events);
    a.tick(5000, &mut events);
    let silent: Vec<_> = events.drain(..).filter(|t| matches!(t, PeerEvent::Unreachable(_))).collect();
    assert_eq!(
        (silent, a.next_timeout()),
        (vec![PeerEvent::Unreachable(2), PeerEvent::Unreachable(1)], Millis::MAX)
    );
    let back = b.send(5100, 5100, 0, 1, Vec::new()).expect("a datagram");
    a.receive(5100, 5100, &back.bytes, &mut Vec::new(), &mut events);
    assert_eq!(events, [PeerEvent::Up(1)]);
}

#[test]
fn sending_to_a_peer_is_rate_limited() {
    let mut a = link(0, 11);
    let mut b = link(1, 22);
    exchange_hellos(10, &mut a, &mut b, 1);
    let sent = (0..5000).filter(|_| a.send(20, 20, 1, 7, Vec::new()).is_some()).count();
    assert!(sent <= 800, "{sent}");
    assert!(a.send(30, 30, 1, 7, Vec::new()).is_some(), "it continues at the rate");
    assert!(a.send(40, 40, 1, 7, vec![0; MAX_DATAGRAM_BYTES]).is_none(), "no datagram is too long");
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_not_accepted(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut b = link(1, 22);
        let received = b.receive(10, 10, &bytes, &mut Vec::new(), &mut Vec::new());
        prop_assert_eq!(received, None);
    }

    /// A valid datagram with one bit flipped at any position is dropped.
    #[test]
    fn a_datagram_with_one_flipped_bit_is_dropped(at in 0usize..4000, bit in 0u8..8) {
        let mut a = link(0, 11);
        let mut b = link(1, 22);
        exchange_hellos(10, &mut a, &mut b, 1);
        let mut out = a.send(20, 20, 1, 7, vec![9; 40]).expect("a datagram");
        let at = at % out.bytes.len();
        out.bytes[at] ^= 1 << bit;
        prop_assert_eq!(b.receive(21, 21, &out.bytes, &mut Vec::new(), &mut Vec::new()), None);
    }
}
