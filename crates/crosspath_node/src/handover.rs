//! Order history that an owner of the fleet stores for the next one, and the cooldown of VMs that
//! follows from it.
//!
//! The platform requires some seconds between the orders of two owners for one VM. Each order is
//! therefore stored with its time and issuer before it is sent, and a new owner sends no orders for
//! VMs whose last order is recent. The cooldown is unnecessary if the issuer's incarnation is known
//! to have ended: it can send no more orders, and those that it sent are fenced off by the new
//! owner's token. Without this exception a new owner has no idle VM to move for 3 s after a power
//! loss, from which every daemon is back within a second, and a third to a half of the jobs of
//! these seconds are late.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{NewRecord, Stored};
use crosspath_border::vm::Order;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// Largest difference between the clocks of daemons, which may be stepped by 2 s.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(2_500);
const MAINTENANCE_KEY: &str = "upkeep/";
const ORDER_KEY: &str = "order/";

/// Stored record of the last order for a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrder {
    /// Time of the order, in ms since 1970.
    at_ms: u64,
    /// Member text of the owner that sent the order.
    #[serde(rename = "giver")]
    issuer: Arc<str>,
    /// Whether the order was for maintenance, which counts against its wave's concurrency limit
    /// until it is certain to be over.
    #[serde(rename = "upkeep")]
    maintenance: bool,
}

/// History of orders by previous owners, replayed from the fleet's shard.
#[derive(Debug, Default)]
pub struct History {
    /// VMs that have been maintained, by wave.
    pub maintained: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// Last order of each VM; none where the record is unreadable.
    last_orders: BTreeMap<Arc<str>, Option<LastOrder>>,
}

/// Period in which a VM must not be ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cooldown {
    /// End of the period, as time since the process started.
    pub until: Duration,
    /// Previous owner whose end ends the cooldown early; none if nothing does.
    pub issuer: Option<Member>,
}

impl History {
    /// Applies a record of the fleet's shard; records of other kinds are ignored.
    pub fn apply(&mut self, record: &Stored) {
        if let Some(vm) = record.key.strip_prefix(ORDER_KEY) {
            let order = serde_json::from_slice(&record.value);
            let order = order.inspect_err(|error| {
                log::warn!("event=order_record_unreadable vm={vm} error=\"{error}\"");
            });
            self.last_orders.insert(vm.into(), order.ok());
            return;
        }
        let maintenance =
            record.key.strip_prefix(MAINTENANCE_KEY).and_then(|suffix| suffix.split_once('/'));
        let Some((wave, vm)) = maintenance else { return };
        if let Ok(wave) = wave.parse() {
            self.maintained.entry(wave).or_default().insert(vm.into());
        }
    }

    /// VMs whose last order may be more recent than `cooldown`, each with the time from which it is
    /// certain not to be.
    #[must_use]
    pub fn cooldowns(
        &self,
        now: Duration,
        wall_ms: u64,
        cooldown: Duration,
    ) -> BTreeMap<Arc<str>, Cooldown> {
        let max_age = cooldown + MAX_CLOCK_SKEW;
        let remaining = |order: &Option<LastOrder>| {
            let Some(order) = order else { return cooldown };
            let age = Duration::from_millis(wall_ms.saturating_sub(order.at_ms));
            cooldown.min(max_age.saturating_sub(age))
        };
        let cooldown_of = |(vm, order): (&Arc<str>, &Option<LastOrder>)| {
            let remaining = remaining(order);
            let move_order = order.as_ref().filter(|order| !order.maintenance);
            let issuer = move_order.and_then(|order| order.issuer.parse().ok());
            let cooldown = Cooldown { until: now + remaining, issuer };
            (!remaining.is_zero()).then(|| (Arc::clone(vm), cooldown))
        };
        self.last_orders.iter().filter_map(cooldown_of).collect()
    }
}

/// Whether the incarnation of `member` has ended, given that `seen` is running now.
#[must_use]
pub fn has_ended(member: &Member, seen: &Member) -> bool {
    seen.name == member.name
        && seen.address == member.address
        && seen.incarnation != member.incarnation
}

/// Members that are earlier incarnations of the daemon that now runs as `own`.
#[must_use]
pub fn earlier_incarnations<'a>(members: &'a [Member], own: &Member) -> Vec<&'a Member> {
    members.iter().filter(|member| has_ended(member, own)).collect()
}

/// Record of an order, to be appended before the order is sent.
#[must_use]
pub fn order_record(vm: &str, order: &Order, issuer: &Arc<str>, at_ms: u64) -> NewRecord {
    let maintenance = matches!(order, Order::Maintain { .. });
    let last = LastOrder { at_ms, issuer: Arc::clone(issuer), maintenance };
    let value = serde_json::to_vec(&last).expect("the record serializes to JSON");
    NewRecord { key: format!("{ORDER_KEY}{vm}"), value: value.into() }
}

/// Record that a VM has been maintained in a wave.
#[must_use]
pub fn maintenance_record(vm: &str, wave: u64) -> NewRecord {
    NewRecord { key: format!("{MAINTENANCE_KEY}{wave}/{vm}"), value: "{}".into() }
}
