use super::*;

#[test]
fn list_of_the_discovery_protocol_is_read_and_errors_name_the_field() {
    let line = |health: &str, dial: &str| {
        format!(
            r#"{{"seq":41,"whole":true,"hosts":[{{"host":"s-1","dial":"{dial}","site":"a","class":"m2",
            "block":3,"health":"{health}","share":1.0,"born_ms":0}}]}}"#
        )
    };
    let list = EndpointList::read(line("active", "10.1.0.18:6379").as_bytes()).unwrap();
    assert_eq!((list.version, list.complete, list.endpoints.len()), (41, true, 1));
    assert_eq!((list.endpoints[0].entry.cell, list.endpoints[0].entry.started), (3, None));
    assert!(EndpointList::read(line("left", "").as_bytes()).is_ok());
    assert!(EndpointList::read(line("active", "").as_bytes()).unwrap_err().to_string().contains("dial"));
    assert!(
        EndpointList::read(line("odd", "10.1.0.18:6379").as_bytes()).unwrap_err().to_string().contains("odd")
    );
    assert!(EndpointList::read(b"{\"seq\":4").is_err());
}

/// An entry in the form of the protocol, with a value of its own in each field.
fn entry() -> serde_json::Value {
    serde_json::json!({"host": "s-5be2a07c", "dial": "10.1.0.18:6379", "site": "floor-2", "class": "m2", "block": 3,
        "health": "active", "share": 1.0, "born_ms": 1_790_000_000_000_u64})
}

fn read_entry(entry: &serde_json::Value) -> Result<BackendEntry, EndpointListError> {
    let list = serde_json::json!({"seq": 41, "whole": true, "hosts": [entry]});
    Ok(EndpointList::read(list.to_string().as_bytes())?.endpoints.remove(0).entry)
}

/// Guards against a field that is looked for under another name than the protocol's, and so keeps its default: the zone
/// was read from a field that no list has.
#[test]
fn every_field_of_an_entry_is_read_under_the_name_of_the_protocol() {
    let read = read_entry(&entry()).unwrap();
    assert_eq!(&*read.name, "s-5be2a07c");
    assert_eq!(&*read.zone, "floor-2");
    assert_eq!(read.cell, 3);
    assert_eq!(read.state, BackendState::Ready);
    assert_eq!(read.started, Some(1_790_000_000_000.0));
}

/// Guards against a missing field that is taken for a value: a zone or cell that is not known would count as one that
/// all backends share, and a backend without a start as warm.
#[test]
fn entry_without_a_field_of_the_protocol_is_an_error_that_names_the_field() {
    for field in ["host", "dial", "site", "block", "health", "born_ms"] {
        let mut entry = entry();
        entry.as_object_mut().unwrap().remove(field);
        let error = read_entry(&entry).expect_err(field).to_string();
        assert!(error.contains(&format!("`{field}`")), "{field}: {error}");
    }
}

/// Returns the JSON text of a list with this many endpoints, on one line or indented.
fn list_text(count: usize, indented: bool) -> String {
    let host = |n: usize| {
        serde_json::json!({"host": format!("s-{n:08x}-of-a-long-name"), "dial": format!("10.1.{}.{}:6379", n / 250, n % 250),
            "site": "south-building", "class": "m2", "block": n, "health": "active", "share": 1.0,
            "born_ms": 1_790_000_000_000_u64})
    };
    let list =
        serde_json::json!({"seq": 7, "whole": true, "hosts": (0..count).map(host).collect::<Vec<_>>()});
    if indented { format!("{list:#}") } else { list.to_string() }
}

#[test]
fn thousand_endpoints_are_read_indented_or_not_and_watched_lists_one_by_one() {
    for indented in [false, true] {
        let text = list_text(1024, indented);
        assert!(text.len() < 1 << 20, "{} bytes: within the limit of a line of the watch", text.len());
        let list = EndpointList::read(text.as_bytes()).unwrap();
        assert_eq!(list.endpoints.len(), 1024);
        // An incomplete list is neither a list nor an error.
        for part in [1, 2, text.len() / 3, text.len() - 1] {
            assert!(EndpointList::read_first(&text.as_bytes()[..part]).unwrap().is_none(), "{part}");
        }
        let both = format!("{text}\n{}", list_text(3, indented));
        let (first, length) = EndpointList::read_first(both.as_bytes()).unwrap().unwrap();
        assert_eq!((first.endpoints.len(), length), (1024, text.len()));
        let (second, _) = EndpointList::read_first(&both.as_bytes()[length..]).unwrap().unwrap();
        assert_eq!(second.endpoints.len(), 3);
        // A truncated list that is followed by the empty line of a watch, or by another list.
        assert!(EndpointList::read_first(format!("{}\n\n", &text[..text.len() / 2]).as_bytes()).is_err());
        assert!(EndpointList::read_first(format!("{}\n{text}", &text[..text.len() / 2]).as_bytes()).is_err());
    }
}
