//! A short soak test with fixed seeds. Longer ones are run by hand: `scale soak --first N --seeds 50`.

use std::process::Command;

/// Needs the limiter's program in the directory of the tool, where `cargo test` of the workspace builds it.
#[test]
fn no_request_is_lost_or_repeated_while_limiters_restart_and_servers_and_clients_misbehave() {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_scale"));
    let output = soak.args(["soak", "--first", "1", "--seeds", "6"]).output().expect("the tool runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(output.status.success(), "{}{}", text(&output.stdout), text(&output.stderr));
    assert_eq!(text(&output.stdout).lines().count(), 6, "a line for each seed");
}
