//! Tests of what an error of accepting means.

use super::*;

/// Guards against one client's error that keeps the others waiting: what accept(2) names as an error of the connection
/// that was to be accepted (ECONNABORTED, EPROTO, EINTR, EPERM, ETIMEDOUT, and the pending errors of its network:
/// ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH).
#[test]
fn an_error_of_one_connection_does_not_hold_up_the_next() {
    for code in [103, 71, 4, 1, 110, 100, 92, 112, 64, 113, 95, 101] {
        let error = io::Error::from_raw_os_error(code);
        assert!(concerns_one_connection(&error), "{error}");
    }
}

/// Guards against a spin: EMFILE, ENFILE, ENOBUFS, ENOMEM, and what is not known.
#[test]
fn an_error_of_the_system_is_waited_out() {
    for code in [24, 23, 105, 12, 22] {
        let error = io::Error::from_raw_os_error(code);
        assert!(!concerns_one_connection(&error), "{error}");
    }
}
