//! Allocation of VMs to pools whose combined targets may exceed the number of VMs.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the deficit of a pool with top-priority work, relative to 1 for any other pool.
const TOP_PRIORITY_WEIGHT: f64 = 2.0;

/// Number of VMs that a pool asks for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Request {
    /// VMs that the pool keeps regardless of the targets of others.
    pub(crate) minimum: u32,
    /// VMs that the pool should have; caps `minimum`.
    pub(crate) target: u32,
    /// Priority of the pool's most urgent work; 0 is the highest.
    pub(crate) priority: u32,
}

impl Request {
    /// Unmet share of the target with `allocated` of `total` VMs, weighted by priority. A target
    /// beyond the total counts as the total: otherwise the share that a pool with far more work
    /// than there are VMs misses hardly falls with each VM, and it would get all of them.
    fn weighted_deficit(&self, allocated: u32, total: u32) -> f64 {
        let target = self.target.min(total).max(1);
        let missing = f64::from(target.saturating_sub(allocated));
        let weight = if self.priority == 0 { TOP_PRIORITY_WEIGHT } else { 1.0 };
        weight * missing / f64::from(target)
    }
}

/// Allocates `total` VMs: each pool gets its minimum, then the rest goes one by one to the pool
/// with the largest weighted deficit.
pub(crate) fn allocate(
    requests: &BTreeMap<Arc<str>, Request>,
    total: u32,
) -> BTreeMap<Arc<str>, u32> {
    let minimum = |request: &Request| request.minimum.min(request.target);
    let mut allocated: BTreeMap<_, _> =
        requests.iter().map(|(pool, request)| (Arc::clone(pool), minimum(request))).collect();
    let mut remaining = total.saturating_sub(allocated.values().sum());
    while remaining > 0 {
        let short = requests.iter().filter(|(pool, request)| allocated[*pool] < request.target);
        let largest_deficit = short.max_by(|(a, one), (b, other)| {
            one.weighted_deficit(allocated[*a], total)
                .total_cmp(&other.weighted_deficit(allocated[*b], total))
                .then_with(|| b.cmp(a))
        });
        let Some((pool, _)) = largest_deficit else { break };
        *allocated.entry(Arc::clone(pool)).or_default() += 1;
        remaining -= 1;
    }
    allocated
}
