//! Many instances of the decision module in one process, on a virtual clock, against a model of all else.
//!
//! What the model leaves out: sockets and the processor time of limiters, retries by clients, bytes on the wire, the
//! growth of queues in the network, idle connections that servers close, and discovery's calls beside one that is
//! late. A connection costs a round trip. Servers work off one request after the other. Of a tenant's limiters each
//! gets its own part of the requests all the time.

mod event_queue;
mod faults;
mod network;
mod world;

use crate::process;
use crate::report::Run;
use crate::settings::Deployment;
use clap::ValueEnum;
use event_queue::Pending;
use pondgw::Micros;
use std::time::Duration;
use world::{Second, World};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// When days begin, on the module's clock: a server's start lies before it.
const BEGIN: Micros = 100 * S;

/// What goes wrong in the middle third of the day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Nothing.
    None,
    /// Seven in ten limiters are killed at once and come back within 1.6 to 7.4 s.
    Restart,
    /// The servers of one zone vanish, and start anew.
    Zone,
    /// One of twenty servers vanishes, and starts anew.
    Rack,
    /// Regions do not reach each other, nor the counter, which stands in the first.
    Regions,
    /// Discovery answers nothing.
    Discovery,
    /// The counter answers nothing.
    Counter,
}

/// One day.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    /// What it is played with.
    pub deployment: Deployment,
    /// Tenants.
    pub tenants: u64,
    /// Requests a second, over all limiters.
    pub rate: f64,
    /// Changes of the list a second.
    pub changes: f64,
    /// Length in seconds.
    pub seconds: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Plays a day and adds what was counted.
pub fn play(day: Day, run: &mut Run) {
    let mut world = World::new(day);
    let before = process::memory(std::process::id()).map_or(0.0, |m| m.0);
    for n in 0..day.deployment.limiters as usize {
        world.start(n);
    }
    let state = process::memory(std::process::id()).map_or(0.0, |m| m.0) - before;
    let (start_spent, length) = (world.spent, day.seconds * S);
    (world.spent, world.handled) = (Duration::ZERO, 0);
    world.events.push(BEGIN, 0, Pending::Arrival);
    if day.changes > 0.0 {
        world.events.push(BEGIN + S, 0, Pending::Change);
    }
    if day.fault != Fault::None {
        world.events.push(BEGIN + length / 3, 0, Pending::Fault);
        world.events.push(BEGIN + length / 3 * 2, 0, Pending::Repair);
    }
    while let Some((at, life, pending)) = world.events.pop() {
        // What came in the last second has time for its answer.
        if at > BEGIN + length + S {
            break;
        }
        world.now = at;
        world.take(life, pending);
    }
    put_counts(&world, start_spent, state, run);
}

/// Adds what was counted.
fn put_counts(world: &World, start_spent: Duration, state: f64, run: &mut Run) {
    let day = world.day;
    let seconds = &world.seconds[..day.seconds as usize];
    let total = |of: fn(&Second) -> u64| seconds.iter().map(of).sum::<u64>() as f64;
    let worst = |of: fn(&Second) -> u64| seconds.iter().map(of).max().unwrap_or(0) as f64;
    let offered = total(|s| s.offered).max(1.0);
    run.put("served_share", total(|s| s.served) / offered);
    let least = seconds.iter().filter(|s| s.offered > 0).map(|s| s.served as f64 / s.offered as f64);
    run.put("served_share_worst_s", least.fold(f64::MAX, f64::min));
    run.put("refused_share", total(|s| s.refused) / offered);
    run.put("attempts_a_request", total(|s| s.attempts) / offered);
    run.put("counter_calls_a_request", total(|s| s.counter_calls) / offered);
    run.put("counter_calls_worst_s", worst(|s| s.counter_calls));
    run.put("connections_a_request", total(|s| s.connections) / offered);
    run.put("connections_worst_s", worst(|s| s.connections));
    run.put("list_calls_s", total(|s| s.list_calls) / day.seconds as f64);
    run.put("list_calls_worst_s", worst(|s| s.list_calls));
    run.put("events_a_request", world.handled as f64 / offered);
    run.put("module_us_a_request", world.spent.as_secs_f64() * 1e6 / offered);
    run.put("module_us_a_list", start_spent.as_secs_f64() * 1e6 / f64::from(day.deployment.limiters));
    run.put("state_kb_a_limiter", state * 1024.0 / f64::from(day.deployment.limiters));
}
