use super::*;
use crate::reactor::Token;
use crate::request::{self, ClientCommand};
use doorcourse_connection_limits::BufferBudget;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};

fn endpoint_list(health: &str, address: SocketAddr, started_ms: u64) -> EndpointList {
    let text = format!(
        r#"{{"seq":1,"whole":false,"hosts":[{{"host":"b0","dial":"{address}","site":"a","class":"m2","block":1,
        "health":"{health}","share":1.0,"born_ms":{started_ms}}}]}}"#
    );
    EndpointList::read(text.as_bytes()).unwrap()
}

fn forwarded_command() -> Arc<ForwardedCommand> {
    let settings =
        r#"{"fleet-size":1,"classes":[{"name":"r","effect":"idempotent"}],"plans":[{"name":"p"}]}"#;
    let deployment = doorcourse_deployment::parse(settings).unwrap();
    let command = ["Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=r,t=p,d=480,units=1,spread=1,first=0"];
    let mut input = Vec::new();
    let mut arguments = Vec::new();
    for argument in command {
        arguments.push(input.len()..input.len() + argument.len());
        input.extend_from_slice(argument.as_bytes());
    }
    let Ok(ClientCommand::Request(request)) = request::parse(&deployment, &input, &arguments) else {
        panic!("a valid request")
    };
    Arc::new(request.forwarded)
}

#[test]
fn attempt_waiting_for_a_connection_is_withdrawn_when_its_backend_drains_is_removed_or_restarts() {
    for (health, started_ms) in [("leaving", 0), ("left", 0), ("active", 7)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut reactor = Reactor::new(BufferBudget::new(u64::MAX)).unwrap();
        let mut updates = Vec::new();
        let mut backends = Backends::new(8, 250.0, 30_000.0);
        backends.apply_endpoints(&endpoint_list("active", address, 0), &mut updates);
        let deadline = reactor.now + 1000.0;
        backends.start_attempt(&mut reactor, 1, &"b0".into(), forwarded_command(), deadline, &mut updates);
        assert!(
            updates.is_empty() && backends.awaits_connection(1),
            "{health}: its connection is being made"
        );
        backends.apply_endpoints(&endpoint_list(health, address, started_ms), &mut updates);
        let withdrawn = AttemptUpdate { request: 1, event: AttemptEvent::Withdrawn };
        assert_eq!(updates, [withdrawn], "{health}");
        backends.abandon(1);
        // The connect still completes; nothing may be written on the connection.
        let mut ready = Vec::new();
        reactor.poller.wait(Some(std::time::Duration::from_secs(5)), &mut ready).unwrap();
        for ready in ready {
            backends.handle_readiness(&mut reactor, Token::unpack(ready.token).unwrap(), ready, &mut updates);
        }
        backends.flush(&mut reactor, &mut updates);
        assert_eq!(updates.len(), 1, "{health}: {updates:?}");
        let (mut stream, _) = listener.accept().unwrap();
        drop(backends);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        assert!(bytes.is_empty(), "{health}");
    }
}

#[test]
fn removed_backend_is_forgotten_with_its_last_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut reactor = Reactor::new(BufferBudget::new(u64::MAX)).unwrap();
    let mut updates = Vec::new();
    let mut backends = Backends::new(8, 250.0, 30_000.0);
    for incarnation in 0..100 {
        backends.apply_endpoints(&endpoint_list("active", address, incarnation), &mut updates);
        let deadline = reactor.now + 1000.0;
        backends.start_attempt(
            &mut reactor,
            incarnation,
            &"b0".into(),
            forwarded_command(),
            deadline,
            &mut updates,
        );
        backends.apply_endpoints(&endpoint_list("left", address, incarnation), &mut updates);
        backends.abandon(incarnation);
        reactor.now += 500.0;
        backends.handle_timeout(&reactor);
    }
    assert_eq!((backends.backends.len(), backends.connections.len(), backends.attempts.len()), (0, 0, 0));
}
