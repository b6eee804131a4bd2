//! Reads the settings object of a deployment document. A missing key has the zero value of its type, except where that
//! would allow more retries than the deployment does: then it is an error, as is a value of the wrong type. Errors name
//! the key. An unknown key is ignored.

use crate::DeploymentError;
use doorcourse::{
    DeduplicationScope, Idempotency, LoadReportSource, Millis, Name, Plan, RequestClass, Routing, Settings,
};
use serde_json::Value;

/// A JSON object in the settings. The readers of its values return the zero value for a missing key or `null`.
struct Object<'a>(&'a Value);

impl<'a> Object<'a> {
    /// The nested object under `key`, or an empty one if the key is missing.
    fn nested(value: &'a Value, key: &str) -> Result<Self, DeploymentError> {
        match value.get(key) {
            None => Ok(Self(&Value::Null)),
            Some(v) if v.is_object() => Ok(Self(v)),
            Some(_) => Err(DeploymentError::WrongType { key: key.into(), expected: "an object" }),
        }
    }

    /// The value under `key` as `convert` returns it; `expected` names the type in the error.
    fn typed<T>(
        &self, key: &str, expected: &'static str, zero: T, convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, DeploymentError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(zero),
            Some(v) => convert(v).ok_or_else(|| DeploymentError::WrongType { key: key.into(), expected }),
        }
    }

    fn number(&self, key: &str) -> Result<f64, DeploymentError> {
        self.typed(key, "a number", 0.0, Value::as_f64)
    }

    fn integer(&self, key: &str) -> Result<u32, DeploymentError> {
        self.typed(key, "a small whole number", 0, |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    fn boolean(&self, key: &str) -> Result<bool, DeploymentError> {
        self.typed(key, "true or false", false, Value::as_bool)
    }

    fn string(&self, key: &str) -> Result<&'a str, DeploymentError> {
        self.typed(key, "a text", "", Value::as_str)
    }

    fn list(&self, key: &str) -> Result<&'a [Value], DeploymentError> {
        self.typed(key, "a list", &[][..], |v| v.as_array().map(Vec::as_slice))
    }
}

/// The settings that only the host of the decision library needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostSettings {
    /// The timeout of a connect to a backend, in ms.
    pub connect_timeout: Millis,
    /// How long a connection may be idle before its backend closes it, in ms; 0 if it never does.
    pub backend_idle_timeout: Millis,
    /// The most requests in flight on one connection to a backend.
    pub requests_per_connection: u32,
    /// Whether a request may have two attempts in flight (hedged requests).
    pub hedging_allowed: bool,
    /// Whether the response to a rejected client may say when to retry.
    pub retry_after_allowed: bool,
    /// How long a backend may still be sent requests after the endpoint list has marked it as draining, in ms.
    pub drain_grace: Millis,
    /// How long after a client's deadline a final response still counts, in ms.
    pub response_slack: Millis,
    /// The longest client timeout of each class, in ms, in the order of [`Settings::classes`].
    pub client_timeouts: Vec<Millis>,
}

/// The settings of a deployment, for the decision library and for its host.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the decision library.
    pub settings: Settings,
    /// The settings of its host.
    pub host: HostSettings,
}

/// Parses the settings object from JSON; unknown keys are ignored.
///
/// # Errors
/// One line that names the key with the fault.
pub fn parse(text: &str) -> Result<Deployment, DeploymentError> {
    read(&serde_json::from_str(text)?)
}

