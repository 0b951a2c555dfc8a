//! Resource use of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Processor time that a process has used; `None` once it is gone. Read from `schedstat`, which counts nanoseconds.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Resident memory of a process in megabytes: the present value and the peak. `None` once the process is gone.
pub fn memory_mb(pid: u32) -> Option<(f64, f64)> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    };
    Some((value("VmRSS:")?, value("VmHWM:")?))
}

/// Number of file descriptors that a process has open; `None` once it is gone.
pub fn open_descriptors(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
