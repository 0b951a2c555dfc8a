//! Lease owners: where gateways may talk, one gateway of a customer leases for all of them, and the others
//! ask it.

use super::*;

/// Time for which an answer of a customer's lease owner is awaited, in microseconds: there and back, and a
/// call.
pub(super) const OWNER_WAIT: Micros = 150_000;
/// Time for which a lease owner that did not answer is not asked, in microseconds.
pub(super) const OWNER_ABSENT: Micros = 1_000_000;
/// Questions in a row without an answer after which a lease owner is absent: one message in ten may be lost.
const OWNER_MISSES: u32 = 2;

impl Gateway {
    /// A regional escrow in the sense of the source: where gateways talk, one gateway of a customer, its
    /// lease owner, leases for all of them and leases on. One that does not answer is passed over for a
    /// while.
    pub(super) fn ask(&mut self, key: u64, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let Some(peer) = customer.lease_owner else { return };
        let (plan, spread) = (customer.plan as u8, customer.spread as u16);
        let units = (customer.wanted() - customer.granted) as f32;
        customer.asking = Some(self.now + OWNER_WAIT);
        self.asks.insert((self.now + OWNER_WAIT, key));
        let message = Message::Ask { customer: key, plan, spread, units };
        out.push(Action::SendToPeer { peer, data: message.encode() });
    }

    /// Questions that are due without an answer.
    pub(super) fn check_lease_owners(&mut self) {
        while let Some(&(at, key)) = self.asks.first().filter(|a| a.0 <= self.now) {
            self.asks.remove(&(at, key));
            let Some(customer) = self.customers.get_mut(&key).filter(|c| c.asking == Some(at)) else {
                continue;
            };
            customer.asking = None;
            let Some(owner) = customer.lease_owner else { continue };
            let missed = self.absent.entry(owner).or_insert((0, 0));
            missed.0 += 1;
            if missed.0 >= OWNER_MISSES {
                missed.1 = self.now + OWNER_ABSENT;
            }
        }
    }

    /// Takes what another gateway says; what makes no sense is passed over.
    pub(super) fn on_peer(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        let Some(message) = Message::decode(data).filter(|_| self.set.permissions.peer_messages) else {
            return;
        };
        self.absent.remove(&from);
        let (Message::Ask { customer: key, .. }
        | Message::Grant { customer: key, .. }
        | Message::Deny { customer: key, .. }) = message;
        if let Message::Ask { plan, spread, units, .. } = message {
            if usize::from(plan) >= self.set.plans.len() {
                return;
            }
            let customer = self.know(key, usize::from(plan), u32::from(spread));
            let (units, since, peer) = (f64::from(units), customer.seen, Some(from));
            customer.waiting.push_back(Waiting { id: 0, peer, units, since });
            self.holding.insert(key);
        } else {
            let now = self.now;
            let Some(customer) = self.customers.get_mut(&key) else { return };
            let window = customer.window_at(now).0;
            customer.roll(window);
            customer.asking = None;
            match message {
                Message::Grant { units, .. } => customer.granted += f64::from(units),
                Message::Deny { wait, .. } => customer.denied_until = now + Micros::from(wait),
                Message::Ask { .. } => {}
            }
        }
        self.settle(key, out);
    }
}
