//! HTTP/1.1 messages: heads, body framing, size limits and keep-alive, for clients, servers, the counter and discovery.

use std::fmt;
use std::ops::Range;

/// Largest head of a message, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Largest body of a request, in bytes.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Largest body of a server's response, in bytes: servers have been seen to send some 400 KB.
pub const MAX_RESPONSE_BODY: usize = 1024 * 1024;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Longest chunk-size line, and largest size of all trailers together, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

/// Why a message cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// It is not an HTTP/1.x message, or its framing is ambiguous.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// Its transfer coding is not chunked.
    UnsupportedCoding,
}

impl HttpError {
    /// The reason in words, for logs.
    pub fn reason(self) -> &'static str {
        match self {
            HttpError::Malformed => "malformed message",
            HttpError::HeadTooLong => "head too long",
            HttpError::BodyTooLong => "body too long",
            HttpError::UnsupportedCoding => "transfer coding not supported",
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for HttpError {}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in bytes.
    Length(usize),
    /// By chunked transfer coding.
    Chunked,
    /// By the close of the connection; responses only.
    UntilClose,
}

/// The start line and the headers of a message, as ranges of its bytes.
#[derive(Debug)]
pub struct Head {
    /// Length of the head in bytes.
    pub len: usize,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Method of a request; empty for a response.
    pub method: Range<usize>,
    /// Target of a request; empty for a response.
    pub target: Range<usize>,
    /// Names and values of the headers.
    pub headers: Vec<(Range<usize>, Range<usize>)>,
}

/// Range of a part within the slice that it was taken from.
fn range_in(whole: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(whole.as_ptr() as usize);
    start..start + part.len()
}

/// Whether a comma-separated header value contains a token.
fn contains_token(value: &[u8], token: &str) -> bool {
    value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn framing(headers: &[httparse::Header], is_response: bool, max_body: usize) -> Result<Framing, HttpError> {
    let mut length: Option<usize> = None;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = header.value.trim_ascii();
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(HttpError::Malformed);
            }
            let value = digits.iter().fold(0, |sum, d| sum * 10 + usize::from(d - b'0'));
            if length.is_some_and(|l| l != value) {
                return Err(HttpError::Malformed);
            }
            length = Some(value);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HttpError::UnsupportedCoding);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        // A message with both could be read with either length, which allows request smuggling.
        (Some(_), true) => Err(HttpError::Malformed),
        (Some(length), false) if length > max_body => Err(HttpError::BodyTooLong),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) => Ok(Framing::Chunked),
        (None, false) => Ok(if is_response { Framing::UntilClose } else { Framing::Length(0) }),
    }
}

fn keep_alive(headers: &[httparse::Header], version: u8) -> bool {
    let mut keep = version == 1;
    for header in headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection")) {
        if contains_token(header.value, "close") {
            return false;
        }
        keep |= contains_token(header.value, "keep-alive");
    }
    keep
}

/// The length of a parsed head, `None` if it is incomplete so far, or an error.
fn head_length(parsed: httparse::Result<usize>, available: usize) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len <= MAX_HEAD => Ok(Some(len)),
        Ok(httparse::Status::Partial) if available < MAX_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLong),
        Err(_) => Err(HttpError::Malformed),
    }
}

fn header_ranges(bytes: &[u8], headers: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    headers.iter().map(|h| (range_in(bytes, h.name.as_bytes()), range_in(bytes, h.value))).collect()
}

/// Parses the head of a request; `None` while it is incomplete.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(len) = head_length(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else { return Err(HttpError::Malformed) };
    // The library accepts a bare line feed as the end of a line; a server may not.
    if bytes[..len].iter().zip(&bytes[1..len]).any(|(a, b)| *b == b'\n' && *a != b'\r') {
        return Err(HttpError::Malformed);
    }
    Ok(Some(Head {
        len,
        framing: framing(parsed.headers, false, MAX_REQUEST_BODY)?,
        keep_alive: keep_alive(parsed.headers, parsed.version.unwrap_or(0)),
        status: 0,
        method: range_in(bytes, method.as_bytes()),
        target: range_in(bytes, target.as_bytes()),
        headers: header_ranges(bytes, parsed.headers),
    }))
}

