//! Unit tests of reservations from a memory pool.

use super::*;
use std::future::poll_fn;
use std::task::Poll;

/// Whether a future is pending when polled once.
async fn is_pending<F: std::future::Future + Unpin>(future: &mut F) -> bool {
    poll_fn(|context| Poll::Ready(std::pin::Pin::new(&mut *future).poll(context).is_pending())).await
}

#[tokio::test]
async fn reservations_never_exceed_the_pool_and_are_granted_in_order() {
    let pool = MemoryPool::new(100 * UNIT);
    let mut first = pool.reserve(70 * UNIT).await.expect("the pool is larger");
    assert!(pool.try_reserve(31 * UNIT).is_none());
    let mut large = Box::pin(pool.reserve(60 * UNIT));
    assert!(is_pending(&mut large).await);
    let mut small = Box::pin(pool.reserve(UNIT));
    assert!(is_pending(&mut small).await, "a small one does not overtake a large one");
    first.shrink_to(40 * UNIT - 1);
    assert_eq!(first.bytes(), 40 * UNIT);
    let large = large.await.expect("the pool is larger");
    assert!(is_pending(&mut small).await);
    drop((first, large));
    assert!(small.await.is_some());
    assert!(pool.try_reserve(100 * UNIT).is_some(), "everything is given back");
}

/// Guards against a wait that can never end.
#[tokio::test]
async fn more_than_the_pool_is_never_waited_for() {
    let pool = MemoryPool::new(10 * UNIT);
    assert!(pool.reserve(10 * UNIT + 1).await.is_none());
    assert!(pool.try_reserve(usize::MAX).is_none());
}

#[tokio::test]
async fn spare_memory_leaves_half_of_the_pool_for_others() {
    let pool = MemoryPool::new(100 * UNIT);
    let mut held = pool.try_reserve_spare(30 * UNIT).expect("there is enough");
    assert!(pool.try_reserve_spare(21 * UNIT).is_none());
    held.merge(pool.try_reserve_spare(20 * UNIT).expect("just enough"));
    assert_eq!(held.bytes(), 50 * UNIT);
    assert!(pool.try_reserve(50 * UNIT).is_some());
}
