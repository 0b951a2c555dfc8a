//! The cases of the second review: each plays real limiters against stand-ins and checks one rule.
//!
//! Usage: `review-standins-2 CASE FOLDER`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod client;
mod drains;
mod gone;
mod http;
mod lengths;
mod memory;
mod restart;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = world::Record::create(&PathBuf::from(folder).join("record.txt")).unwrap_or_else(|e| {
        eprintln!("cannot write the record: {e}");
        exit(2);
    });
    record.say(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    world::watch_time(Duration::from_secs(110));
    let held = match case.as_str() {
        "lengths" => lengths::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "drain-pieces" => drains::run(&record, drains::Trouble::Pieces, trouble),
        "drain-late" => drains::run(&record, drains::Trouble::SilentThenLate, trouble),
        "gone" => gone::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        other => Err(std::io::Error::other(format!("no case {other}"))),
    };
    let code = match held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            2
        }
    };
    record.say(["the rule held", "the rule was broken", "not run"][code as usize]);
    exit(code);
}
