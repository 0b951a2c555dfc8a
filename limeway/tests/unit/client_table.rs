//! Unit tests of the thresholds and of the choice of connections to evict.

use super::*;

/// A connection in the table, with what the listener and the connection's task hold for it.
struct Open {
    slot: Option<EvictionSlot>,
    _held: CountGuard,
}

fn open(table: &Rc<ClientTable>, phase: Option<Phase>) -> Open {
    Open { _held: table.accept(), slot: phase.map(|phase| EvictionSlot::register(table, phase)) }
}

/// Memory for requests in these tests.
const POOL_BYTES: usize = 1024 * 1024;

fn is_evicted(open: &Open) -> bool {
    open.slot.as_ref().is_some_and(EvictionSlot::is_evicted)
}

fn table(total: usize) -> Rc<ClientTable> {
    ClientTable::new(DescriptorBudget::new(total), Rc::new(MemoryPool::new(POOL_BYTES)))
}

fn evicted(all: &[Open]) -> usize {
    all.iter().filter(|open| is_evicted(open)).count()
}

/// Guards against thresholds that coincide: with no room between "closed after its first response" and "full", one
/// connection is evicted at a time while the others wait in the listen queue.
#[test]
fn there_is_room_between_the_thresholds_at_every_size() {
    for limit in (20..2_000).chain([20_000, 65_000]) {
        for requests in [limit / 3, limit / 2, limit] {
            let t = Thresholds::new(limit, requests);
            assert!(t.keep_alive < t.evict || t.reject - t.keep_alive < EVICT_DIVISOR, "{t:?}");
            assert!(t.evict < t.reject && t.reject < t.limit, "{t:?}");
            assert!(t.limit - t.keep_alive >= limit / 4, "{t:?}");
        }
    }
}

/// Guards against evicting one connection for each new one.
#[test]
fn connections_without_a_request_are_evicted_in_a_batch_before_the_room_is_needed() {
    let table = table(256);
    let thresholds = table.thresholds();
    let all: Vec<Open> = (0..=thresholds.evict).map(|_| open(&table, Some(Phase::New))).collect();
    table.make_room();
    assert_eq!(evicted(&all), 0, "all have just been accepted");
    std::thread::sleep(MIN_EVICTION_AGE);
    table.make_room();
    assert_eq!(evicted(&all), all.len() - thresholds.keep_alive);
    assert!(!table.rejects_new() && !table.is_full());
    table.make_room();
    assert_eq!(evicted(&all), all.len() - thresholds.keep_alive, "evicted connections no longer count");
    drop(all);
    assert_eq!((table.open(), table.evicted.get()), (0, 0));
}

/// Guards against evicting a connection with a request while there is one without.
#[test]
fn a_connection_with_a_request_is_never_evicted_and_one_with_a_partial_request_last() {
    let table = table(64);
    let busy: Vec<Open> = (0..table.thresholds().keep_alive).map(|_| open(&table, None)).collect();
    let phases = [Phase::PartialRequest, Phase::Reused, Phase::AnsweredOnce];
    let mut others: Vec<(Phase, Open)> = Vec::new();
    while !table.rejects_new() {
        let phase = phases[others.len() % phases.len()];
        others.push((phase, open(&table, Some(phase))));
    }
    std::thread::sleep(MIN_EVICTION_AGE);
    let mut order = Vec::new();
    let mut new = Vec::new();
    while !others.is_empty() {
        table.make_room();
        let (gone, left): (Vec<_>, Vec<_>) = others.into_iter().partition(|(_, open)| is_evicted(open));
        others = left;
        assert!(!gone.is_empty(), "the table is full, and {} more could be evicted", others.len());
        order.extend(gone.iter().map(|(phase, _)| *phase));
        // For each evicted connection, a new one arrives with a request.
        new.extend(gone.iter().map(|_| open(&table, None)));
    }
    let partial = order.iter().position(|phase| *phase == Phase::PartialRequest);
    let partial = partial.expect("some had a partial request");
    assert!(order[partial..].iter().all(|phase| *phase == Phase::PartialRequest), "{order:?}");
    table.make_room();
    assert_eq!(evicted(&busy), 0);
    assert!(table.rejects_new(), "no connection is left to evict");
}
