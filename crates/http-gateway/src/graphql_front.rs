//! The GraphQL over HTTP front: from an HTTP request to an offer, and from a final answer to an HTTP response.
//! Only this file knows the client's protocol; it holds no state and does no I/O.

use doorcourse::{Name, RejectReason};
use doorcourse_config::{Config, Customer};
use doorcourse_graphql::{Error as QueryError, OperationKind, Prepared};
use doorcourse_http::{Framing, Head, response_head};
use doorcourse_request_lifecycle::{
    ExceedsPlanCapacity, FailureReason, FinalResponse, check_plan_capacity, cookie, operation_class,
    parameter, request_timeout, split_path, sticky_route,
};
use serde_json::{Map, Value, json};
use std::sync::Arc;

/// The client's deadline for its answer, in ms from the arrival of the request's head: a number above 0.
pub const DEADLINE_FIELD: &str = "doorcourse-deadline-ms";
/// The client's own number for a request: passed on to the node and given back with the answer.
pub const REQUEST_ID_FIELD: &str = "x-request-id";

/// The two media types of GraphQL over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MediaType {
    GraphqlResponse,
    Json,
}

impl MediaType {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::GraphqlResponse => "application/graphql-response+json; charset=utf-8",
            Self::Json => "application/json; charset=utf-8",
        }
    }
}

/// An answer that the gateway gives itself.
#[derive(Debug)]
pub(crate) struct Response {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    /// Whether the connection is of no further use.
    pub close: bool,
}

/// What is known of a request once its head is read.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub customer: Arc<Customer>,
    pub media: MediaType,
    pub get: bool,
    /// The deadline stated, in ms.
    pub deadline: Option<f64>,
    /// Fields that go on to the node.
    pub forwarded_fields: Vec<(String, String)>,
    /// The route that the client's session names; empty for none.
    sticky_route: Name,
    query: Option<String>,
}

/// A request ready for the decisions.
#[derive(Debug)]
pub(crate) struct Request {
    pub customer: Arc<Customer>,
    pub media: MediaType,
    pub class: usize,
    pub units: f64,
    /// How long the decisions have, in ms.
    pub timeout: f64,
    /// The body for the node.
    pub body: Vec<u8>,
    pub forwarded_fields: Vec<(String, String)>,
    pub prepared: Prepared,
    pub sticky_route: Name,
}

const PASSED_ON: [&str; 4] = ["idempotency-key", REQUEST_ID_FIELD, "traceparent", "tracestate"];

/// One error with a stable code, in the shape of a GraphQL response.
fn error(media: MediaType, status: u16, code: &str, message: &str) -> Response {
    let body = json!({"errors": [{"message": message, "extensions": {"code": code}}]});
    let fields = vec![("content-type", media.name().to_owned())];
    Response { status, fields, body: body.to_string().into_bytes(), close: false }
}

fn closing(mut reply: Response) -> Response {
    reply.close = true;
    reply
}

/// An answer to bytes that are no HTTP.
pub(crate) fn malformed(fault: doorcourse_http::Error) -> Response {
    closing(error(MediaType::Json, fault.status(), "BAD_HTTP", &fault.to_string()))
}

/// An answer to a request that took too long to arrive.
pub(crate) fn too_slow() -> Response {
    closing(error(MediaType::Json, 408, "REQUEST_TIMEOUT", "the request took too long to arrive"))
}

/// An answer where the gateway itself is full: nothing of the request was read on.
pub(crate) fn full(what: &str) -> Response {
    let mut reply = closing(error(MediaType::Json, 503, "GATEWAY_FULL", what));
    reply.fields.push(("retry-after", "1".into()));
    reply
}

