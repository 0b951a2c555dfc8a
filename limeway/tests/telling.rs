//! After an outage of discovery, a change of its list takes effect within 6 s, whatever the outage was: the real
//! program against a discovery that does not respond, returns errors, resets connections or returns malformed lists.

mod common;
use common::*;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::{Duration, Instant};

/// The limiter counts as informed of a change this long after discovery had it and could be reached.
const INFORMED_AFTER: Duration = Duration::from_secs(6);

/// When discovery becomes faulty for the limiter: at its start, while a watch is held, or with a reload that makes it
/// use another, faulty discovery.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Start,
    Watch,
    Reload,
}

/// Simulates an outage, then drains a server. Returns the time from the end of the outage until the limiter is sent
/// the change, or an error if it is never sent or the limiter still uses the draining server.
fn run_outage(
    ask_mode: bool,
    mode: DiscoveryMode,
    stage: Stage,
    length: Duration,
) -> Result<Duration, String> {
    let (server_0, server_1, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let rows =
        [server_row("s-0", server_0.address, "SERVING"), server_row("s-1", server_1.address, "SERVING")];
    let full_list = server_list(1, true, &rows);
    let initial_mode = if stage == Stage::Start { mode } else { DiscoveryMode::Respond };
    let (discovery, other_discovery) =
        (faulty_discovery(initial_mode, full_list.clone()), faulty_discovery(mode, full_list));
    let mut setup = LimiterSetup::new(&[&server_0, &server_1], &counter);
    (setup.ask_mode, setup.gateways, setup.discovery) = (ask_mode, 300, Some(discovery.server.address));
    let limiter = setup.start();
    if stage != Stage::Start {
        let end = Instant::now() + TIMEOUT;
        // Waits until the limiter starts a watch.
        while !discovery
            .server
            .requests
            .recv_timeout(TIMEOUT)
            .expect("a call")
            .1
            .start_line
            .contains("hold_ms=3000")
        {
            assert!(Instant::now() < end, "no watch was started");
        }
    }
    match stage {
        Stage::Watch => discovery.set_mode(mode),
        Stage::Reload => {
            let (old, new) =
                (discovery.server.address.to_string(), other_discovery.server.address.to_string());
            limiter.reload(&limiter.config.replace(&old, &new));
        }
        Stage::Start => {}
    }
    // The duration of the outage; this sleep orders no events.
    thread::sleep(length);
    let discovery = if stage == Stage::Reload { other_discovery } else { discovery };
    let reachable = Instant::now();
    discovery.recover_with(server_list(
        2,
        true,
        &[server_row("s-0", server_0.address, "DRAINING"), rows[1].clone()],
    ));
    let took = match discovery.change_sent.recv_timeout(TIMEOUT) {
        Ok(at) => at - reachable,
        Err(RecvTimeoutError::Timeout) => return Err("the change was never sent".to_owned()),
        Err(e) => return Err(e.to_string()),
    };
    // Waits for the watch that shows that the change is applied.
    while !discovery
        .server
        .requests
        .recv_timeout(TIMEOUT)
        .expect("the next watch")
        .1
        .start_line
        .contains("from=2&")
    {}
    // Discards the requests received so far.
    server_0.requests.try_iter().count();
    for n in 0..4 {
        limiter.client().exchange(&request("look", &n.to_string(), "team", 9000));
    }
    match server_0.requests.try_iter().count() {
        0 => Ok(took),
        sent => Err(format!("{sent} requests to a draining server")),
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
        let runs: Vec<_> = [true, false]
            .into_iter()
            .flat_map(|ask| modes.map(|mode| (ask, mode)))
            .flat_map(|(ask, mode)| [Stage::Start, Stage::Watch, Stage::Reload].map(|s| (ask, mode, s)))
            .map(|(ask, mode, stage)| {
                let length = Duration::from_millis(length);
                (ask, mode, stage, thread::spawn(move || run_outage(ask, mode, stage, length)))
            })
            .collect();
        // All runs end, and their limiters exit, before any result is checked.
        let runs: Vec<_> = runs.into_iter().map(|(a, m, s, run)| (a, m, s, run.join())).collect();
        for (ask, mode, stage, took) in runs {
            let took = took.expect("thread does not panic");
            let case = format!("ask mode {ask}, {mode:?} for {length} ms from {stage:?} on");
            assert!(took.as_ref().is_ok_and(|took| *took < INFORMED_AFTER), "{case}: {took:?}");
        }
    }
}

/// Guards against calling discovery in a busy loop when it answers every watch at once, and against no longer calling
/// it.
#[test]
fn a_discovery_that_answers_watches_at_once_is_not_called_in_a_busy_loop() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let full_list = server_list(1, true, &[server_row("s-0", server.address, "SERVING")]);
    for response in [server_list(1, false, &[]), server_list(7, false, &[]), full_list.clone()] {
        let full_list = full_list.clone();
        let discovery = stand_in(move |_, message, stream| {
            write_response(
                stream,
                "200 OK",
                if message.start_line.contains("hold_ms=3000") { &response } else { &full_list },
            );
        });
        let mut setup = LimiterSetup::new(&[&server], &counter);
        setup.discovery = Some(discovery.address);
        let _limiter = setup.start();
        // One call per 100 ms gives 20 calls in this time; a busy loop makes a hundred in a few milliseconds. A slow
        // machine only makes fewer calls in the time measured here.
        let (start, mut calls) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(2) {
            calls += usize::from(discovery.requests.recv_timeout(Duration::from_millis(100)).is_ok());
        }
        assert!((2..=40).contains(&calls), "{calls} calls in two seconds");
    }
}
