//! GraphQL over HTTP: translates HTTP requests to requests for the decisions, and final responses to HTTP.
//!
//! Only this module interprets GraphQL over HTTP; `clients` decodes and encodes HTTP itself. This module holds no state
//! and does no I/O. A request is processed in three steps: its head, before its body is read ([`check_head`]); its
//! parameters; and its operation ([`prepare_request`]), which is validated against the schema and determines cost, class
//! and timeout. Each step may reject it with a [`Response`].

mod head;
mod operation;
mod parameters;
mod response;

pub(crate) use head::check_head;
pub(crate) use operation::prepare_request;
pub(crate) use response::{
    Response, bad_http_response, final_response, gateway_full_response, request_timeout_response,
    response_code, write_response,
};

use doorcourse::{Millis, Name};
use doorcourse_config::Customer;
use doorcourse_graphql::PreparedOperation;
use std::sync::Arc;

/// The client's deadline for its response, in ms from the arrival of the request's head: a number above 0.
pub const DEADLINE_FIELD: &str = "doorcourse-deadline-ms";
/// The client's own id of a request: forwarded to the backend and returned with the response.
pub const REQUEST_ID_FIELD: &str = "x-request-id";

/// The two media types of GraphQL over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MediaType {
    GraphqlResponse,
    /// The legacy type: the response to a well-formed request with an invalid operation has status 200.
    Json,
}

impl MediaType {
    fn name(self) -> &'static str {
        match self {
            Self::GraphqlResponse => "application/graphql-response+json; charset=utf-8",
            Self::Json => "application/json; charset=utf-8",
        }
    }
}

/// The result of checking a request's head.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub customer: Arc<Customer>,
    media: MediaType,
    is_get: bool,
    /// The client's own deadline, from the arrival of the head.
    deadline: Option<Millis>,
    /// Fields that are forwarded to the backend.
    forwarded_fields: Vec<(String, String)>,
    /// The route that the client's session names; empty for none.
    sticky_route: Name,
    /// The query string of a GET request.
    query: Option<String>,
}

/// A request that is ready for the decisions.
#[derive(Debug)]
pub(crate) struct Request {
    pub customer: Arc<Customer>,
    pub media: MediaType,
    /// Index of the operation's class in the settings.
    pub class: usize,
    /// The cost of the operation by the schema.
    pub units: f64,
    /// How long the decisions have for a final response, in ms.
    pub timeout: Millis,
    /// The body for the backend.
    pub body: Vec<u8>,
    /// Fields that are forwarded to the backend.
    pub forwarded_fields: Vec<(String, String)>,
    pub prepared: PreparedOperation,
    /// The route that the client's session names; empty for none.
    pub sticky_route: Name,
}
