//! Runs the process's one [`Gateway`]: delivers events to it, performs the actions that it returns, keeps its
//! timers, and tracks open requests and their attempts.
//!
//! The gateway alone decides on policy; what it asks for is done, within the permissions of the settings.

mod open_requests;
mod timer_queue;

pub use open_requests::ClientResponse;

use crate::clients::presence::ClientPresence;
use crate::clock::Clock;
use crate::config::{Config, ServiceAddresses};
use crate::discovery::catalog::ServerList;
use crate::discovery::follower;
use crate::log_limiter::LogLimiter;
use crate::network::connection::ResponseLimits;
use crate::network::descriptors::DescriptorBudget;
use crate::network::loop_lag::LoopLag;
use crate::network::network_event::{AttemptResult, EventSink, NetworkEvent};
use crate::network::response_memory::ResponseMemory;
use crate::upstream::attempts::{AttemptRunner, AttemptSpec, ForwardedRequest};
use crate::upstream::servers::ServerPools;
use crate::{counter, peers};
use open_requests::{Attempt, OpenRequest, OpenRequests};
use pondgw::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use timer_queue::{TimerKind, TimerQueue};
use tokio::sync::{oneshot, Notify};

/// A request's attempts are stopped this long before its deadline. The gateway normally settles a request some 10 ms
/// before its deadline, so this takes effect only if the gateway stays silent or the process was held up.
const DEADLINE_MARGIN: Micros = 5_000;
/// Time that the gateway has for its final decision once the attempts are stopped.
const FINAL_DECISION_TIME: Micros = 2_000;

/// A request that arrives within this time after SIGTERM keeps its full deadline; a later one must be answered before
/// SIGKILL can come.
const SHUTDOWN_FULL_DEADLINE: Micros = 700_000;
/// SIGKILL comes no sooner after SIGTERM than `SHUTDOWN_FULL_DEADLINE` plus the longest deadline of any class, or plus
/// this time if that is shorter.
const SHUTDOWN_MAX_WAIT: Micros = 3_000_000;
/// A request that arrives later than `SHUTDOWN_FULL_DEADLINE` must be finished this long before the earliest SIGKILL,
/// so that the client can still read the response. It is also the least time that such a request gets.
const SHUTDOWN_MARGIN: Micros = 100_000;

/// The gateway, with the requests and timers that it knows of.
struct State {
    gateway: Gateway,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    open: OpenRequests,
    timers: TimerQueue,
}

/// State shared by all tasks.
pub struct Core {
    /// The configuration as read at start.
    pub config: Config,
    /// The gateway's clock.
    pub clock: Rc<Clock>,
    /// Limits on open connections.
    pub descriptors: Rc<DescriptorBudget>,
    /// Upper bound on the time that input may have waited to be read.
    pub lag: Arc<LoopLag>,
    /// Connections to servers.
    pub pools: Rc<ServerPools>,
    attempt_runner: Rc<AttemptRunner>,
    /// Client of the counter, if there is one.
    pub counter: Option<Rc<counter::Counter>>,
    /// Socket for datagrams to other limiters, if the settings permit them.
    pub peers: Option<Rc<peers::Peers>>,
    /// Takes the events of attempts, counter calls and other limiters.
    pub sink: EventSink,
    /// Current addresses of discovery and the counter.
    pub service_addresses: Cell<ServiceAddresses>,
    /// Limits on the lists that are received from discovery.
    pub list_limits: ResponseLimits,
    /// Notified when the address of discovery has changed.
    pub discovery_moved: Notify,
    /// Notified when the gateway asks to watch discovery: at start if discovery pushes changes, otherwise each time
    /// that it is to be asked.
    pub watch_requested: Notify,
    /// Whether the limiter is ready for clients.
    pub ready: Cell<bool>,
    /// Whether the process is shutting down.
    pub draining: Cell<bool>,
    /// When the shutdown began; meaningful only while `draining`.
    shutdown_started: Cell<Micros>,
    /// Rate-limits warnings that could be logged with every request.
    pub log_limiter: Rc<LogLimiter>,
    state: RefCell<State>,
    /// Notified when the earliest timer has changed.
    timer_changed: Notify,
}

