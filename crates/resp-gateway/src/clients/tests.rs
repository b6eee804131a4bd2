use super::*;
use std::io::Read;
use std::net::TcpStream;

const SETTINGS: &str =
    r#"{"fleet-size":1,"classes":[{"name":"r","effect":"idempotent"}],"plans":[{"name":"p"}]}"#;

/// A room with one client that has asked, and the place of its request.
fn asked(most: usize) -> (Reactor, Site, Clients, Place, TcpStream) {
    let (mut io, site) = (Reactor::new().unwrap(), doorcourse_deployment::parse(SETTINGS).unwrap());
    let listener = doorcourse_event_loop::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let words = ["Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=r,t=p,d=480,units=1,spread=1,first=0"];
    let mut bytes = Vec::new();
    doorcourse_resp::command(&mut bytes, &words);
    client.write_all(&bytes).unwrap();
    let (mut clients, mut told) = (Clients::new(&mut io, listener, most).unwrap(), Vec::new());
    while told.is_empty() {
        clients.accept(&mut io, &site, &mut told);
        for at in 0..clients.conns.len() {
            clients.read(&mut io, &site, at, &mut told);
        }
    }
    let Some(Told::Asked(place, _)) = told.pop() else { panic!("a good request") };
    (io, site, clients, place, client)
}

fn answer_of(mut clients: Clients, mut io: Reactor, site: &Site, mut client: TcpStream) -> String {
    clients.flush(&mut io, site, &GracefulShutdown::default(), &mut Vec::new());
    drop(clients);
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn an_answer_given_long_after_its_command_is_written_before_any_age_counts() {
    let (mut io, site, mut clients, place, client) = asked(8);
    io.now += 2.0 * AGES.idle_timeout;
    clients.answer(io.now, place, Given::Failed("no answer in time"));
    // The sweep of ages comes before the flush of the same turn.
    clients.tick(&mut io, &site, &mut Vec::new());
    assert_eq!(answer_of(clients, io, &site, client), "-ERR failed: no answer in time\r\n");
}

#[test]
fn a_connection_with_an_answer_to_write_is_not_the_one_that_makes_room() {
    let (mut io, site, mut clients, place, client) = asked(1);
    clients.answer(io.now, place, Given::Busy(None));
    assert!(!clients.make_room(&mut io, &site, &mut Vec::new()));
    assert_eq!(answer_of(clients, io, &site, client), "-BUSY\r\n");
}

#[test]
fn a_request_that_has_just_come_is_seen_before_its_connection_ends() {
    for why in ["age", "room", "leaving"] {
        let (mut io, site, mut clients, place, mut client) = asked(1);
        clients.answer(io.now, place, Given::Busy(None));
        clients.flush(&mut io, &site, &GracefulShutdown::default(), &mut Vec::new());
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let (mut told, mut leave) = (Vec::new(), GracefulShutdown::default());
        io.now += 2.0 * AGES.idle_timeout;
        match why {
            "age" => clients.tick(&mut io, &site, &mut told),
            "room" => assert!(!clients.make_room(&mut io, &site, &mut told), "{why}"),
            _ => {
                leave.begin(0.0, 1000.0);
                clients.look_at_all();
                clients.flush(&mut io, &site, &leave, &mut told);
            }
        }
        let Some(Told::Ping(place)) = told.pop() else { panic!("{why}: it was not seen") };
        clients.answer(io.now, place, Given::Pong);
        clients.flush(&mut io, &site, &leave, &mut told);
        let mut text = String::new();
        if why == "leaving" {
            // Its end comes while the room still stands: this side is ended, and what still comes is read over.
            client.read_to_string(&mut text).unwrap();
            assert!(clients.conns.iter().all(|(_, conn)| conn.held.lingering_close_until.is_some()));
        } else {
            text = answer_of(clients, io, &site, client);
        }
        assert_eq!(text, "-BUSY\r\n+PONG\r\n", "{why}");
    }
}
