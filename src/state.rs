//! The data types that hold a gateway's state, and the messages that gateways send each other.

use crate::interface::*;
use crate::reports::ServerLoad;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

/// A hash that is the same in every process and build, because gateways must agree on the names of counts.
pub(crate) fn stable_hash(name: &[u8], number: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name);
    hasher.write_u64(number);
    hasher.finish() >> 1
}

/// The next state of a linear congruential random number generator, with the multiplier of Knuth's MMIX.
pub(crate) fn lcg_step(state: u64) -> u64 {
    state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1)
}

#[derive(Default)]
pub(crate) struct TokenBucket {
    pub level: f64,
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens for the time since the last refill; `rate` is in tokens per second.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: Micros) {
        let elapsed = (now - self.refilled_at) as f64;
        self.level = (self.level + rate * elapsed * SECONDS_PER_MICRO).min(capacity);
        self.refilled_at = now;
    }
}

/// An exponentially weighted rate of events.
pub(crate) struct EventRate {
    /// Events per second at the time of the last event.
    pub last: f64,
    last_at: Micros,
    /// Time constant, in microseconds.
    time_constant: f64,
}

impl EventRate {
    /// A rate of 0: no events so far.
    pub fn new(time_constant: f64, now: Micros) -> Self {
        EventRate { last: 0.0, last_at: now, time_constant }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Micros) {
        self.last = self.at(now) + 1.0 / (self.time_constant * SECONDS_PER_MICRO);
        self.last_at = now;
    }

    /// The rate at a time after the last event.
    pub fn at(&self, now: Micros) -> f64 {
        self.last * (-((now - self.last_at) as f64) / self.time_constant).exp()
    }
}

/// A customer as this gateway sees it.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    /// Number of gateways that receive its requests.
    pub gateways: f64,
    /// One of these gateways leases for all of them.
    pub has_lease_owner: bool,
    /// The gateway that leases for this one; `None` if this gateway leases itself.
    pub lease_owner: Option<u32>,
    /// Length of its windows.
    pub window_length: Micros,
    /// Offset of its windows against multiples of their length.
    pub window_offset: Micros,
    /// Units that all gateways together may lease in one window.
    pub budget: f64,
    /// Units leased and not yet spent, by window.
    pub escrow: BTreeMap<u64, f64>,
    /// The window whose budget is known to be used up.
    pub exhausted_window: Option<u64>,
    /// Number of the current window.
    pub window: u64,
    /// The customer's quota as seen from here, less what was spent here and what others added to the count.
    pub quota: TokenBucket,
    /// This gateway's even share of the quota, less everything spent here.
    pub quota_share: TokenBucket,
    /// The last known total of the window's count.
    pub total: f64,
    /// Units spent in the current window.
    pub spent: f64,
    /// Units spent in the window before it.
    pub spent_before: f64,
    /// Units spent in this window on credit, without a lease, and not yet added to the count.
    pub credit: f64,
    /// Units of the last request.
    pub request_units: f64,
    /// The last call to the counter failed.
    pub call_failed: bool,
    /// When its last request came, from a client or another gateway.
    pub seen_at: Micros,
    /// Requests that wait for units.
    pub waiting: VecDeque<UnitRequest>,
    /// A call to the counter is in progress.
    pub calling: bool,
    /// When an answer of the lease owner is due, if one is awaited.
    pub answer_due: Option<Micros>,
    /// Units that the lease owner has granted for this window and that are not yet spent.
    pub granted: f64,
    /// The lease owner has no units until then.
    pub denied_until: Micros,
    /// This gateway's even share of the ceiling.
    pub ceiling_share: TokenBucket,
    /// Its requests in progress at this gateway, including those that wait for a server.
    pub in_progress: f64,
}

impl Customer {
    /// Number and end of the window at this time.
    pub fn window_at(&self, now: Micros) -> (u64, Micros) {
        let window = (now + self.window_offset) / self.window_length;
        (window, (window + 1) * self.window_length - self.window_offset)
    }

    /// Sum of the units that are waited for.
    pub fn units_wanted(&self) -> f64 {
        self.waiting.iter().map(|w| w.units).sum()
    }

    /// Units leased for a window and not yet spent.
    pub fn escrow_of(&self, window: u64) -> f64 {
        self.escrow.get(&window).copied().unwrap_or(0.0)
    }
}

/// A client's request that waits for units, or another gateway's request for units.
pub(crate) struct UnitRequest {
    /// The client's request; 0 if a gateway asks.
    pub id: RequestId,
    /// The gateway that asks, if any.
    pub peer: Option<u32>,
    pub units: f64,
    pub since: Micros,
}

/// A call to the counter that is in progress.
pub(crate) struct LeaseCall {
    pub customer: u64,
    pub window: u64,
    pub amount: f64,
    /// The part of the amount that was already spent on credit.
    pub credit: f64,
    /// The answer could not be read, and a second call asks for the total.
    pub repeated: bool,
}

