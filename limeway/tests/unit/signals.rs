//! Tests of signals whose wake-up is lost.

use super::*;

/// Guards against a signal that is never heard of: the handler's write to the pipe may fail.
#[tokio::test]
async fn a_signal_is_heard_though_nothing_came_through_the_pipe() {
    let (wake, _writer) = UnixStream::pair().expect("a pipe");
    let (reload, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let mut signals = Signals::over(reload.clone(), end.clone(), wake);
    let bounded = Duration::from_secs(20);
    for (flag, request) in [(&end, Request::End), (&reload, Request::Reload), (&end, Request::End)] {
        let setting = async {
            tokio::task::yield_now().await;
            flag.store(true, Ordering::SeqCst);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            heard = timeout(bounded, signals.next()) => assert_eq!(heard.ok(), Some(request)),
            () = setting => {}
        }
    }
}
