//! Work that remains in evacuated data centres, added up from the reports of pools' owners.

use std::collections::BTreeMap;
use std::sync::Arc;

use crosspath_border::evacuation::Progress;

use crate::index::Index;
use crate::planner::View;

/// Adds what one slice of the fleet has left in evacuated data centres to the progress of each.
/// `at_ms`, `read_to` and `in_force` are left as they are.
pub fn add_remaining(view: &View, progress: &mut BTreeMap<Arc<str>, Progress>) {
    let index = Index::new(view, &BTreeMap::new());
    for (pool, report) in &view.pools {
        for vm in &report.vms {
            let Some(listed) = index.listed(&vm.name) else { continue };
            let Some(progress) = progress.get_mut(&listed.data_centre) else { continue };
            let tasks = progress.pools.entry(Arc::clone(pool)).or_default();
            tasks.vms += 1;
            tasks.finite += vm.tasks.saturating_sub(vm.long_running);
            tasks.long_running += vm.long_running;
            tasks.finite_ms = tasks.finite_ms.max(vm.finite_ms);
            progress.unknown_vms += u32::from(!vm.confirmed);
        }
    }
    // VMs of pools whose owner did not answer, and workers that their owner does not know yet.
    for vm in &view.vms {
        let is_silent = !view.pools.contains_key(&vm.pool);
        let is_unreported = vm.worker.is_some() && index.reported(vm).is_none();
        let is_unknown = view.serving.contains(&vm.pool) && (is_silent || is_unreported);
        if let Some(progress) = progress.get_mut(&vm.data_centre).filter(|_| is_unknown) {
            progress.pools.entry(Arc::clone(&vm.pool)).or_default().vms += 1;
            progress.unknown_vms += 1;
        }
    }
}
