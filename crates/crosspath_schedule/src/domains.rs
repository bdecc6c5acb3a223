//! Workers on VMs that the platform lists as down, and the loss of a whole data centre.
//!
//! A silent worker may be cut off and run on, so its tasks wait until its leases have expired. The
//! platform's list of VMs tells the two apart: a VM that is down, without a worker, runs nothing,
//! while one that is cut off stays up. The incarnation of a worker that was known before that state
//! was listed has then ended for good, and its tasks start elsewhere at once.
//!
//! The list may be [`MAX_LIST_LAG`] old, and a VM that was down may have come back since. So it counts
//! only against workers that this owner has known for longer, and never against one of which a reply
//! has arrived since the list was requested.
//!
//! When a data centre is lost, all of its VMs are down at once. None of the runs there is the cause,
//! so none of them counts as a loss of its task.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::as_ms;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Longest time by which the platform's list of VMs is taken to be behind. The platform promises
/// none, so it is several times what is usual.
const MAX_LIST_LAG: Duration = Duration::from_secs(3);

/// Reading of the clock of a shard's owner, which it puts into its reports. A list of VMs that was
/// requested after such a report arrived is not older than the reading, whatever the clocks of other
/// daemons show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Epoch of the owner's claim; the reading means nothing to another owner.
    pub epoch: u64,
    /// Time on the owner's clock, in ms since its process started.
    pub at_ms: u64,
}

/// VMs of a pool that the platform's list shows as down and without a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Down {
    /// Newest reading in a report that had arrived when the list was requested.
    pub stamp: Stamp,
    /// Names of the VMs.
    pub vms: BTreeSet<Arc<str>>,
    /// Data centres that are lost as a whole.
    pub lost_data_centres: BTreeSet<Arc<str>>,
}

impl Scheduler {
    /// Reading of this owner's clock, for its reports.
    pub(crate) fn stamp(&self, now: Duration) -> Stamp {
        Stamp { epoch: self.epoch, at_ms: as_ms(now) }
    }

    /// Ends the workers on VMs that are down.
    pub(crate) fn vms_down(&mut self, now: Duration, down: &Down) {
        if !self.settings.spread || down.stamp.epoch != self.epoch {
            return;
        }
        let requested_at = Duration::from_millis(down.stamp.at_ms);
        let has_ended = |worker: &&Worker| {
            down.vms.contains(&worker.entry.vm)
                && worker.known_since + MAX_LIST_LAG <= requested_at
                && worker.last_answer <= requested_at
        };
        let ended = self.workers.values().filter(has_ended);
        let ended: Vec<_> = ended.map(|worker| Arc::clone(&worker.entry.id)).collect();
        let mut lost: BTreeMap<Arc<str>, (usize, usize)> = BTreeMap::new();
        for id in ended {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let data_centre = &worker.entry.data_centre;
            if down.lost_data_centres.contains(data_centre) {
                worker.is_domain_lost = true;
                let (workers, runs) = lost.entry(Arc::clone(data_centre)).or_default();
                *workers += 1;
                *runs += worker.runs.len();
            }
            self.end_incarnation(now, &id, "down");
        }
        for (data_centre, (workers, runs)) in lost {
            log::info!("event=domain_lost data_centre={data_centre} workers={workers} runs={runs}");
        }
    }
}
