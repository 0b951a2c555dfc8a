//! How a scenario's fault begins and ends.

use super::engine::Simulation;
use super::event_queue::SimulationEvent;
use super::{Fault, MS};
use pondgw::*;
use rand::Rng;

/// Probability that the restart fault kills a limiter.
const KILL_PROBABILITY: f64 = 0.7;
/// Time for which a killed limiter is down.
const RESTART_TIME: std::ops::Range<Micros> = 1_600 * MS..7_400 * MS;
/// The rack fault takes one server in this many.
const SERVERS_PER_RACK_FAILURE: usize = 20;

impl Simulation {
    /// Servers that fail with the fault.
    fn affected_servers(&self) -> Vec<usize> {
        let is_affected = |n: &usize| match self.scenario.fault {
            Fault::Zone => self.scenario.deployment.zone_of_server(*n) == 0,
            Fault::Rack => n % SERVERS_PER_RACK_FAILURE == 0,
            _ => false,
        };
        (0..self.servers.len()).filter(is_affected).collect()
    }

    /// Begins the fault.
    pub(super) fn begin_fault(&mut self) {
        self.fault_active = true;
        for n in self.affected_servers() {
            self.servers[n].up = false;
        }
        for n in 0..self.limiters.len() {
            if self.scenario.fault == Fault::Restart && self.random.random_bool(KILL_PROBABILITY) {
                let limiter = &mut self.limiters[n];
                limiter.up = false;
                limiter.incarnation += 1;
                limiter.open_requests.clear();
                let down = self.random.random_range(RESTART_TIME);
                self.events.push(self.now + down, 0, SimulationEvent::LimiterRestart(n));
            } else if self.scenario.fault == Fault::Discovery {
                // The pending call of a limiter that asks for changes fails; pushed changes just stop.
                self.limiters[n].subscribed = false;
                if !self.scenario.deployment.watch_discovery {
                    continue;
                }
                self.deliver(n, Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
            }
        }
    }

    /// Ends the fault: servers restart, and discovery pushes what the limiters have missed.
    pub(super) fn end_fault(&mut self) {
        self.fault_active = false;
        let restarted = self.affected_servers();
        for n in &restarted {
            let server = &mut self.servers[*n];
            server.up = true;
            server.started_at = self.now;
            server.busy_until = self.now;
        }
        if !restarted.is_empty() {
            self.push_changes(&restarted);
        }
        if self.scenario.fault == Fault::Discovery && !self.scenario.deployment.watch_discovery {
            for n in 0..self.limiters.len() {
                self.push_list(n);
            }
        }
    }
}
