//! The configuration file: what a missing or invalid value is reported as.

mod rig;

use doorcourse_resp_gateway::Config;
use rig::{endpoint, settings};
use serde_json::{Value as Json, json};

fn configuration() -> Json {
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "counter": "127.0.0.1:3",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": [endpoint("b0", "127.0.0.1:4".parse().unwrap(), "active")]},
        "settings": settings()
    })
}

/// The error of the configuration with the value at a JSON pointer replaced; `None` removes it.
fn error_with(pointer: &str, value: Option<Json>) -> String {
    let mut configuration = configuration();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = configuration.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    match value {
        Some(value) => parent.insert(key.to_owned(), value),
        None => parent.remove(key),
    };
    Config::read(configuration.to_string().as_bytes()).unwrap_err().to_string()
}

#[test]
fn valid_configuration_is_read() {
    let config = Config::read(configuration().to_string().as_bytes()).unwrap();
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.memory_bytes, config.limits.descriptors), (64 << 20, 256));
    let known = config.known_endpoints.unwrap();
    assert_eq!((known.version, &*known.endpoints[0].entry.zone), (1, "a"));
}

#[test]
fn error_names_the_key() {
    for (pointer, value, error) in [
        ("/name", None, "name: missing"),
        ("/name", Some(json!(5)), "name: not a text"),
        ("/listen", Some(json!("here")), "listen: not an address with a port: here"),
        ("/seed", Some(json!("x")), "seed: not 16 hex digits: x"),
        ("/limits/sockets", Some(json!(0)), "limits.sockets: too small"),
        ("/counter", None, "counter: missing"),
        ("/settings", None, "settings: missing"),
        ("/settings/classes", Some(json!(1)), "settings: classes is not a list"),
    ] {
        assert_eq!(error_with(pointer, value), error);
    }
}

/// Guards against an entry of the known list that is taken without a field of the protocol.
#[test]
fn known_list_needs_every_field_of_an_entry() {
    for field in ["host", "dial", "site", "block", "health", "born_ms"] {
        let error = error_with(&format!("/known/hosts/0/{field}"), None);
        assert!(error.starts_with("known: ") && error.contains(&format!("`{field}`")), "{error}");
    }
}
