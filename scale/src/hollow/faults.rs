//! Faults: how one begins, and how it ends.

use super::event_queue::Pending;
use super::world::{Server, World};
use super::{Fault, MS};
use pondgw::*;
use rand::Rng;

impl World {
    /// Servers that the fault takes.
    fn hit(&self) -> Vec<usize> {
        let hit = |n: &usize| match self.day.fault {
            Fault::Zone => self.day.deployment.zone_of(*n) == 0,
            Fault::Rack => n % 20 == 0,
            _ => false,
        };
        (0..self.servers.len()).filter(hit).collect()
    }

    /// The fault begins.
    pub(super) fn fail(&mut self) {
        self.failing = true;
        for n in self.hit() {
            self.servers[n].up = false;
        }
        for n in 0..self.limiters.len() {
            let lives = self.limiters[n].life;
            if self.day.fault == Fault::Restart && self.random.random_bool(0.7) {
                let limiter = &mut self.limiters[n];
                (limiter.up, limiter.life) = (false, lives + 1);
                limiter.open.clear();
                let away = self.random.random_range(1_600 * MS..7_400 * MS);
                self.events.push(self.now + away, 0, Pending::Return(n));
            } else if self.day.fault == Fault::Discovery {
                self.limiters[n].watching = false;
                if !self.day.deployment.ask {
                    continue;
                }
                self.give(n, Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
            }
        }
    }

    /// The fault ends.
    pub(super) fn repair(&mut self) {
        self.failing = false;
        let back = self.hit();
        for n in &back {
            let (up, started) = (true, self.now);
            self.servers[*n] = Server { up, started, free: self.now, ..self.servers[*n] };
        }
        if !back.is_empty() {
            self.tell_all(&back);
        }
        if self.day.fault == Fault::Discovery && !self.day.deployment.ask {
            for n in 0..self.limiters.len() {
                self.events.push(
                    self.now + MS,
                    self.limiters[n].life,
                    Pending::List { limiter: n, answered: true },
                );
            }
        }
    }
}
