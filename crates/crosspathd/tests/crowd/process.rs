//! What a process holds, as the kernel reports it.

use std::time::Duration;

/// Highest resident memory of a process so far, in KiB; `None` if the process has ended.
fn peak_memory_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Number of open descriptors of a process.
fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Limits of a process, from its settings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: usize,
}

/// Time for which a process is observed after the ordinary request, so that it has read what the
/// crowd sent.
pub(crate) const OBSERVATION: Duration = Duration::from_secs(4);

/// Most that a process has held at the times when it was looked at.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    peak_kib: Option<u64>,
    descriptors: usize,
}

impl Usage {
    pub(crate) fn observe(&mut self, pid: u32) {
        self.peak_kib = peak_memory_kib(pid);
        self.descriptors = self.descriptors.max(descriptors(pid));
    }

    /// Asserts that the process lives and has stayed within its limits, and that it answered an
    /// ordinary request with `status` 200.
    pub(crate) fn check(self, bounds: Bounds, status: Option<u16>) {
        println!("{self:?} status={status:?}");
        let mut faults = Vec::new();
        match self.peak_kib {
            None => faults.push("the process has ended".to_owned()),
            Some(peak) if peak > bounds.memory_mb * 1024 => {
                faults.push(format!("{peak} KiB of {} KiB used", bounds.memory_mb * 1024));
            }
            Some(_) => {}
        }
        if self.descriptors > bounds.descriptors {
            faults.push(format!("{} of {} descriptors", self.descriptors, bounds.descriptors));
        }
        if status != Some(200) {
            faults.push(format!("an ordinary request is answered with {status:?}"));
        }
        assert!(faults.is_empty(), "{}", faults.join("; "));
    }
}