/// Checks a request's head: who asks, and whether the body is worth reading.
pub(crate) fn caller(config: &Config, head: &Head) -> Result<RequestHead, Response> {
    let refuse = |status, code: &str, text: &str| Err(closing(error(MediaType::Json, status, code, text)));
    let target = origin_form(&head.target);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let sticky = &config.routing;
    let (path, behind) = if sticky.parameter.is_empty() { (path, "") } else { split_path(path) };
    if path != config.path {
        return refuse(404, "NOT_FOUND", "there is nothing here");
    }
    let get = head.method == "GET";
    if !get && head.method != "POST" {
        let mut reply =
            closing(error(MediaType::Json, 405, "METHOD_NOT_ALLOWED", "GET and POST are allowed"));
        reply.fields.push(("allow", "GET, POST".into()));
        if head.method == "HEAD" {
            reply.body.clear();
        }
        return Err(reply);
    }
    // The scheme is told apart in any case (RFC 9110 section 11.1).
    let given = head.field("authorization").and_then(|v| v.split_once(' '));
    let key = given.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
    let Some(customer) = key.and_then(|k| config.customer(k.as_bytes())) else {
        let text = "a known key is needed in Authorization: Bearer";
        let mut reply = closing(error(MediaType::Json, 401, "UNAUTHENTICATED", text));
        reply.fields.push(("www-authenticate", "Bearer".into()));
        return Err(reply);
    };
    let Some(media) = accepted(head) else {
        let text = "acceptable are application/graphql-response+json and application/json";
        return refuse(406, "NOT_ACCEPTABLE", text);
    };
    if !get {
        let kind = head.field("content-type").unwrap_or("").to_ascii_lowercase();
        let mut words = kind.split(';').map(str::trim);
        let json = words.next() == Some("application/json");
        if !json || words.any(|w| w.starts_with("charset=") && w.trim_matches('"') != "charset=utf-8") {
            return refuse(415, "UNSUPPORTED_MEDIA_TYPE", "the body must be application/json in UTF-8");
        }
        if head.field("content-encoding").is_some_and(|v| !v.eq_ignore_ascii_case("identity")) {
            return refuse(415, "UNSUPPORTED_CONTENT_CODING", "the body must not be encoded");
        }
    }
    let deadline = match head.field(DEADLINE_FIELD).map(str::parse::<f64>) {
        None => None,
        Some(Ok(ms)) if ms.is_finite() && ms > 0.0 => Some(ms),
        Some(_) => {
            return refuse(400, "BAD_DEADLINE", "doorcourse-deadline-ms must be a number of ms above 0");
        }
    };
    let cookies = !sticky.cookie.is_empty();
    let pass_on = |n: &str| PASSED_ON.contains(&n) || cookies && n == "cookie";
    let pass = head.fields.iter().filter(|(n, _)| pass_on(n)).cloned().collect();
    // A cookie goes before a parameter, as where these names come from.
    let fields = head.fields.iter().filter(|(n, _)| n == "cookie").map(|(_, v)| v.as_str());
    let session = cookie(&sticky.cookie, fields)
        .or_else(|| parameter(&sticky.parameter, behind, ';'))
        .or_else(|| parameter(&sticky.parameter, query, '&'));
    let bound = session.map(sticky_route).unwrap_or_default().into();
    let own = |pair: &&str| sticky.parameter.is_empty() || parameter(&sticky.parameter, pair, '&').is_none();
    let query = get.then(|| query.split('&').filter(own).collect::<Vec<_>>().join("&"));
    Ok(RequestHead {
        customer: Arc::clone(customer),
        media,
        get,
        deadline,
        forwarded_fields: pass,
        sticky_route: bound,
        query,
    })
}

/// The target without scheme and authority: a server takes the absolute form too (RFC 9112 section 3.2.2).
fn origin_form(target: &str) -> &str {
    let scheme = ["http://", "https://"]
        .iter()
        .find(|s| target.get(..s.len()).is_some_and(|t| t.eq_ignore_ascii_case(s)));
    let Some(rest) = scheme.map(|s| &target[s.len()..]) else { return target };
    match rest.find(['/', '?']) {
        Some(at) if rest[at..].starts_with('/') => &rest[at..],
        _ => "/",
    }
}

/// The media type to answer in: without a word of the client's, the older one (GraphQL over HTTP, "Legacy").
fn accepted(head: &Head) -> Option<MediaType> {
    let mut values = head.fields.iter().filter(|(n, _)| n == "accept").peekable();
    if values.peek().is_none() {
        return Some(MediaType::Json);
    }
    let mut best: Option<(f64, MediaType)> = None;
    for word in values.flat_map(|(_, v)| v.split(',')) {
        let mut parts = word.split(';').map(|p| p.trim().to_ascii_lowercase());
        let media = match parts.next().as_deref() {
            Some("application/graphql-response+json") => MediaType::GraphqlResponse,
            Some("application/json" | "application/*" | "*/*") => MediaType::Json,
            _ => continue,
        };
        let weight = parts.find_map(|p| p.strip_prefix("q=").map(str::to_owned));
        let weight = weight.map_or(1.0, |q| q.parse().unwrap_or(0.0));
        if weight > 0.0 && best.is_none_or(|(w, _)| weight > w) {
            best = Some((weight, media));
        }
    }
    best.map(|(_, media)| media)
}

