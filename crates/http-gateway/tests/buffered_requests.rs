//! Requests that arrive slowly or stop half way: together they stay within the limit on buffered bytes.

mod helper;

use helper::*;
use std::io::Read;
use std::time::Duration;

const LIMIT_BYTES: usize = 1 << 20;
const SLOW_CLIENTS: usize = 60;
/// Bytes that a client is ahead of the count: one read, and the spare capacity of its buffers.
const SLACK_BYTES: usize = 256 << 10;

fn gateway(backend: &ScriptedBackend) -> TestGateway {
    let limits = format!("limits {{ buffered_bytes: {LIMIT_BYTES} customer_bytes: {LIMIT_BYTES} }}");
    TestGateway::new(&[backend.address], &limits)
}

/// Writes a part of a request on each of many connections. Returns how many were not rejected, and asserts that the
/// others received 503.
fn count_kept(gateway: &TestGateway, part: &[u8]) -> usize {
    let mut clients: Vec<Client> = (0..SLOW_CLIENTS).map(|_| gateway.client()).collect();
    for client in &mut clients {
        // A connection that was rejected may be closed before all is written.
        let _ = std::io::Write::write_all(&mut client.stream, part);
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(200));
    let other = gateway.request("ten", PREVIEW);
    assert_eq!(other.status, 200, "{other:?}");
    let mut kept = 0;
    for client in &mut clients {
        client.stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut bytes = [0; 4096];
        match client.stream.read(&mut bytes) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => kept += 1,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {}
            Ok(count) => assert!(bytes[..count].starts_with(b"HTTP/1.1 503 "), "{:?}", &bytes[..count]),
            Err(error) => panic!("{error}"),
        }
    }
    kept
}

#[test]
fn bodies_that_stop_half_way_stay_within_the_limit_on_buffered_bytes() {
    let backend = scripted_backend(vec![respond()]);
    let gateway = gateway(&backend);
    let head = "POST /graphql HTTP/1.1\r\nhost: a\r\nauthorization: Bearer free\r\ncontent-type: application/json\r\n\
                content-length: 200000\r\n\r\n";
    let part = [head.as_bytes(), &vec![b' '; 100_000]].concat();
    let kept = count_kept(&gateway, &part);
    assert!(kept * 100_000 <= LIMIT_BYTES + SLACK_BYTES, "{kept} bodies of 100,000 bytes are held");
    assert!(kept > 0, "those that fit are not rejected");
}

#[test]
fn heads_of_many_short_fields_stay_within_the_limit_on_buffered_bytes() {
    let backend = scripted_backend(vec![respond()]);
    let gateway = gateway(&backend);
    let part = [b"GET /graphql HTTP/1.1\r\n".to_vec(), b"a: \r\n".repeat(60), vec![b'x'; 30_000]].concat();
    let kept = count_kept(&gateway, &part);
    assert!(kept * part.len() <= LIMIT_BYTES + SLACK_BYTES, "{kept} heads of {} bytes are held", part.len());
    assert!(kept > 0, "those that fit are not rejected");
}
