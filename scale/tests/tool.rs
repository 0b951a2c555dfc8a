//! The tool itself: its command line, and one small run of real limiters.

use scale::real::{measure, Plan};
use scale::report::Run;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scale")).args(arguments).output().expect("it runs")
}

#[test]
fn bad_arguments_get_one_clear_line_and_a_failure() {
    let bad: [&[&str]; 10] = [
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
    for arguments in bad {
        let output = tool(arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('[')).collect();
        assert!(!output.status.success(), "{arguments:?}");
        assert!(lines.len() == 1 && lines[0].starts_with("scale: "), "{arguments:?}: {text}");
    }
}

#[test]
fn figures_come_as_a_table_as_json_and_as_csv() {
    let day =
        ["hollow", "--limiters", "4", "--servers", "8", "--tenants", "40", "--seconds", "3", "--format"];
    for (format, part) in [("table", "served_share"), ("json", "\"served_share\""), ("csv", ",served_share,")]
    {
        let output = tool(&[&day[..], &[format]].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && text.contains(part), "{format}: {text}");
        assert!(format != "json" || serde_json::from_str::<serde_json::Value>(&text).is_ok(), "{text}");
    }
}

/// The limiter's program is built beside the tool by the workspace's test command.
#[test]
fn real_limiters_are_measured_against_the_stand_ins() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_scale")).with_file_name("limeway");
    assert!(program.exists(), "the whole workspace is built and tested at once");
    let (limiters, servers, tenants, requests) = (3, 50, 20, 60);
    let (rest, pause) = (Duration::from_millis(200), Duration::from_millis(20));
    let plan = Plan { program, limiters, servers, tenants, requests, pause, rest, memory_mb: 64, seed: 3 };
    let mut run = Run::new("", 0.0, "");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, measure(&plan, &mut run)).expect("it is measured");
    let figures = &run.figures;
    assert_eq!(figures["served_share"], 1.0, "{figures:?}");
    assert_eq!(figures["change_missed"], 0.0, "{figures:?}");
    assert_eq!(figures["start_list_calls"], 3.0, "one call each: {figures:?}");
    assert!(figures["counter_calls_a_request"] <= 1.0, "{figures:?}");
}