/// The parameters of a request: query, operationName, variables, extensions.
type Parameters = Map<String, Value>;

fn parameters(caller: &RequestHead, body: &[u8]) -> Result<Parameters, Response> {
    let media = caller.media;
    let bad = |text: &str| error(media, 400, "BAD_REQUEST", text);
    let Some(query) = &caller.query else {
        return match serde_json::from_slice(body) {
            Ok(Value::Object(parameters)) => Ok(parameters),
            Ok(Value::Array(_)) => {
                Err(error(media, 400, "BATCH_UNSUPPORTED", "send one operation a request"))
            }
            Ok(_) => Err(bad("the body must be a JSON object")),
            Err(fault) => Err(bad(&format!("the body is no JSON: {fault}"))),
        };
    };
    let mut parameters = Map::new();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (Some(name), Some(value)) = (unescape(name), unescape(value)) else {
            return Err(bad("the query string is malformed"));
        };
        let value = match name.as_str() {
            "variables" | "extensions" if !value.is_empty() => {
                serde_json::from_str(&value).map_err(|f| bad(&format!("{name} is no JSON: {f}")))?
            }
            _ => Value::String(value),
        };
        if parameters.insert(name.clone(), value).is_some() {
            return Err(bad(&format!("{name} is given twice")));
        }
    }
    Ok(parameters)
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'+' => b' ',
            b'%' => {
                let digit = |b: u8| char::from(b).to_digit(16);
                let (high, low) = (digit(rest.next()?)?, digit(rest.next()?)?);
                u8::try_from(high * 16 + low).ok()?
            }
            b => b,
        });
    }
    String::from_utf8(bytes).ok()
}

fn faults(media: MediaType, code: &str, faults: &[QueryError]) -> Response {
    // A well-formed request whose operation is refused: 200 in the older media type, 400 in the newer one.
    let status = if media == MediaType::Json { 200 } else { 400 };
    let one = |fault: &QueryError| match fault.at {
        Some(at) => json!({"message": fault.message, "extensions": {"code": code},
            "locations": [{"line": at.line, "column": at.column}]}),
        None => json!({"message": fault.message, "extensions": {"code": code}}),
    };
    let body = json!({"errors": faults.iter().map(one).collect::<Vec<_>>()});
    let fields = vec![("content-type", media.name().to_owned())];
    Response { status, fields, body: body.to_string().into_bytes(), close: false }
}

