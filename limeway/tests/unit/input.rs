//! Unit tests of a connection's input that the runtime has not noticed yet.

use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream as Client};
use std::thread::JoinHandle;

/// A client's socket, and the limiter's side of its connection, which the runtime has not polled yet.
fn pair() -> (Client, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = Client::connect(listener.local_addr().expect("its address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("it is set");
    (client, TcpStream::from_std(stream).expect("a socket"))
}

/// Input of a connection whose first bytes have waited for this time, with memory for all that it may hold.
fn input(waited: Duration) -> ClientInput {
    ClientInput::new(waited, Rc::new(MemoryPool::new(4 * MAX_READ_AHEAD)))
}

/// Reads until this many bytes have arrived, or returns false once the client is seen to have left. The runtime does
/// not run meanwhile.
fn read_until(input: &mut ClientInput, stream: &TcpStream, bytes: usize) -> bool {
    for _ in 0..10_000 {
        if !input.read_available(stream, Duration::ZERO) {
            return false;
        }
        if input.unconsumed().len() >= bytes {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("{} of {bytes} bytes have arrived", input.unconsumed().len());
}

/// Writes this many bytes on a thread, as what does not fit into the socket buffers waits until the limiter reads.
fn write(
    mut client: Client,
    bytes: usize,
    then: impl FnOnce(&Client) + Send + 'static,
) -> JoinHandle<Client> {
    std::thread::spawn(move || {
        client.write_all(&vec![b'x'; bytes]).expect("it is read");
        then(&client);
        client
    })
}

/// Guards against forwarding a request whose client left while it waited to be accepted, or behind other requests: the
/// end of the client's input comes after all bytes that it wrote.
#[tokio::test]
async fn detects_that_a_client_has_left_behind_all_that_it_wrote() {
    for bytes in [0, 1, 200, 5_000, 300_000, 1_000_000] {
        let (client, stream) = pair();
        let mut input = input(Duration::ZERO);
        let writer = write(client, bytes, |client| client.shutdown(Shutdown::Write).expect("it ends"));
        assert!(!read_until(&mut input, &stream, usize::MAX), "{bytes} bytes, then the end");
        assert_eq!(input.unconsumed().len(), bytes, "all bytes before the end count");
        assert!(input.client_has_left(&stream, Duration::ZERO).await);
        drop(writer.join());
    }
}

#[tokio::test]
async fn a_client_that_stays_is_not_taken_to_have_left_however_much_it_wrote() {
    for bytes in [0, 1, 200, 5_000, 300_000, 1_000_000] {
        let (client, stream) = pair();
        let mut input = input(Duration::ZERO);
        let writer = write(client, bytes, |_| {});
        assert!(read_until(&mut input, &stream, bytes), "{bytes} bytes");
        let client = writer.join().expect("it writes");
        assert!(
            !input.client_has_left(&stream, Duration::ZERO).await,
            "it is still there after {bytes} bytes"
        );
        drop(client);
    }
}

/// Guards against a gap in the input, and against memory without a bound: what a client writes without end is neither
/// dropped nor held beyond the bound, but waits in the kernel until there is room.
#[tokio::test]
async fn a_client_that_writes_without_end_is_read_up_to_a_bound_and_without_a_gap() {
    let (mut client, stream) = pair();
    let writer = std::thread::spawn(move || {
        let mut written = 0u8;
        while client.write_all(&[written; 4_096]).is_ok() {
            written = written.wrapping_add(1);
        }
    });
    let mut input = input(Duration::ZERO);
    assert!(read_until(&mut input, &stream, MAX_READ_AHEAD));
    for expected in 0..1_000u32 {
        assert!(input.unconsumed().len() <= MAX_READ_AHEAD, "the buffer is bounded");
        assert!(!input.client_has_left(&stream, Duration::ZERO).await);
        let block = input.take(4_096);
        assert!(block.iter().all(|byte| *byte == expected as u8), "block {expected} follows the one before");
        if input.has_room() {
            assert!(input.read(&stream, || Duration::ZERO).await, "there is more");
        }
    }
    drop(stream);
    writer.join().expect("its write fails");
}

/// Guards against forwarding a request whose client has left behind more input than is held.
#[tokio::test]
async fn a_departure_shows_behind_input_that_stays_in_the_kernel() {
    let (client, stream) = pair();
    let mut input = input(Duration::ZERO);
    let writer = write(client, MAX_READ_AHEAD + 1_000, |client| {
        client.shutdown(Shutdown::Write).expect("it ends");
    });
    assert!(read_until(&mut input, &stream, MAX_READ_AHEAD));
    let client = writer.join().expect("it writes");
    let departure =
        async { while input.watch_client(&stream, || Duration::ZERO).await != ClientNews::Left {} };
    timeout(Duration::from_secs(10), departure).await.expect("the departure is noticed");
    assert!(input.client_has_left(&stream, Duration::ZERO).await);
    drop(client);
}

/// Guards against charging the wait for the accept to a request that arrived later on the same connection.
#[tokio::test]
async fn input_read_later_is_not_charged_with_the_wait_for_the_accept() {
    let (mut client, stream) = pair();
    let mut input = input(Duration::from_secs(3));
    client.write_all(b"first").expect("it is written");
    assert!(read_until(&mut input, &stream, 5));
    input.consume(5);
    assert!(input.time_since_arrival() >= Duration::from_secs(3), "what came first has waited");
    let written = Instant::now();
    client.write_all(b"later").expect("it is written");
    assert!(read_until(&mut input, &stream, 5));
    input.consume(5);
    assert!(input.time_since_arrival() <= written.elapsed(), "what came later has not");
}

/// Guards against a wait that is not counted: while a response is written, or more is not held, input stays in the
/// kernel.
#[tokio::test]
async fn input_that_arrived_while_none_was_read_is_charged_with_the_pause() {
    let (mut client, stream) = pair();
    let mut input = input(Duration::ZERO);
    assert!(input.read_available(&stream, Duration::ZERO));
    input.pause(Duration::ZERO);
    client.write_all(b"early").expect("it is written");
    let pause = Duration::from_millis(50);
    std::thread::sleep(pause);
    assert!(input.read(&stream, || Duration::ZERO).await);
    input.consume(5);
    assert!(input.time_since_arrival() >= pause);
}

/// Guards against memory of many connections without a bound: without memory to reserve, input stays in the kernel, and
/// what is held without a reservation is small.
#[tokio::test]
async fn without_memory_input_stays_in_the_kernel() {
    let memory = Rc::new(MemoryPool::new(0));
    let (client, stream) = pair();
    let mut input = ClientInput::new(Duration::ZERO, memory);
    let writer = write(client, 100_000, |_| {});
    assert!(read_until(&mut input, &stream, UNRESERVED_BYTES));
    for _ in 0..100 {
        assert!(!input.client_has_left(&stream, Duration::ZERO).await);
        assert!(input.bytes.capacity() <= UNRESERVED_BYTES);
    }
    drop((stream, writer.join()));
}

/// Guards against memory that is not given back.
#[tokio::test]
async fn memory_for_reading_ahead_is_given_back_and_leaves_half_of_the_pool() {
    let memory = Rc::new(MemoryPool::new(256 * 1024));
    let (client, stream) = pair();
    let mut input = ClientInput::new(Duration::ZERO, memory.clone());
    let writer = write(client, 300_000, |_| {});
    assert!(read_until(&mut input, &stream, 64 * 1024));
    let rest = memory.try_reserve(128 * 1024);
    assert!(rest.is_some(), "half of the pool is left for others");
    assert!(input.bytes.capacity() <= input.max_capacity());
    let held = input.unconsumed().len();
    input.consume(held - 10);
    input.shrink();
    assert_eq!(input.unconsumed(), [b'x'; 10]);
    assert_eq!(input.max_capacity(), UNRESERVED_BYTES);
    drop(rest);
    assert!(memory.try_reserve(256 * 1024).is_some(), "all memory is given back");
    drop((stream, writer.join()));
}
