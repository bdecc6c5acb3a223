//! Reading the list of VMs beside the rounds of the fleet's owner.
//!
//! The list comes in pages of some hundred VMs, one after the other. A round that waited for the last page of a large
//! fleet would answer what pools lack as late as that, so a round goes on by the list before.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Error, Fleet, Vm};
use tokio::task::JoinHandle;

/// Between readings without a change under way.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// VMs read a second at most. The platform takes 64 pages of some hundred VMs a second from all daemons, and
/// refuses what is beyond that: the fleet would be planned blindly.
const VMS_PER_S: u32 = 8_000;
/// For which a round waits for a list: a short one is there by then.
const ROUND_WAIT: Duration = Duration::from_millis(30);

/// A list, and when it was asked for.
#[derive(Debug)]
pub struct List {
    /// When.
    pub requested_at: Duration,
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// A reading under way.
#[derive(Debug)]
struct Request {
    started_at: Duration,
    task: JoinHandle<Result<Vec<Vm>, Error>>,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Readings of the list, one after the other.
#[derive(Debug)]
pub struct Listing {
    fleet: Arc<dyn Fleet>,
    pending: Option<Request>,
    /// When the last reading began.
    started_at: Duration,
    /// Whether orders were given since.
    outdated: bool,
}

impl Listing {
    /// No list has been read yet.
    #[must_use]
    pub fn new(fleet: Arc<dyn Fleet>) -> Self {
        Self { fleet, pending: None, started_at: Duration::ZERO, outdated: true }
    }

    /// Orders were given: the next list is wanted soon.
    pub fn mark_outdated(&mut self) {
        self.outdated = true;
    }

    /// A list that has come since the last call; begins another reading when it is time, where the last list held
    /// so many `vms`.
    pub async fn next(&mut self, now: Duration, vms: usize) -> Option<List> {
        if self.pending.is_none() && now >= self.started_at + self.interval(vms) {
            let fleet = Arc::clone(&self.fleet);
            let task = tokio::spawn(async move { fleet.list().await });
            self.pending = Some(Request { started_at: now, task });
            self.started_at = now;
            self.outdated = false;
        }
        let request = self.pending.as_mut()?;
        let read = tokio::time::timeout(ROUND_WAIT, &mut request.task).await.ok()?;
        let requested_at = request.started_at;
        self.pending = None;
        match read {
            Ok(Ok(vms)) => return Some(List { requested_at, vms }),
            Ok(Err(error)) => log::info!("event=vms_unread error=\"{error}\""),
            Err(error) => log::error!("event=vms_unread error=\"{error}\""),
        }
        None
    }

    /// Between the beginnings of two readings of `vms` VMs.
    fn interval(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let by_size = Duration::from_secs(1) * vms / VMS_PER_S;
        if self.outdated { by_size } else { by_size.max(IDLE_INTERVAL) }
    }
}
