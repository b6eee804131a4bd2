//! Tests of a gateway's part in the fleet: what it does when it takes over from an old process.

use super::*;
use doorcourse_emulators::CATALOGUE;
use std::net::UdpSocket;
use std::time::Duration;

/// The duration of a lease, in ms.
const LEASE_MS: Millis = 200;

/// The settings of the first of three gateways.
fn config(listen: std::net::SocketAddr) -> Config {
    let settings = include_str!("../../../../examples/tour/settings.txtpb");
    let fleet = format!(
        "fleet {{ gateways: 3 number: 0 link {{ listen: \"{listen}\" secret_file: \"secret\" \
         peers {{ number: 1 address: \"127.0.0.1:9\" }} peers {{ number: 2 address: \"127.0.0.1:10\" }} }} }}\n\
         counter {{ address: \"127.0.0.1:9\" }}\n\
         leases {{ length_ms: {LEASE_MS} tasks {{ name: \"bill\" address: \"127.0.0.1:9\" every_ms: 20 needs_ms: 50 }} }}\n"
    );
    let open =
        |name: &str| Ok(if name == "secret" { "the secret of a fleet\n" } else { CATALOGUE }.to_owned());
    doorcourse_config::read("settings", &format!("{settings}{fleet}"), &open).expect("valid settings")
}

fn is_voting(fleet: &Fleet) -> bool {
    fleet.leases.as_ref().expect("leases").is_voting(boot_time_ms())
}

/// Waits until the fleet has the address of the link, and returns the time of the last tick before it had.
fn tick_until_bound(fleet: &mut Fleet, io: &mut Io) -> Millis {
    loop {
        let before = boot_time_ms();
        fleet.tick(io);
        if fleet.link.local_address().is_some() {
            return before;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a vote that contradicts one of the old process, which votes until it releases the address of the link.
#[test]
fn a_process_that_takes_over_does_not_vote_for_a_lease_after_the_old_process_stopped_voting() {
    let old_process = UdpSocket::bind("127.0.0.1:0").expect("an address");
    let config = config(old_process.local_addr().expect("an address"));
    let mut io = Io::new().expect("a poller");
    let mut fleet = Fleet::new(&io, &config, 7, true).expect("valid settings").expect("a link");
    std::thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.tick(&mut io);
    assert!(!is_voting(&fleet), "the old process still votes");
    drop(old_process);
    let bound_after = tick_until_bound(&mut fleet, &mut io);
    let mut first_vote_at = boot_time_ms();
    while !is_voting(&fleet) {
        std::thread::sleep(Duration::from_millis(1));
        fleet.tick(&mut io);
        first_vote_at = boot_time_ms();
    }
    assert!(first_vote_at >= bound_after + LEASE_MS, "voted {} ms after", first_vote_at - bound_after);
}
