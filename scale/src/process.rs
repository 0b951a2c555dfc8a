//! What the system tells of a process.

use std::fs;
use std::time::Duration;

/// Processor time that a process has used; nothing once it is gone. The system counts it in nanoseconds.
pub fn cpu(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Memory of a process in megabytes: resident now, and at its peak.
pub fn memory(pid: u32) -> Option<(f64, f64)> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = |name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    };
    Some((value("VmRSS:")?, value("VmHWM:")?))
}

/// Descriptors that a process holds; nothing once it is gone.
pub fn descriptors(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
