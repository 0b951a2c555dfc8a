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

const MOODS: [Mood; 6] =
    [Mood::Silent, Mood::Refuses, Mood::Resets, Mood::Rubbish, Mood::Line(4_000), Mood::Line(20_000)];

/// One of 300 that start at once, each with what it is told of the servers.
fn start(ask: bool, mood: Mood, known: Known) -> (Limiter, Moody, Server) {
    let (one, counter) = (server(ok), counter());
    let agent = moody(mood, list(1, true, &[entry("s-0", one.address, "SERVING")]));
    let mut setup = Setup::new(&[&one], &counter);
    (setup.ask, setup.gateways, setup.known) = (ask, 300, known);
    setup.discovery = Some(agent.server.address);
    (setup.launch(), agent, one)
}

#[test]
fn with_a_known_list_it_is_ready_in_time_whatever_discovery_does() {
    let plays: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| MOODS.map(|mood| (ask, mood)))
        .map(|(ask, mood)| {
            let play = move || {
                let (limiter, _agent, _one) = start(ask, mood, Known::Servers);
                let took = ready_within(&limiter, READY);
                (took, limiter.client().ask(&request("look", "1", "team", 9000)).status())
            };
            (ask, mood, thread::spawn(play))
        })
        .collect();
    // All are over, and their limiters gone, before any is judged.
    let plays: Vec<_> = plays.into_iter().map(|(a, m, play)| (a, m, play.join())).collect();
    for (ask, mood, play) in plays {
        let (took, status) = play.expect("it is played");
        assert!(took.is_some(), "asked {ask}, {mood:?}: not ready in time");
        assert_eq!(status, 200, "asked {ask}, {mood:?}");
    }
}

/// Guards against a process that draws clients to itself only to turn them away, and against one that stays so once
/// discovery is back.
#[test]
fn with_nothing_to_send_to_and_no_list_it_is_not_ready_until_discovery_has_told_it() {
    let nothing: [fn() -> Known; 3] = [
        || Known::Absent,
        || Known::Rows(Vec::new()),
        || Known::Rows(vec![entry("s-9", free_port(), "DRAINING")]),
    ];
    let plays: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|ask| [Mood::Silent, Mood::Refuses, Mood::Rubbish].map(|mood| (ask, mood)))
        .flat_map(|(ask, mood)| nothing.map(|known| (ask, mood, known)))
        .map(|(ask, mood, known)| {
            let play = move || {
                let (limiter, agent, one) = start(ask, mood, known());
                let early = ready_within(&limiter, Duration::from_secs(4));
                agent.changes(list(2, true, &[entry("s-0", one.address, "SERVING")]));
                let took = ready_within(&limiter, READY);
                (early, took, limiter.client().ask(&request("look", "1", "team", 9000)).status())
            };
            (ask, mood, thread::spawn(play))
        })
        .collect();
    // All are over, and their limiters gone, before any is judged.
    let plays: Vec<_> = plays.into_iter().map(|(a, m, play)| (a, m, play.join())).collect();
    for (ask, mood, play) in plays {
        let (early, took, status) = play.expect("it is played");
        assert_eq!(early, None, "asked {ask}, {mood:?}: ready with nothing to send to");
        assert!(took.is_some(), "asked {ask}, {mood:?}: not ready though discovery is back");
        assert_eq!(status, 200, "asked {ask}, {mood:?}");
    }
}

/// Where the whole fleet starts at once, discovery has a line: who knows nothing is ready once its turn has come.
#[test]
fn without_a_known_list_it_is_ready_in_time_though_discovery_has_a_line() {
    for ask in [true, false] {
        let (limiter, _agent, _one) = start(ask, Mood::Line(4_000), Known::Absent);
        assert!(ready_within(&limiter, READY).is_some(), "asked {ask}");
    }
}
