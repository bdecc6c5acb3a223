//! Counts the VMs of the deployment before the number of slices is written.
//!
//! The number of slices is permanent, so it must not be derived from a failed call: a refused list
//! says nothing about the number of VMs. The platform's list is accepted once the list of workers
//! has no more VMs than it. A failed call is retried with exponential backoff.

use std::time::Duration;

use crosspath_border::vm::Error;
use snafu::Snafu;

/// Longest pause while no list call has failed; each failure doubles it. The platform accepts some
/// dozens of list calls per second, and the clients of every daemon may be calling.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the pause: a starting daemon serves no requests until the map exists.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time from the start of the count after which a single source is accepted. Callers send requests
/// 10 s after the start of the daemons at the earliest, and owners need about 2 s to take over.
const SINGLE_SOURCE_AFTER: Duration = Duration::from_secs(5);

/// Lists on which a count is based.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The VM list; the worker list has no more VMs.
    Both,
    /// The VM list alone: the worker list was not read, or has more VMs.
    VmList,
    /// The worker list alone: the VM list was not read.
    Workers,
}

/// Number of VMs of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Number of VMs, at least 1.
    pub vms: usize,
    /// Lists on which the number is based.
    pub source: Source,
}

/// The number of VMs is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the number of VMs is not known yet; retrying in {} ms", retry_after.as_millis()))]
pub struct Unknown {
    /// Pause before the next attempt.
    pub retry_after: Duration,
}

/// Counts VMs until two sources agree or a time limit has passed.
#[derive(Debug)]
pub struct Counter {
    started_at: Duration,
    /// Whether the platform has a VM list; otherwise the worker list is the only source.
    has_vm_list: bool,
    /// Number of VMs in the last complete VM list; none if none was read.
    listed: Option<usize>,
    backoff: Duration,
}

impl Counter {
    /// Starts a count at `now`; `has_vm_list` says whether the platform has a VM list.
    #[must_use]
    pub fn new(now: Duration, has_vm_list: bool) -> Self {
        Self { started_at: now, has_vm_list, listed: None, backoff: INITIAL_BACKOFF }
    }

    /// Records the result of a list call: the number of VMs listed, or an error.
    pub fn record_listing(&mut self, answer: Result<usize, Error>) {
        match answer {
            Ok(vms) => self.listed = Some(vms),
            Err(error) => {
                log::info!("event=vms_uncounted error=\"{error}\"");
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Returns the number of VMs, given the number in the list of `workers`, if that was read.
    /// `jitter`, from 0 to 1, spreads the attempts of daemons that count at the same time.
    ///
    /// # Errors
    ///
    /// [`Unknown`] while sources are missing or disagree, until a single one is accepted.
    pub fn count(
        &self,
        now: Duration,
        workers: Option<usize>,
        jitter: f64,
    ) -> Result<Count, Unknown> {
        let listed = self.listed.filter(|vms| *vms > 0);
        if let (Some(vms), Some(workers)) = (listed, workers)
            && vms >= workers
        {
            return Ok(Count { vms, source: Source::Both });
        }
        let single_source_suffices =
            !self.has_vm_list || now >= self.started_at + SINGLE_SOURCE_AFTER;
        let unknown = Unknown { retry_after: self.backoff.mul_f64(0.5 + 0.5 * jitter) };
        if !single_source_suffices {
            return Err(unknown);
        }
        let workers = workers.filter(|vms| *vms > 0);
        let count = match (listed, workers) {
            (Some(vms), workers) => {
                Count { vms: vms.max(workers.unwrap_or(0)), source: Source::VmList }
            }
            (None, Some(vms)) => Count { vms, source: Source::Workers },
            (None, None) => return Err(unknown),
        };
        Ok(count)
    }
}
