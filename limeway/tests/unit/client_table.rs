//! Tests of the marks and of who goes to make room.

use super::*;

/// A connection in the table, as the listener and its task hold it.
struct Open {
    place: Option<Place>,
    _held: CountGuard,
}

fn open(table: &Rc<ClientTable>, phase: Option<Phase>) -> Open {
    Open { _held: table.accept(), place: phase.map(|phase| Place::take(table, phase)) }
}

fn table(total: usize) -> Rc<ClientTable> {
    ClientTable::new(DescriptorBudget::divide(total))
}

fn told_to_go(all: &[Open]) -> usize {
    all.iter().filter(|open| open.place.as_ref().is_some_and(Place::is_evicted)).count()
}

/// Guards against marks that coincide: with none between "ends with its answer" and "full", room is made for one
/// connection at a time, and the others wait in the system's queue.
#[test]
fn there_is_always_room_between_the_marks() {
    for limit in (20..2_000).chain([20_000, 65_000]) {
        for requests in [limit / 3, limit / 2, limit] {
            let marks = Marks::new(limit, requests);
            assert!(marks.kept < marks.evict || marks.admitted - marks.kept < EVICT_PART, "{marks:?}");
            assert!(marks.evict < marks.admitted && marks.admitted < marks.limit, "{marks:?}");
            assert!(marks.limit - marks.kept >= limit / 4, "{marks:?}");
        }
    }
}

/// Guards against room that is made one by one.
#[test]
fn connections_without_a_request_go_in_a_batch_and_ahead_of_need() {
    let table = table(256);
    let marks = table.marks();
    let all: Vec<Open> = (0..=marks.evict).map(|_| open(&table, Some(Phase::Silent))).collect();
    table.make_room();
    assert_eq!(told_to_go(&all), 0, "all have just come");
    std::thread::sleep(ROOM_AFTER);
    table.make_room();
    assert_eq!(told_to_go(&all), all.len() - marks.kept);
    assert!(!table.turns_away() && !table.is_full());
    table.make_room();
    assert_eq!(told_to_go(&all), all.len() - marks.kept, "those that are told to go count as gone");
    drop(all);
    assert_eq!((table.open(), table.leaving.get()), (0, 0));
}

/// Guards against a request that is given up for a connection that has none.
#[test]
fn a_connection_with_a_request_never_goes_and_one_with_a_part_goes_last() {
    let table = table(64);
    let busy: Vec<Open> = (0..table.marks().kept).map(|_| open(&table, None)).collect();
    let phases = [Phase::Partial, Phase::Reused, Phase::AskedOnce];
    let mut others: Vec<(Phase, Open)> = Vec::new();
    while !table.turns_away() {
        let phase = phases[others.len() % phases.len()];
        others.push((phase, open(&table, Some(phase))));
    }
    std::thread::sleep(ROOM_AFTER);
    let mut gone = Vec::new();
    let mut more = Vec::new();
    while !others.is_empty() {
        table.make_room();
        let (went, stay) =
            others.into_iter().partition(|(_, open)| open.place.as_ref().is_some_and(Place::is_evicted));
        others = stay;
        let went: Vec<(Phase, Open)> = went;
        assert!(!went.is_empty(), "all is full, and {} more could go", others.len());
        gone.extend(went.iter().map(|(phase, _)| *phase));
        // A request comes for each that has gone.
        more.extend(went.iter().map(|_| open(&table, None)));
    }
    let parts = gone.iter().position(|phase| *phase == Phase::Partial).expect("some had a part");
    assert!(gone[parts..].iter().all(|phase| *phase == Phase::Partial), "{gone:?}");
    table.make_room();
    assert_eq!(told_to_go(&busy), 0);
    assert!(table.turns_away(), "nobody is left to go");
}
