//! The commands of the request table to the event loop.

use crate::clients::ForwardedHead;
use crate::graphql_front::MediaType;
use doorcourse::{Event, IncomingRequest, Millis, Name};
use doorcourse_request_lifecycle::FinalResponse;

/// A command to another component. `client` and `slot` number a connection of the client or backend side.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Report an event to the decisions.
    NotifyDecisions(Event),
    /// Send a final response of the gateway's own.
    Respond { client: usize, media: MediaType, response: FinalResponse, external_id: Name },
    /// Forward bytes of a backend's response, after its head where `head` has one.
    ForwardResponse {
        client: usize,
        head: Option<ForwardedHead>,
        external_id: Name,
        bytes: Vec<u8>,
        /// The backend connection that back pressure stops; `None` once the response is complete.
        backend: Option<usize>,
    },
    /// The forwarded response is complete.
    EndResponse { client: usize },
    /// Reset a client's connection.
    ResetClient { client: usize },
    /// Close a backend's connection.
    CloseBackendConnection { slot: usize },
    /// Read on from a backend that back pressure has stopped.
    ResumeBackend { slot: usize },
    /// Count the final response of a request in the metrics.
    RecordFinalResponse(FinalResponseRecord),
    /// The request is over; these bytes of its body are released.
    ReleaseBytes(u64),
}

/// The code of a request whose response a backend gave, in the metrics.
pub(crate) const SERVED: &str = "SERVED";

/// The final response of a request, for the metrics.
#[derive(Debug)]
pub(crate) struct FinalResponseRecord {
    /// [`SERVED`], or the code of the error.
    pub code: &'static str,
    pub plan: Name,
    pub class: Name,
    /// Time since the request was admitted.
    pub elapsed: Millis,
}

/// A request that was admitted to the request table.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// As reported to the decisions.
    pub incoming: IncomingRequest,
    /// The bytes of its body, held until it is over.
    pub body_bytes: u64,
}
