//! Tests of the division of descriptors, at every size that a configuration can ask for.

use super::*;

const TOTALS: [usize; 10] = [64, 65, 80, 96, 128, 160, 512, 1_024, 4_096, 65_536];

/// Opens connections for one owner until there are no more.
fn open_all(descriptors: &DescriptorBudget, owner: Owner) -> Vec<CountGuard> {
    std::iter::from_fn(|| descriptors.try_acquire(owner)).collect()
}

fn open_in_all(descriptors: &DescriptorBudget) -> usize {
    OWNERS.iter().map(|owner| descriptors.open(*owner)).sum()
}

/// Guards against a division that only holds at the sizes that are usual: in whatever order owners take all that
/// they can get, the process does not run out, and each of them gets its share.
#[test]
fn whoever_comes_first_leaves_the_others_their_shares_at_every_size() {
    for total in TOTALS {
        for first in 0..OWNERS.len() {
            let descriptors = DescriptorBudget::divide(total);
            let mut held = Vec::new();
            for turn in 0..OWNERS.len() {
                let owner = OWNERS[(first + turn) % OWNERS.len()];
                let got = open_all(&descriptors, owner);
                let share = descriptors.allotments[owner as usize].share;
                assert!(got.len() >= share && share > 0, "{owner:?} of {total}: {} of {share}", got.len());
                held.push(got);
            }
            assert!(open_in_all(&descriptors) + NO_CONNECTIONS <= total, "{total} are not exceeded");
        }
    }
}

/// Guards against a division in which clients cannot have the requests open that they may.
#[test]
fn clients_can_have_a_third_of_all_descriptors_whatever_the_others_hold() {
    for total in TOTALS {
        let descriptors = DescriptorBudget::divide(total);
        let others: Vec<_> = OWNERS[1..].iter().flat_map(|owner| open_all(&descriptors, *owner)).collect();
        assert!(descriptors.limit(Owner::Clients) >= descriptors.requests(), "{total}");
        drop(others);
        assert_eq!(open_in_all(&descriptors), 0, "all are given back");
    }
}

/// Guards against connections that one owner has given back and another cannot use.
#[test]
fn what_one_owner_gives_back_another_can_take() {
    let descriptors = DescriptorBudget::divide(MIN_SOCKETS);
    let mut clients = open_all(&descriptors, Owner::Clients);
    let servers = open_all(&descriptors, Owner::Servers);
    assert!(descriptors.try_acquire(Owner::Servers).is_none());
    clients.truncate(descriptors.requests());
    assert!(!open_all(&descriptors, Owner::Servers).is_empty());
    drop(servers);
}
