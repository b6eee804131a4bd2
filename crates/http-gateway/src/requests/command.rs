//! The commands of the request table to the event loop.

use crate::clients::ForwardedHead;
use crate::graphql_front::MediaType;
use doorcourse::{Event, IncomingRequest, Millis, Name};
use doorcourse_request_lifecycle::FinalResponse;

/// A command to another component. `client` and `slot` are the slots of a client connection and a backend connection.
#[derive(Debug)]
pub(crate) enum RequestCommand {
    /// Report an event to the decisions.
    NotifyDecisions(Event),
    /// Send a final response that the gateway itself gives.
    Respond { client: usize, media: MediaType, response: FinalResponse, external_id: Name },
    /// Forward bytes of a backend's response, preceded by `head` if there is one.
    ForwardResponse {
        client: usize,
        head: Option<ForwardedHead>,
        external_id: Name,
        bytes: Vec<u8>,
        /// The backend connection that back pressure pauses; `None` once the response is complete.
        backend: Option<usize>,
    },
    /// The forwarded response is complete.
    EndResponse { client: usize },
    /// Reset a client's connection.
    ResetClient { client: usize },
    /// Close a backend's connection.
    CloseBackendConnection { slot: usize },
    /// Resume reading from a backend that back pressure has paused.
    ResumeBackend { slot: usize },
    /// Count the final response of a request in the metrics.
    RecordFinalResponse(FinalResponseRecord),
    /// The request has ended; this many bytes of its body are released from the budget.
    ReleaseBytes(u64),
}

/// The code in the metrics of a request that was answered with a backend's response.
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
    /// The request as reported to the decisions.
    pub incoming: IncomingRequest,
    /// The memory of its body and fields, which are held until the request ends.
    pub held_bytes: u64,
}
