//! Dividing the VMs among pools that want more than there are.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How much more an unmet wish of the most urgent work counts than one of any other.
const TOP_PRIORITY_WEIGHT: f64 = 2.0;

/// What a pool wants.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Request {
    /// VMs that it keeps whatever others want.
    pub(crate) minimum: u32,
    /// VMs that it wants.
    pub(crate) target: u32,
    /// Priority of its most urgent work; 0 goes first.
    pub(crate) priority: u32,
}

impl Request {
    /// How much the pool lacks with `given` VMs.
    fn weighted_deficit(&self, allocated: u32) -> f64 {
        let missing = f64::from(self.target.saturating_sub(allocated));
        let weight = if self.priority == 0 { TOP_PRIORITY_WEIGHT } else { 1.0 };
        weight * missing / f64::from(self.target.max(1))
    }
}

/// What each pool gets of `total` VMs: its base, then by turns to the one that lacks most.
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
        let neediest = short.max_by(|(a, one), (b, other)| {
            one.weighted_deficit(allocated[*a])
                .total_cmp(&other.weighted_deficit(allocated[*b]))
                .then_with(|| b.cmp(a))
        });
        let Some((pool, _)) = neediest else { break };
        *allocated.entry(Arc::clone(pool)).or_default() += 1;
        remaining -= 1;
    }
    allocated
}
