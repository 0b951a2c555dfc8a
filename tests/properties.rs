//! Random sequences of valid events, from a fixed seed.

mod common;
use common::*;
use pondgw::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    /// A request of this class and plan arrives.
    Request(usize, usize),
    /// One of the attempts in progress, by index, ends with this status.
    EndAttempt(usize, Status),
    Advance(Micros),
    SetCounterMode(u8),
    SetLifecycle(ServerId, Lifecycle),
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        4 => Just(Status::Ok),
        1 => Just(Status::Error),
        1 => Just(Status::Declined),
        1 => Just(Status::Timeout),
        1 => Just(Status::ConnectFailed),
        1 => Just(Status::Reset),
        1 => Just(Status::Cancelled),
    ];
    let lifecycle = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Removed)];
    prop_oneof![
        4 => (0..4usize, 0..4usize).prop_map(|(class, plan)| Step::Request(class, plan)),
        4 => (0..8usize, status).prop_map(|(index, status)| Step::EndAttempt(index, status)),
        4 => (1..300u64).prop_map(|ms| Step::Advance(ms * MS)),
        1 => (0..3u8).prop_map(Step::SetCounterMode),
        1 => (0..5usize, lifecycle).prop_map(|(server, lifecycle)| Step::SetLifecycle(server, lifecycle)),
    ]
}

/// Runs the steps, and checks after each that no attempt was sent which the rules forbid, and at the end that each
/// request has exactly one final answer.
fn run_steps(steps: &[Step], parallel_attempts: bool) -> Host {
    let mut set = settings();
    set.permissions.parallel_attempts = parallel_attempts;
    let mut host = Host::new(set, 5);
    let mut ready: BTreeSet<ServerId> = (0..5).collect();
    let mut in_progress: Vec<(RequestId, u32, ServerId)> = Vec::new();
    let mut answered: BTreeSet<RequestId> = BTreeSet::new();
    let (mut seen, mut requested) = (0, Vec::new());
    for (n, step) in steps.iter().enumerate() {
        match step {
            Step::Request(class, plan) => {
                requested.push(n as u64);
                host.request(n as u64, *class, *plan, 3 * S);
            }
            Step::EndAttempt(index, status) if !in_progress.is_empty() => {
                let (id, attempt, server) = in_progress.remove(index % in_progress.len());
                if answered.contains(&id) {
                    host.deliver(Event::Outcome(Outcome {
                        id,
                        attempt,
                        server,
                        status: *status,
                        latency: 50 * MS,
                        request_done: true,
                        load: LoadReport::default(),
                    }));
                } else {
                    if *status == Status::Ok {
                        answered.insert(id);
                        // The server's answer goes to the client without an action of the gateway. It is recorded as a
                        // final answer here, so that any further answer is found.
                        host.final_answers.push((id, Action::Fail { id }));
                    }
                    host.end_attempt(id, attempt, server, *status);
                }
            }
            Step::EndAttempt(..) => {}
            Step::Advance(time) => host.advance(*time),
            Step::SetCounterMode(mode) => {
                host.counter_mode =
                    [CounterMode::Answers, CounterMode::TimesOut, CounterMode::Unreachable][*mode as usize];
            }
            Step::SetLifecycle(server, lifecycle) => {
                if *lifecycle == Lifecycle::Ready {
                    ready.insert(*server);
                } else {
                    ready.remove(server);
                }
                let entry = ServerEntry { lifecycle: *lifecycle, ..server_entry(*server) };
                host.deliver_list(ListKind::Delta, vec![entry]);
            }
        }
        for &SentAttempt { id, attempt, server, .. } in &host.sent_attempts[seen..] {
            assert!(ready.contains(&server), "sent to a draining or removed server");
            assert!(!answered.contains(&id), "sent after the final answer");
            if !parallel_attempts {
                assert!(
                    !in_progress.iter().any(|o| o.0 == id),
                    "two attempts of one request at the same time"
                );
            }
            in_progress.push((id, attempt, server));
        }
        seen = host.sent_attempts.len();
        answered.extend(host.final_answers.iter().map(|a| a.0));
    }
    host.advance(4 * S);
    let mut answers: BTreeMap<RequestId, usize> = BTreeMap::new();
    for (id, _) in &host.final_answers {
        *answers.entry(*id).or_insert(0) += 1;
    }
    for id in requested {
        assert_eq!(answers.get(&id), Some(&1), "request {id} has exactly one final answer");
        let attempts = host.attempt_counts.get(&id).copied().unwrap_or(0);
        assert!(attempts <= 3, "request {id} had {attempts} attempts, more than allowed");
    }
    host
}

/// The same events must give the same actions each time: decisions depend on the seed and the events alone.
#[test]
fn random_sequences_keep_the_rules_and_are_reproducible() {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let input = (proptest::collection::vec(step(), 1..250), any::<bool>());
    let result = runner.run(&input, |(steps, parallel_attempts)| {
        let (first, second) = (run_steps(&steps, parallel_attempts), run_steps(&steps, parallel_attempts));
        prop_assert_eq!(&first.actions, &second.actions);
        Ok(())
    });
    result.expect("the rules hold for every sequence");
}
