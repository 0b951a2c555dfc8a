//! Parses and validates clients' requests, completely, before the gateway sees them.

use crate::network::http::{Framing, Head, HttpError};
use crate::network::memory_pool::MemoryReservation;
use crate::upstream::attempts::ForwardedRequest;
use pondgw::{ClientRequest, HostSettings, Idempotency};

/// Largest Req-Deadline-Ms that is accepted.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest Req-Id, in bytes.
const MAX_ID_LENGTH: usize = 128;
/// Request headers that are forwarded to servers. Content-Length and Req-Deadline-Ms are written anew.
const FORWARDED_HEADERS: [&str; 13] = [
    "host",
    "req-id",
    "req-kind",
    "plan",
    "quota-info",
    "req-retry",
    "idempotency-key",
    "content-type",
    "content-encoding",
    "accept",
    "accept-encoding",
    "user-agent",
    "traceparent",
];
/// All customer numbers are below this.
const MAX_CUSTOMERS: u64 = 1 << 33;

/// The response to a request that does not reach the gateway.
#[derive(Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Status of the response.
    pub status: u16,
    /// Body of the response: a line that says what is wrong.
    pub body: &'static str,
}

impl Rejection {
    /// The limit on connections is reached.
    pub const TOO_MANY_CONNECTIONS: Rejection = Rejection { status: 503, body: "too many connections\n" };
    /// The memory for requests is used up.
    pub const OUT_OF_MEMORY: Rejection =
        Rejection { status: 503, body: "the memory for requests is used up\n" };
    /// The deadline passed before the request was read.
    pub const DEADLINE_PASSED: Rejection =
        Rejection { status: 503, body: "the request's time was over when it was read\n" };
    /// The process shuts down before the request was received completely.
    pub const SHUTTING_DOWN: Rejection = Rejection { status: 503, body: "this limiter is ending\n" };
    /// The client closed its sending side before the request was submitted.
    pub const CLIENT_LEFT: Rejection = Rejection { status: 503, body: "the client has ended its sending\n" };
    /// There is more unread input than may be held, so that it cannot be told whether the client has left.
    pub const TOO_MUCH_AHEAD: Rejection =
        Rejection { status: 503, body: "more is sent ahead on this connection than can be held\n" };
    /// A request with the same id is open, and their responses could not be told apart.
    pub const ID_IN_USE: Rejection = Rejection { status: 409, body: "a request with this Req-Id is open\n" };
    /// The request was not received completely in time.
    pub const REQUEST_TIMEOUT: Rejection =
        Rejection { status: 408, body: "the request did not come whole in time\n" };
    const UNKNOWN_PATH: Rejection = Rejection { status: 404, body: "no such path\n" };

    const fn bad_request(body: &'static str) -> Self {
        Rejection { status: 400, body }
    }
}

impl From<HttpError> for Rejection {
    fn from(error: HttpError) -> Self {
        let (status, body) = match error {
            HttpError::Malformed => (400, "malformed request\n"),
            HttpError::HeadTooLong => (431, "head too long\n"),
            HttpError::BodyTooLong => (413, "body too long\n"),
            HttpError::UnsupportedCoding => (501, "transfer coding not supported\n"),
        };
        Rejection { status, body }
    }
}

/// A valid message of a client.
pub enum ClientMessage {
    /// A health check: is this limiter ready?
    Health,
    /// A request for the gateway: the client's own id of it, what the gateway needs, and what goes to servers.
    Request(Vec<u8>, ClientRequest, ForwardedRequest),
}

/// A header value as text; `None` if it is empty or not UTF-8.
fn text(value: Option<&[u8]>) -> Option<&str> {
    value.and_then(|v| std::str::from_utf8(v).ok()).filter(|v| !v.is_empty())
}

