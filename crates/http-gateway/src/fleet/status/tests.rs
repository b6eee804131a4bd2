use super::*;

/// Operators and their scripts depend on these texts in the reply of `ctl leases`.
#[test]
fn each_refusal_keeps_its_text_in_admin_replies() {
    assert_eq!(refusal_text(Refusal::NotVoting), "Silent");
    assert_eq!(refusal_text(Refusal::VersionMismatch), "Version");
    assert_eq!(
        refusal_text(Refusal::HeldByOther { holder: 2, remaining: 1234 }),
        "Held { by: 2, left: 1234 }"
    );
    assert_eq!(refusal_text(Refusal::StaleToken), "Token");
    assert_eq!(refusal_text(Refusal::LeaseTooLong), "Length");
    assert_eq!(refusal_text(Refusal::TooManyTasks), "Full");
}

const SETTINGS: &str = r#"fleet { gateways: 2 number: 0 link { listen: "127.0.0.1:0" secret_file: "secret"
  peers { number: 1 address: "127.0.0.1:9001" } } }
leases { length_ms: 100 voters: 0 tasks { name: "bill" address: "127.0.0.1:9100" } suspects { } }
listen: "127.0.0.1:0"
counter { address: "127.0.0.1:6000" }
nodes { name: "n1" address: "127.0.0.1:7001" }
classes { name: "read" aim_ms: 500 give_up_ms: 900 effect: SAFE query_fields: "search" }
plans { name: "basic" rate: 5 burst: 10 }
graphql { schema_file: "schema" }
"#;

/// A gateway that is the only voter of a fleet of two.
fn single_voter(io: &Io) -> Fleet {
    let open = |name: &str| match name {
        "schema" => Ok("type Query { search: [String] }".into()),
        "secret" => Ok("sixteen bytes or more\n".into()),
        _ => Err("no such file".into()),
    };
    let config = doorcourse_config::read("settings", SETTINGS, &open).expect("valid settings");
    Fleet::new(io, &config, 7, false).expect("a socket").expect("a fleet")
}

/// Replaces the value of a field that depends on time, after a check of its type.
fn mask(reply: &mut Value, field: &str, has_type: fn(&Value) -> bool) {
    assert!(has_type(&reply[field]), "{field}: {reply}");
    reply[field] = "masked".into();
}

#[test]
fn the_admin_reply_on_peers_keeps_its_fields() {
    let io = Io::new().expect("a poller");
    let mut reply = single_voter(&io).peers();
    mask(&mut reply, "address", Value::is_string);
    let expected = concat!(
        r#"{"address":"masked","dropped":{"foreign":0,"forged":0,"receiver":0,"replayed":0,"sender":0,"stale":0,"#,
        r#""too_long":0,"too_many":0,"unreadable":0,"version":0},"peers":[{"address":"127.0.0.1:9001","#,
        r#""clock_ahead_ms":null,"gateway":1,"heard_ms_ago":null,"lost":0,"round_trip_ms":null,"sent":0,"#,
        r#""silent":false,"taken":0}]}"#
    );
    assert_eq!(reply.to_string(), expected);
}

#[test]
fn the_admin_reply_on_leases_keeps_its_fields_before_they_are_held() {
    let io = Io::new().expect("a poller");
    let mut reply = single_voter(&io).leases();
    for task in reply["tasks"].as_array_mut().expect("tasks") {
        mask(task, "ms", Value::is_u64);
    }
    let task = |name| {
        format!(
            r#"{{"calls_failed":0,"calls_good":0,"calls_kept_back":0,"granted_ms":null,"granted_to":null,"granted_token":null,"here":"waiting","ms":"masked","refused":null,"refused_by":null,"task":"{name}","token":null}}"#
        )
    };
    let expected = format!(
        r#"{{"gateway":0,"tasks":[{},{}],"voters_version":0,"votes":false}}"#,
        task("suspects"),
        task("bill")
    );
    assert_eq!(reply.to_string(), expected);
}

#[test]
fn the_admin_reply_on_leases_keeps_its_fields_while_they_are_held() {
    let mut io = Io::new().expect("a poller");
    let mut fleet = single_voter(&io);
    let is_held = |task: &Value| task["here"] == "held" && task["granted_ms"].is_u64();
    let mut reply = fleet.leases();
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while !reply["tasks"].as_array().expect("tasks").iter().all(is_held) {
        assert!(std::time::Instant::now() < deadline, "never held: {reply}");
        std::thread::sleep(std::time::Duration::from_millis(1));
        fleet.tick(&mut io);
        reply = fleet.leases();
    }
    for task in reply["tasks"].as_array_mut().expect("tasks") {
        mask(task, "ms", Value::is_u64);
        mask(task, "token", Value::is_string);
        mask(task, "granted_ms", Value::is_u64);
        mask(task, "granted_token", Value::is_string);
        mask(task, "calls_failed", Value::is_u64);
    }
    let task = |name| {
        format!(
            r#"{{"calls_failed":"masked","calls_good":0,"calls_kept_back":0,"granted_ms":"masked","granted_to":0,"granted_token":"masked","here":"held","ms":"masked","refused":null,"refused_by":null,"task":"{name}","token":"masked"}}"#
        )
    };
    let expected = format!(
        r#"{{"gateway":0,"tasks":[{},{}],"voters_version":0,"votes":true}}"#,
        task("suspects"),
        task("bill")
    );
    assert_eq!(reply.to_string(), expected);
}