/// What is known of the counter: the rate of calls that it can take, and whether it adds up all leases.
#[derive(Default)]
pub(crate) struct Counter {
    /// Calls that may be made now.
    pub calls: TokenBucket,
    /// Calls per second that this gateway allows itself.
    pub call_rate: f64,
    /// The call rate after it was lowered for the first loss of the last series of lost calls.
    pub rate_after_loss: f64,
    /// The last call was lost.
    pub failing: bool,
    /// When the call rate was last lowered for a lost call.
    pub lowered_at: Micros,
    /// When a total last included what other gateways had added.
    pub shared_at: Option<Micros>,
    /// When a total was last lower than it had been: the counter has lost counts.
    pub reset_at: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InProgress,
    /// Ended, and certainly not executed by the server.
    NotExecuted,
    /// Ended, and possibly executed by the server.
    MayHaveExecuted,
}

pub(crate) struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server, kept here because the server may be forgotten before the request ends.
    pub location: (usize, u64),
    pub sent_at: Micros,
    pub state: AttemptState,
    pub cancelled: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    WaitingForUnits,
    WaitingForServer,
    Sent,
    Streaming,
}

pub(crate) struct Request {
    pub class: usize,
    pub customer: u64,
    pub units: f64,
    /// The window whose escrow paid for it; 0 if none did.
    pub escrow_window: u64,
    /// The window in which it was admitted.
    pub admitted_window: u64,
    pub arrived_at: Micros,
    pub deadline: Micros,
    pub stage: Stage,
    /// Position in the queue for servers: by falling value, then by arrival.
    pub rank: (u64, u64, RequestId),
    /// When its timer expires.
    pub timer_at: Micros,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    Up,
    /// Gets no requests until this time.
    Ejected(Micros),
    /// One request tests whether it is up again.
    HalfOpen,
}

#[derive(Default)]
pub(crate) struct Server {
    pub zone: usize,
    pub cell: u64,
    /// In service, according to discovery.
    pub ready: bool,
    /// Removed, or no longer listed.
    pub removed: bool,
    pub weight: f64,
    pub started_at: Micros,
    pub health: Health,
    /// Length of its next ejection.
    pub eject_for: Micros,
    /// Failed attempts since its last success or ejection.
    pub failures: u32,
    /// It refused a connection since its last answer, so it may have restarted.
    pub connect_failed: bool,
    /// When it last answered.
    pub answered_at: Micros,
    /// Attempts in progress by request and index, with the time when they were sent.
    pub in_progress: BTreeMap<(RequestId, u32), Micros>,
    /// Limit of attempts in progress.
    pub limit: f64,
    /// The limit is not lowered below this.
    pub min_limit: f64,
    pub limit_lowered_at: Micros,
    /// Mean of its latency, as a share of the objective.
    pub latency_share: f64,
    /// Mean of its latency relative to the mean latency of all servers.
    pub relative_latency: f64,
    /// When slow start began, if it is cold.
    pub cold_since: Option<Micros>,
    /// Requests that may be sent to it during slow start.
    pub slow_start: TokenBucket,
    pub load: ServerLoad,
}

/// A message between gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Message {
    /// Asks the customer's lease owner for units.
    Ask { customer: u64, plan: u8, gateways: u16, units: f32 },
    /// Passes leased units on to the gateway that asked.
    Grant { customer: u64, units: f32 },
    /// No units are left for this time, in microseconds.
    Deny { customer: u64, wait: u32 },
}

impl Message {
    /// Encodes the message: a byte for its kind, the customer, and the other fields, all little-endian.
    pub fn encode(self) -> Vec<u8> {
        let (kind, customer, rest) = match self {
            Message::Ask { customer, plan, gateways, units } => {
                let mut rest = units.to_le_bytes().to_vec();
                rest.push(plan);
                rest.extend(gateways.to_le_bytes());
                (0, customer, rest)
            }
            Message::Grant { customer, units } => (1, customer, units.to_le_bytes().to_vec()),
            Message::Deny { customer, wait } => (2, customer, wait.to_le_bytes().to_vec()),
        };
        let mut bytes = vec![kind];
        bytes.extend(customer.to_le_bytes());
        bytes.extend(rest);
        bytes
    }

    /// Decodes a message; `None` if the bytes are not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let customer = u64::from_le_bytes(bytes.get(1..9)?.try_into().ok()?);
        let units_or_wait: [u8; 4] = bytes.get(9..13)?.try_into().ok()?;
        let units = f32::from_le_bytes(units_or_wait);
        let units_valid = units.is_finite() && units > 0.0;
        match (bytes[0], bytes.len()) {
            (0, 16) if units_valid => {
                let gateways = u16::from_le_bytes([bytes[14], bytes[15]]);
                Some(Message::Ask { customer, plan: bytes[13], gateways, units })
            }
            (1, 13) if units_valid => Some(Message::Grant { customer, units }),
            (2, 13) => Some(Message::Deny { customer, wait: u32::from_le_bytes(units_or_wait) }),
            _ => None,
        }
    }
}
