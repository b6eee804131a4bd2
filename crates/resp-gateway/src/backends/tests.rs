use super::*;
use crate::request::{self, ClientCommand};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};

fn list(health: &str, address: SocketAddr, born: u64) -> EndpointList {
    let text = format!(
        r#"{{"seq":1,"whole":false,"hosts":[{{"host":"b0","dial":"{address}","health":"{health}","born_ms":{born}}}]}}"#
    );
    EndpointList::read(text.as_bytes()).unwrap()
}

fn passed() -> Arc<ForwardedCommand> {
    let settings =
        r#"{"fleet-size":1,"classes":[{"name":"r","effect":"idempotent"}],"plans":[{"name":"p"}]}"#;
    let site = doorcourse_deployment::parse(settings).unwrap();
    let words = ["Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=r,t=p,d=480,units=1,spread=1,first=0"];
    let (mut input, mut places) = (Vec::new(), Vec::new());
    for word in words {
        places.push(input.len()..input.len() + word.len());
        input.extend_from_slice(word.as_bytes());
    }
    let Ok(ClientCommand::Request(ask)) = request::parse(&site, &input, &places) else {
        panic!("a good request")
    };
    Arc::new(ask.forwarded)
}

#[test]
fn what_waits_for_a_dial_is_taken_back_when_its_backend_must_not_have_it() {
    for (health, born) in [("leaving", 0), ("left", 0), ("active", 7)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (mut io, mut said) = (Reactor::new().unwrap(), Vec::new());
        let mut backends = Backends::new(8, 250.0, 30_000.0);
        backends.list(&list("active", address, 0), &mut said);
        let until = io.now + 1000.0;
        backends.send(&mut io, 1, &"b0".into(), passed(), until, &mut said);
        assert!(said.is_empty() && backends.dial_is_due(1), "{health}: its dial is under way");
        backends.list(&list(health, address, born), &mut said);
        assert_eq!(said, [(1, Heard::Withdrawn)], "{health}");
        backends.abandon(1);
        // The connection comes up all the same: nothing goes out on it.
        let mut ready = Vec::new();
        io.poller.wait(Some(std::time::Duration::from_secs(5)), &mut ready).unwrap();
        for ready in ready {
            backends.ready(&mut io, Token::unpack(ready.token).unwrap(), ready, &mut said);
        }
        backends.flush(&mut io, &mut said);
        assert_eq!(said.len(), 1, "{health}: {said:?}");
        let (mut stream, _) = listener.accept().unwrap();
        drop(backends);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        assert!(bytes.is_empty(), "{health}");
    }
}

#[test]
fn a_backend_that_left_is_forgotten_with_its_last_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (mut io, mut said) = (Reactor::new().unwrap(), Vec::new());
    let mut backends = Backends::new(8, 250.0, 30_000.0);
    for life in 0..100 {
        backends.list(&list("active", address, life), &mut said);
        let until = io.now + 1000.0;
        backends.send(&mut io, life, &"b0".into(), passed(), until, &mut said);
        backends.list(&list("left", address, life), &mut said);
        backends.abandon(life);
        io.now += 500.0;
        backends.tick(&mut io);
    }
    assert_eq!((backends.peers.len(), backends.conns.len(), backends.attempts.len()), (0, 0, 0));
}
