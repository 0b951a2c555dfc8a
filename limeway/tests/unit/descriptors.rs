//! Unit tests of the division of descriptors, at sizes across the range that a configuration can ask for.

use super::*;

const TOTALS: [usize; 10] = [64, 65, 80, 96, 128, 160, 512, 1_024, 4_096, 65_536];

/// Opens connections for one owner until it may open no more.
fn open_all(descriptors: &DescriptorBudget, owner: Owner) -> Vec<CountGuard> {
    std::iter::from_fn(|| descriptors.try_acquire(owner)).collect()
}

fn total_open(descriptors: &DescriptorBudget) -> usize {
    OWNERS.iter().map(|owner| descriptors.open(*owner)).sum()
}

/// Guards against a division that holds only at the usual sizes: in whatever order the owners open all connections that
/// they may, the process does not run out of descriptors, and each owner gets its share.
#[test]
fn every_owner_gets_its_share_whichever_opens_first_at_every_size() {
    for total in TOTALS {
        for first in 0..OWNERS.len() {
            let descriptors = DescriptorBudget::new(total);
            let mut held = Vec::new();
            for turn in 0..OWNERS.len() {
                let owner = OWNERS[(first + turn) % OWNERS.len()];
                let got = open_all(&descriptors, owner);
                let share = descriptors.allotments[owner as usize].share;
                assert!(got.len() >= share && share > 0, "{owner:?} of {total}: {} of {share}", got.len());
                held.push(got);
            }
            assert!(total_open(&descriptors) + RESERVED <= total, "more than {total} descriptors are open");
        }
    }
}

/// Guards against a division that leaves clients fewer connections than the requests that they may have open.
#[test]
fn clients_get_a_third_of_all_descriptors_whatever_the_others_hold() {
    for total in TOTALS {
        let descriptors = DescriptorBudget::new(total);
        let others: Vec<_> = OWNERS[1..].iter().flat_map(|owner| open_all(&descriptors, *owner)).collect();
        assert!(descriptors.limit(Owner::Clients) >= descriptors.max_client_requests(), "{total}");
        drop(others);
        assert_eq!(total_open(&descriptors), 0, "all are released");
    }
}

/// Guards against descriptors that one owner has released but another cannot use.
#[test]
fn descriptors_released_by_one_owner_can_be_used_by_another() {
    let descriptors = DescriptorBudget::new(MIN_SOCKETS);
    let mut clients = open_all(&descriptors, Owner::Clients);
    let servers = open_all(&descriptors, Owner::Servers);
    assert!(descriptors.try_acquire(Owner::Servers).is_none());
    clients.truncate(descriptors.max_client_requests());
    assert!(!open_all(&descriptors, Owner::Servers).is_empty());
    drop(servers);
}
