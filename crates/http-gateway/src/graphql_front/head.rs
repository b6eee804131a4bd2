//! Checks of a request's head: path, method, authentication, media types, deadline and session.

use super::response::{Response, error, with_close};
use super::{DEADLINE_FIELD, MediaType, REQUEST_ID_FIELD, RequestHead};
use doorcourse::{Millis, Name};
use doorcourse_config::{Config, Customer, Routing};
use doorcourse_http::Head;
use doorcourse_request_lifecycle::{cookie, parameter, split_path, sticky_route};
use std::sync::Arc;

/// The fields that are forwarded to the backend. Cookies are forwarded as well if sessions are sticky by cookie.
const FORWARDED_FIELDS: [&str; 4] = ["idempotency-key", REQUEST_ID_FIELD, "traceparent", "tracestate"];

/// Checks a request's head before its body is read, and identifies the customer.
///
/// # Errors
/// The response that rejects the request.
pub(crate) fn check_head(config: &Config, head: &Head) -> Result<RequestHead, Response> {
    let target = origin_form(&head.target);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let routing = &config.routing;
    let (path, path_parameters) =
        if routing.session_parameter.is_empty() { (path, "") } else { split_path(path) };
    if path != config.endpoint_path {
        return reject(404, "NOT_FOUND", "there is nothing here");
    }
    let is_get = is_get(head)?;
    let customer = authenticate(config, head)?;
    let Some(media) = accepted_media_type(head) else {
        let message = "acceptable are application/graphql-response+json and application/json";
        return reject(406, "NOT_ACCEPTABLE", message);
    };
    if !is_get {
        check_content(head)?;
    }
    Ok(RequestHead {
        customer: Arc::clone(customer),
        media,
        is_get,
        deadline: deadline(head)?,
        forwarded_fields: forwarded_fields(routing, head),
        sticky_route: session_route(routing, head, path_parameters, query),
        query: is_get.then(|| graphql_query(routing, query)),
    })
}

fn reject<T>(status: u16, code: &str, message: &str) -> Result<T, Response> {
    Err(with_close(error(MediaType::Json, status, code, message)))
}

/// Whether the method is GET (`true`) or POST (`false`).
fn is_get(head: &Head) -> Result<bool, Response> {
    let is_get = head.method == "GET";
    if is_get || head.method == "POST" {
        return Ok(is_get);
    }
    let mut response =
        with_close(error(MediaType::Json, 405, "METHOD_NOT_ALLOWED", "GET and POST are allowed"));
    response.fields.push(("allow", "GET, POST".into()));
    if head.method == "HEAD" {
        response.body.clear();
    }
    Err(response)
}

/// The customer whose key the request carries.
fn authenticate<'a>(config: &'a Config, head: &Head) -> Result<&'a Arc<Customer>, Response> {
    let credentials = head.field("authorization").and_then(|value| value.split_once(' '));
    // The scheme is compared without regard to case (RFC 9110 section 11.1).
    let key =
        credentials.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
    key.and_then(|key| config.customer_of_key(key.as_bytes())).ok_or_else(|| {
        let message = "a known key is needed in Authorization: Bearer";
        let mut response = with_close(error(MediaType::Json, 401, "UNAUTHENTICATED", message));
        response.fields.push(("www-authenticate", "Bearer".into()));
        response
    })
}

/// Checks that the body is unencoded JSON in UTF-8.
fn check_content(head: &Head) -> Result<(), Response> {
    let content_type = head.field("content-type").unwrap_or("").to_ascii_lowercase();
    let mut segments = content_type.split(';').map(str::trim);
    let is_json = segments.next() == Some("application/json");
    let other_charset =
        |segment: &str| segment.starts_with("charset=") && segment.trim_matches('"') != "charset=utf-8";
    if !is_json || segments.any(other_charset) {
        return reject(415, "UNSUPPORTED_MEDIA_TYPE", "the body must be application/json in UTF-8");
    }
    if head.field("content-encoding").is_some_and(|value| !value.eq_ignore_ascii_case("identity")) {
        return reject(415, "UNSUPPORTED_CONTENT_CODING", "the body must not be encoded");
    }
    Ok(())
}

