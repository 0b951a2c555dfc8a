//! Tests of what only the inside of `attempts` shows.

use super::*;

#[test]
fn a_load_report_is_read_as_far_as_it_can_be() {
    let read = load(b"served_ps=7.2, busy_reqs=2,cpu_share=0.74,new=1");
    let whole = Load { inflight: Some(2.0), util: Some(0.74), qps: Some(7.2), latency_ms: None };
    assert_eq!(read, whole);
    for spoilt in [&b"busy_reqs"[..], b"busy_reqs=", b"busy_reqs=-1", b"busy_reqs=NaN", b"\xff=1", b",,=,=="]
    {
        assert_eq!(load(spoilt), Load::default());
    }
    assert_eq!(load(b"x,busy_reqs=3").inflight, Some(3.0));
}
