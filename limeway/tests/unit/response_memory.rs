//! Unit tests of the memory for responses.

use super::*;
use std::future::{poll_fn, Future};
use std::task::Poll;
use tokio::time::timeout;

/// Time-out of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);
const POOL_BYTES: usize = 256 * 1024;

fn allowance(memory: &Rc<ResponseMemory>) -> ResponseAllowance {
    ResponseAllowance::new(memory, POOL_BYTES)
}

/// Whether a future is pending when polled once.
async fn is_pending<F: Future + Unpin>(future: &mut F) -> bool {
    poll_fn(|context| Poll::Ready(std::pin::Pin::new(&mut *future).poll(context).is_pending())).await
}

#[tokio::test]
async fn a_small_response_needs_no_reservation() {
    let memory = ResponseMemory::new(0);
    let mut small = allowance(&memory);
    assert_eq!(small.grow_to(UNRESERVED_BYTES).await, Ok(()));
    assert!(small.finish(UNRESERVED_BYTES).is_none());
}

/// Guards against a good response that is given up for one that never ends: of two, the one that began first goes.
#[tokio::test]
async fn the_response_that_has_been_arriving_longest_is_given_up_first() {
    let memory = ResponseMemory::new(POOL_BYTES);
    let (mut oldest, mut newer) = (allowance(&memory), allowance(&memory));
    assert_eq!(oldest.grow_to(POOL_BYTES / 2).await, Ok(()));
    std::thread::sleep(MIN_EVICTION_AGE);
    assert_eq!(newer.grow_to(POOL_BYTES / 4).await, Ok(()));
    let give_up = async {
        oldest.evicted().await;
        drop(oldest);
    };
    let growth = async { tokio::join!(newer.grow_to(POOL_BYTES / 4 * 3), give_up) };
    assert_eq!(timeout(TIMEOUT, growth).await, Ok((Ok(()), ())));
    assert!(newer.bytes() >= POOL_BYTES / 4 * 3);
}

/// Guards against a wait of responses for each other: the one that has been arriving longest is given up, also if it is
/// the one that needs more.
#[tokio::test]
async fn the_oldest_response_is_given_up_for_itself_before_a_newer_one() {
    let memory = ResponseMemory::new(POOL_BYTES);
    let (mut oldest, mut newer) = (allowance(&memory), allowance(&memory));
    assert_eq!(oldest.grow_to(POOL_BYTES / 2).await, Ok(()));
    assert_eq!(newer.grow_to(POOL_BYTES / 2).await, Ok(()));
    std::thread::sleep(MIN_EVICTION_AGE);
    assert_eq!(timeout(TIMEOUT, oldest.grow_to(POOL_BYTES)).await, Ok(Err(ResponseEvicted)));
    drop(oldest);
    assert_eq!(newer.grow_to(POOL_BYTES - UNRESERVED_BYTES).await, Ok(()));
}

/// Guards against giving up a response that is complete, and against memory that is not returned.
#[tokio::test]
async fn a_complete_response_keeps_its_memory_until_it_is_dropped() {
    let memory = ResponseMemory::new(POOL_BYTES);
    let mut complete = allowance(&memory);
    assert_eq!(complete.grow_to(POOL_BYTES).await, Ok(()));
    let body_length = POOL_BYTES / 2;
    let held = complete.finish(body_length).expect("it needs memory");
    assert_eq!(held.bytes(), body_length - UNRESERVED_BYTES);
    std::thread::sleep(MIN_EVICTION_AGE);
    let mut next = allowance(&memory);
    {
        let mut growth = Box::pin(next.grow_to(POOL_BYTES));
        assert!(is_pending(&mut growth).await);
        drop(held);
        assert_eq!(growth.await, Ok(()));
    }
    drop(next);
    assert!(memory.pool.try_reserve(POOL_BYTES).is_some(), "everything is returned");
    assert!(memory.arriving.borrow().is_empty());
}
