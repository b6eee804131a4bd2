use super::*;
use crate::reactor::TokenKind;
use doorcourse_connection_limits::BufferBudget;
use std::io::{Read, Write};
use std::net::TcpStream;

const SETTINGS: &str =
    r#"{"fleet-size":1,"classes":[{"name":"r","effect":"idempotent"}],"plans":[{"name":"p"}]}"#;

/// Returns a table with one client that has sent a request, and the id of its command.
fn table_with_request(max_connections: usize) -> (Reactor, Deployment, ClientTable, CommandId, TcpStream) {
    let mut reactor = Reactor::new(BufferBudget::new(u64::MAX)).unwrap();
    let deployment = doorcourse_deployment::parse(SETTINGS).unwrap();
    let listener = doorcourse_event_loop::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let arguments =
        ["Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=r,t=p,d=480,units=1,spread=1,first=0"];
    let mut bytes = Vec::new();
    doorcourse_resp::encode_command(&mut bytes, &arguments);
    client.write_all(&bytes).unwrap();
    let mut clients = ClientTable::new(&mut reactor, listener, max_connections).unwrap();
    let mut events = Vec::new();
    while events.is_empty() {
        clients.accept(&mut reactor, &deployment, &mut events);
        for index in 0..clients.connections.len() {
            clients.read(&mut reactor, &deployment, index, &mut events);
        }
    }
    let Some(ClientEvent::RequestReceived { command, .. }) = events.pop() else { panic!("a valid request") };
    (reactor, deployment, clients, command, client)
}

fn written_response(
    mut clients: ClientTable, mut reactor: Reactor, deployment: &Deployment, mut client: TcpStream,
) -> String {
    clients.flush(&mut reactor, deployment, &GracefulShutdown::default(), &mut Vec::new());
    drop(clients);
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn response_sent_long_after_its_command_is_written_before_the_idle_timeout_closes() {
    let (mut reactor, deployment, mut clients, command, client) = table_with_request(8);
    reactor.now += 2.0 * CONNECTION_TIMEOUTS.idle_timeout;
    clients.respond(&mut reactor, command, Response::Failed(RequestFailure::DeadlineExpired));
    // Timeouts are checked before the flush of the same iteration.
    clients.handle_timeout(&mut reactor, &deployment, &mut Vec::new());
    assert_eq!(written_response(clients, reactor, &deployment, client), "-ERR failed: no answer in time\r\n");
}

#[test]
fn connection_with_an_unwritten_response_is_not_evicted() {
    let (mut reactor, deployment, mut clients, command, client) = table_with_request(1);
    clients.respond(&mut reactor, command, Response::Rejected { retry_after_ms: None });
    assert!(!clients.evict_connection(&mut reactor, &deployment, &mut Vec::new()));
    assert_eq!(written_response(clients, reactor, &deployment, client), "-BUSY\r\n");
}

#[test]
fn command_received_just_before_the_close_is_served() {
    for cause in ["idle timeout", "eviction", "shutdown"] {
        let (mut reactor, deployment, mut clients, command, mut client) = table_with_request(1);
        clients.respond(&mut reactor, command, Response::Rejected { retry_after_ms: None });
        clients.flush(&mut reactor, &deployment, &GracefulShutdown::default(), &mut Vec::new());
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut events = Vec::new();
        let mut shutdown = GracefulShutdown::default();
        reactor.now += 2.0 * CONNECTION_TIMEOUTS.idle_timeout;
        match cause {
            "idle timeout" => clients.handle_timeout(&mut reactor, &deployment, &mut events),
            "eviction" => {
                assert!(!clients.evict_connection(&mut reactor, &deployment, &mut events), "{cause}");
            }
            _ => {
                shutdown.begin(0.0, 1000.0);
                clients.schedule_flush_of_all();
                clients.flush(&mut reactor, &deployment, &shutdown, &mut events);
            }
        }
        let Some(ClientEvent::PingReceived { command }) = events.pop() else {
            panic!("{cause}: the command was lost")
        };
        clients.respond(&mut reactor, command, Response::Pong);
        clients.flush(&mut reactor, &deployment, &shutdown, &mut events);
        let mut text = String::new();
        if cause == "shutdown" {
            // The connection is in its lingering close: the gateway's side is closed, and input is discarded.
            client.read_to_string(&mut text).unwrap();
            assert!(
                clients
                    .connections
                    .iter()
                    .all(|(_, connection)| connection.activity.lingering_close_until.is_some())
            );
        } else {
            text = written_response(clients, reactor, &deployment, client);
        }
        assert_eq!(text, "-BUSY\r\n+PONG\r\n", "{cause}");
    }
}

/// Polls once, and handles the readiness of client connections.
fn handle_poll(clients: &mut ClientTable, reactor: &mut Reactor, deployment: &Deployment) {
    let mut ready = Vec::new();
    reactor.poller.wait(Some(std::time::Duration::from_millis(200)), &mut ready).unwrap();
    for ready in ready {
        let Some(token) = Token::unpack(ready.token).filter(|token| token.kind == TokenKind::Client) else {
            continue;
        };
        clients.handle_readiness(reactor, deployment, token, ready, &mut Vec::new());
    }
}

#[test]
fn close_is_noticed_while_reading_is_paused_and_bytes_are_unread() {
    let (mut reactor, deployment, mut clients, _, mut client) = table_with_request(8);
    let mut bytes = Vec::new();
    for id in 0..300 {
        let arguments =
            ["Q.ASK", "00000000b4d65521", &format!("{id:016x}"), "c=r,t=p,d=480,units=1,spread=1,first=0"];
        doorcourse_resp::encode_command(&mut bytes, &arguments);
    }
    // Without memory nothing is received ahead: reading pauses once 64 commands are open.
    reactor.buffers = BufferBudget::new(0);
    client.write_all(&bytes).unwrap();
    let is_paused = |clients: &ClientTable, reactor: &Reactor| {
        clients
            .connections
            .iter()
            .all(|(_, connection)| !connection.receives(reactor, clients.available_read_ahead(reactor)))
    };
    for _ in 0..100 {
        if is_paused(&clients, &reactor) {
            break;
        }
        handle_poll(&mut clients, &mut reactor, &deployment);
    }
    assert!(is_paused(&clients, &reactor) && clients.connection_count() == 1);
    drop(client);
    handle_poll(&mut clients, &mut reactor, &deployment);
    assert_eq!(clients.connection_count(), 0);
}
