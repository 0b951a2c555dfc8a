//! Simulates many instances of the decision module in one process, on a virtual clock, against a model of everything
//! else.
//!
//! The model leaves out sockets, the processor time of limiters, retries by clients, the size of messages, queues in
//! the network, connections that servers close when idle, and a further call to discovery while an earlier one is
//! late. A new connection costs one round trip. A server works on one request at a time. Each limiter of a customer
//! gets a constant share of the customer's requests.

mod engine;
mod event_queue;
mod faults;
mod network;

use crate::deployment::Deployment;
use crate::process;
use crate::report::Run;
use clap::ValueEnum;
use engine::{SecondCounts, Simulation};
use event_queue::SimulationEvent;
use pondgw::Micros;
use std::time::Duration;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Start of the simulated time on the module's clock. The start of the servers, at 0, has to lie before it.
const START: Micros = 100 * SECOND;

/// A failure during the middle third of the simulated time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// No failure.
    None,
    /// Each limiter is killed with a probability of 0.7, all at once, and restarts after 1.6 to 7.4 s.
    Restart,
    /// The servers of one zone fail, and restart when the fault ends.
    Zone,
    /// One server in twenty fails, and restarts when the fault ends.
    Rack,
    /// Regions cannot reach each other; the counter is in the first region.
    Regions,
    /// Discovery does not answer.
    Discovery,
    /// The counter does not answer.
    Counter,
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Size and topology.
    pub deployment: Deployment,
    /// Number of customers.
    pub customers: u64,
    /// Requests per second, over all limiters.
    pub requests_per_second: f64,
    /// Changes of the list of servers per second.
    pub list_changes_per_second: f64,
    /// Simulated time in seconds.
    pub seconds: u64,
    /// What fails.
    pub fault: Fault,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Simulates a scenario and records its figures.
pub fn simulate(scenario: Scenario, run: &mut Run) {
    let mut simulation = Simulation::new(scenario);
    let memory_before = own_memory_mb();
    for limiter in 0..scenario.deployment.limiters as usize {
        simulation.start_limiter(limiter);
    }
    let state_mb = own_memory_mb() - memory_before;
    let (start_module_time, length) = (simulation.module_time, scenario.seconds * SECOND);
    (simulation.module_time, simulation.module_events) = (Duration::ZERO, 0);
    simulation.events.push(START, 0, SimulationEvent::RequestArrival);
    if scenario.list_changes_per_second > 0.0 {
        simulation.events.push(START + SECOND, 0, SimulationEvent::ListChange);
    }
    if scenario.fault != Fault::None {
        simulation.events.push(START + length / 3, 0, SimulationEvent::FaultBegins);
        simulation.events.push(START + length / 3 * 2, 0, SimulationEvent::FaultEnds);
    }
    while let Some((at, incarnation, event)) = simulation.events.pop() {
        // One more second, so that the last requests can be answered.
        if at > START + length + SECOND {
            break;
        }
        simulation.now = at;
        simulation.handle(incarnation, event);
    }
    record_figures(&simulation, start_module_time, state_mb, run);
}

/// Resident memory of this process.
fn own_memory_mb() -> f64 {
    process::memory_mb(std::process::id()).map_or(0.0, |m| m.0)
}

/// Records the figures of a finished simulation. `start_module_time` is the time that the module took to start all
/// limiters, and `state_mb` the memory that they took.
fn record_figures(simulation: &Simulation, start_module_time: Duration, state_mb: f64, run: &mut Run) {
    let scenario = simulation.scenario;
    let limiters = f64::from(scenario.deployment.limiters);
    let seconds = &simulation.seconds[..scenario.seconds as usize];
    let total = |of: fn(&SecondCounts) -> u64| seconds.iter().map(of).sum::<u64>() as f64;
    let worst = |of: fn(&SecondCounts) -> u64| seconds.iter().map(of).max().unwrap_or(0) as f64;
    let offered = total(|s| s.offered).max(1.0);
    run.set("served_share", total(|s| s.served) / offered);
    let served_shares = seconds.iter().filter(|s| s.offered > 0).map(|s| s.served as f64 / s.offered as f64);
    run.set("served_share_worst_s", served_shares.fold(f64::MAX, f64::min));
    run.set("refused_share", total(|s| s.refused) / offered);
    run.set("attempts_a_request", total(|s| s.attempts) / offered);
    run.set("counter_calls_a_request", total(|s| s.counter_calls) / offered);
    run.set("counter_calls_worst_s", worst(|s| s.counter_calls));
    run.set("connections_a_request", total(|s| s.connections) / offered);
    run.set("connections_worst_s", worst(|s| s.connections));
    run.set("list_calls_s", total(|s| s.list_calls) / scenario.seconds as f64);
    run.set("list_calls_worst_s", worst(|s| s.list_calls));
    run.set("events_a_request", simulation.module_events as f64 / offered);
    run.set("module_us_a_request", simulation.module_time.as_secs_f64() * 1e6 / offered);
    run.set("module_us_a_list", start_module_time.as_secs_f64() * 1e6 / limiters);
    run.set("state_kb_a_limiter", state_mb * 1024.0 / limiters);
}
