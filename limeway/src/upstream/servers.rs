//! The servers that discovery lists, and a pool of connections to each.

use crate::discovery::catalog::{Health, ServerList};
use crate::network::connection::{OutboundConnection, SocketState};
use crate::network::descriptors::{CountGuard, DescriptorBudget, Owner};
use crate::upstream::zones::Zones;
use pondgw::{HostSettings, Lifecycle, ListKind, ServerEntry, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle connections are kept for the time after which servers close them, divided by this. A request that is written
/// just as the server closes would end as a reset, and count as possibly run.
const IDLE_TIMEOUT_DIVISOR: u32 = 3;
/// Time for which a connection is not reused after a response. Any surplus bytes behind the response must arrive before
/// the next request is written, or they would be taken for its response.
const MIN_IDLE: Duration = Duration::from_millis(20);

/// A server and its idle connections.
struct Server {
    /// Name of the server, which discovery calls its host.
    name: String,
    /// Discovery has removed it or no longer lists it.
    removed: bool,
    attempts_in_flight: usize,
    address: Option<SocketAddr>,
    /// When it last started. Connections from before a restart are dead.
    started_ms: u64,
    in_service: bool,
    /// When an attempt at it last ended with a reset.
    reset_at: Option<Instant>,
    /// Idle connections, the one used last at the end.
    idle: Vec<OutboundConnection>,
}

/// Result of asking for a connection.
pub enum Checkout {
    /// An idle connection.
    Idle(OutboundConnection),
    /// Permission to open a connection to this address.
    Connect(SocketAddr, CountGuard),
}

/// All servers by id, with the connections to each.
pub struct ServerPools {
    servers: RefCell<Vec<Server>>,
    ids: RefCell<HashMap<String, ServerId>>,
    /// Ids of removed servers without attempts in flight, for reuse.
    free_ids: RefCell<Vec<ServerId>>,
    zones: RefCell<Zones>,
    descriptors: Rc<DescriptorBudget>,
    /// Longest time for which an idle connection is kept.
    max_idle: Duration,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
}

impl ServerPools {
    /// Pools without any server.
    pub fn new(host_settings: &HostSettings, descriptors: Rc<DescriptorBudget>) -> Self {
        ServerPools {
            servers: RefCell::default(),
            ids: RefCell::default(),
            free_ids: RefCell::default(),
            zones: RefCell::new(Zones::new(&host_settings.zones)),
            descriptors,
            max_idle: Duration::from_micros(host_settings.server_idle_timeout) / IDLE_TIMEOUT_DIVISOR,
            connect_timeout: Duration::from_micros(host_settings.connect_timeout),
        }
    }

    /// Applies a list of servers and converts it to the gateway's form. A server is identified by its name, as its
    /// address may change. Idle connections to a former address, or to a server that has restarted or left service, are
    /// closed.
    pub fn apply_list(&self, kind: ListKind, list: &ServerList) -> Vec<ServerEntry> {
        let (mut servers, mut ids) = (self.servers.borrow_mut(), self.ids.borrow_mut());
        let mut zones = self.zones.borrow_mut();
        // Ids are reused, so that state does not grow with every new server. The gateway learned of the removal from an
        // earlier list and has received the outcome of every attempt, so it too takes a reused id for a new server.
        let mut free_ids = self.free_ids.borrow_mut();
        let unused = |server: &Server| server.removed && server.attempts_in_flight == 0;
        for (id, server) in servers.iter_mut().enumerate().filter(|(_, server)| unused(server)) {
            if ids.remove(&std::mem::take(&mut server.name)).is_some() {
                free_ids.push(id);
            }
        }
        // Servers that a whole list does not name have been removed.
        let mut listed = vec![kind == ListKind::Delta; servers.len()];
        let mut entries = Vec::with_capacity(list.hosts.len());
        for row in &list.hosts {
            let id = *ids.entry(row.host.clone()).or_insert_with(|| {
                let server = Server {
                    name: row.host.clone(),
                    removed: false,
                    attempts_in_flight: 0,
                    address: None,
                    started_ms: row.born_ms,
                    in_service: false,
                    reset_at: None,
                    idle: Vec::new(),
                };
                match free_ids.pop() {
                    Some(id) => {
                        servers[id] = server;
                        id
                    }
                    None => {
                        servers.push(server);
                        servers.len() - 1
                    }
                }
            });
            if let Some(listed) = listed.get_mut(id) {
                *listed = true;
            }
            let zone = zones.number(&row.site, id);
            let server = &mut servers[id];
            let address = row.dial.parse().ok();
            server.in_service = row.health == Health::Serving;
            server.removed = row.health == Health::Deleted;
            if address != server.address && (address.is_some() || server.in_service) {
                server.address = address;
                server.idle.clear();
            }
            if !server.in_service || row.born_ms != server.started_ms {
                server.started_ms = row.born_ms;
                server.idle.clear();
            }
            let lifecycle = match row.health {
                Health::Serving => Lifecycle::Ready,
                Health::Draining => Lifecycle::Draining,
                Health::Deleted => Lifecycle::Removed,
            };
            log::info!("server {id}: host {}, address {}, {:?}", row.host, row.dial, row.health);
            entries.push(ServerEntry {
                server: id,
                zone,
                cell: row.block,
                lifecycle,
                weight: row.share,
                started_at: row.born_ms * 1_000,
            });
        }
        for (server, _) in servers.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
            (server.in_service, server.removed) = (false, true);
            server.idle.clear();
        }
        entries
    }

    /// An idle connection to a server, or permission to open one. Returns `None` if the server has no address or this
    /// process may open no more connections.
    pub fn take(&self, id: ServerId) -> Option<Checkout> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(id)?;
        // The connection used last is the least likely to be closed by the server soon, and the others can reach the
        // idle limit.
        for index in (0..server.idle.len()).rev() {
            if server.idle[index].idle_time() < MIN_IDLE {
                continue;
            }
            let conn = server.idle.remove(index);
            if conn.idle_time() < self.max_idle && conn.nothing_pending() {
                return Some(Checkout::Idle(conn));
            }
        }
        let address = server.address?;
        // At the limit of open connections, the one that has been idle longest at any server is closed.
        loop {
            if let Some(held) = self.descriptors.try_acquire(Owner::Servers) {
                return Some(Checkout::Connect(address, held));
            }
            let oldest =
                servers.iter_mut().filter(|s| !s.idle.is_empty()).max_by_key(|s| s.idle[0].idle_time())?;
            oldest.idle.remove(0);
        }
    }

    /// Keeps a connection for a later attempt, if it still leads to a server in service.
    pub fn give_back(&self, id: ServerId, mut conn: OutboundConnection) {
        if let Some(server) =
            self.servers.borrow_mut().get_mut(id).filter(|s| s.in_service && s.address == Some(conn.address))
        {
            conn.mark_idle();
            server.idle.push(conn);
        }
    }

    /// Whether a server is in service at this address.
    pub fn is_in_service_at(&self, id: ServerId, address: SocketAddr) -> bool {
        self.servers.borrow().get(id).is_some_and(|s| s.in_service && s.address == Some(address))
    }

    /// Whether any server is in service.
    pub fn any_in_service(&self) -> bool {
        self.servers.borrow().iter().any(|s| s.in_service && s.address.is_some())
    }

    /// Counts an attempt as in flight; the id of its server is not reused until it has ended.
    pub fn attempt_started(&self, id: ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt as ended.
    pub fn attempt_ended(&self, id: ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.attempts_in_flight = server.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Records a reset and closes all idle connections to the server. If it vanished or restarted unnoticed, its other
    /// connections look open but would end with resets too, and each such request counts as possibly run. A new
    /// connection would fail, and its request counts as never run.
    pub fn record_reset(&self, id: ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.reset_at = Some(Instant::now());
            server.idle.clear();
        }
    }

    /// Whether nothing suggests that a server's process has ended since a time: it is listed, no connection to it was
    /// reset, and if there are idle connections, at least one of them is open.
    pub fn seems_up_since(&self, id: ServerId, since: Instant) -> bool {
        let servers = self.servers.borrow();
        let Some(server) = servers.get(id).filter(|server| !server.removed) else { return false };
        let states: Vec<SocketState> = server.idle.iter().map(OutboundConnection::socket_state).collect();
        let reset = server.reset_at.is_some_and(|at| at >= since) || states.contains(&SocketState::Failed);
        let all_ended = !states.is_empty() && states.iter().all(|state| *state == SocketState::EndOfInput);
        !reset && !all_ended
    }

    /// Closes connections that have been idle for too long or were closed by the server.
    pub fn prune(&self) {
        for server in self.servers.borrow_mut().iter_mut() {
            server.idle.retain(|conn| conn.idle_time() < self.max_idle && conn.nothing_pending());
        }
    }
}
