//! A short, seeded soak. The long one is started by hand: `scale soak --first N --seeds 50`.

use std::process::Command;

/// The limiter's program is built beside the tool by the workspace's test command.
#[test]
fn no_request_is_lost_or_repeated_while_limiters_end_and_servers_and_clients_misbehave() {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_scale"));
    let output = soak.args(["soak", "--first", "1", "--seeds", "6"]).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert!(output.status.success(), "{}{}", text(&output.stdout), text(&output.stderr));
    assert_eq!(text(&output.stdout).lines().count(), 6, "a line for each seed");
}