impl Core {
    /// Creates the core and gives the gateway the servers that the configuration lists.
    pub fn new(
        config: Config,
        peers: Option<Rc<peers::Peers>>,
        descriptors: Rc<DescriptorBudget>,
        lag: Arc<LoopLag>,
    ) -> Rc<Self> {
        let core = Rc::new_cyclic(|core: &Weak<Core>| {
            let core = core.clone();
            let sink: EventSink = Rc::new(move |event| {
                if let Some(core) = core.upgrade() {
                    core.on_network_event(event);
                }
            });
            Self::with_sink(config, peers, descriptors, lag, sink)
        });
        // An empty list is passed on too: with this event the gateway begins to schedule calls to discovery.
        let empty = ServerList { seq: 0, whole: true, hosts: Vec::new(), invalid_rows: 0 };
        core.update_servers(ListKind::Cached, core.config.known_servers.as_ref().unwrap_or(&empty));
        core
    }

    /// Creates the core; its parts send their events to `sink`.
    fn with_sink(
        config: Config,
        peers: Option<Rc<peers::Peers>>,
        descriptors: Rc<DescriptorBudget>,
        lag: Arc<LoopLag>,
        sink: EventSink,
    ) -> Self {
        let (clock, log_limiter) = (Rc::new(Clock::new()), Rc::new(LogLimiter::default()));
        let response_memory = ResponseMemory::new(config.response_memory_bytes());
        let call_timeout =
            config.host_settings.settings.counter.as_ref().map_or(0, |counter| counter.call_timeout);
        let counter = config.service_addresses.counter.map(|address| {
            let (descriptors, memory) = (descriptors.clone(), response_memory.clone());
            counter::Counter::new(address, call_timeout, descriptors, memory, sink.clone())
        });
        let pools = Rc::new(ServerPools::new(&config.host_settings, descriptors.clone()));
        let attempt_runner = AttemptRunner::new(
            pools.clone(),
            clock.clone(),
            log_limiter.clone(),
            response_memory,
            sink.clone(),
        );
        let gateway = Gateway::new(config.host_settings.settings.clone(), config.seed, clock.now());
        Core {
            pools,
            attempt_runner,
            clock,
            descriptors,
            lag,
            counter,
            peers,
            sink,
            service_addresses: Cell::new(config.service_addresses),
            list_limits: follower::list_limits(&config),
            discovery_moved: Notify::new(),
            watch_requested: Notify::new(),
            ready: Cell::new(false),
            draining: Cell::new(false),
            shutdown_started: Cell::new(0),
            log_limiter,
            state: RefCell::new(State {
                gateway,
                events: VecDeque::new(),
                actions: Vec::new(),
                open: OpenRequests::default(),
                timers: TimerQueue::default(),
            }),
            timer_changed: Notify::new(),
            config,
        }
    }

    /// Begins the shutdown.
    pub fn begin_shutdown(&self) {
        self.draining.set(true);
        self.shutdown_started.set(self.clock.now());
    }

    /// Time that a request arriving now may take, of the `left` that its client allows: less if SIGKILL could come
    /// first.
    fn limit_to_shutdown(&self, left: Micros) -> Micros {
        let elapsed = self.clock.now().saturating_sub(self.shutdown_started.get());
        if !self.draining.get() || elapsed < SHUTDOWN_FULL_DEADLINE {
            return left;
        }
        let sigkill = self.config.host_settings.max_deadline.min(SHUTDOWN_MAX_WAIT) + SHUTDOWN_FULL_DEADLINE;
        left.min(sigkill.saturating_sub(elapsed + SHUTDOWN_MARGIN).max(SHUTDOWN_MARGIN))
    }

    /// Switches to other addresses of discovery and the counter.
    pub fn set_service_addresses(&self, addresses: ServiceAddresses) {
        let old = self.service_addresses.replace(addresses);
        if let (Some(counter), Some(address)) = (&self.counter, addresses.counter) {
            counter.set_address(address);
        }
        if old.discovery != addresses.discovery {
            self.discovery_moved.notify_one();
        }
    }

    /// Applies a list of servers. The pools come first, so that no attempt starts at a server that was just removed.
    pub fn update_servers(self: &Rc<Self>, kind: ListKind, list: &ServerList) {
        let entries = self.pools.apply_list(kind, list);
        self.handle_event(Event::Servers { kind, entries });
    }

    fn on_network_event(self: &Rc<Self>, event: NetworkEvent) {
        match event {
            NetworkEvent::AttemptEnded { id, number, result } => self.on_attempt_ended(id, number, result),
            NetworkEvent::Counted { name, status, total, latency } => {
                self.handle_event(Event::Counted { name, status, total, latency })
            }
            NetworkEvent::PeerMessage { from, data } => self.handle_event(Event::PeerMessage { from, data }),
        }
    }

