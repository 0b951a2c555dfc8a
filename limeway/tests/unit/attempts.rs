//! Tests of what only the inside of `attempts` shows.

use super::*;

#[test]
fn a_load_report_is_read_as_far_as_it_can_be() {
    let read = load(b"served_ps=7.2, busy_reqs=2,cpu_share=0.74,new=1");
    let whole = LoadReport { inflight: Some(2.0), util: Some(0.74), qps: Some(7.2), service_time_ms: None };
    assert_eq!(read, whole);
    for spoilt in [&b"busy_reqs"[..], b"busy_reqs=", b"busy_reqs=-1", b"busy_reqs=NaN", b"\xff=1", b",,=,=="]
    {
        assert_eq!(load(spoilt), LoadReport::default());
    }
    assert_eq!(load(b"x,busy_reqs=3").inflight, Some(3.0));
}

/// Guards against servers that are taken for faulty where this process or machine has run out of something: ENFILE,
/// EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EAGAIN. The others tell of the way to the server.
#[test]
fn only_errors_of_this_machine_are_its_own() {
    for code in [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL, libc::EAGAIN] {
        let error = std::io::Error::from_raw_os_error(code);
        assert!(is_own_limit(&error), "{error}");
    }
    for code in [libc::ECONNREFUSED, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT, libc::ECONNRESET]
    {
        let error = std::io::Error::from_raw_os_error(code);
        assert!(!is_own_limit(&error), "{error}");
    }
}
