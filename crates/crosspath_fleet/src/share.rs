//! Dividing the VMs among pools that want more than there are.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How much more an unmet wish of the most urgent work counts than one of any other.
const URGENT_WEIGHT: f64 = 2.0;

/// What a pool wants.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Wish {
    /// VMs that it keeps whatever others want.
    pub(crate) base: u32,
    /// VMs that it wants.
    pub(crate) wants: u32,
    /// Priority of its most urgent work; 0 goes first.
    pub(crate) priority: u32,
}

impl Wish {
    /// How much the pool lacks with `given` VMs.
    fn unmet(&self, given: u32) -> f64 {
        let lacks = f64::from(self.wants.saturating_sub(given));
        let weight = if self.priority == 0 { URGENT_WEIGHT } else { 1.0 };
        weight * lacks / f64::from(self.wants.max(1))
    }
}

/// What each pool gets of `total` VMs: its base, then by turns to the one that lacks most.
pub(crate) fn divide(wishes: &BTreeMap<Arc<str>, Wish>, total: u32) -> BTreeMap<Arc<str>, u32> {
    let base = |wish: &Wish| wish.base.min(wish.wants);
    let mut given: BTreeMap<_, _> =
        wishes.iter().map(|(pool, wish)| (Arc::clone(pool), base(wish))).collect();
    let mut left = total.saturating_sub(given.values().sum());
    while left > 0 {
        let lacks = wishes.iter().filter(|(pool, wish)| given[*pool] < wish.wants);
        let most = lacks.max_by(|(a, one), (b, other)| {
            one.unmet(given[*a]).total_cmp(&other.unmet(given[*b])).then_with(|| b.cmp(a))
        });
        let Some((pool, _)) = most else { break };
        *given.entry(Arc::clone(pool)).or_default() += 1;
        left -= 1;
    }
    given
}
