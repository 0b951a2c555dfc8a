//! Lists of many servers, against the real program: applied if the memory limit allows, else rejected with a log
//! message while the known servers stay in use.

mod common;
use common::*;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

/// A full list of `size` servers, all at one address.
fn long_list(server: &StandIn, size: usize) -> String {
    let rows: Vec<String> =
        (0..size).map(|n| server_row(&format!("s-{n:08x}"), server.address, "SERVING")).collect();
    server_list(1, true, &rows)
}

/// Guards against a limiter that never gets ready because its list is long, and against exceeding the memory limit
/// while such a list is applied.
#[test]
fn a_list_of_tens_of_thousands_of_servers_fits_the_memory_limit() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let (discovery, updates) = discovery_stand_in(long_list(&server, 49_000));
    let mut setup = LimiterSetup::new(&[&server], &counter);
    (setup.memory_mb, setup.known, setup.discovery) = (64, KnownServers::Absent, Some(discovery.address));
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 20_000)).status(), 200);
    // Discovery drains one server, then sends the full list again.
    updates
        .send(server_list(2, false, &[server_row("s-00000000", server.address, "DRAINING")]))
        .expect("discovery stand-in is running");
    // Waits for the watch that shows that version 2 is applied.
    while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
    updates
        .send(long_list(&server, 49_000).replacen("\"seq\":1", "\"seq\":3", 1))
        .expect("discovery stand-in is running");
    // Waits for the watch that shows that version 3 is applied.
    while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=3&") {}
    assert_eq!(limiter.client().exchange(&request("look", "2", "team", 20_000)).status(), 200);
    assert!(limiter.peak_memory_mb() <= 64, "{} MB", limiter.peak_memory_mb());
}

/// Guards against a silent retry loop: the cause must be logged, discovery must not be called in a busy loop, and the
/// known servers must stay in use.
#[test]
fn a_list_too_long_for_the_memory_limit_is_reported_and_known_servers_stay_in_use() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let full_list = long_list(&server, 12_000);
    let discovery = stand_in(move |_, _, stream| write_response(stream, "200 OK", &full_list));
    let mut setup = LimiterSetup::new(&[&server], &counter);
    (setup.memory_mb, setup.discovery) = (8, Some(discovery.address));
    let mut limiter = setup.start();
    let stderr = limiter.child.stderr.take().expect("standard error is piped");
    let line = BufReader::new(stderr).lines().map_while(Result::ok).find(|l| l.contains("discovery"));
    let line = line.expect("a log line about discovery");
    assert!(line.contains("body too long") && line.contains("1048576 bytes"), "{line}");
    // Discards the calls received so far.
    discovery.requests.try_iter().count();
    let (start, mut calls) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(2) {
        calls += usize::from(discovery.requests.recv_timeout(Duration::from_millis(100)).is_ok());
    }
    assert!((2..=40).contains(&calls), "{calls} calls in two seconds");
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

/// Guards against a limit below 1,024 on the number of limiters, servers, zones or peer addresses.
#[test]
fn fleets_of_350_and_1024_limiters_servers_and_zones_work() {
    for size in [350, 1_024] {
        let (server_0, server_1, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
        let rows: Vec<String> = (0..size)
            .map(|n| {
                let at = if n == size - 1 { server_1.address } else { server_0.address };
                server_row(&format!("s-{n:08x}"), at, "SERVING")
                    .replace(r#""site":"a""#, &format!(r#""site":"z-{n}""#))
            })
            .collect();
        let mut setup = LimiterSetup::new(&[], &counter);
        (setup.known, setup.gateways) = (KnownServers::Rows(rows.clone()), size);
        setup.zones = (0..size).map(|n| format!("z-{n}")).collect();
        let full_list = server_list(1, true, &rows);
        let (discovery, updates) = discovery_stand_in(full_list);
        setup.discovery = Some(discovery.address);
        let limiter = setup.start();
        let all_gateways = format!("spread={size},first={}", size - 1);
        let request_shared_by_all =
            |id: &str| request("book", id, "team", 20_000).replace("spread=2,first=0", &all_gateways);
        assert_eq!(limiter.client().exchange(&request_shared_by_all("first")).status(), 200, "{size}");
        // All but the last server drain: the next request shows that the last one is known, too.
        let drained: Vec<String> =
            rows[..rows.len() - 1].iter().map(|row| row.replace("SERVING", "DRAINING")).collect();
        updates.send(server_list(2, false, &drained)).expect("discovery stand-in is running");
        // Waits for the watch that shows that version 2 is applied.
        while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
        assert_eq!(limiter.client().exchange(&request_shared_by_all("second")).status(), 200, "{size}");
        assert_eq!(
            server_1.requests.try_iter().filter(|r| r.1.header("req-id") == Some("second")).count(),
            1
        );
    }
}
