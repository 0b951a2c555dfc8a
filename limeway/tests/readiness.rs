//! When a newly started limiter reports that it is ready, depending on what discovery does: against the real program.

mod common;
use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// Nine in ten restarted limiters must be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Waits until the limiter is ready, and returns how long that took; `None` if it takes longer than `limit`.
fn time_to_ready(limiter: &Limiter, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if limiter.is_ready() {
            return Some(start.elapsed());
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

const MODES: [DiscoveryMode; 6] = [
    DiscoveryMode::Silent,
    DiscoveryMode::Unavailable,
    DiscoveryMode::Reset,
    DiscoveryMode::MalformedJson,
    DiscoveryMode::Delayed(4_000),
    DiscoveryMode::Delayed(20_000),
];

/// Starts one limiter of a fleet of 300. Returns it with its discovery and its only server.
fn start(ask_mode: bool, mode: DiscoveryMode, known: KnownServers) -> (Limiter, FaultyDiscovery, StandIn) {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let discovery =
        faulty_discovery(mode, server_list(1, true, &[server_row("s-0", server.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&server], &counter);
    (setup.ask_mode, setup.gateways, setup.known) = (ask_mode, 300, known);
    setup.discovery = Some(discovery.server.address);
    (setup.spawn(), discovery, server)
}

#[test]
fn with_known_servers_a_limiter_is_ready_in_time_whatever_discovery_does() {
    let runs: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| MODES.map(|mode| (ask, mode)))
        .map(|(ask, mode)| {
            let run = move || {
                let (limiter, _discovery, _server) = start(ask, mode, KnownServers::All);
                let took = time_to_ready(&limiter, READY_LIMIT);
                (took, limiter.client().exchange(&request("look", "1", "team", 9000)).status())
            };
            (ask, mode, thread::spawn(run))
        })
        .collect();
    // All runs end, and their limiters exit, before any result is checked.
    let runs: Vec<_> = runs.into_iter().map(|(a, m, run)| (a, m, run.join())).collect();
    for (ask, mode, run) in runs {
        let (took, status) = run.expect("thread does not panic");
        assert!(took.is_some(), "ask mode {ask}, {mode:?}: not ready in time");
        assert_eq!(status, 200, "ask mode {ask}, {mode:?}");
    }
}

/// Guards against a limiter that attracts clients although it has no server to forward their requests to, and against
/// one that stays unready once discovery has recovered.
#[test]
fn without_known_servers_a_limiter_is_not_ready_until_discovery_lists_one() {
    let no_servers: [fn() -> KnownServers; 3] = [
        || KnownServers::Absent,
        || KnownServers::Rows(Vec::new()),
        || KnownServers::Rows(vec![server_row("s-9", unused_address(), "DRAINING")]),
    ];
    let runs: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| {
            [DiscoveryMode::Silent, DiscoveryMode::Unavailable, DiscoveryMode::MalformedJson]
                .map(|mode| (ask, mode))
        })
        .flat_map(|(ask, mode)| no_servers.map(|known| (ask, mode, known)))
        .map(|(ask, mode, known)| {
            let run = move || {
                let (limiter, discovery, server) = start(ask, mode, known());
                let early = time_to_ready(&limiter, Duration::from_secs(4));
                discovery.recover_with(server_list(2, true, &[server_row("s-0", server.address, "SERVING")]));
                let took = time_to_ready(&limiter, READY_LIMIT);
                (early, took, limiter.client().exchange(&request("look", "1", "team", 9000)).status())
            };
            (ask, mode, thread::spawn(run))
        })
        .collect();
    // All runs end, and their limiters exit, before any result is checked.
    let runs: Vec<_> = runs.into_iter().map(|(a, m, run)| (a, m, run.join())).collect();
    for (ask, mode, run) in runs {
        let (early, took, status) = run.expect("thread does not panic");
        assert_eq!(early, None, "ask mode {ask}, {mode:?}: ready without a server in service");
        assert!(took.is_some(), "ask mode {ask}, {mode:?}: not ready although discovery has recovered");
        assert_eq!(status, 200, "ask mode {ask}, {mode:?}");
    }
}

/// When the whole fleet starts at once, calls queue at discovery: a limiter without known servers is ready once its
/// call is answered.
#[test]
fn without_known_servers_a_limiter_is_ready_in_time_when_discovery_is_slow() {
    for ask in [true, false] {
        let (limiter, _discovery, _server) = start(ask, DiscoveryMode::Delayed(4_000), KnownServers::Absent);
        assert!(time_to_ready(&limiter, READY_LIMIT).is_some(), "ask mode {ask}");
    }
}
