//! A connection of the limiter's own, to a server, the counter or discovery: one message there, one answer back.

use crate::network::descriptors::CountGuard;
use crate::network::http::{self, Body};
use crate::network::stream_io::{read_some, uninterrupted, write_whole};
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest pause within an answer that has begun: servers are near. Its length is bounded as well.
const STALL: Duration = Duration::from_millis(250);
/// Answers of the kind 1xx ahead of the real one, at most.
const INTERIM_MOST: u32 = 8;
/// Largest buffer that an idle connection keeps, in bytes.
const BUFFER_KEPT: usize = 4 * 1024;

/// Why no answer came of a message.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection ended or broke.
    Connection(io::Error),
    /// What came cannot be read as an answer; the connection itself may stay open, but is of no further use.
    InvalidResponse(&'static str),
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

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Connection(e) => write!(f, "connection ended: {e}"),
            ExchangeError::InvalidResponse(reason) => write!(f, "spoilt answer: {reason}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// A whole answer.
pub struct Response {
    /// Its head, by places in `bytes`.
    pub head: http::Head,
    /// What the head was read from.
    pub bytes: BytesMut,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub reusable: bool,
    /// The answer told no length: its body is what came before the orderly end of the connection.
    pub close_delimited: bool,
}

/// What the system itself shows of a connection on which nothing is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketState {
    /// Neither bytes nor an end have come.
    NothingPending,
    /// Bytes have come.
    DataPending,
    /// The other side has ended its sending.
    PeerClosed,
    /// The connection was reset or broke in another way.
    Failed,
}

/// The state of a connection on which nothing is awaited, by the system itself.
pub fn socket_state(stream: &TcpStream) -> SocketState {
    let mut byte = [MaybeUninit::uninit(); 1];
    match uninterrupted(|| socket2::SockRef::from(stream).peek(&mut byte)) {
        Ok(0) => SocketState::PeerClosed,
        Ok(_) => SocketState::DataPending,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => SocketState::NothingPending,
        Err(_) => SocketState::Failed,
    }
}

/// Whether neither bytes nor the end have come on a connection, by the system itself.
pub fn nothing_pending(stream: &TcpStream) -> bool {
    socket_state(stream) == SocketState::NothingPending
}

/// Connects; an attempt that is interrupted by a signal is made again.
async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(to).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            end => return end,
        }
    }
}

/// A kept connection of ours.
pub struct OutboundConnection {
    stream: TcpStream,
    buffer: BytesMut,
    since: Instant,
    /// Longest body of an answer, in bytes.
    most: usize,
    /// Where it leads.
    pub address: SocketAddr,
    _held: CountGuard,
}

impl OutboundConnection {
    /// Opens a connection; its descriptor is held for as long as it lives.
    pub async fn connect(address: SocketAddr, held: CountGuard) -> io::Result<Self> {
        Self::connect_with_body_limit(address, held, http::MAX_RESPONSE_BODY).await
    }

    /// The same, for answers with bodies of so many bytes.
    pub async fn connect_with_body_limit(
        address: SocketAddr,
        held: CountGuard,
        most: usize,
    ) -> io::Result<Self> {
        let stream = connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(OutboundConnection {
            stream,
            buffer: BytesMut::with_capacity(1024),
            since: Instant::now(),
            most,
            address,
            _held: held,
        })
    }

    /// Whether nothing has come since the last answer, neither bytes nor the end. Asks the system itself:
    /// what the runtime knows of the socket may be a turn old.
    pub fn nothing_pending(&self) -> bool {
        self.buffer.is_empty() && nothing_pending(&self.stream)
    }

    /// What the system shows of it while nothing is awaited.
    pub fn socket_state(&self) -> SocketState {
        socket_state(&self.stream)
    }

    /// How long it has stood idle.
    pub fn idle_time(&self) -> Duration {
        self.since.elapsed()
    }

    /// Marks it as idle from now on; a buffer that has grown is let go.
    pub fn mark_idle(&mut self) {
        self.since = Instant::now();
        if self.buffer.capacity() > BUFFER_KEPT {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes a message; sets `written` once its last byte has been handed over.
    pub async fn write(&mut self, message: &[u8], written: &Cell<bool>) -> io::Result<()> {
        write_whole(&mut self.stream, message).await?;
        written.set(true);
        Ok(())
    }

    /// Reads one whole answer, past those of the kind 1xx.
    pub async fn read_response(&mut self) -> Result<Response, ExchangeError> {
        for _ in 0..=INTERIM_MOST {
            if self.buffer.is_empty() {
                self.more().await?;
            }
            if let Some(reply) = self.read_begun().await? {
                return Ok(reply);
            }
        }
        Err(ExchangeError::InvalidResponse("too many interim answers"))
    }

    async fn more(&mut self) -> Result<(), ExchangeError> {
        match read_some(&mut self.stream, &mut self.buffer).await? {
            0 => Err(ExchangeError::Connection(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// More of an answer that has begun. Guards against a head without end and a length that no body fills:
    /// whoever has begun to answer goes on to its end.
    async fn more_soon(&mut self) -> Result<(), ExchangeError> {
        timeout(STALL, self.more()).await.unwrap_or(Err(ExchangeError::InvalidResponse("stalled")))
    }

    /// Reads the answer that has begun; nothing if it was of the kind 1xx.
    async fn read_begun(&mut self) -> Result<Option<Response>, ExchangeError> {
        let head = loop {
            match http::answer(&self.buffer, self.most)? {
                Some(head) => break head,
                None => self.more_soon().await?,
            }
        };
        let bytes = self.buffer.split_to(head.len);
        if (100..200).contains(&head.status) && head.status != 101 {
            return Ok(None);
        }
        let close_delimited = head.framing == http::Framing::UntilClose;
        let body = match (close_delimited, head.status) {
            (true, 200) => self.read_to_close().await?,
            // Nobody reads the body of any other answer.
            (true, _) => Vec::new(),
            (false, _) => self.read_framed(head.framing).await?,
        };
        let reusable = head.keep_alive && !close_delimited && head.status >= 200 && self.buffer.is_empty();
        Ok(Some(Response { head, bytes, body, reusable, close_delimited }))
    }

    /// Reads a body that tells its own end.
    async fn read_framed(&mut self, framing: http::Framing) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Body::new(framing, self.most);
        while !body.take(&mut self.buffer)? {
            self.more_soon().await?;
        }
        Ok(body.bytes)
    }

    /// Reads a body that goes on to the orderly end of its connection; one that breaks has no end.
    async fn read_to_close(&mut self) -> Result<Vec<u8>, ExchangeError> {
        loop {
            if self.buffer.len() > self.most {
                return Err(http::HttpError::BodyTooLong.into());
            }
            match self.more_soon().await {
                Ok(()) => {}
                Err(ExchangeError::Connection(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(std::mem::take(&mut self.buffer).to_vec());
                }
                Err(e) => return Err(e),
            }
        }
    }
}
