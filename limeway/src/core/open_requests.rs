//! The requests that clients wait for, and their attempts.

use crate::clients::presence::ClientPresence;
use crate::network::network_event::ServedResponse;
use crate::upstream::attempts::ForwardedRequest;
use pondgw::{Micros, RequestId, ServerId, Status};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response to a client's request.
#[derive(Debug)]
pub enum ClientResponse {
    /// 200 from a server.
    Served(ServedResponse),
    /// 429: sending the request again does no harm; the time for Retry-After, 0 for none.
    Refused(Micros),
    /// 502: nothing is said about whether the request has run.
    Failed,
    /// 504: the deadline passed without a decision of the gateway.
    DeadlineExceeded,
}

/// An attempt, made or only asked for.
pub struct Attempt {
    /// The server.
    pub server: ServerId,
    /// When it was asked for.
    pub started: Micros,
    /// Ends the attempt with a status; `None` once used, or if the attempt is not running.
    pub stop: Option<oneshot::Sender<Status>>,
    /// Whether the request may still be written to the server.
    pub may_write: Rc<Cell<bool>>,
    /// Whether it has begun and not ended.
    pub in_flight: bool,
}

impl Attempt {
    /// Ends the attempt with this status; false if it had ended before.
    pub fn end(&mut self, status: Status) -> bool {
        self.may_write.set(false);
        self.stop.take().is_some_and(|stop| stop.send(status).is_ok())
    }
}

/// A request that is not answered yet, or that still has an attempt in flight.
pub struct OpenRequest {
    /// The client's own id for the request (Req-Id).
    pub client_id: Rc<[u8]>,
    /// Takes the final response to the client's connection; `None` once it is sent.
    pub responder: Option<oneshot::Sender<ClientResponse>>,
    /// The request as it is sent to servers.
    pub forwarded: Rc<ForwardedRequest>,
    /// Whether its client is known to be connected.
    pub presence: Rc<ClientPresence>,
    /// When its client gives up, on the gateway's clock.
    pub deadline: Micros,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
}

/// All open requests.
#[derive(Default)]
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    /// Client-supplied ids of the requests that are not answered yet.
    client_ids: HashSet<Rc<[u8]>>,
    last_id: RequestId,
}

impl OpenRequests {
    /// Adds a request and returns its id, or `None` if one with the same client-supplied id is not answered yet.
    pub fn add(&mut self, request: OpenRequest) -> Option<RequestId> {
        if !self.client_ids.insert(request.client_id.clone()) {
            return None;
        }
        // The gateway needs ids that are never reused, which client-supplied ids are not guaranteed to be.
        self.last_id += 1;
        self.requests.insert(self.last_id, request);
        Some(self.last_id)
    }

    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// An attempt of a request, to be changed.
    pub fn attempt_mut(&mut self, id: RequestId, number: u32) -> Option<&mut Attempt> {
        self.get_mut(id)?.attempts.get_mut(number as usize)
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.client_ids.len()
    }

    /// Sends the final response of a request, if that is not done yet.
    pub fn respond(&mut self, id: RequestId, response: ClientResponse) {
        if let Some(responder) = self.take_responder(id) {
            let _ = responder.send(response);
        }
        self.remove_if_done(id);
    }

    /// Takes the channel for the request's response, which can be done once. Afterwards its client-supplied id may be
    /// used again, and none of its attempts is written any more.
    pub fn take_responder(&mut self, id: RequestId) -> Option<oneshot::Sender<ClientResponse>> {
        let request = self.requests.get_mut(&id)?;
        let responder = request.responder.take()?;
        request.attempts.iter().for_each(|attempt| attempt.may_write.set(false));
        self.client_ids.remove(&request.client_id);
        Some(responder)
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let done = |o: &OpenRequest| o.responder.is_none() && o.attempts.iter().all(|a| !a.in_flight);
        if self.requests.get(&id).is_some_and(done) {
            self.requests.remove(&id);
        }
    }
}
