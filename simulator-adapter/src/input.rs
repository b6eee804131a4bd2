//! Reads the simulator's messages as events.

use crate::error::LineError;
use crate::fields::{ABSENT, Fields};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use doorcourse::{
    AttemptEnd, AttemptOutcome, BackendEntry, BackendState, CounterOutcome, Event, IncomingRequest,
    LoadReport, Name, Placement,
};
use std::collections::BTreeMap;

/// The endpoint lists sent so far, by number.
pub(crate) type EndpointLists = BTreeMap<u64, Vec<BackendEntry>>;

/// Reads a message for one gateway. `fields` starts after the gateway's number. The simulator's `SAMPLED` is the result
/// of a health check; it is unrelated to sampled quotas.
pub(crate) fn event(
    message: &str, fields: &mut Fields<'_>, lists: &EndpointLists,
) -> Result<Event, LineError> {
    match message {
        "ANNOUNCE" => endpoint_list(fields, lists),
        "ORDER" => request_received(fields),
        "UNDER_WAY" => Ok(Event::StreamStarted { id: fields.number("id")? }),
        "ATTEMPT_END" => attempt_ended(fields),
        "GONE" => Ok(Event::ClientDisconnected { id: fields.number("id")? }),
        "DUE" => Ok(Event::TimerExpired { token: fields.number("tag")? }),
        "SAMPLED" => health_check_ended(fields),
        "INBOX" => gossip_received(fields),
        "TOTAL" => counter_call_ended(fields),
        _ => Err(LineError::UnknownMessage(message.to_owned())),
    }
}

/// Reads one entry of an endpoint list.
pub(crate) fn backend_entry(line: &str) -> Result<BackendEntry, LineError> {
    let mut fields = Fields::of(line);
    if fields.text("message")? != "ENTRY" {
        return Err(LineError::ExpectedEntry(line.to_owned()));
    }
    let name = fields.name("backend")?;
    let zone = Name::from(fields.text("az")?);
    fields.text("family-type")?;
    let cell = fields.number("block")?;
    let state = backend_state(fields.text("readiness")?)?;
    fields.optional::<f64>("rating")?;
    let started = fields.optional::<f64>("born-ms")?.filter(|started| *started > 0.0);
    Ok(BackendEntry { name, zone, cell, state, started, placement: Placement::default() })
}

fn backend_state(text: &str) -> Result<BackendState, LineError> {
    match text {
        "IN" => Ok(BackendState::Ready),
        "LAME" => Ok(BackendState::Draining),
        "OUT" => Ok(BackendState::Removed),
        _ => Err(LineError::UnknownReadiness(text.to_owned())),
    }
}

fn endpoint_list(fields: &mut Fields<'_>, lists: &EndpointLists) -> Result<Event, LineError> {
    let kind = fields.text("kind")?;
    fields.text("gen")?;
    let number = fields.optional::<u64>("roster-id")?;
    if kind == "refused" {
        return Ok(Event::BackendListFailed);
    }
    let entries = number.and_then(|number| lists.get(&number)).ok_or(LineError::UnknownList)?.clone();
    match kind {
        "changes" => Ok(Event::BackendChanges(entries)),
        "all" | "remembered" => Ok(Event::BackendList(entries)),
        _ => Err(LineError::UnknownListKind(kind.to_owned())),
    }
}

fn request_received(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.number("id")?;
    let customer = fields.name("account")?;
    fields.flag("write")?;
    let timeout = fields.millis("patience-left-ms")?;
    let class = fields.name("band")?;
    let client_retry = fields.flag("again-by-client")?;
    let first_gateway = fields.optional("base")?.unwrap_or(0);
    let gateway_count = fields.optional("spread")?.unwrap_or(0);
    let units = fields.optional("units")?.unwrap_or(1.0);
    let plan = fields.name("package")?;
    Ok(Event::RequestReceived(IncomingRequest {
        id,
        customer,
        plan,
        class,
        units,
        client_retry,
        timeout,
        first_gateway,
        gateway_count,
        sticky_route: Name::default(),
    }))
}

fn attempt_ended(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.number("id")?;
    let latency = fields.millis("latency-ms")?;
    let backend = fields.name("backend")?;
    let outcome = attempt_outcome(fields.text("rc")?)?;
    fields.optional::<f64>("seen-use")?;
    let attempt = fields.number("go")?;
    let true_units = fields.optional::<f64>("true-units")?.filter(|units| *units > 0.0);
    let final_response_sent = fields.flag("finished")?;
    let load_report = load_report(fields.text("metrics")?)?;
    Ok(Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        backend,
        outcome,
        latency,
        true_units,
        final_response_sent,
        load_report,
    }))
}

fn attempt_outcome(text: &str) -> Result<AttemptOutcome, LineError> {
    match text {
        "delivered" => Ok(AttemptOutcome::Served),
        "app_error" => Ok(AttemptOutcome::Error),
        "shed" => Ok(AttemptOutcome::Rejected),
        "expired" => Ok(AttemptOutcome::TimedOut),
        "dial_failed" => Ok(AttemptOutcome::ConnectFailed),
        "dropped" => Ok(AttemptOutcome::ConnectionLost),
        "revoked" => Ok(AttemptOutcome::Cancelled),
        "unused" => Ok(AttemptOutcome::NeverSent),
        _ => Err(LineError::UnknownOutcome(text.to_owned())),
    }
}

fn load_report(text: &str) -> Result<Option<LoadReport>, LineError> {
    if text == ABSENT || text.is_empty() {
        return Ok(None);
    }
    doorcourse_deployment::report(text, ':').map(Some).map_err(LineError::LoadReport)
}

fn health_check_ended(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let latency = fields.millis("latency-ms")?;
    let backend = fields.name("backend")?;
    let outcome = attempt_outcome(fields.text("rc")?)?;
    let load_report = load_report(fields.text("metrics")?)?;
    Ok(Event::HealthCheckEnded { backend, outcome, latency, load_report })
}

fn gossip_received(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let from = fields.number("neighbour")?;
    let bytes = match fields.text("msg")? {
        ABSENT => Vec::new(),
        text => STANDARD.decode(text).map_err(|_| LineError::InvalidBase64)?,
    };
    Ok(Event::GossipReceived { from, bytes })
}

fn counter_call_ended(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let code = fields.text("rc")?;
    let counter = fields.number("counter-key")?;
    let latency = fields.millis("latency-ms")?;
    let total = fields.optional::<f64>("result-value")?;
    let outcome = match code {
        "delivered" => CounterOutcome::Total(total.ok_or(LineError::MissingField("result-value"))?),
        "shed" | "dial_failed" => CounterOutcome::NotAdded,
        "expired" => CounterOutcome::Unknown,
        _ => return Err(LineError::UnknownOutcome(code.to_owned())),
    };
    Ok(Event::CounterCallEnded { counter, outcome, latency })
}
