//! The command line of the tool, and a small measurement of real limiters.

use scale::real::{measure, Measurement};
use scale::report::Run;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

fn run_tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scale")).args(arguments).output().expect("the tool runs")
}

#[test]
fn invalid_arguments_give_one_line_of_error_and_a_failure_status() {
    let invalid: [&[&str]; 10] = [
        &["big"],
        &["hollow", "--limiters", "many"],
        &["hollow", "--limiters", "0"],
        &["hollow", "--rate", "-1"],
        &["hollow", "--rate", "NaN"],
        &["hollow", "--fault", "flood"],
        &["hollow", "--limiters", "3700", "--servers", "49000"],
        &["real", "--program", "/nowhere/limeway", "--servers", "10"],
        &["soak", "--program", "/nowhere/limeway"],
        &["soak", "--seeds", "0"],
    ];
    for arguments in invalid {
        let output = run_tool(arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('[')).collect();
        assert!(!output.status.success(), "{arguments:?}");
        assert!(lines.len() == 1 && lines[0].starts_with("scale: "), "{arguments:?}: {text}");
    }
}

#[test]
fn figures_are_written_as_table_json_and_csv() {
    let hollow =
        ["hollow", "--limiters", "4", "--servers", "8", "--tenants", "40", "--seconds", "3", "--format"];
    for (format, part) in [("table", "served_share"), ("json", "\"served_share\""), ("csv", ",served_share,")]
    {
        let output = run_tool(&[&hollow[..], &[format]].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && text.contains(part), "{format}: {text}");
        assert!(format != "json" || serde_json::from_str::<serde_json::Value>(&text).is_ok(), "{text}");
    }
}

/// Needs the limiter's program in the directory of the tool, where `cargo test` of the workspace builds it.
#[test]
fn real_limiters_are_measured_against_the_stand_ins() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_scale")).with_file_name("limeway");
    assert!(program.exists(), "limeway is not built: test the whole workspace, or build limeway first");
    let (limiters, servers, customers, requests) = (3, 50, 20, 60);
    let (idle_time, pause) = (Duration::from_millis(200), Duration::from_millis(20));
    let measurement = Measurement {
        program,
        limiters,
        servers,
        customers,
        requests,
        pause,
        idle_time,
        memory_mb: 64,
        seed: 3,
    };
    let mut run = Run::new("", 0.0, "");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, measure(&measurement, &mut run)).expect("the measurement succeeds");
    let figures = &run.figures;
    assert_eq!(figures["served_share"], 1.0, "{figures:?}");
    assert_eq!(figures["change_missed"], 0.0, "{figures:?}");
    assert_eq!(figures["start_list_calls"], 3.0, "one call each: {figures:?}");
    assert!(figures["counter_calls_a_request"] <= 1.0, "{figures:?}");
}
