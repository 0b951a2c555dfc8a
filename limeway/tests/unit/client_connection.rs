//! Unit tests of a client connection whose socket has input that the runtime has not noticed yet.

use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream as Client};
use std::thread::JoinHandle;

/// A client's socket, and the limiter's side of its connection, which the runtime has not polled yet.
fn pair() -> (Client, ClientConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = Client::connect(listener.local_addr().expect("its address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("it is set");
    (client, ClientConnection::new(TcpStream::from_std(stream).expect("a socket"), Duration::ZERO, false))
}

/// Drains the socket until this many bytes have arrived, or returns false once the client is seen to have left. The
/// runtime does not run meanwhile.
fn drain_until(connection: &mut ClientConnection, bytes: usize) -> bool {
    for _ in 0..10_000 {
        if !connection.drain_socket(Duration::ZERO) {
            return false;
        }
        if connection.buffer.len() + connection.discarded >= bytes {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("{} of {bytes} bytes have arrived", connection.buffer.len() + connection.discarded);
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
    for bytes in [0, 1, 200, 5_000, 300_000] {
        let (client, mut connection) = pair();
        let writer = write(client, bytes, |client| client.shutdown(Shutdown::Write).expect("it ends"));
        assert!(!drain_until(&mut connection, usize::MAX), "{bytes} bytes, then the end");
        assert_eq!(connection.buffer.len() + connection.discarded, bytes, "all bytes before the end count");
        drop(writer.join());
    }
}

#[tokio::test]
async fn a_client_that_stays_is_not_taken_to_have_left_however_much_it_wrote() {
    for bytes in [0, 1, 200, 5_000, 300_000] {
        let (client, mut connection) = pair();
        let writer = write(client, bytes, |_| {});
        assert!(drain_until(&mut connection, bytes), "{bytes} bytes");
        let client = writer.join().expect("it writes");
        assert!(connection.drain_socket(Duration::ZERO), "it is still there after {bytes} bytes");
        drop(client);
    }
}

#[tokio::test]
async fn a_client_that_writes_without_end_is_given_up() {
    let (mut client, mut connection) = pair();
    let writer = std::thread::spawn(move || while client.write_all(&[b'x'; 65_536]).is_ok() {});
    assert!(!drain_until(&mut connection, usize::MAX));
    assert!(connection.buffer.len() <= http::MAX_HEAD + http::MAX_REQUEST_BODY, "the buffer is bounded");
    drop(connection);
    writer.join().expect("its write fails");
}

/// Guards against charging the wait for the accept to a request that arrived later on the same connection.
#[tokio::test]
async fn input_read_later_is_not_charged_with_the_wait_for_the_accept() {
    let (client, mut connection) = pair();
    connection.read_delay = Duration::from_secs(3);
    let writer = write(client, 200, |_| {});
    assert!(drain_until(&mut connection, 200));
    assert_eq!(connection.read_delay, Duration::ZERO);
    drop(writer.join());
}
