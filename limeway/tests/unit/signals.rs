//! Unit tests of signals that do not wake the runtime through the pipe.

use super::*;

/// Guards against a signal that is never handled because the write to the pipe in its handler failed.
#[tokio::test]
async fn a_signal_is_handled_even_if_nothing_arrives_through_the_pipe() {
    let (pipe, _writer) = UnixStream::pair().expect("a pipe");
    let (reload, shutdown) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let mut signals = Signals::from_parts(reload.clone(), shutdown.clone(), pipe);
    let limit = Duration::from_secs(20);
    let cases = [
        (&shutdown, SignalRequest::Shutdown),
        (&reload, SignalRequest::Reload),
        (&shutdown, SignalRequest::Shutdown),
    ];
    for (flag, request) in cases {
        let set_flag = async {
            tokio::task::yield_now().await;
            flag.store(true, Ordering::SeqCst);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            next = timeout(limit, signals.next()) => assert_eq!(next.ok(), Some(request)),
            () = set_flag => {}
        }
    }
}