/// Parses and validates a request, which keeps the memory reserved for it. What passes can go to the gateway and to
/// servers.
pub fn parse(
    host_settings: &HostSettings,
    head: &Head,
    bytes: &[u8],
    body: Vec<u8>,
    memory: Option<MemoryReservation>,
) -> Result<ClientMessage, Rejection> {
    let method = &bytes[head.method.clone()];
    let target =
        text(Some(&bytes[head.target.clone()])).ok_or(Rejection::bad_request("malformed target\n"))?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    if path == "/_health" {
        return if method == b"GET" {
            Ok(ClientMessage::Health)
        } else {
            Err(Rejection { status: 405, body: "only GET\n" })
        };
    }
    let Some((kind, rest)) = path.strip_prefix('/').and_then(|p| p.split_once('/')) else {
        return Err(Rejection::UNKNOWN_PATH);
    };
    let Some(class) = host_settings.classes.iter().position(|c| c == kind) else {
        return Err(Rejection::UNKNOWN_PATH);
    };
    let customer = rest.rsplit('/').next().unwrap_or_default();
    let hex = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex || u64::from_str_radix(customer, 16).map_or(true, |number| number >= MAX_CUSTOMERS) {
        return Err(Rejection::UNKNOWN_PATH);
    }
    // Repeated headers are rejected: a server might read another of the values than this limiter.
    let header =
        |name| head.unique_header(bytes, name).map_err(|_| Rejection::bad_request("a header stands twice\n"));
    header("host")?;
    if header("req-kind")? != Some(kind.as_bytes()) {
        return Err(Rejection::bad_request("Req-Kind is missing or not the path's class\n"));
    }
    let idempotency = host_settings.settings.classes[class].idempotency;
    let expected_method: &[u8] = if idempotency == Idempotency::Idempotent { b"GET" } else { b"POST" };
    if method != expected_method {
        return Err(Rejection { status: 405, body: "not the method of this class\n" });
    }
    if idempotency == Idempotency::Idempotent && head.framing != Framing::Length(0) {
        return Err(Rejection::bad_request("a body where there is none\n"));
    }
    let key = header("idempotency-key")?;
    if idempotency == Idempotency::Keyed && key.is_none_or(<[u8]>::is_empty) {
        return Err(Rejection::bad_request("Idempotency-Key is missing\n"));
    }
    let id = header("req-id")?.filter(|id| (1..=MAX_ID_LENGTH).contains(&id.len()));
    let id = id.ok_or(Rejection::bad_request("Req-Id is missing or too long\n"))?;
    let plan = text(header("plan")?).and_then(|plan| host_settings.plans.iter().position(|p| p == plan));
    let plan = plan.ok_or(Rejection::bad_request("Plan is missing or unknown\n"))?;
    let left = text(header("req-deadline-ms")?).and_then(parse_number);
    let left = left.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let left =
        left.ok_or(Rejection::bad_request("Req-Deadline-Ms is missing, no whole number or out of range\n"))?;
    let info = text(header("quota-info")?).and_then(|info| parse_quota_info(host_settings, info));
    let (units, spread, first) =
        info.ok_or(Rejection::bad_request("Quota-Info is missing or not valid\n"))?;
    let mut forwarded = Vec::with_capacity(head.len + 64);
    forwarded.extend_from_slice(method);
    forwarded.push(b' ');
    forwarded.extend_from_slice(target.as_bytes());
    forwarded.extend_from_slice(b" HTTP/1.1\r\n");
    head.copy_headers(bytes, &FORWARDED_HEADERS, &mut forwarded);
    let request = ClientRequest {
        id: 0,
        class,
        plan,
        // In lower case, as all limiters must use the same name for a customer.
        customer: customer.to_ascii_lowercase(),
        time_left: left * 1_000,
        units,
        gateways: spread,
        first_gateway: first,
    };
    Ok(ClientMessage::Request(
        id.to_vec(),
        request,
        ForwardedRequest { head: forwarded, body, _memory: memory },
    ))
}

/// Parses an unsigned number: digits only, without a sign.
fn parse_number(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Parses Quota-Info: the units, the number of gateways (`spread`) and the first of them, each given once and within
/// its bounds.
fn parse_quota_info(host_settings: &HostSettings, info: &str) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in info.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let repeated = match name {
            "units" => units.replace(parse_number(value)?).is_some(),
            "spread" => spread.replace(u32::try_from(parse_number(value)?).ok()?).is_some(),
            "first" => first.replace(u32::try_from(parse_number(value)?).ok()?).is_some(),
            _ => false,
        };
        if repeated {
            return None;
        }
    }
    let (units, spread, first) = (units? as f64, spread?, first?);
    let gateways = host_settings.settings.gateways;
    let valid = units >= 1.0 && units <= host_settings.settings.max_units && (1..=gateways).contains(&spread);
    (valid && first < gateways).then_some((units, spread, first))
}
