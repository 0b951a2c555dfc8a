//! Connections that the limiter opens, to servers, the counter and discovery: one request at a time, one response each.

use crate::network::descriptors::CountGuard;
use crate::network::http::{self, BodyReader};
use crate::network::memory_pool::MemoryReservation;
use crate::network::response_memory::{ResponseAllowance, ResponseEvicted, ResponseMemory};
use crate::network::stream_io::{read_some, retry_interrupted, write_message};
use bytes::{Buf, BufMut, BytesMut};
use std::cell::Cell;
use std::fmt;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest pause within a response that has begun. Servers are near, so after a longer one the response is not expected
/// to be completed. The size of a response is bounded as well.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Largest buffer that an idle connection keeps, in bytes.
const MAX_IDLE_BUFFER: usize = 4 * 1024;
/// Largest number of bytes taken from the kernel by the first read of a response: enough for most of them.
const FIRST_READ_SIZE: usize = 1024;
/// Least number for which there has to be room at each further read.
const MIN_READ_SIZE: usize = 4 * 1024;
/// Largest number taken by each further read.
const MAX_READ_SIZE: usize = 16 * 1024;
/// Number of bytes behind a response that are looked at: more than the beginning of a status line.
const SURPLUS_SIZE: usize = 64;

/// Why a request got no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection was closed or failed.
    Connection(io::Error),
    /// The input is not a valid response. The connection may still be open, but cannot be used any more.
    InvalidResponse(&'static str),
    /// The response was given up, as there is not enough memory for all that arrive.
    Evicted(ResponseEvicted),
}

impl From<io::Error> for ExchangeError {
    fn from(e: io::Error) -> Self {
        ExchangeError::Connection(e)
    }
}

impl From<http::HttpError> for ExchangeError {
    fn from(e: http::HttpError) -> Self {
        ExchangeError::InvalidResponse(e.reason())
    }
}

impl From<ResponseEvicted> for ExchangeError {
    fn from(e: ResponseEvicted) -> Self {
        ExchangeError::Evicted(e)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Connection(e) => write!(f, "connection failed: {e}"),
            ExchangeError::InvalidResponse(reason) => write!(f, "invalid response: {reason}"),
            ExchangeError::Evicted(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// What has arrived behind a complete response, to which nothing was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Surplus {
    /// Nothing.
    None,
    /// Another response, or the beginning of one.
    Response,
    /// Other bytes: noise, or the rest of a body that is longer than its framing says.
    Other,
}

impl Surplus {
    fn of(bytes: &[u8]) -> Self {
        match bytes {
            [] => Surplus::None,
            bytes if http::begins_response(bytes) => Surplus::Response,
            _ => Surplus::Other,
        }
    }
}

/// A complete response.
pub struct Response {
    /// Its head, as ranges of `bytes`.
    pub head: http::Head,
    /// The bytes of the head.
    pub bytes: BytesMut,
    /// Its body.
    pub body: Vec<u8>,
    /// Memory reserved for the body.
    pub memory: Option<MemoryReservation>,
    /// What has arrived behind it so far.
    pub surplus: Surplus,
    /// Whether the connection can carry another request.
    pub reusable: bool,
    /// Whether the body was ended by the orderly close of the connection, as the head gives no length.
    pub close_delimited: bool,
}

/// State of the receiving side of a socket, as the kernel reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketState {
    /// There is neither data nor an end of input.
    NothingPending,
    /// There is unread data.
    DataPending,
    /// The other side has closed its sending side, and there is no unread data.
    EndOfInput,
    /// The connection was reset or failed in another way.
    Failed,
}

/// Asks the kernel for the state of a socket, as the runtime's view may be one turn of its event loop behind.
pub fn socket_state(stream: &TcpStream) -> SocketState {
    let mut byte = [MaybeUninit::uninit(); 1];
    match retry_interrupted(|| socket2::SockRef::from(stream).peek(&mut byte)) {
        Ok(0) => SocketState::EndOfInput,
        Ok(_) => SocketState::DataPending,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => SocketState::NothingPending,
        Err(_) => SocketState::Failed,
    }
}

/// Whether the kernel has neither data nor an end of input for this socket.
pub fn nothing_pending(stream: &TcpStream) -> bool {
    socket_state(stream) == SocketState::NothingPending
}

/// Opens a connection; repeated if a signal interrupts it.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Limits on what is received of responses.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    /// Largest body of one, in bytes.
    pub max_body: usize,
    /// Memory for all together.
    pub memory: Rc<ResponseMemory>,
}

