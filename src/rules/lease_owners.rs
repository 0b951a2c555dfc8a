//! Lease owners: where gateways may send each other messages, one gateway of a customer leases for all of its
//! gateways, and the others ask it for units.

use super::*;

/// Time for which a lease owner's answer is awaited, in microseconds: a round trip, and the owner's own call
/// to the counter.
pub(super) const OWNER_TIMEOUT: Micros = 150_000;
/// Time for which an unresponsive lease owner is not asked, in microseconds.
pub(super) const OWNER_RETRY_AFTER: Micros = 1_000_000;
/// Unanswered messages in a row after which a lease owner is unresponsive: one message in ten may be lost.
const MAX_UNANSWERED: u32 = 2;

impl Gateway {
    /// Asks the customer's lease owner for units. While the owner is unresponsive, this gateway leases
    /// itself.
    pub(super) fn ask_lease_owner(&mut self, key: u64, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let Some(peer) = customer.lease_owner else { return };
        let (plan, gateways) = (customer.plan as u8, customer.gateways as u16);
        let units = (customer.units_wanted() - customer.granted) as f32;
        let due = self.now + OWNER_TIMEOUT;
        customer.answer_due = Some(due);
        self.owner_answers_due.insert((due, key));
        let message = Message::Ask { customer: key, plan, gateways, units };
        out.push(Action::SendToPeer { peer, data: message.encode() });
    }

    /// Stops waiting for answers that are overdue. Lease owners that leave several messages in a row
    /// unanswered are not asked for a while.
    pub(super) fn check_lease_owners(&mut self) {
        while let Some(&(due, key)) = self.owner_answers_due.first().filter(|a| a.0 <= self.now) {
            self.owner_answers_due.remove(&(due, key));
            let waiting = self.customers.get_mut(&key).filter(|c| c.answer_due == Some(due));
            let Some(customer) = waiting else { continue };
            customer.answer_due = None;
            let Some(owner) = customer.lease_owner else { continue };
            let (unanswered, not_before) = self.unresponsive_owners.entry(owner).or_insert((0, 0));
            *unanswered += 1;
            if *unanswered >= MAX_UNANSWERED {
                *not_before = self.now + OWNER_RETRY_AFTER;
            }
        }
    }

    /// Handles a message from another gateway; invalid messages are ignored.
    pub(super) fn on_peer_message(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        if !self.settings.permissions.peer_messages {
            return;
        }
        let Some(message) = Message::decode(data) else { return };
        self.unresponsive_owners.remove(&from);
        let (Message::Ask { customer: key, .. }
        | Message::Grant { customer: key, .. }
        | Message::Deny { customer: key, .. }) = message;
        if let Message::Ask { plan, gateways, units, .. } = message {
            if usize::from(plan) >= self.settings.plans.len() {
                return;
            }
            let customer = self.customer_entry(key, usize::from(plan), u32::from(gateways));
            let (units, since, peer) = (f64::from(units), customer.seen_at, Some(from));
            customer.waiting.push_back(UnitRequest { id: 0, peer, units, since });
            self.waiting_customers.insert(key);
        } else {
            let now = self.now;
            let Some(customer) = self.customers.get_mut(&key) else { return };
            let window = customer.window_at(now).0;
            customer.advance_to(window);
            customer.answer_due = None;
            match message {
                Message::Grant { units, .. } => customer.granted += f64::from(units),
                Message::Deny { wait, .. } => customer.denied_until = now + Micros::from(wait),
                Message::Ask { .. } => {}
            }
        }
        self.admit_waiting(key, out);
    }
}
