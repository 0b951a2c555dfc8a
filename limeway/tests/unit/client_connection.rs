//! Tests of what only the inside of a connection shows: what the system knows of a socket and the runtime does not yet.

use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream as Peer};
use std::thread::JoinHandle;

/// A client's end, and the connection as the limiter holds it, of which the runtime has heard nothing.
fn pair() -> (Peer, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = Peer::connect(listener.local_addr().expect("its address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("it is set");
    (peer, Connection::new(TcpStream::from_std(stream).expect("a socket"), Duration::ZERO, false))
}

/// Looks until so many bytes have come or the client has left; the runtime gets no turn meanwhile.
fn look(connection: &mut Connection, bytes: usize) -> bool {
    for _ in 0..10_000 {
        if !connection.take_in(Duration::ZERO) {
            return false;
        }
        if connection.buffer.len() + connection.cut >= bytes {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("{} bytes have come of {bytes}", connection.buffer.len() + connection.cut);
}

/// Lets a peer write so many bytes; what does not fit into the system's buffers is written as the limiter reads.
fn write(mut peer: Peer, bytes: usize, then: impl FnOnce(&Peer) + Send + 'static) -> JoinHandle<Peer> {
    std::thread::spawn(move || {
        peer.write_all(&vec![b'x'; bytes]).expect("it is read");
        then(&peer);
        peer
    })
}

/// Guards against a request that waits to be accepted, or behind others, and is sent on though its client has left:
/// its end stands behind what it wrote.
#[tokio::test]
async fn the_end_of_a_client_is_seen_behind_all_that_it_wrote() {
    for bytes in [0, 1, 200, 5_000, 300_000] {
        let (peer, mut connection) = pair();
        let writer = write(peer, bytes, |peer| peer.shutdown(Shutdown::Write).expect("it ends"));
        assert!(!look(&mut connection, usize::MAX), "{bytes} bytes, then the end");
        assert_eq!(connection.buffer.len() + connection.cut, bytes, "nothing is lost before the end");
        drop(writer.join());
    }
}

#[tokio::test]
async fn a_client_that_stays_is_taken_to_stay_whatever_it_wrote() {
    for bytes in [0, 1, 200, 5_000, 300_000] {
        let (peer, mut connection) = pair();
        let writer = write(peer, bytes, |_| {});
        assert!(look(&mut connection, bytes), "{bytes} bytes");
        let peer = writer.join().expect("it writes");
        assert!(connection.take_in(Duration::ZERO), "it is still there after {bytes} bytes");
        drop(peer);
    }
}

#[tokio::test]
async fn a_client_that_writes_without_end_is_given_up() {
    let (mut peer, mut connection) = pair();
    let writer = std::thread::spawn(move || while peer.write_all(&[b'x'; 65_536]).is_ok() {});
    assert!(!look(&mut connection, usize::MAX));
    assert!(connection.buffer.len() <= http::MAX_HEAD + http::MAX_REQUEST_BODY, "what is kept is bounded");
    drop(connection);
    writer.join().expect("it is cut off");
}

/// Guards against a wait that is charged to what came later: on a connection that was accepted late, to its next request.
#[tokio::test]
async fn what_is_taken_in_has_waited_as_long_as_the_loop_lets_it_and_no_longer() {
    let (peer, mut connection) = pair();
    connection.waited = Duration::from_secs(3);
    let writer = write(peer, 200, |_| {});
    assert!(look(&mut connection, 200));
    assert_eq!(connection.waited, Duration::ZERO);
    drop(writer.join());
}
