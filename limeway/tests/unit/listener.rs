//! Unit tests of the classification of accept errors.

use super::*;

/// Guards against an error of one client's connection that delays the others. These are the errors that accept(2)
/// attributes to the connection to be accepted: ECONNABORTED, EPROTO, EINTR, EPERM, ETIMEDOUT, and the pending errors
/// of its network (ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH).
#[test]
fn an_error_of_one_connection_does_not_delay_the_next() {
    for code in [103, 71, 4, 1, 110, 100, 92, 112, 64, 113, 95, 101] {
        let error = io::Error::from_raw_os_error(code);
        assert!(concerns_one_connection(&error), "{error}");
    }
}

/// Guards against a busy loop on EMFILE, ENFILE, ENOBUFS, ENOMEM and unknown errors.
#[test]
fn accepting_pauses_after_an_error_of_the_system() {
    for code in [24, 23, 105, 12, 22] {
        let error = io::Error::from_raw_os_error(code);
        assert!(!concerns_one_connection(&error), "{error}");
    }
}
