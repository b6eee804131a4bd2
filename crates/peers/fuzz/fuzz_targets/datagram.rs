//! Decodes arbitrary bytes as a datagram and as payloads: no datagram is accepted, and no decoder panics.
#![no_main]

use doorcourse_peers::{Link, Settings, fleet_of};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let peers = [(0, "127.0.0.1:9".parse().expect("an address"))].into();
    let secrets = vec![b"sixteen bytes or more".to_vec()];
    let settings = Settings { fleet: fleet_of("f"), gateway: 1, incarnation: 7, peers, secrets, unreachable_after: 1000 };
    let mut link = Link::new(0, settings).expect("settings that can be used");
    assert_eq!(link.receive(1, 1, data, &mut Vec::new(), &mut Vec::new()), None);
    if let Ok(message) = doorcourse_lease::decode(data) {
        assert_eq!(doorcourse_lease::decode(&doorcourse_lease::encode(&message)), Ok(message));
    }
    let _ = doorcourse_outlier_gossip::decode(data);
});