/// Parses the head of a response whose body may have up to `max_body` bytes; `None` while it is incomplete.
pub fn parse_response_head(bytes: &[u8], max_body: usize) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Some(len) = head_length(parsed.parse(bytes), bytes.len())? else { return Ok(None) };
    let status = parsed.code.unwrap_or(0);
    let has_no_body = (100..200).contains(&status) || status == 204 || status == 304;
    let framing = if has_no_body { Framing::Length(0) } else { framing(parsed.headers, true, max_body)? };
    Ok(Some(Head {
        len,
        framing,
        keep_alive: keep_alive(parsed.headers, parsed.version.unwrap_or(0)) && framing != Framing::UntilClose,
        status,
        method: 0..0,
        target: 0..0,
        headers: header_ranges(bytes, parsed.headers),
    }))
}

impl Head {
    /// Value of the first header with this name.
    pub fn header<'a>(&self, bytes: &'a [u8], name: &str) -> Option<&'a [u8]> {
        let found =
            self.headers.iter().find(|(n, _)| bytes[n.clone()].eq_ignore_ascii_case(name.as_bytes()))?;
        Some(bytes[found.1.clone()].trim_ascii())
    }

    /// Value of a header that must not be repeated; an error if it is.
    pub fn unique_header<'a>(&self, bytes: &'a [u8], name: &str) -> Result<Option<&'a [u8]>, HttpError> {
        let named =
            |(n, _): &&(Range<usize>, Range<usize>)| bytes[n.clone()].eq_ignore_ascii_case(name.as_bytes());
        match self.headers.iter().filter(named).count() {
            0 | 1 => Ok(self.header(bytes, name)),
            _ => Err(HttpError::Malformed),
        }
    }

    /// Copies the headers with these names. No others are copied, as it is unknown what they mean to the other side.
    pub fn copy_headers(&self, bytes: &[u8], names: &[&str], to: &mut Vec<u8>) {
        for (name, value) in &self.headers {
            let name = &bytes[name.clone()];
            if names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes())) {
                to.extend_from_slice(name);
                to.extend_from_slice(b": ");
                to.extend_from_slice(&bytes[value.clone()]);
                to.extend_from_slice(b"\r\n");
            }
        }
    }
}

/// Result of passing input to a [`BodyReader`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// Number of bytes of the input that belong to the body and its framing.
    pub consumed: usize,
    /// Whether the body is complete.
    pub complete: bool,
}

/// Reads a body incrementally.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    max_length: usize,
    /// The part of the body read so far, without chunk framing.
    pub bytes: Vec<u8>,
    /// Bytes left of the current chunk; `None` between chunks.
    chunk_left: Option<usize>,
    /// Whether the last chunk has been read, and trailers follow.
    in_trailers: bool,
    trailers_length: usize,
}

impl BodyReader {
    /// Starts a body with this framing and of at most `max_length` bytes.
    pub fn new(framing: Framing, max_length: usize) -> Self {
        BodyReader {
            framing,
            max_length,
            bytes: Vec::new(),
            chunk_left: None,
            in_trailers: false,
            trailers_length: 0,
        }
    }

    /// Takes the bytes of the body from the front of the input.
    pub fn read(&mut self, input: &[u8]) -> Result<BodyProgress, HttpError> {
        match self.framing {
            Framing::Length(length) => {
                let consumed = input.len().min(length - self.bytes.len());
                self.bytes.extend_from_slice(&input[..consumed]);
                Ok(BodyProgress { consumed, complete: self.bytes.len() == length })
            }
            // Its end is not in the data; the caller reads such a body to the close of the connection.
            Framing::UntilClose => Err(HttpError::Malformed),
            Framing::Chunked => self.read_chunks(input),
        }
    }

    fn read_chunks(&mut self, input: &[u8]) -> Result<BodyProgress, HttpError> {
        let mut consumed = 0;
        loop {
            let rest = &input[consumed..];
            let step = if self.in_trailers {
                self.read_trailer(rest)?
            } else if let Some(left) = self.chunk_left {
                self.read_chunk_data(rest, left)?
            } else {
                self.read_chunk_size(rest)?
            };
            consumed += step.consumed;
            match step.progress {
                ChunkProgress::Continues => {}
                ChunkProgress::NeedsInput => return Ok(BodyProgress { consumed, complete: false }),
                ChunkProgress::Complete => return Ok(BodyProgress { consumed, complete: true }),
            }
        }
    }

