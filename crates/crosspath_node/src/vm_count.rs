//! How many VMs there are, before the number of slices is written.
//!
//! The number of slices is a record that stays, so it must not come of a call that failed: a list that
//! was refused says nothing. The platform's list counts once the list of workers does not tell of more
//! VMs than it; a call that fails is made again after a pause that grows.

use std::time::Duration;

use crosspath_border::vm::Error;
use snafu::Snafu;

/// After the first list that was refused. The platform takes some dozens of lists a second, and
/// every daemon's clients may be asking.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause: a daemon that starts serves nobody before the map is there.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// From the first count on, after which one source speaks alone. Callers come 10 s after the start
/// of the daemons at the earliest, and owners need some 2 s to take over.
const SINGLE_SOURCE_AFTER: Duration = Duration::from_secs(5);

/// What a number of VMs goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The list of VMs, and the list of workers tells of no more.
    Both,
    /// The list of VMs alone: the list of workers was not read, or tells of more.
    VmList,
    /// The list of workers alone: the list of VMs was not read.
    Workers,
}

/// VMs of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// How many there are; at least one.
    pub vms: usize,
    /// How that is known.
    pub source: Source,
}

/// The number of VMs is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the number of VMs is not known yet; counting again in {} ms", retry_after.as_millis()))]
pub struct Unknown {
    /// Pause before the next try.
    pub retry_after: Duration,
}

/// Counts VMs until two sources agree, or time is up.
#[derive(Debug)]
pub struct Counter {
    started_at: Duration,
    /// Whether there is a list of VMs; else the list of workers is the one source.
    has_vm_list: bool,
    /// What the last list held that was read whole.
    listed: Option<usize>,
    backoff: Duration,
}

impl Counter {
    /// A count that begins at `now`; `lists_vms` says whether the platform has a list of VMs.
    #[must_use]
    pub fn new(now: Duration, has_vm_list: bool) -> Self {
        Self { started_at: now, has_vm_list, listed: None, backoff: INITIAL_BACKOFF }
    }

    /// Takes in how a reading of the list of VMs ended: the number of VMs in it.
    pub fn record_listing(&mut self, answer: Result<usize, Error>) {
        match answer {
            Ok(vms) => self.listed = Some(vms),
            Err(error) => {
                log::info!("event=vms_uncounted error=\"{error}\"");
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// The number of VMs, where the list of workers tells of `workers` VMs, if it was read. `jitter`,
    /// from 0 to 1, spreads the tries of daemons that count at once.
    ///
    /// # Errors
    ///
    /// [`Unknown`] while sources are missing or disagree, until one speaks alone.
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
