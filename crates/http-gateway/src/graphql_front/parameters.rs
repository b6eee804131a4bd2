//! The parameters of a GraphQL request, from a JSON body or a query string.

use super::response::{Response, error};
use super::{MediaType, RequestHead};
use serde_json::{Map, Value};

/// `query`, `operationName`, `variables` and `extensions`, as the client sent them.
pub(super) type Parameters = Map<String, Value>;

/// The checked parameters of a request.
pub(super) struct OperationParameters<'a> {
    pub query: &'a str,
    pub operation_name: Option<&'a str>,
    pub variables: Option<&'a Map<String, Value>>,
}

/// The response to parameters that cannot be read.
pub(super) fn bad_request_response(media: MediaType, message: &str) -> Response {
    error(media, 400, "BAD_REQUEST", message)
}

/// Reads the parameters from the query string of a GET request, or the body of a POST request.
pub(super) fn read(head: &RequestHead, body: &[u8]) -> Result<Parameters, Response> {
    match &head.query {
        Some(query) => from_query(head.media, query),
        None => from_body(head.media, body),
    }
}

fn from_body(media: MediaType, body: &[u8]) -> Result<Parameters, Response> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(parameters)) => Ok(parameters),
        Ok(Value::Array(_)) => Err(error(media, 400, "BATCH_UNSUPPORTED", "send one operation a request")),
        Ok(_) => Err(bad_request_response(media, "the body must be a JSON object")),
        Err(error) => Err(bad_request_response(media, &format!("the body is no JSON: {error}"))),
    }
}

fn from_query(media: MediaType, query: &str) -> Result<Parameters, Response> {
    let mut parameters = Map::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (Some(name), Some(value)) = (percent_decode(name), percent_decode(value)) else {
            return Err(bad_request_response(media, "the query string is malformed"));
        };
        let value = match name.as_str() {
            "variables" | "extensions" if !value.is_empty() => serde_json::from_str(&value)
                .map_err(|error| bad_request_response(media, &format!("{name} is no JSON: {error}")))?,
            _ => Value::String(value),
        };
        if parameters.insert(name.clone(), value).is_some() {
            return Err(bad_request_response(media, &format!("{name} is given twice")));
        }
    }
    Ok(parameters)
}

/// Decodes `application/x-www-form-urlencoded` text.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let high = hex_digit(rest.next()?)?;
                let low = hex_digit(rest.next()?)?;
                u8::try_from(high * 16 + low).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

fn hex_digit(byte: u8) -> Option<u32> {
    char::from(byte).to_digit(16)
}

/// Checks the types of the parameters (GraphQL over HTTP, "Request parameters").
pub(super) fn check(media: MediaType, parameters: &Parameters) -> Result<OperationParameters<'_>, Response> {
    let Some(Value::String(query)) = parameters.get("query") else {
        return Err(bad_request_response(media, "query is needed, a string"));
    };
    let operation_name = match parameters.get("operationName") {
        None | Some(Value::Null) => None,
        Some(Value::String(name)) if name.is_empty() => None,
        Some(Value::String(name)) => Some(name.as_str()),
        Some(_) => return Err(bad_request_response(media, "operationName must be a string")),
    };
    let variables = match parameters.get("variables") {
        None | Some(Value::Null) => None,
        Some(Value::Object(variables)) => Some(variables),
        Some(Value::String(text)) if text.is_empty() => None,
        Some(_) => return Err(bad_request_response(media, "variables must be an object")),
    };
    if !matches!(parameters.get("extensions"), None | Some(Value::Null | Value::Object(_))) {
        return Err(bad_request_response(media, "extensions must be an object"));
    }
    Ok(OperationParameters { query, operation_name, variables })
}
