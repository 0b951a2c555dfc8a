//! What discovery has is in force within the time after which it counts as told, whatever it did before: the real
//! program against a discovery that is silent, refuses, resets or answers rubbish.

mod common;
use common::*;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// In which state discovery fails its limiter.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Start,
    Watch,
    Reload,
}

/// Plays an outage, then a change: how long it takes until the limiter is told of it, and that it heeds it.
fn outage(ask: bool, mood: Mood, stage: Stage, length: Duration) -> Result<Duration, String> {
    let (one, two, counter) = (server(ok), server(ok), counter());
    let rows = [entry("s-0", one.address, "SERVING"), entry("s-1", two.address, "SERVING")];
    let whole = list(1, true, &rows);
    let first = if stage == Stage::Start { mood } else { Mood::Answers };
    let (agent, other) = (moody(first, whole.clone()), moody(mood, whole));
    let mut setup = Setup::new(&[&one, &two], &counter);
    (setup.ask, setup.gateways, setup.discovery) = (ask, 300, Some(agent.server.address));
    let limiter = setup.start();
    if stage != Stage::Start {
        let end = Instant::now() + LONG;
        while !agent.server.requests.recv_timeout(LONG).expect("a call").1.line.contains("hold_ms=3000") {
            assert!(Instant::now() < end, "no watch");
        }
    }
    match stage {
        Stage::Watch => agent.turn(mood),
        Stage::Reload => {
            let (old, new) = (agent.server.address.to_string(), other.server.address.to_string());
            limiter.reload(&limiter.config.replace(&old, &new));
        }
        Stage::Start => {}
    }
    // The outage itself, not to order events.
    thread::sleep(length);
    let agent = if stage == Stage::Reload { other } else { agent };
    let reachable = Instant::now();
    agent.changes(list(2, true, &[entry("s-0", one.address, "DRAINING"), rows[1].clone()]));
    let took = match agent.told.recv_timeout(LONG) {
        Ok(at) => at - reachable,
        Err(RecvTimeoutError::Timeout) => return Err("never told".to_owned()),
        Err(e) => return Err(e.to_string()),
    };
    while !agent.server.requests.recv_timeout(LONG).expect("the next watch").1.line.contains("from=2&") {}
    one.requests.try_iter().count();
    for n in 0..4 {
        limiter.client().ask(&request("look", &n.to_string(), "team", 9000));
    }
    match one.requests.try_iter().count() {
        0 => Ok(took),
        sent => Err(format!("{sent} requests to a server that drains")),
    }
}

#[test]
fn whatever_discovery_did_before_a_change_is_in_force_within_the_time_after_which_it_counts_as_told() {
    let moods = [Mood::Silent, Mood::Refuses, Mood::Resets, Mood::Rubbish, Mood::Rows];
    for length in [300, 2_000, 7_000, 20_000] {
        let plays: Vec<_> = [true, false]
            .into_iter()
            .flat_map(|ask| moods.map(|mood| (ask, mood)))
            .flat_map(|(ask, mood)| [Stage::Start, Stage::Watch, Stage::Reload].map(|s| (ask, mood, s)))
            .map(|(ask, mood, stage)| {
                let length = Duration::from_millis(length);
                (ask, mood, stage, thread::spawn(move || outage(ask, mood, stage, length)))
            })
            .collect();
        // All are over, and their limiters gone, before any is judged.
        let plays: Vec<_> = plays.into_iter().map(|(a, m, s, play)| (a, m, s, play.join())).collect();
        for (ask, mood, stage, took) in plays {
            let took = took.expect("it is played");
            let case = format!("asked {ask}, {mood:?} for {length} ms from its {stage:?} on");
            assert!(took.as_ref().is_ok_and(|took| *took < TOLD), "{case}: {took:?}");
        }
    }
}

/// Guards against a spin where a discovery keeps no watch waiting, and against calls that stop because of it.
#[test]
fn a_discovery_that_keeps_no_watch_waiting_is_not_asked_in_a_spin() {
    let (one, counter) = (server(ok), counter());
    let whole = list(1, true, &[entry("s-0", one.address, "SERVING")]);
    for answer in [list(1, false, &[]), list(7, false, &[]), whole.clone()] {
        let whole = whole.clone();
        let agent = server(move |_, message, stream| {
            reply(stream, "200 OK", if message.line.contains("hold_ms=3000") { &answer } else { &whole });
        });
        let mut setup = Setup::new(&[&one], &counter);
        setup.discovery = Some(agent.address);
        let _limiter = setup.start();
        // A hundred calls, one in 100 ms, would take ten seconds; a spin makes them in a few milliseconds. Counted
        // against the stand-in's own clock, so that a slow machine only makes fewer.
        let (start, mut calls) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(2) {
            calls += usize::from(agent.requests.recv_timeout(Duration::from_millis(100)).is_ok());
        }
        assert!((2..=40).contains(&calls), "{calls} calls in two seconds");
    }
}
