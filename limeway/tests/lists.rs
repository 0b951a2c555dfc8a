//! Lists of many servers, against the real program: taken in as far as the memory limit bears them, else refused in
//! words while what was known serves on.

mod common;
use common::*;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// A list of so many servers, all at one address.
fn long_list(server: &StandIn, size: usize) -> String {
    let rows: Vec<String> =
        (0..size).map(|n| server_row(&format!("s-{n:08x}"), server.address, "SERVING")).collect();
    server_list(1, true, &rows)
}

/// Guards against a limiter that never starts before a large fleet, and against memory beyond its limit on the way.
#[test]
fn a_list_of_tens_of_thousands_of_servers_fits_the_memory_limit() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let (agent, updates) = discovery_stand_in(long_list(&one, 49_000));
    let mut setup = LimiterSetup::new(&[&one], &counter);
    (setup.memory_mb, setup.known, setup.discovery) = (64, KnownServers::Absent, Some(agent.address));
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 20_000)).status(), 200);
    // One server drains, and the whole list comes again.
    updates
        .send(server_list(2, false, &[server_row("s-00000000", one.address, "DRAINING")]))
        .expect("a watch");
    while !agent.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
    updates.send(long_list(&one, 49_000).replacen("\"seq\":1", "\"seq\":3", 1)).expect("a watch");
    while !agent.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=3&") {}
    assert_eq!(limiter.client().exchange(&request("look", "2", "team", 20_000)).status(), 200);
    assert!(limiter.peak_memory_mb() <= 64, "{} MB", limiter.peak_memory_mb());
}

/// Guards against a silent loop: whoever runs it reads what is wrong, discovery is not asked without end, and what was
/// known serves.
#[test]
fn a_list_too_long_for_the_memory_limit_is_reported_and_known_servers_stay_in_use() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let whole = long_list(&one, 12_000);
    let agent = stand_in(move |_, _, stream| write_response(stream, "200 OK", &whole));
    let mut setup = LimiterSetup::new(&[&one], &counter);
    (setup.memory_mb, setup.discovery) = (8, Some(agent.address));
    let mut limiter = setup.start();
    let stderr = limiter.child.stderr.take().expect("it is piped");
    let line = BufReader::new(stderr).lines().map_while(Result::ok).find(|l| l.contains("discovery"));
    let line = line.expect("it says what is wrong");
    assert!(line.contains("body too long") && line.contains("1048576 bytes"), "{line}");
    agent.requests.try_iter().count();
    let (start, mut calls) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(2) {
        calls += usize::from(agent.requests.recv_timeout(Duration::from_millis(100)).is_ok());
    }
    assert!((2..=40).contains(&calls), "{calls} calls in two seconds");
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

/// Guards against a bound below 1,024 on limiters, servers, zones or the addresses of other limiters.
#[test]
fn fleets_of_350_and_1024_limiters_servers_and_zones_work() {
    for size in [350, 1_024] {
        let (one, two, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
        let rows: Vec<String> = (0..size)
            .map(|n| {
                let at = if n == size - 1 { two.address } else { one.address };
                server_row(&format!("s-{n:08x}"), at, "SERVING")
                    .replace(r#""site":"a""#, &format!(r#""site":"z-{n}""#))
            })
            .collect();
        let mut setup = LimiterSetup::new(&[], &counter);
        (setup.known, setup.gateways) = (KnownServers::Rows(rows.clone()), size);
        setup.zones = (0..size).map(|n| format!("z-{n}")).collect();
        let whole = server_list(1, true, &rows);
        let (agent, updates) = discovery_stand_in(whole);
        setup.discovery = Some(agent.address);
        let limiter = setup.start();
        let last = format!("spread={size},first={}", size - 1);
        let asked = |id: &str| request("book", id, "team", 20_000).replace("spread=2,first=0", &last);
        assert_eq!(limiter.client().exchange(&asked("first")).status(), 200, "{size}");
        // All but the last server drain: the last one is known, too.
        let drained: Vec<String> =
            rows[..rows.len() - 1].iter().map(|row| row.replace("SERVING", "DRAINING")).collect();
        updates.send(server_list(2, false, &drained)).expect("a watch");
        while !agent.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
        assert_eq!(limiter.client().exchange(&asked("second")).status(), 200, "{size}");
        assert_eq!(two.requests.try_iter().filter(|r| r.1.header("req-id") == Some("second")).count(), 1);
    }
}