/// From a whole request to an ask: the operation checked, priced and given its class.
/// `spent` is how long ago its head came, in ms: the client's deadline runs from then.
pub(crate) fn ask(
    config: &Config, caller: RequestHead, body: Vec<u8>, spent: f64,
) -> Result<Request, Response> {
    let media = caller.media;
    let bad = |text: &str| error(media, 400, "BAD_REQUEST", text);
    let parameters = parameters(&caller, &body)?;
    let Some(Value::String(query)) = parameters.get("query") else {
        return Err(bad("query is needed, a string"));
    };
    let operation = match parameters.get("operationName") {
        None | Some(Value::Null) => None,
        Some(Value::String(name)) if name.is_empty() => None,
        Some(Value::String(name)) => Some(name.as_str()),
        Some(_) => return Err(bad("operationName must be a string")),
    };
    let variables = match parameters.get("variables") {
        None | Some(Value::Null) => None,
        Some(Value::Object(variables)) => Some(variables),
        Some(Value::String(text)) if text.is_empty() => None,
        Some(_) => return Err(bad("variables must be an object")),
    };
    if !matches!(parameters.get("extensions"), None | Some(Value::Null | Value::Object(_))) {
        return Err(bad("extensions must be an object"));
    }
    let schema = Arc::clone(&config.schema);
    let prepared = Prepared::new(schema, query, operation, variables, config.query_limits)
        .map_err(|f| faults(media, "GRAPHQL_VALIDATION_FAILED", &f))?;
    let kind = prepared.kind();
    if kind == OperationKind::Subscription {
        return Err(error(media, 400, "SUBSCRIPTION_UNSUPPORTED", "subscriptions are not served here"));
    }
    if kind == OperationKind::Mutation && caller.get {
        let mut reply = error(media, 405, "MUTATION_BY_GET", "a mutation needs POST");
        reply.fields.push(("allow", "POST".into()));
        return Err(reply);
    }
    let meta = |f: &&String| f.starts_with("__") && *f != "__typename";
    if !config.introspection && prepared.root_fields().iter().any(|f| meta(&f)) {
        return Err(error(media, 400, "INTROSPECTION_DISABLED", "introspection is not answered here"));
    }
    let classes = prepared.root_fields().iter().filter_map(|f| config.class_of(kind, f));
    let Some(class) = operation_class(&config.decisions.classes, classes) else {
        return Err(error(media, 400, "NO_CLASS", "the operation belongs to no class"));
    };
    let units = prepared.cost().units;
    let plan = &config.decisions.plans[caller.customer.plan];
    check_plan_capacity(plan, units).map_err(|ExceedsPlanCapacity { capacity: most }| {
        // No Retry-After: waiting does not help.
        let text = format!("the operation costs {units} units, the plan never holds more than {most}");
        error(media, 429, "COST_EXCEEDS_PLAN", &text)
    })?;
    let limits = &config.limits;
    let give_up = config.give_up[class];
    let patience = request_timeout(give_up, caller.deadline, limits.longest_deadline, limits.answer_margin)
        .map(|p| p - spent)
        .filter(|p| *p > 0.0)
        .ok_or_else(|| error(media, 504, "DEADLINE_PASSED", "no time is left for an answer"))?;
    let body = if caller.get { Value::Object(parameters).to_string().into_bytes() } else { body };
    let RequestHead { customer, forwarded_fields: pass, sticky_route: bound, .. } = caller;
    Ok(Request {
        customer,
        media,
        class,
        units,
        timeout: patience,
        body,
        forwarded_fields: pass,
        prepared,
        sticky_route: bound,
    })
}

/// The stable code of a final answer of the gateway's own.
pub(crate) fn code_of(answer: FinalResponse) -> &'static str {
    match answer {
        FinalResponse::Rejected { reason: RejectReason::QuotaExceeded, .. } => "QUOTA_EXCEEDED",
        FinalResponse::Rejected { reason: RejectReason::Overloaded, .. } => "BUSY",
        FinalResponse::Failed(FailureReason::DeadlineExpired) => "DEADLINE_EXCEEDED",
        FinalResponse::Failed(FailureReason::BackendFailed) => "NODE_FAILED",
        FinalResponse::Failed(FailureReason::NoBackendReached) => "NO_NODE",
    }
}

/// The HTTP form of a final answer of the gateway's own.
pub(crate) fn last_word(media: MediaType, answer: FinalResponse) -> Response {
    let code = code_of(answer);
    match answer {
        FinalResponse::Rejected { retry_after, reason: why } => {
            let (status, text) = match why {
                RejectReason::QuotaExceeded => (429, "the quota is used up; to try again is harmless"),
                RejectReason::Overloaded => (503, "no node has room; to try again is harmless"),
            };
            let mut reply = error(media, status, code, text);
            // Whole seconds, rounded up: an earlier return would be refused again (RFC 9110 section 10.2.3).
            reply.fields.push(("retry-after", (retry_after / 1000.0).ceil().max(1.0).to_string()));
            reply
        }
        FinalResponse::Failed(failure) => {
            let (status, text) = match failure {
                FailureReason::DeadlineExpired => (504, "no answer came in time; the operation may have run"),
                FailureReason::BackendFailed => (502, "a node failed; the operation may have run"),
                FailureReason::NoBackendReached => {
                    (503, "no node could be reached; the operation did not run")
                }
            };
            error(media, status, code, text)
        }
    }
}

/// Appends a reply to a connection's output.
pub(crate) fn write(out: &mut Vec<u8>, reply: &Response, keep_alive: bool, request: Option<&Name>) {
    let mut fields: Vec<(&str, &str)> = reply.fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
    if !keep_alive || reply.close {
        fields.push(("connection", "close"));
    }
    if let Some(id) = request {
        fields.push((REQUEST_ID_FIELD, id));
    }
    response_head(out, reply.status, &fields, Framing::Length(reply.body.len() as u64));
    out.extend_from_slice(&reply.body);
}
