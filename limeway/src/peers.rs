//! Datagrams between limiters.

use crate::network::network_event::{EventSink, NetworkEvent};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Largest datagram that may be sent, in bytes.
const MAX_DATAGRAM: usize = 256;

/// The socket for datagrams, and the address of each limiter by its number.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Opens the socket.
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>) -> io::Result<Self> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses })
    }

    /// Sends a message. One that the socket cannot take at once is lost, as any datagram may be.
    pub fn send(&self, peer: u32, data: &[u8]) {
        if data.len() > MAX_DATAGRAM {
            log::warn!("limiter {peer}: message not sent: {} bytes are more than {MAX_DATAGRAM}", data.len());
            return;
        }
        if let Some(&address) = self.addresses.get(peer as usize) {
            if let Err(e) = self.socket.try_send_to(data, address) {
                log::debug!("limiter {peer}: message to {address} lost: {e}");
            }
        }
    }
}

/// Receives messages for the limiter with number `own_number`; never returns. Datagrams that are too long, or not from
/// another limiter's address, are dropped.
pub async fn run(peers: Rc<Peers>, own_number: usize, sink: EventSink) {
    let mut data = [0; MAX_DATAGRAM + 1];
    loop {
        let (len, from) = match peers.socket.recv_from(&mut data).await {
            Ok(received) => received,
            Err(e) => {
                // Mostly the report that an earlier message reached no listening socket. The pause avoids a busy loop
                // if the error persists.
                log::debug!("cannot receive from other limiters: {e}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        let number = peers.addresses.iter().position(|a| *a == from);
        if let Some(number) = number.filter(|n| *n != own_number && len <= MAX_DATAGRAM) {
            sink(NetworkEvent::PeerMessage { from: number as u32, data: data[..len].to_vec() });
        }
    }
}
