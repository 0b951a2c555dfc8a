//! When a limiter says that it is ready, whatever discovery does: the real program, started anew.

mod common;
use common::*;
use std::thread;
use std::time::{Duration, Instant};

/// Nine in ten restarted limiters must be ready within this time.
const READY: Duration = Duration::from_secs(10);

fn ready_within(limiter: &Limiter, most: Duration) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < most {
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

/// One of 300 that start at once, each with what it is told of the servers.
fn start(ask: bool, mode: DiscoveryMode, known: KnownServers) -> (Limiter, FaultyDiscovery, StandIn) {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let agent = faulty_discovery(mode, server_list(1, true, &[server_row("s-0", one.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&one], &counter);
    (setup.ask_mode, setup.gateways, setup.known) = (ask, 300, known);
    setup.discovery = Some(agent.server.address);
    (setup.spawn(), agent, one)
}

#[test]
fn with_known_servers_a_limiter_is_ready_in_time_whatever_discovery_does() {
    let plays: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| MODES.map(|mode| (ask, mode)))
        .map(|(ask, mode)| {
            let play = move || {
                let (limiter, _agent, _one) = start(ask, mode, KnownServers::All);
                let took = ready_within(&limiter, READY);
                (took, limiter.client().exchange(&request("look", "1", "team", 9000)).status())
            };
            (ask, mode, thread::spawn(play))
        })
        .collect();
    // All are over, and their limiters gone, before any is judged.
    let plays: Vec<_> = plays.into_iter().map(|(a, m, play)| (a, m, play.join())).collect();
    for (ask, mode, play) in plays {
        let (took, status) = play.expect("it is played");
        assert!(took.is_some(), "asked {ask}, {mode:?}: not ready in time");
        assert_eq!(status, 200, "asked {ask}, {mode:?}");
    }
}

/// Guards against a process that draws clients to itself only to turn them away, and against one that stays so once
/// discovery is back.
#[test]
fn without_known_servers_a_limiter_is_not_ready_until_discovery_lists_one() {
    let nothing: [fn() -> KnownServers; 3] = [
        || KnownServers::Absent,
        || KnownServers::Rows(Vec::new()),
        || KnownServers::Rows(vec![server_row("s-9", unused_address(), "DRAINING")]),
    ];
    let plays: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| {
            [DiscoveryMode::Silent, DiscoveryMode::Unavailable, DiscoveryMode::MalformedJson]
                .map(|mode| (ask, mode))
        })
        .flat_map(|(ask, mode)| nothing.map(|known| (ask, mode, known)))
        .map(|(ask, mode, known)| {
            let play = move || {
                let (limiter, agent, one) = start(ask, mode, known());
                let early = ready_within(&limiter, Duration::from_secs(4));
                agent.recover_with(server_list(2, true, &[server_row("s-0", one.address, "SERVING")]));
                let took = ready_within(&limiter, READY);
                (early, took, limiter.client().exchange(&request("look", "1", "team", 9000)).status())
            };
            (ask, mode, thread::spawn(play))
        })
        .collect();
    // All are over, and their limiters gone, before any is judged.
    let plays: Vec<_> = plays.into_iter().map(|(a, m, play)| (a, m, play.join())).collect();
    for (ask, mode, play) in plays {
        let (early, took, status) = play.expect("it is played");
        assert_eq!(early, None, "asked {ask}, {mode:?}: ready with nothing to send to");
        assert!(took.is_some(), "asked {ask}, {mode:?}: not ready though discovery is back");
        assert_eq!(status, 200, "asked {ask}, {mode:?}");
    }
}

/// Where the whole fleet starts at once, discovery has a line: who knows nothing is ready once its turn has come.
#[test]
fn without_known_servers_a_limiter_is_ready_in_time_when_discovery_is_slow() {
    for ask in [true, false] {
        let (limiter, _agent, _one) = start(ask, DiscoveryMode::Delayed(4_000), KnownServers::Absent);
        assert!(ready_within(&limiter, READY).is_some(), "asked {ask}");
    }
}