    /// Passes an event to the gateway and performs the resulting actions, before the next event is handled.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    fn process_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(state, action);
            }
            state.actions = actions;
        }
    }

    fn perform(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.start_attempt(state, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = state.open.attempt_mut(id, attempt);
                attempt.map(|a| a.end(Status::Cancelled));
            }
            Action::Refuse { id, retry_after } => {
                state.open.respond(id, ClientResponse::Refused(retry_after))
            }
            Action::Fail { id } => state.open.respond(id, ClientResponse::Failed),
            Action::Timer { at, token } => self.set_timer(state, at, TimerKind::Gateway(token)),
            Action::Count { name, amount, ttl } => match &self.counter {
                Some(counter) => counter.call(name, amount, ttl),
                None => {
                    let status = Status::ConnectFailed;
                    state.events.push_back(Event::Counted { name, status, total: 0.0, latency: 0 });
                }
            },
            Action::SendToPeer { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Watch => self.watch_requested.notify_one(),
        }
    }

    fn start_attempt(self: &Rc<Self>, state: &mut State, id: RequestId, server: ServerId, timeout: Micros) {
        let now = self.clock.now();
        let allow = &self.config.host_settings.settings.permissions;
        let not_sent = |number: usize, request_done: bool| {
            self.log_limiter.warn(format_args!(
                "attempt {number} of request {id} not sent: the request is finished, its client may have left, or the \
                 permissions do not allow it"
            ));
            Event::Outcome(Outcome {
                id,
                attempt: number as u32,
                server,
                status: Status::NotSent,
                latency: 0,
                request_done,
                load: LoadReport::default(),
            })
        };
        let Some(open) = state.open.get_mut(id) else {
            state.events.push_back(not_sent(0, true));
            return;
        };
        let number = open.attempts.len();
        let finished = open.responder.is_none() || now >= open.deadline;
        let forbidden_parallel = !allow.parallel_attempts && open.attempts.iter().any(|a| a.in_flight);
        let may_have_left = !open.presence.is_known();
        if finished || may_have_left || forbidden_parallel || number >= allow.max_attempts as usize {
            let request_done = open.responder.is_none();
            open.attempts.push(Attempt {
                server,
                started: now,
                stop: None,
                may_write: Rc::default(),
                in_flight: false,
            });
            state.events.push_back(not_sent(number, request_done));
            return;
        }
        let (stop, stopped) = oneshot::channel();
        let may_write = Rc::new(Cell::new(true));
        open.attempts.push(Attempt {
            server,
            started: now,
            stop: Some(stop),
            may_write: may_write.clone(),
            in_flight: true,
        });
        let (request, number, request_deadline) = (open.forwarded.clone(), number as u32, open.deadline);
        let presence = open.presence.clone();
        if timeout > 0 && now + timeout < request_deadline {
            self.set_timer(state, now + timeout, TimerKind::AttemptTimeout(id, number));
        }
        let deadline = if timeout > 0 { request_deadline.min(now + timeout) } else { request_deadline };
        let spec = AttemptSpec { id, number, server, request, presence, deadline, may_write };
        self.attempt_runner.start(spec, stopped);
    }

    /// Submits a client's request to the gateway. Returns the id assigned to it and the channel for its response, or
    /// `None` if a request with the same client-supplied id is open, as their responses could not be told apart.
    pub fn submit(
        self: &Rc<Self>,
        client_id: &[u8],
        mut request: ClientRequest,
        forwarded: ForwardedRequest,
        presence: Rc<ClientPresence>,
    ) -> Option<(RequestId, oneshot::Receiver<ClientResponse>)> {
        let (responder, response) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        request.time_left = self.limit_to_shutdown(request.time_left);
        let deadline = self.clock.now() + request.time_left;
        let id = state.open.add(OpenRequest {
            client_id: client_id.into(),
            responder: Some(responder),
            forwarded: Rc::new(forwarded),
            presence,
            deadline,
            attempts: Vec::new(),
        })?;
        request.id = id;
        self.set_timer(state, deadline.saturating_sub(DEADLINE_MARGIN), TimerKind::Deadline(id));
        state.events.push_back(Event::Request(request));
        self.process_events(state);
        Some((id, response))
    }

    /// Gives up a request whose client has closed its sending side. Returns the response to write: it is unknown
    /// whether the client has left or has closed only its sending side and still reads.
    pub fn client_left(self: &Rc<Self>, id: RequestId) -> ClientResponse {
        let mut state = self.state.borrow_mut();
        let never_sent = state.open.get(id).is_some_and(|open| open.attempts.is_empty());
        if state.open.take_responder(id).is_some() {
            state.open.remove_if_done(id);
            state.events.push_back(Event::ClientGone { id });
            self.process_events(&mut state);
        }
        if never_sent {
            ClientResponse::Refused(self.config.host_settings.settings.permissions.max_retry_after)
        } else {
            ClientResponse::Failed
        }
    }

    /// Gives up a request of which no attempt has been made, as its client may have left. Returns the response to write,
    /// or `None` if there was an attempt.
    pub fn refuse_unsent(self: &Rc<Self>, id: RequestId) -> Option<ClientResponse> {
        let unsent = self.state.borrow().open.get(id).is_some_and(|open| open.attempts.is_empty());
        unsent.then(|| self.client_left(id))
    }

    /// Handles the end of an attempt, whose connection is closed or back in its pool by now.
    fn on_attempt_ended(self: &Rc<Self>, id: RequestId, number: u32, result: AttemptResult) {
        let AttemptResult { status, response, load } = result;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(attempt) = state.open.attempt_mut(id, number) else { return };
        attempt.in_flight = false;
        attempt.stop = None;
        let (server, latency) = (attempt.server, self.clock.now().saturating_sub(attempt.started));
        log::debug!(
            "request {id}: attempt {number} at server {server} ended with {status:?} after {latency} us"
        );
        if let Some(response) = response {
            // Only the first successful response goes to the client; a later one is dropped.
            if let Some(responder) = state.open.take_responder(id) {
                let _ = responder.send(ClientResponse::Served(response));
            }
        }
        let request_done = state.open.get(id).is_none_or(|o| o.responder.is_none());
        state.open.remove_if_done(id);
        let outcome = Outcome { id, attempt: number, server, status, latency, request_done, load };
        state.events.push_back(Event::Outcome(outcome));
        self.process_events(state);
    }

    /// Number of requests that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.state.borrow().open.unanswered()
    }

    fn set_timer(&self, state: &mut State, at: Micros, kind: TimerKind) {
        let State { open, timers, .. } = state;
        timers.purge(open.len(), |id| open.get(id).is_some());
        if timers.push(at, kind) {
            self.timer_changed.notify_one();
        }
    }

    /// Fires timers as they fall due; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        let sleep = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(sleep);
        loop {
            let next = self.state.borrow().timers.earliest();
            let at =
                next.map_or_else(|| Instant::now() + Duration::from_secs(1), |at| self.clock.instant(at));
            sleep.as_mut().reset(at.into());
            tokio::select! {
                () = &mut sleep => self.fire_due_timers(),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn fire_due_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = self.clock.now();
        while let Some(kind) = state.timers.pop_due(now) {
            match kind {
                TimerKind::Gateway(token) => {
                    state.events.push_back(Event::Timer { token });
                    self.process_events(state);
                }
                TimerKind::AttemptTimeout(id, number) => {
                    let attempt = state.open.attempt_mut(id, number);
                    attempt.map(|a| a.end(Status::Timeout));
                }
                TimerKind::Deadline(id) => self.on_deadline(state, id, now),
            }
        }
    }

    /// Handles a deadline that is about to pass. Attempts in flight time out first, which lets the gateway make its
    /// final decision; if it makes none, the request fails here.
    fn on_deadline(self: &Rc<Self>, state: &mut State, id: RequestId, now: Micros) {
        let Some(open) = state.open.get_mut(id) else { return };
        let mut stopped = false;
        for attempt in &mut open.attempts {
            stopped |= attempt.end(Status::Timeout);
        }
        if open.responder.is_none() {
            return;
        }
        if stopped {
            return self.set_timer(state, now + FINAL_DECISION_TIME, TimerKind::Deadline(id));
        }
        self.log_limiter.warn(format_args!(
            "request {id}: deadline reached without a decision of the gateway; answering 504"
        ));
        state.open.respond(id, ClientResponse::DeadlineExceeded);
        state.events.push_back(Event::ClientGone { id });
        self.process_events(state);
    }
}
