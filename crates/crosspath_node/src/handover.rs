//! What the fleet's owner keeps for the next one, and which VMs that one leaves alone.
//!
//! The platform wants some seconds between the orders of two owners for one VM. So each order is kept
//! with its time and its giver before it is given, and a new owner leaves VMs alone whose last order is
//! young. That is needless where the giver's life is known to be over: it cannot order any more, and
//! what it ordered is fenced off by the new owner's token. After a loss of power every daemon is back
//! within a second, and without this the new owner had no idle VM to give for 3 s: on two days that end
//! so, a third to a half of the jobs of these seconds were late.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{NewRecord, Stored};
use crosspath_border::vm::Order;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// By which the clocks of daemons may differ; they are stepped by 2 s at times.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(2_500);
const MAINTENANCE_KEY: &str = "upkeep/";
const ORDER_KEY: &str = "order/";

/// The last order for a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrder {
    /// When it was given, in ms since 1970.
    at_ms: u64,
    /// Member text of the owner that gave it.
    #[serde(rename = "giver")]
    issuer: Arc<str>,
    /// Whether it was for upkeep: that counts against its wave's maximum until it is surely over.
    #[serde(rename = "upkeep")]
    maintenance: bool,
}

/// What owners before have kept.
#[derive(Debug, Default)]
pub struct History {
    /// VMs that have had their upkeep, by wave.
    pub maintained: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// Last order of each VM; none where the record is not readable.
    last_orders: BTreeMap<Arc<str>, Option<LastOrder>>,
}

/// A VM that is to be left alone for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cooldown {
    /// Until when.
    pub until: Duration,
    /// Whose end lifts the rest; none where nothing does.
    pub issuer: Option<Member>,
}

impl History {
    /// Takes in a record of the fleet's shard; records of other kinds are passed over.
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

    /// VMs whose last order may be younger than `rest`, each until it surely is not.
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

/// Whether a member's life is over, by the word that `seen` lives now.
#[must_use]
pub fn has_ended(member: &Member, seen: &Member) -> bool {
    seen.name == member.name
        && seen.address == member.address
        && seen.incarnation != member.incarnation
}

/// Members that are earlier lives of the daemon that lives now as `own`.
#[must_use]
pub fn earlier_incarnations<'a>(members: &'a [Member], own: &Member) -> Vec<&'a Member> {
    members.iter().filter(|member| has_ended(member, own)).collect()
}

/// The record that an order is about to be given.
#[must_use]
pub fn order_record(vm: &str, order: &Order, issuer: &Arc<str>, at_ms: u64) -> NewRecord {
    let maintenance = matches!(order, Order::Maintain { .. });
    let last = LastOrder { at_ms, issuer: Arc::clone(issuer), maintenance };
    let value = serde_json::to_vec(&last).expect("records have a JSON form");
    NewRecord { key: format!("{ORDER_KEY}{vm}"), value: value.into() }
}

/// The record that a VM has had its upkeep.
#[must_use]
pub fn maintenance_record(vm: &str, wave: u64) -> NewRecord {
    NewRecord { key: format!("{MAINTENANCE_KEY}{wave}/{vm}"), value: "{}".into() }
}
