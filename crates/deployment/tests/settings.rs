//! The settings object as the simulator and the platform send it: each key has a value that no other key has.

use doorcourse::{DeduplicationScope, Idempotency, LoadReportSource, Name, Plan, RequestClass};
use doorcourse_deployment::{Deployment, DeploymentError, HostSettings, parse};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "classes": [
            {"name": "preview", "effect": "idempotent", "dedup-scope": "all", "goal-time-ms": 801.0,
             "hard-limit-ms": 2501.0, "late-value": 0.21, "stream": false, "window-ms": 5001.0, "worth": 2.1},
            {"name": "playlist-save", "effect": "deduplicated", "dedup-scope": "cell", "goal-time-ms": 802.0,
             "hard-limit-ms": 2002.0, "late-value": 0.22, "stream": false, "window-ms": 4002.0, "worth": 3.2},
            {"name": "renewal", "effect": "deduplicated", "dedup-scope": "zone", "goal-time-ms": 803.0,
             "hard-limit-ms": 2003.0, "late-value": 0.23, "stream": false, "window-ms": 4003.0, "worth": 3.3},
            {"name": "licence-order", "effect": "at_most_once", "dedup-scope": "all", "goal-time-ms": 504.0,
             "hard-limit-ms": 1204.0, "late-value": 0.24, "stream": false, "window-ms": 5004.0, "worth": 5.4}],
        "clients": {"marks-retry": true},
        "discovery": "on_request",
        "domain-type": "gate",
        "extra": {"call-price": 0.005, "count-limit-ms": 51.0, "has-counter": true, "metering-ms": 0.0,
            "peer-in-per-s": 0.0, "trued-up": true, "units-top": 7},
        "fleet-size": 5,
        "kinds": ["std-2c"],
        "load-info": {"fields": ["recent_ms"], "source": "on_probe"},
        "locality": "lj-center",
        "my-number": 3,
        "period-ms": 4.5,
        "permissions": {"dial-timeout-ms": 251.0, "keepalive-ms": 30001.0, "max-retry-after-ms": 2005.0,
            "max-streams": 101, "may-cancel": true, "most-tries": 6, "peers": true, "probes": true,
            "retry-after": true, "second-copies": true},
        "plans": [{"name": "izdajatelj", "refill": 16.1, "burst": 25.2, "parallel": 9, "cap-rate": 30.3,
            "ceiling-burst": 43.4, "ceiling-slack": 4.5, "worth-factor": 1.6, "over-worth": 0.17,
            "overrun-cost": 1.8}],
        "prices": {"cross-zone": 0.011, "probe": 0.01},
        "rules": {"answer-slack-ms": 16.5, "ask-every-ms": 10000.0, "cold-from": 0.25, "cold-ms": 18001.0,
            "drain-grace-ms": 252.0, "fall-ms": 3001.0, "overload-factor": 2.5},
        "weights": "off",
        "zones": ["lj-center"]
    })
}

fn read(settings: &Value) -> Result<Deployment, DeploymentError> {
    parse(&settings.to_string())
}

fn class(number: usize) -> RequestClass {
    read(&settings()).unwrap().settings.classes.swap_remove(number)
}

/// Guards against a key that is looked for under another name, and so keeps its zero value without an error.
#[test]
fn keys_of_the_instance_the_permissions_and_the_rules_are_read_under_their_names() {
    let Deployment { settings, host } = read(&settings()).unwrap();
    assert_eq!((settings.gateway_count, settings.gateway_index), (5, 3));
    assert_eq!(&*settings.zone, "lj-center");
    assert_eq!(settings.tick, 4.5);
    assert_eq!((settings.has_counter, settings.responses_report_units), (true, true));
    assert_eq!((settings.counter_timeout, settings.max_request_units), (51.0, 7.0));
    assert_eq!(settings.load_reports, LoadReportSource::HealthChecks);
    assert!(settings.health_checks_allowed && settings.gossip_allowed && settings.cancellation_allowed);
    assert!(settings.watch_on_request);
    assert_eq!((settings.max_attempts, settings.max_retry_after), (6, 2005.0));
    assert_eq!((settings.slow_start_share, settings.slow_start_duration), (0.25, 18001.0));
    assert_eq!((settings.overload_multiple, settings.overload_window), (2.5, 3001.0));
    assert_eq!(settings.cross_zone_price, 0.011);
    let expected = HostSettings {
        connect_timeout: 251.0,
        backend_idle_timeout: 30001.0,
        requests_per_connection: 101,
        hedging_allowed: true,
        retry_after_allowed: true,
        drain_grace: 252.0,
        response_slack: 16.5,
        client_timeouts: vec![2501.0, 2002.0, 2003.0, 1204.0],
    };
    assert_eq!(host, expected);
}

/// Guards against the same in a class or a plan.
#[test]
fn keys_of_classes_and_plans_are_read_under_their_names() {
    let expected = RequestClass {
        name: Name::from("playlist-save"),
        latency_objective: 802.0,
        idempotency: Idempotency::WithKey,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 4002.0,
        priority_weight: 3.2,
        late_response_value: 0.22,
    };
    assert_eq!(class(1), expected);
    assert_eq!(
        (class(0).idempotency, class(0).deduplication_scope),
        (Idempotency::Idempotent, DeduplicationScope::All)
    );
    assert_eq!(
        (class(2).idempotency, class(2).deduplication_scope),
        (Idempotency::WithKey, DeduplicationScope::Zone)
    );
    assert_eq!(class(3).idempotency, Idempotency::NonIdempotent);
    let expected = Plan {
        name: Name::from("izdajatelj"),
        rate: 16.1,
        burst: 25.2,
        max_in_flight: 9,
        ceiling_rate: 30.3,
        ceiling_burst: 43.4,
        ceiling_slack: 4.5,
        priority_factor: 1.6,
        over_quota_value: 0.17,
        over_quota_cost: 1.8,
    };
    assert_eq!(read(&settings()).unwrap().settings.plans, [expected]);
}

/// Guards against a class with idempotency keys whose scope is missing: it was taken for the widest one, in which a
/// request that was executed may be sent to any backend.
#[test]
fn class_with_idempotency_keys_needs_a_deduplication_scope() {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class.as_object_mut().unwrap().remove("dedup-scope");
    }
    assert_eq!(
        read(&settings).unwrap_err().to_string(),
        "settings: class playlist-save: dedup-scope is missing"
    );
    settings["classes"][1]["dedup-scope"] = Value::Null;
    settings["classes"][2]["dedup-scope"] = "zone".into();
    assert_eq!(
        read(&settings).unwrap_err().to_string(),
        "settings: class playlist-save: dedup-scope is missing"
    );
    settings["classes"][1]["dedup-scope"] = "cell".into();
    assert_eq!(read(&settings).unwrap().settings.classes[0].deduplication_scope, DeduplicationScope::All);
}