/// Reads the settings object; unknown keys are ignored.
///
/// # Errors
/// One line that names the key with the fault.
pub fn read(root: &Value) -> Result<Deployment, DeploymentError> {
    if !root.is_object() {
        return Err(DeploymentError::NotAnObject);
    }
    let top = Object(root);
    let extra = Object::nested(root, "extra")?;
    let permissions = Object::nested(root, "permissions")?;
    let rules = Object::nested(root, "rules")?;
    let prices = Object::nested(root, "prices")?;
    let load_reports = match Object::nested(root, "load-info")?.string("source")? {
        "inline" => LoadReportSource::Responses,
        "on_probe" => LoadReportSource::HealthChecks,
        "off" | "" => LoadReportSource::None,
        other => return Err(unknown("load source", other)),
    };
    let classes = top.list("classes")?;
    let settings = Settings {
        gateway_count: top.integer("fleet-size")?,
        gateway_index: top.integer("my-number")?,
        zone: Name::from(top.string("locality")?),
        tick: top.number("period-ms")?,
        classes: classes.iter().map(class).collect::<Result<_, _>>()?,
        plans: top.list("plans")?.iter().map(plan).collect::<Result<_, _>>()?,
        has_counter: extra.boolean("has-counter")?,
        counter_timeout: extra.number("count-limit-ms")?,
        responses_report_units: extra.boolean("trued-up")?,
        max_request_units: extra.number("units-top")?,
        // The host sets a limit by the memory that it has.
        max_customers: None,
        load_reports,
        health_checks_allowed: permissions.boolean("probes")?,
        gossip_allowed: permissions.boolean("peers")?,
        cancellation_allowed: permissions.boolean("may-cancel")?,
        watch_on_request: top.string("discovery")? == "on_request",
        max_attempts: permissions.integer("most-tries")?,
        max_retry_after: permissions.number("max-retry-after-ms")?,
        slow_start_share: rules.number("cold-from")?,
        slow_start_duration: rules.number("cold-ms")?,
        overload_multiple: rules.number("overload-factor")?,
        overload_window: rules.number("fall-ms")?,
        cross_zone_price: prices.number("cross-zone")?,
        routing: Routing::default(),
    };
    let host = HostSettings {
        connect_timeout: permissions.number("dial-timeout-ms")?,
        backend_idle_timeout: permissions.number("keepalive-ms")?,
        requests_per_connection: permissions.integer("max-streams")?,
        hedging_allowed: permissions.boolean("second-copies")?,
        retry_after_allowed: permissions.boolean("retry-after")?,
        drain_grace: rules.number("drain-grace-ms")?,
        response_slack: rules.number("answer-slack-ms")?,
        client_timeouts: classes
            .iter()
            .map(|c| Object(c).number("hard-limit-ms"))
            .collect::<Result<_, _>>()?,
    };
    Ok(Deployment { settings, host })
}

fn unknown(key: &'static str, value: &str) -> DeploymentError {
    DeploymentError::UnknownValue { key, value: value.into() }
}

fn class(value: &Value) -> Result<RequestClass, DeploymentError> {
    let class = Object(value);
    let idempotency = match class.string("effect")? {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::WithKey,
        "at_most_once" => Idempotency::NonIdempotent,
        other => return Err(unknown("effect", other)),
    };
    Ok(RequestClass {
        name: Name::from(class.string("name")?),
        latency_objective: class.number("goal-time-ms")?,
        idempotency,
        deduplication_scope: deduplication_scope(&class, idempotency)?,
        deduplication_window: class.number("window-ms")?,
        priority_weight: class.number("worth")?,
        late_response_value: class.number("late-value")?,
    })
}

/// The scope is required of a class whose requests have idempotency keys. Other classes do not use it.
fn deduplication_scope(
    class: &Object<'_>, idempotency: Idempotency,
) -> Result<DeduplicationScope, DeploymentError> {
    match class.string("dedup-scope")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        "" if idempotency != Idempotency::WithKey => Ok(DeduplicationScope::All),
        "" => Err(DeploymentError::DeduplicationScopeMissing { class: class.string("name")?.into() }),
        other => Err(unknown("dedup-scope", other)),
    }
}

fn plan(value: &Value) -> Result<Plan, DeploymentError> {
    let plan = Object(value);
    Ok(Plan {
        name: Name::from(plan.string("name")?),
        rate: plan.number("refill")?,
        burst: plan.number("burst")?,
        max_in_flight: plan.integer("parallel")?,
        ceiling_rate: plan.number("cap-rate")?,
        ceiling_burst: plan.number("ceiling-burst")?,
        ceiling_slack: plan.number("ceiling-slack")?,
        priority_factor: plan.number("worth-factor")?,
        over_quota_value: plan.number("over-worth")?,
        over_quota_cost: plan.number("overrun-cost")?,
    })
}
