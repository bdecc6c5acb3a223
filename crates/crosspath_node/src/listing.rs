//! Reads the VM list concurrently with the planning rounds of the fleet's owner.
//!
//! The list consists of pages of some hundred VMs, which are read one after the other. A round that
//! waited for the last page of a large fleet would delay the response to deficits of pools, so a
//! round uses the previous list until the next is complete.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::vm::{Error, Fleet, Vm};
use tokio::task::JoinHandle;

/// Time between the starts of two requests while no orders have been sent.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// VMs read per second at most. The platform accepts 64 pages of some hundred VMs per second from
/// all daemons and refuses more, which would leave the planner without a current list.
const VMS_PER_S: u32 = 8_000;
/// Time for which a round waits for a list; a short list arrives within it.
const ROUND_WAIT: Duration = Duration::from_millis(30);

/// A VM list with the time of its request.
#[derive(Debug)]
pub struct List {
    /// Time at which the request was sent; the list may lack later changes.
    pub requested_at: Duration,
    /// All VMs of the platform.
    pub vms: Vec<Vm>,
}

/// A list request in progress; aborted when dropped.
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

/// Requests the VM list repeatedly, one request at a time.
#[derive(Debug)]
pub struct Listing {
    fleet: Arc<dyn Fleet>,
    pending: Option<Request>,
    /// Start of the last request.
    started_at: Duration,
    /// Whether orders have been sent since the last request, or there was no request.
    outdated: bool,
}

impl Listing {
    /// Creates a listing that has not sent a request.
    #[must_use]
    pub fn new(fleet: Arc<dyn Fleet>) -> Self {
        Self { fleet, pending: None, started_at: Duration::ZERO, outdated: true }
    }

    /// Marks the last list as outdated by orders, so that the next request is sent earlier.
    pub fn mark_outdated(&mut self) {
        self.outdated = true;
    }

    /// Returns a list that has arrived since the last call, if any. Sends the next request when it
    /// is due, given the number of `vms` in the last list.
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

    /// Time between the starts of two requests for a list of `vms` VMs.
    fn interval(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let by_size = Duration::from_secs(1) * vms / VMS_PER_S;
        if self.outdated { by_size } else { by_size.max(IDLE_INTERVAL) }
    }
}
