//! Runs one case: `harness CASE ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With TROUBLE=0 in the environment the disruption is left out.

mod memory;
mod pipelining;
mod second_answer;
mod support;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 {
        eprintln!("usage: harness CASE ROOT FOLDER");
        exit(2);
    }
    // No case takes longer than this.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        support::kill_started();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder) = (PathBuf::from(&args[2]), PathBuf::from(&args[3]));
    let result = support::Record::create(&folder.join("record.txt")).and_then(|record| match args[1].as_str() {
        "pipelining" => pipelining::run(&root, record, trouble),
        "memory" => memory::run(&root, record, trouble),
        "second_answer" => second_answer::run(&root, record, trouble),
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    });
    match result {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            exit(1);
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            exit(2);
        }
    }
}
