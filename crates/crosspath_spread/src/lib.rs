//! Spread policy: how tasks and VMs are distributed over failure domains.
//!
//! A failure domain is a data centre or a rack, whose loss takes everything in it at once. The
//! placement of tasks, the selection of VMs to move and the count of what remains after a loss all
//! use the one definition of spread in this crate. It reads no clock and does no I/O.
//!
//! Members go where the fewest others are, first by data centre, then by rack. While each domain
//! has room, the largest of `d` data centres then holds at most `ceil(n / d)` of `n` members.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of members, spread over `data_centres`, of which `needed` remain once `tolerated` data
/// centres are lost. Returns `needed` if no data centre would remain.
#[must_use]
pub fn with_reserve(needed: u32, data_centres: u32, tolerated: u32) -> u32 {
    let remaining = data_centres.saturating_sub(tolerated);
    if remaining == 0 {
        return needed;
    }
    let (rows, rest) = (needed / remaining, needed % remaining);
    // An incomplete row may be lost up to the number of lost data centres.
    let incomplete = if rest > 0 { tolerated + rest } else { 0 };
    rows.saturating_mul(data_centres).saturating_add(incomplete)
}

/// Failure domains that a VM or a daemon is in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Domain {
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Rack within the data centre; `None` if it is not known.
    pub rack: Option<Arc<str>>,
}

impl Domain {
    /// Domain of a VM by its data centre and its labels, which are its kind and its rack, in this
    /// order. A VM with fewer than two labels has no known rack.
    #[must_use]
    pub fn of(data_centre: &Arc<str>, labels: &[Arc<str>]) -> Self {
        let rack = labels.get(1..).and_then(<[_]>::last).cloned();
        Self { data_centre: Arc::clone(data_centre), rack }
    }
}

/// Number of members, such as tasks of a step or VMs of a pool, in each failure domain.
#[derive(Debug, Clone, Default)]
pub struct Occupancy {
    by_data_centre: BTreeMap<Arc<str>, u32>,
    by_rack: BTreeMap<Domain, u32>,
}

/// Rank of a domain as the place of one more member: the lowest is the best.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Members in the data centre.
    pub in_data_centre: u32,
    /// Members in the rack; 0 if the rack is not known.
    pub in_rack: u32,
}

impl Occupancy {
    /// Counts one more member.
    pub fn add(&mut self, domain: &Domain) {
        *self.by_data_centre.entry(Arc::clone(&domain.data_centre)).or_default() += 1;
        if domain.rack.is_some() {
            *self.by_rack.entry(domain.clone()).or_default() += 1;
        }
    }

    /// Counts one member less.
    pub fn remove(&mut self, domain: &Domain) {
        if let Some(members) = self.by_data_centre.get_mut(&domain.data_centre) {
            *members = members.saturating_sub(1);
        }
        if let Some(members) = self.by_rack.get_mut(domain) {
            *members = members.saturating_sub(1);
        }
    }

    /// Rank of a domain as the place of one more member.
    #[must_use]
    pub fn rank(&self, domain: &Domain) -> Rank {
        Rank {
            in_data_centre: self.by_data_centre.get(&domain.data_centre).copied().unwrap_or(0),
            in_rack: self.by_rack.get(domain).copied().unwrap_or(0),
        }
    }

    /// Whether the data centre has a member.
    #[must_use]
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(|members| *members > 0)
    }

    /// Whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.values().all(|members| *members == 0)
    }

    /// Members in the data centre with the most of them: what the loss of one data centre can take.
    #[must_use]
    pub fn largest_data_centre(&self) -> u32 {
        self.by_data_centre.values().copied().max().unwrap_or(0)
    }
}
