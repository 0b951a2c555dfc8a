//! Unit tests of `upstream::attempts`.

use super::*;

#[test]
fn invalid_parts_of_a_load_report_are_ignored() {
    let report = parse_load_report(b"served_ps=7.2, busy_reqs=2,cpu_share=0.74,new=1");
    let expected =
        LoadReport { inflight: Some(2.0), util: Some(0.74), qps: Some(7.2), service_time_ms: None };
    assert_eq!(report, expected);
    for invalid in [&b"busy_reqs"[..], b"busy_reqs=", b"busy_reqs=-1", b"busy_reqs=NaN", b"\xff=1", b",,=,=="]
    {
        assert_eq!(parse_load_report(invalid), LoadReport::default());
    }
    assert_eq!(parse_load_report(b"x,busy_reqs=3").inflight, Some(3.0));
}

/// Guards against ejecting servers when this process or machine has run out of a resource: ENFILE, EMFILE, ENOBUFS,
/// ENOMEM, EADDRNOTAVAIL, EAGAIN. Other errors concern the server or the network path to it.
#[test]
fn only_a_lack_of_local_resources_is_a_local_error() {
    for code in [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL, libc::EAGAIN] {
        let error = std::io::Error::from_raw_os_error(code);
        assert!(is_local_error(&error), "{error}");
    }
    for code in [libc::ECONNREFUSED, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT, libc::ECONNRESET]
    {
        let error = std::io::Error::from_raw_os_error(code);
        assert!(!is_local_error(&error), "{error}");
    }
}
