//! Which data centres are lost, by the platform's list of VMs.
//!
//! Single VMs fail for reasons of their own, such as a task that crashes its worker. A data centre
//! counts as lost only once most of its VMs are down that were not before, and as back once few are.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crosspath_border::vm::{State, Vm};

/// Share of a data centre's VMs that are down when it is lost.
const LOST_SHARE: f64 = 0.67;
/// Share of a data centre's VMs that are down, at most, when it is back.
const RESTORED_SHARE: f64 = 0.33;
/// A data centre with fewer VMs than this is never lost as a whole: single failures look alike.
const MIN_VMS: u32 = 3;

/// Whether the list shows that no worker runs on the VM, and that none will soon.
#[must_use]
pub fn is_down(vm: &Vm) -> bool {
    vm.state == State::Down && vm.worker.is_none()
}

/// Follows which data centres are lost.
#[derive(Debug, Default)]
pub struct Domains {
    /// Data centres that have been up since this owner began.
    seen_up: BTreeSet<Arc<str>>,
    lost: BTreeSet<Arc<str>>,
}

impl Domains {
    /// Applies a new list of VMs, and logs changes.
    pub fn update(&mut self, vms: &[Vm]) {
        let mut counts: BTreeMap<&Arc<str>, (u32, u32)> = BTreeMap::new();
        for vm in vms {
            let (total, down) = counts.entry(&vm.data_centre).or_default();
            *total += 1;
            *down += u32::from(is_down(vm));
        }
        for (data_centre, (total, down)) in counts {
            let share = f64::from(down) / f64::from(total);
            if share <= RESTORED_SHARE {
                self.seen_up.insert(Arc::clone(data_centre));
                if self.lost.remove(data_centre) {
                    log::info!(
                        "event=domain_restored data_centre={data_centre} vms={total} down={down}"
                    );
                }
            } else if share >= LOST_SHARE
                && total >= MIN_VMS
                && self.seen_up.contains(data_centre)
                && self.lost.insert(Arc::clone(data_centre))
            {
                log::warn!("event=domain_down data_centre={data_centre} vms={total} down={down}");
            }
        }
    }

    /// Data centres that are lost.
    #[must_use]
    pub fn lost(&self) -> &BTreeSet<Arc<str>> {
        &self.lost
    }
}
