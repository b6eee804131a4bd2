//! The room of the open requests: between the decisions and the sockets, one exchange each. What becomes of a request is
//! decided by `doorcourse_request_lifecycle`; this room keeps what belongs to it and says what is to be done.

use crate::backends::Heard;
use crate::clients::{CommandId, RequestFailure, Response};
use crate::request::{ForwardedCommand, Request};
use doorcourse::{AttemptEnd, Event, IncomingRequest, LoadReport, Name, RequestId};
use doorcourse_deployment::Site;
use doorcourse_graceful_shutdown::{Admission, GracefulShutdown};
use doorcourse_request_lifecycle::{
    FailureReason, FinalResponse, LifecycleAction, LifecycleEvent, RequestLifecycle, request_timeout,
};
use std::collections::HashMap;
use std::sync::Arc;

/// An answer travels for about so long, in ms: what comes later than that before the client's time is up is too late.
const MARGIN: f64 = 4.0;

/// The life of each request, by its client's id, at the level `trace`: for who follows one through the gateways.
const LOG: &str = "doorcourse::requests";

/// What is to be done for a request.
pub(crate) enum Do {
    /// Tell the decisions.
    Tell(Event),
    /// Give its client the answer.
    Give(CommandId, Response),
    /// Its attempt is not waited for any more.
    Abandon(RequestId),
}

/// What becomes of a request that has just come.
pub(crate) enum Begun {
    /// It is open until then; the decisions are to hear of it.
    Taken { id: RequestId, until: f64, event: Event },
    /// A request with its id is open.
    Twice,
    /// Its client will not hear any answer.
    NoTime,
    /// The gateway leaves before it could end.
    Leaving,
}

struct Open {
    exchange: RequestLifecycle,
    id: u64,
    place: CommandId,
    passed: Arc<ForwardedCommand>,
    began: f64,
    until: f64,
    backend: Name,
    sent: f64,
    value: Vec<u8>,
    load: Option<LoadReport>,
}

/// An attempt as it goes out.
pub(crate) struct Outgoing {
    pub passed: Arc<ForwardedCommand>,
    pub began: f64,
    pub until: f64,
    pub attempt: u32,
}

#[derive(Default)]
pub(crate) struct Exchanges {
    open: HashMap<RequestId, Open>,
    /// The ids of clients: one that is open is refused to a newcomer.
    ids: HashMap<u64, RequestId>,
    last: RequestId,
    outputs: Vec<LifecycleAction>,
}

impl Exchanges {
    /// Takes a request on, where its id, its time and a gateway that may be leaving allow it.
    pub fn begin(
        &mut self, now: f64, site: &Site, leave: &GracefulShutdown, place: CommandId, ask: Request,
    ) -> Begun {
        if self.ids.contains_key(&ask.id) {
            return Begun::Twice;
        }
        let longest =
            site.host.patience.get(ask.class).copied().filter(|p| *p > 0.0).unwrap_or(f64::INFINITY);
        let Some(patience) = request_timeout(longest, Some(ask.timeout), longest, MARGIN) else {
            tracing::trace!(target: LOG, id = format_args!("{:016x}", ask.id), "no time is left");
            return Begun::NoTime;
        };
        let Admission::Admit(patience) =
            leave.admit(now, patience, site.settings.classes[ask.class].latency_objective)
        else {
            tracing::trace!(target: LOG, id = format_args!("{:016x}", ask.id), "refused: leaving");
            return Begun::Leaving;
        };
        self.last += 1;
        let id = self.last;
        tracing::trace!(target: LOG, id = format_args!("{:016x}", ask.id), number = id, patience, "taken on");
        let arrival = IncomingRequest {
            id,
            customer: ask.customer,
            plan: site.settings.plans[ask.plan].name.clone(),
            class: site.settings.classes[ask.class].name.clone(),
            units: ask.units,
            client_retry: ask.client_retry,
            timeout: patience,
            first_gateway: ask.first_gateway,
            gateway_count: ask.gateway_count,
            sticky_route: Name::default(),
        };
        let (until, passed) = (now + patience, Arc::new(ask.forwarded));
        let exchange = RequestLifecycle::new(usize::MAX);
        let (backend, value) = (Name::default(), Vec::new());
        let began = now;
        let open =
            Open { exchange, id: ask.id, place, passed, began, until, backend, sent: now, value, load: None };
        self.ids.insert(ask.id, id);
        self.open.insert(id, open);
        Begun::Taken { id, until, event: Event::RequestReceived(arrival) }
    }

