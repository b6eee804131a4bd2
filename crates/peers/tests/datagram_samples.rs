//! Recorded samples of the datagram format, so that a rename in the code cannot change it: with a fixed secret and
//! fixed numbers each datagram encodes to exactly these bytes, and a receiver accepts exactly these bytes.

use doorcourse_peers::{Link, Settings, fleet_of};
use std::collections::BTreeMap;

const SECRET: &[u8] = b"a secret of the fleet";
const HELLO: &str = "0a2308011115fb60c48907fd98210b0b00000000000028013801400a488ad095ffbc31580a1220af646b5b479f8506793d2b6151a6dccdc7a6aea9893c1dec4d825f024c6618c7";
const HELLO_REPLY: &str = "0a2c08011115fb60c48907fd981801211616000000000000310b0b0000000000003801400c488dd095ffbc31580c122037f34792378fa67503fe324a4d88a3e6c351ed346d595cebae025c7421630976";
const PAYLOAD: &str = "0a3908011115fb60c48907fd98210b0b0000000000002801311616000000000000380240144894d095ffbc31500c580560076a077061796c6f61641220997b3f722c7c06b8266bcd884f4d594ae680d2f501ffa8cf3220a9530ff5e9dc";
const PAYLOAD_WITH_ECHO: &str = "0a3008011115fb60c48907fd981801211616000000000000310b0b0000000000003802401e489fd095ffbc3150145807600212207d3e3c89efc7c90389876ea7589ff1b036739363dc270f887bf98548e0c3e8f9";

fn link(number: u32, incarnation: u64) -> Link {
    let peer = 1 - number;
    let peers: BTreeMap<_, _> =
        [(peer, format!("127.0.0.1:{}", 9000 + peer).parse().expect("an address"))].into();
    let secrets = vec![SECRET.to_vec()];
    let settings = Settings {
        fleet: fleet_of("night"),
        gateway: number,
        incarnation,
        peers,
        secrets,
        unreachable_after: 1000,
    };
    Link::new(0, settings).expect("settings that can be used")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn an_exchange_keeps_its_datagrams() {
    let mut a = link(0, 0x0b0b);
    let mut b = link(1, 0x1616);
    let hello =
        a.send(10, 1_700_000_000_010, 1, 1, b"not sent: the peer is unknown".to_vec()).expect("a hello");
    assert_eq!(hex(&hello.bytes), HELLO);
    let mut replies = Vec::new();
    let mut events = Vec::new();
    assert_eq!(b.receive(12, 1_700_000_000_013, &hello.bytes, &mut replies, &mut events), None);
    assert_eq!(hex(&replies[0].bytes), HELLO_REPLY);
    assert_eq!(a.receive(15, 1_700_000_000_015, &replies[0].bytes, &mut Vec::new(), &mut events), None);
    let payload = a.send(20, 1_700_000_000_020, 1, 7, b"payload".to_vec()).expect("a datagram");
    assert_eq!(hex(&payload.bytes), PAYLOAD);
    assert!(b.receive(23, 1_700_000_000_023, &payload.bytes, &mut Vec::new(), &mut events).is_some());
    let answer = b.send(30, 1_700_000_000_031, 0, 2, Vec::new()).expect("a datagram");
    assert_eq!(hex(&answer.bytes), PAYLOAD_WITH_ECHO);
}

#[test]
fn a_recorded_exchange_is_accepted() {
    let mut a = link(0, 0x0b0b);
    let mut b = link(1, 0x1616);
    let mut replies = Vec::new();
    assert_eq!(b.receive(12, 1_700_000_000_013, &bytes_of(HELLO), &mut replies, &mut Vec::new()), None);
    assert_eq!(replies.len(), 1, "a hello is answered");
    let reply = bytes_of(HELLO_REPLY);
    assert_eq!(a.receive(15, 1_700_000_000_015, &reply, &mut Vec::new(), &mut Vec::new()), None);
    let payload = b.receive(23, 1_700_000_000_023, &bytes_of(PAYLOAD), &mut Vec::new(), &mut Vec::new());
    let payload = payload.expect("a payload that is accepted");
    assert_eq!((payload.sender, payload.incarnation, payload.channel), (0, 0x0b0b, 7));
    assert_eq!(payload.payload, b"payload");
    let answer = bytes_of(PAYLOAD_WITH_ECHO);
    let answer = a.receive(35, 1_700_000_000_035, &answer, &mut Vec::new(), &mut Vec::new());
    let answer = answer.expect("a payload that is accepted");
    assert_eq!((answer.sender, answer.incarnation, answer.channel), (1, 0x1616, 2));
    let status = a.statuses(35).next().expect("a peer");
    assert_eq!(status.round_trip, Some(8.0));
    assert_eq!((status.received, status.lost, status.sent), (2, 0, 0));
}