/// The client's deadline for its response, if the request has one.
fn deadline(head: &Head) -> Result<Option<Millis>, Response> {
    match head.field(DEADLINE_FIELD).map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(ms)) if ms.is_finite() && ms > 0.0 => Ok(Some(ms)),
        Some(_) => reject(400, "BAD_DEADLINE", "doorcourse-deadline-ms must be a number of ms above 0"),
    }
}

fn forwarded_fields(routing: &Routing, head: &Head) -> Vec<(String, String)> {
    let forward_cookies = !routing.session_cookie.is_empty();
    let is_forwarded = |name: &str| FORWARDED_FIELDS.contains(&name) || forward_cookies && name == "cookie";
    head.fields.iter().filter(|(name, _)| is_forwarded(name)).cloned().collect()
}

/// The route that the client's session names. A cookie takes precedence over a path parameter, and a path parameter
/// over a query parameter.
fn session_route(routing: &Routing, head: &Head, path_parameters: &str, query: &str) -> Name {
    let cookies = head.fields.iter().filter(|(name, _)| name == "cookie").map(|(_, value)| value.as_str());
    let session = cookie(&routing.session_cookie, cookies)
        .or_else(|| parameter(&routing.session_parameter, path_parameters, ';'))
        .or_else(|| parameter(&routing.session_parameter, query, '&'));
    session.map(sticky_route).unwrap_or_default().into()
}

/// The query string without the parameter that names the session.
fn graphql_query(routing: &Routing, query: &str) -> String {
    let is_graphql = |pair: &&str| {
        routing.session_parameter.is_empty() || parameter(&routing.session_parameter, pair, '&').is_none()
    };
    query.split('&').filter(is_graphql).collect::<Vec<_>>().join("&")
}

/// The target without scheme and authority: a server must also accept the absolute form (RFC 9112 section 3.2.2).
fn origin_form(target: &str) -> &str {
    let has_scheme =
        |scheme: &&&str| target.get(..scheme.len()).is_some_and(|start| start.eq_ignore_ascii_case(scheme));
    let Some(scheme) = ["http://", "https://"].iter().find(has_scheme) else { return target };
    let rest = &target[scheme.len()..];
    match rest.find(['/', '?']) {
        Some(index) if rest[index..].starts_with('/') => &rest[index..],
        _ => "/",
    }
}

/// The media type of the response, according to the weights in the `Accept` fields. Without such a field it is the
/// legacy type (GraphQL over HTTP, "Legacy watershed").
fn accepted_media_type(head: &Head) -> Option<MediaType> {
    let mut values = head.fields.iter().filter(|(name, _)| name == "accept").peekable();
    if values.peek().is_none() {
        return Some(MediaType::Json);
    }
    let mut best: Option<(f64, MediaType)> = None;
    for range in values.flat_map(|(_, value)| value.split(',')) {
        let Some((weight, media)) = media_range(range) else { continue };
        if weight > 0.0 && best.is_none_or(|(best_weight, _)| weight > best_weight) {
            best = Some((weight, media));
        }
    }
    best.map(|(_, media)| media)
}

/// The weight of a media range and the type that it matches; `None` if it matches neither type.
fn media_range(range: &str) -> Option<(f64, MediaType)> {
    let mut segments = range.split(';').map(|segment| segment.trim().to_ascii_lowercase());
    let media = match segments.next().as_deref() {
        Some("application/graphql-response+json") => MediaType::GraphqlResponse,
        Some("application/json" | "application/*" | "*/*") => MediaType::Json,
        _ => return None,
    };
    let quality = segments.find_map(|segment| segment.strip_prefix("q=").map(str::to_owned));
    Some((quality.map_or(1.0, |quality| quality.parse().unwrap_or(0.0)), media))
}