    /// The decisions send a request to a backend; `None` for one that is over.
    pub fn send(&mut self, now: f64, id: RequestId, backend: &Name) -> Option<Outgoing> {
        let open = self.open.get_mut(&id)?;
        open.exchange.handle(LifecycleEvent::AttemptStarted, &mut self.outputs);
        self.outputs.clear();
        (open.backend, open.sent, open.load) = (backend.clone(), now, None);
        tracing::trace!(target: LOG, number = id, backend = &**backend, passed = now - open.began, "sent on");
        Some(Outgoing {
            passed: open.passed.clone(),
            began: open.began,
            until: open.until,
            attempt: open.exchange.attempts(),
        })
    }

    /// Whether this attempt is the one that is out.
    pub fn is_out(&self, id: RequestId, attempt: u32) -> bool {
        self.open.get(&id).is_some_and(|o| o.exchange.has_attempt() && o.exchange.attempts() == attempt)
    }

    /// Something was heard of a request's attempt.
    pub fn heard(&mut self, now: f64, advice: bool, id: RequestId, heard: Heard, out: &mut Vec<Do>) {
        let input = match heard {
            Heard::Connected => LifecycleEvent::Connected,
            Heard::Written => LifecycleEvent::BytesWritten,
            Heard::Answered { reply, value, units, load } => {
                if let Some(open) = self.open.get_mut(&id) {
                    (open.value, open.load) = (value, load);
                }
                LifecycleEvent::ResponseReceived { reply, units }
            }
            Heard::Broken => LifecycleEvent::InvalidResponse,
            Heard::Lost => LifecycleEvent::ConnectionLost,
            Heard::Withdrawn => LifecycleEvent::Withdrawn,
        };
        self.handle(now, advice, id, input, out);
    }

    /// Something happened to a request.
    pub fn handle(
        &mut self, now: f64, advice: bool, id: RequestId, input: LifecycleEvent, out: &mut Vec<Do>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        match input {
            LifecycleEvent::BytesWritten => tracing::trace!(target: LOG, number = id, "written"),
            LifecycleEvent::ClientDisconnected => tracing::trace!(target: LOG, number = id, "client gone"),
            _ => {}
        }
        open.exchange.handle(input, &mut outputs);
        let mut over = false;
        for output in outputs.drain(..) {
            match output {
                LifecycleAction::AttemptEnded { outcome, true_units, final_response_sent: finished } => {
                    let (attempt, backend) = (open.exchange.attempts(), open.backend.clone());
                    let (latency, load) = (now - open.sent, open.load.take());
                    tracing::trace!(target: LOG, number = id, ?outcome, latency, "attempt ended");
                    out.push(Do::Tell(Event::AttemptEnded(AttemptEnd {
                        id,
                        attempt,
                        backend,
                        outcome,
                        latency,
                        true_units,
                        final_response_sent: finished,
                        load_report: load,
                    })));
                }
                LifecycleAction::ClientDisconnected => out.push(Do::Tell(Event::ClientDisconnected { id })),
                LifecycleAction::Respond(answer) => out.push(Do::Give(open.place, given(answer, advice))),
                LifecycleAction::ForwardResponse => {
                    out.push(Do::Give(open.place, Response::Value(std::mem::take(&mut open.value))))
                }
                LifecycleAction::DiscardResponse => open.value = Vec::new(),
                LifecycleAction::CloseBackendConnection => out.push(Do::Abandon(id)),
                // Answers are held whole: none is ever passed in part.
                LifecycleAction::EndResponse | LifecycleAction::ResetClient => {}
                LifecycleAction::Finished => over = true,
            }
        }
        self.outputs = outputs;
        if over && let Some(open) = self.open.remove(&id) {
            self.ids.remove(&open.id);
            tracing::trace!(target: LOG, number = id, passed = now - open.began, "over");
        }
    }

    /// The requests whose clients wait for an answer.
    pub fn waiting(&self) -> Vec<RequestId> {
        self.open.iter().filter(|(_, o)| o.exchange.awaits_response()).map(|(id, _)| *id).collect()
    }

    /// Requests that are open, and attempts whose clients are gone.
    pub fn len(&self) -> usize {
        self.open.len()
    }
}

fn given(answer: FinalResponse, advice: bool) -> Response {
    match answer {
        FinalResponse::Rejected { retry_after, .. } => Response::Rejected {
            retry_after_ms: (advice && retry_after > 0.0).then(|| retry_after.ceil() as u64),
        },
        FinalResponse::Failed(FailureReason::DeadlineExpired) => {
            Response::Failed(RequestFailure::DeadlineExpired)
        }
        FinalResponse::Failed(FailureReason::BackendFailed) => {
            Response::Failed(RequestFailure::BackendFailed)
        }
        FinalResponse::Failed(FailureReason::NoBackendReached) => {
            Response::Failed(RequestFailure::NoBackendReached)
        }
    }
}
