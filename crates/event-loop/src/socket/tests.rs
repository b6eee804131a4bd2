use super::*;
use std::io::Read;

/// A socket and the stream of its peer.
fn connected() -> (Socket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Socket::new(listener.accept().unwrap().0).unwrap(), peer)
}

fn read_until(socket: &mut Socket, length: usize) {
    while socket.input.len() < length {
        assert_eq!(socket.read().1, Flow::Open);
    }
}

#[test]
fn written_output_leaves_no_large_buffer() {
    let (mut socket, mut peer) = connected();
    let output = vec![b'x'; 30_000];
    socket.output().extend_from_slice(&output);
    let mut received = vec![0; output.len()];
    while socket.pending() > 0 {
        assert_eq!(socket.flush(), Flow::Open);
    }
    peer.read_exact(&mut received).unwrap();
    assert_eq!(received, output);
    assert!(socket.buffer_capacity() <= MAX_KEPT_OUTPUT_BYTES);
}

#[test]
fn receive_buffer_takes_little_more_than_the_bytes_received() {
    let (mut socket, mut peer) = connected();
    for length in [1, 100, 20_000, 60_000] {
        let missing = length - socket.input.len();
        peer.write_all(&vec![b'x'; missing]).unwrap();
        read_until(&mut socket, length);
        assert_eq!(socket.input.len(), length);
        let spare = socket.buffer_capacity() - length;
        assert!(spare <= length.min(READ_BYTES), "{spare} bytes spare of {length}");
    }
    socket.consume(59_990);
    assert!(socket.buffer_capacity() <= 10 + MAX_SPARE_INPUT_BYTES);
    socket.consume(10);
    assert_eq!(socket.buffer_capacity(), 0);
}