/// A connection that the limiter has opened.
pub struct OutboundConnection {
    stream: TcpStream,
    buffer: BytesMut,
    idle_since: Instant,
    limits: ResponseLimits,
    /// The address that it was opened to.
    pub address: SocketAddr,
    _held: CountGuard,
}

impl OutboundConnection {
    /// Opens a connection, which keeps `held` until it is dropped.
    pub async fn connect(address: SocketAddr, held: CountGuard, limits: ResponseLimits) -> io::Result<Self> {
        let stream = connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(OutboundConnection {
            stream,
            buffer: BytesMut::with_capacity(FIRST_READ_SIZE),
            idle_since: Instant::now(),
            limits,
            address,
            _held: held,
        })
    }

    /// Whether neither data nor the end of input has arrived since the last response.
    pub fn nothing_pending(&self) -> bool {
        self.buffer.is_empty() && nothing_pending(&self.stream)
    }

    /// State of the receiving side while no response is awaited.
    pub fn socket_state(&self) -> SocketState {
        socket_state(&self.stream)
    }

    /// Time for which the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Marks the connection as idle from now on, and frees a buffer that has grown.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
        if self.buffer.capacity() > MAX_IDLE_BUFFER {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes a request; sets `written` once its last byte is handed to the system.
    pub async fn write(&mut self, mut head: Vec<u8>, body: &[u8], written: &Cell<bool>) -> io::Result<()> {
        write_message(&mut self.stream, &mut head, body).await?;
        written.set(true);
        Ok(())
    }

    /// Reads a complete response, skipping interim (1xx) ones.
    pub async fn read_response(&mut self) -> Result<Response, ExchangeError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            if self.buffer.is_empty() {
                self.read_more(FIRST_READ_SIZE).await?;
            }
            if let Some(response) = self.read_begun_response().await? {
                return Ok(response);
            }
        }
        Err(ExchangeError::InvalidResponse("too many interim responses"))
    }

    /// What has arrived behind a response, in the buffer or in the kernel, without waiting for more. It is not kept, as a
    /// connection with surplus bytes is not used again.
    fn take_surplus(&mut self) -> Surplus {
        if self.buffer.is_empty() {
            let mut bytes = [0; SURPLUS_SIZE];
            let mut socket = &*socket2::SockRef::from(&self.stream);
            let length = retry_interrupted(|| socket.read(&mut bytes)).unwrap_or(0);
            return Surplus::of(&bytes[..length]);
        }
        Surplus::of(&self.buffer)
    }

    /// Has the kernel acknowledge what was received now. It would wait for data to send along, and until then the
    /// other side's kernel may hold back surplus bytes behind the response, which would then arrive with the next
    /// request and be taken for its response.
    fn acknowledge(&self) {
        // Where this is not supported, the acknowledgement comes later.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_quickack(true);
    }

    /// Reads up to `length` bytes.
    async fn read_more(&mut self, length: usize) -> Result<(), ExchangeError> {
        self.buffer.reserve(length);
        match read_some(&mut self.stream, &mut (&mut self.buffer).limit(length)).await? {
            0 => Err(ExchangeError::Connection(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Reads more of a response that has begun, of which `held` bytes are held, within the stall timeout. Guards against
    /// a head that never ends and a body shorter than its length.
    async fn read_more_before_stall(
        &mut self,
        allowance: &mut ResponseAllowance,
        held: usize,
    ) -> Result<(), ExchangeError> {
        allowance.grow_to(held + MIN_READ_SIZE).await?;
        let length = (allowance.bytes() - held).min(MAX_READ_SIZE);
        tokio::select! {
            biased;
            () = allowance.evicted() => Err(ResponseEvicted.into()),
            read = timeout(STALL_TIMEOUT, self.read_more(length)) => {
                read.unwrap_or(Err(ExchangeError::InvalidResponse("stalled")))
            }
        }
    }

    /// Reads the rest of a response that has begun; `None` if it was an interim one.
    async fn read_begun_response(&mut self) -> Result<Option<Response>, ExchangeError> {
        let max_body = self.limits.max_body;
        let max_bytes = http::MAX_HEAD + max_body + MIN_READ_SIZE;
        let mut allowance = ResponseAllowance::new(&self.limits.memory, max_bytes);
        let head = loop {
            match http::parse_response_head(&self.buffer, max_body)? {
                Some(head) => break head,
                None => self.read_more_before_stall(&mut allowance, self.buffer.len()).await?,
            }
        };
        let bytes = self.buffer.split_to(head.len);
        if (100..200).contains(&head.status) && head.status != 101 {
            return Ok(None);
        }
        if let http::Framing::Length(length) = head.framing {
            allowance.announce(head.len + length + MIN_READ_SIZE);
        }
        let close_delimited = head.framing == http::Framing::UntilClose;
        let mut body = match (close_delimited, head.status) {
            (true, 200) => self.read_to_close(&mut allowance, head.len).await?,
            // With any other status, the body is not used.
            (true, _) => Vec::new(),
            (false, _) => self.read_framed(head.framing, &mut allowance, head.len).await?,
        };
        body.shrink_to_fit();
        let memory = allowance.finish(body.capacity());
        self.acknowledge();
        let surplus = if close_delimited { Surplus::None } else { self.take_surplus() };
        let reusable = head.keep_alive && !close_delimited && head.status >= 200 && surplus == Surplus::None;
        Ok(Some(Response { head, bytes, body, memory, surplus, reusable, close_delimited }))
    }

    /// Reads a body with a length or in chunks, behind a head of `head_length` bytes.
    async fn read_framed(
        &mut self,
        framing: http::Framing,
        allowance: &mut ResponseAllowance,
        head_length: usize,
    ) -> Result<Vec<u8>, ExchangeError> {
        let mut body = BodyReader::new(framing, self.limits.max_body);
        loop {
            let progress = body.read(&self.buffer)?;
            self.buffer.advance(progress.consumed);
            if progress.complete {
                return Ok(body.bytes);
            }
            let held = head_length + self.buffer.len() + body.bytes.len();
            self.read_more_before_stall(allowance, held).await?;
            reserve_within(&mut body.bytes, self.buffer.len(), allowance.bytes() - head_length);
        }
    }

    /// Reads a body that ends with the orderly close of the connection, behind a head of `head_length` bytes. Any other
    /// end is an error.
    async fn read_to_close(
        &mut self,
        allowance: &mut ResponseAllowance,
        head_length: usize,
    ) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        loop {
            body.extend_from_slice(&self.buffer);
            self.buffer.clear();
            if body.len() > self.limits.max_body {
                return Err(http::HttpError::BodyTooLong.into());
            }
            match self.read_more_before_stall(allowance, head_length + body.len()).await {
                Ok(()) => reserve_within(&mut body, self.buffer.len(), allowance.bytes() - head_length),
                Err(ExchangeError::Connection(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(body);
                }
                Err(e) => return Err(e),
            }
        }
    }
}

/// Makes room for `additional` bytes. If the vector has to grow, it grows to `capacity` at once.
fn reserve_within(bytes: &mut Vec<u8>, additional: usize, capacity: usize) {
    if bytes.capacity() - bytes.len() < additional {
        bytes.reserve_exact(capacity.saturating_sub(bytes.len()).max(additional));
    }
}
