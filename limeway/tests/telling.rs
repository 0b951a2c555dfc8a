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
fn outage(ask: bool, mode: DiscoveryMode, stage: Stage, length: Duration) -> Result<Duration, String> {
    let (one, two, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let rows = [server_row("s-0", one.address, "SERVING"), server_row("s-1", two.address, "SERVING")];
    let whole = server_list(1, true, &rows);
    let first = if stage == Stage::Start { mode } else { DiscoveryMode::Respond };
    let (agent, other) = (faulty_discovery(first, whole.clone()), faulty_discovery(mode, whole));
    let mut setup = LimiterSetup::new(&[&one, &two], &counter);
    (setup.ask_mode, setup.gateways, setup.discovery) = (ask, 300, Some(agent.server.address));
    let limiter = setup.start();
    if stage != Stage::Start {
        let end = Instant::now() + TIMEOUT;
        while !agent
            .server
            .requests
            .recv_timeout(TIMEOUT)
            .expect("a call")
            .1
            .start_line
            .contains("hold_ms=3000")
        {
            assert!(Instant::now() < end, "no watch");
        }
    }
    match stage {
        Stage::Watch => agent.set_mode(mode),
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
    agent.recover_with(server_list(2, true, &[server_row("s-0", one.address, "DRAINING"), rows[1].clone()]));
    let took = match agent.change_sent.recv_timeout(TIMEOUT) {
        Ok(at) => at - reachable,
        Err(RecvTimeoutError::Timeout) => return Err("never told".to_owned()),
        Err(e) => return Err(e.to_string()),
    };
    while !agent
        .server
        .requests
        .recv_timeout(TIMEOUT)
        .expect("the next watch")
        .1
        .start_line
        .contains("from=2&")
    {}
    one.requests.try_iter().count();
    for n in 0..4 {
        limiter.client().exchange(&request("look", &n.to_string(), "team", 9000));
    }
    match one.requests.try_iter().count() {
        0 => Ok(took),
        sent => Err(format!("{sent} requests to a server that drains")),
    }
}

#[test]
fn after_any_discovery_outage_a_change_takes_effect_in_time() {
    let modes = [
        DiscoveryMode::Silent,
        DiscoveryMode::Unavailable,
        DiscoveryMode::Reset,
        DiscoveryMode::MalformedJson,
        DiscoveryMode::MalformedRows,
    ];
    for length in [300, 2_000, 7_000, 20_000] {
        let plays: Vec<_> = [true, false]
            .into_iter()
            .flat_map(|ask| modes.map(|mode| (ask, mode)))
            .flat_map(|(ask, mode)| [Stage::Start, Stage::Watch, Stage::Reload].map(|s| (ask, mode, s)))
            .map(|(ask, mode, stage)| {
                let length = Duration::from_millis(length);
                (ask, mode, stage, thread::spawn(move || outage(ask, mode, stage, length)))
            })
            .collect();
        // All are over, and their limiters gone, before any is judged.
        let plays: Vec<_> = plays.into_iter().map(|(a, m, s, play)| (a, m, s, play.join())).collect();
        for (ask, mode, stage, took) in plays {
            let took = took.expect("it is played");
            let case = format!("asked {ask}, {mode:?} for {length} ms from its {stage:?} on");
            assert!(took.as_ref().is_ok_and(|took| *took < TOLD), "{case}: {took:?}");
        }
    }
}

/// Guards against a spin where a discovery keeps no watch waiting, and against calls that stop because of it.
#[test]
fn a_discovery_that_answers_watches_at_once_is_not_called_in_a_busy_loop() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let whole = server_list(1, true, &[server_row("s-0", one.address, "SERVING")]);
    for answer in [server_list(1, false, &[]), server_list(7, false, &[]), whole.clone()] {
        let whole = whole.clone();
        let agent = stand_in(move |_, message, stream| {
            write_response(
                stream,
                "200 OK",
                if message.start_line.contains("hold_ms=3000") { &answer } else { &whole },
            );
        });
        let mut setup = LimiterSetup::new(&[&one], &counter);
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