    /// Reads one line of the trailers, which are dropped; an empty one ends the body.
    fn read_trailer(&mut self, input: &[u8]) -> Result<ChunkStep, HttpError> {
        let Some(end) = input.windows(2).position(|w| w == b"\r\n") else {
            return if input.len() > MAX_CHUNK_LINE {
                Err(HttpError::HeadTooLong)
            } else {
                Ok(ChunkStep { consumed: 0, progress: ChunkProgress::NeedsInput })
            };
        };
        let consumed = end + 2;
        self.trailers_length += consumed;
        if self.trailers_length > MAX_CHUNK_LINE {
            return Err(HttpError::HeadTooLong);
        }
        // Data in their place would be the rest of the body, behind a last chunk that comes too early.
        if end > 0 && !is_field_line(&input[..end]) {
            return Err(HttpError::Malformed);
        }
        let progress = if end == 0 { ChunkProgress::Complete } else { ChunkProgress::Continues };
        Ok(ChunkStep { consumed, progress })
    }

    /// Reads data of the current chunk, of which `left` bytes are still to come, and the line end behind it.
    fn read_chunk_data(&mut self, input: &[u8], left: usize) -> Result<ChunkStep, HttpError> {
        let part = input.len().min(left);
        self.bytes.extend_from_slice(&input[..part]);
        self.chunk_left = Some(left - part);
        let behind = &input[part..];
        if left > part || behind.len() < 2 {
            return Ok(ChunkStep { consumed: part, progress: ChunkProgress::NeedsInput });
        }
        if !behind.starts_with(b"\r\n") {
            return Err(HttpError::Malformed);
        }
        self.chunk_left = None;
        Ok(ChunkStep { consumed: part + 2, progress: ChunkProgress::Continues })
    }

    /// Reads the line before a chunk, which gives its size; the last chunk has none.
    fn read_chunk_size(&mut self, input: &[u8]) -> Result<ChunkStep, HttpError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((consumed, size))) => {
                let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLong)?;
                if size > self.max_length - self.bytes.len() {
                    return Err(HttpError::BodyTooLong);
                }
                self.in_trailers = size == 0;
                self.chunk_left = (size > 0).then_some(size);
                Ok(ChunkStep { consumed, progress: ChunkProgress::Continues })
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_LINE => {
                Ok(ChunkStep { consumed: 0, progress: ChunkProgress::NeedsInput })
            }
            _ => Err(HttpError::Malformed),
        }
    }
}

/// Characters of a header's name other than letters and digits.
const NAME_SYMBOLS: &[u8] = b"!#$%&'*+-.^_`|~";

/// Whether a line has the form of a header: a name, a colon and a value.
fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    colon > 0 && line[..colon].iter().all(|byte| byte.is_ascii_alphanumeric() || NAME_SYMBOLS.contains(byte))
}

/// What follows a step in reading chunks.
enum ChunkProgress {
    /// Another step with the rest of the input.
    Continues,
    /// More input is needed.
    NeedsInput,
    /// The body is complete.
    Complete,
}

/// Result of a step in reading chunks.
struct ChunkStep {
    /// Number of bytes of the input that were used.
    consumed: usize,
    progress: ChunkProgress,
}

/// Beginning of a status line; [`ANY_DIGIT`] stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/1.# ###";
const ANY_DIGIT: u8 = b'#';
/// Least number of bytes that are taken for the beginning of a status line.
const MIN_STATUS_LINE: usize = b"HTTP/".len();

/// Whether bytes begin with a status line, as far as they go.
pub fn begins_response(bytes: &[u8]) -> bool {
    let fits = |(byte, expected): (&u8, &u8)| match *expected {
        ANY_DIGIT => byte.is_ascii_digit(),
        expected => *byte == expected,
    };
    bytes.len() >= MIN_STATUS_LINE && bytes.iter().zip(STATUS_LINE).all(fits)
}

/// Whether bytes contain what looks like the status line of a response.
pub fn contains_status_line(bytes: &[u8]) -> bool {
    bytes.windows(STATUS_LINE.len()).any(begins_response)
}

/// Appends the head of a response whose body has `body_length` bytes to `to`.
pub fn write_response_head(to: &mut Vec<u8>, status: u16, headers: &[u8], close: bool, body_length: usize) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let mut digits = itoa::Buffer::new();
    to.extend_from_slice(b"HTTP/1.1 ");
    to.extend_from_slice(digits.format(status).as_bytes());
    to.push(b' ');
    to.extend_from_slice(reason.as_bytes());
    to.extend_from_slice(b"\r\n");
    to.extend_from_slice(headers);
    if close {
        to.extend_from_slice(b"Connection: close\r\n");
    }
    to.extend_from_slice(b"Content-Length: ");
    to.extend_from_slice(digits.format(body_length).as_bytes());
    to.extend_from_slice(b"\r\n\r\n");
}
