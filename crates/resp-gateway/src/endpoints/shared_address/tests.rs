use super::*;
use doorcourse::Placement;

fn endpoint(name: &str, port: u16, started: Option<Millis>, state: BackendState) -> Endpoint {
    let entry = BackendEntry {
        name: name.into(),
        zone: "a".into(),
        cell: 1,
        state,
        started,
        placement: Placement::default(),
    };
    Endpoint { entry, address: Some(SocketAddr::from(([127, 0, 0, 1], port))) }
}

/// The names that remain after changes to a list, and those that the changes remove.
fn apply(known: &[Endpoint], changes: Vec<Endpoint>, complete: bool) -> Vec<String> {
    let mut list = EndpointList { version: 1, complete, endpoints: changes };
    remove_displaced(&mut list, known.iter().map(|endpoint| (endpoint.address.unwrap(), &endpoint.entry)));
    let removed = list.endpoints.iter().filter(|endpoint| endpoint.entry.state == BackendState::Removed);
    removed.map(|endpoint| endpoint.entry.name.to_string()).collect()
}

#[test]
fn only_the_process_that_started_last_stays_at_an_address() {
    let ready = BackendState::Ready;
    let known = [endpoint("old", 1, None, ready), endpoint("other", 2, Some(5.0), ready)];
    let new = |started| vec![endpoint("new", 1, started, ready)];
    assert_eq!(apply(&known, new(Some(7.0)), false), ["old"]);
    assert_eq!(apply(&known, vec![endpoint("late", 2, Some(4.0), ready)], false), ["late"], "an older one");
    assert_eq!(apply(&known, vec![endpoint("late", 2, Some(4.0), BackendState::Draining)], false), ["late"]);
    assert_eq!(apply(&known, new(None), false), [""; 0], "nothing tells which of them is there");
    assert_eq!(apply(&known, new(Some(7.0)), true), [""; 0], "a complete list removes the others itself");
    let both = vec![endpoint("new", 1, Some(7.0), ready), endpoint("old", 1, None, ready)];
    assert_eq!(apply(&[], both, true), ["old"]);
    let moved = vec![endpoint("new", 1, Some(7.0), ready), endpoint("old", 3, None, ready)];
    assert_eq!(apply(&known, moved, false), [""; 0], "the old one has moved");
    let left = vec![endpoint("other", 2, Some(9.0), BackendState::Removed)];
    assert_eq!(apply(&known, left, false), ["other"]);
}
