//! Owning the fleet: waves, moves, pool sizes.
//!
//! The owner claims the fleet's shard as owners of pools claim theirs; the claim's place in the log
//! is its token towards the platform. Which VMs have had their upkeep is kept in the shard, and when
//! each VM was last ordered about: the platform wants some seconds between orders of two owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::{Wave, WaveState};
use crosspath_border::store::{NewRecord, Precondition, Topic};
use crosspath_border::vm::{Authority, Error, Fleet, Order, Verdict, Vm};
use crosspath_fleet::{Outcome, Planner, Settings, View};
use crosspath_quota::Ledger;
use futures::future::join_all;
use tokio::time::MissedTickBehavior;

use crate::backoff::{self, Backoff};
use crate::claim::{Claim, claim};
use crate::clock;
use crate::feed;
use crate::handover::{self, Kept, Rest};
use crate::listing::Listing;
use crate::map::Unit;
use crate::member::Member;
use crate::node::{Node, only_partition, shard_partition};
use crate::pages::Pages;
use crate::rpc::{self, Answer, Question};
use crate::shard_log;

/// Between rounds. A pool's turn comes within a second, and what it lacks is known a round later.
const ROUND: Duration = Duration::from_millis(100);
/// For which the new owner waits to hear whether an owner before lives on: peers answer within some ms.
const LIFE_PATIENCE: Duration = Duration::from_millis(100);

/// Runs while this daemon holds the fleet's shard.
pub(crate) async fn run(node: Arc<Node>) {
    let claimed = claim(&*node.store, shard_partition(node.fleet_shard()), &node.member).await;
    let _dealing = Dealing::begin(&node, claimed.epoch);
    let Some(fleet) = node.fleet.clone() else {
        std::future::pending::<()>().await;
        return;
    };
    let kept = kept(&node).await;
    let rests = kept.rests(clock::now(), clock::wall_ms(), node.settings.vm_order);
    let costs = node.settings.costs;
    let settings = Settings {
        vm_second: costs.vm_second,
        vm_move: costs.vm_move,
        orders_per_s: node.settings.vm_orders_per_s,
    };
    let mut owner = Owner {
        authority: Authority { holder: Arc::clone(&node.settings.name), token: claimed.token },
        slices: Vec::new(),
        settings,
        kept,
        rests,
        vms: Vec::new(),
        waves: Vec::new(),
        listed: Duration::ZERO,
        listing: Listing::new(Arc::clone(&fleet)),
        sequence: claimed.sequence,
        told: BTreeMap::new(),
        claimed,
        fleet,
        node,
    };
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while owner.round().await {
        rounds.tick().await;
    }
}

/// Ends the dealing of customers' maxima with the ownership of the fleet.
#[derive(Debug)]
struct Dealing {
    node: Arc<Node>,
    term: u64,
}

impl Dealing {
    fn begin(node: &Arc<Node>, term: u64) -> Self {
        node.begin_dealing(Ledger::new(term));
        Self { node: Arc::clone(node), term }
    }
}

impl Drop for Dealing {
    fn drop(&mut self) {
        self.node.end_dealing(self.term);
    }
}

async fn kept(node: &Node) -> Kept {
    let mut pages = Pages::default();
    let mut backoff = Backoff::new(backoff::OWNERS);
    loop {
        match feed::newest(node, shard_partition(node.fleet_shard()), &mut pages).await {
            Ok((records, _)) => {
                let mut kept = Kept::default();
                records.iter().for_each(|record| kept.take(record));
                return kept;
            }
            Err(error) => {
                log::info!("event=fleet_unread error=\"{error}\"");
                tokio::time::sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}

/// The member, if its life is surely over.
async fn is_over(node: &Node, member: Member) -> Option<Member> {
    let own: Option<Member> = node.member.parse().ok();
    if own.is_some_and(|own| handover::is_over(&member, &own)) {
        return Some(member);
    }
    let ask = node.peers.ask(member.address, &Question::Life);
    let Ok(Ok(Answer::Life { member: text })) = tokio::time::timeout(LIFE_PATIENCE, ask).await
    else {
        return None;
    };
    let seen: Member = text.parse().ok()?;
    handover::is_over(&member, &seen).then_some(member)
}

/// A slice of the fleet, with a planner of its own.
#[derive(Debug)]
struct Slice {
    planner: Planner,
    view: View,
}

impl Slice {
    /// VMs of each wave that are, or may be, in their upkeep.
    fn under_way(&self, now: Duration, waves: &[Arc<Wave>]) -> BTreeMap<u64, usize> {
        let count = |wave: &Arc<Wave>| self.planner.under_way(now, wave, &self.view);
        waves.iter().map(|wave| (wave.number, count(wave))).collect()
    }
}

/// VMs of each wave that are under way in other slices than the one `at` a place.
fn besides(under_way: &[BTreeMap<u64, usize>], at: usize) -> BTreeMap<u64, usize> {
    let mut total = BTreeMap::new();
    for (_, others) in under_way.iter().enumerate().filter(|(other, _)| *other != at) {
        for (wave, count) in others {
            *total.entry(*wave).or_default() += count;
        }
    }
    total
}

#[derive(Debug)]
struct Owner {
    node: Arc<Node>,
    fleet: Arc<dyn Fleet>,
    authority: Authority,
    claimed: Claim,
    sequence: u64,
    settings: Settings,
    kept: Kept,
    /// VMs that are left alone after orders of owners before.
    rests: BTreeMap<Arc<str>, Rest>,
    slices: Vec<Slice>,
    /// All VMs as listed.
    vms: Vec<Vm>,
    /// Waves that are not completed, and when they were first seen.
    waves: Vec<(Arc<Wave>, Duration)>,
    /// When the list was asked for that `vms` comes of.
    listed: Duration,
    listing: Listing,
    /// What was last written of each wave.
    told: BTreeMap<u64, WaveState>,
}

impl Owner {
    /// One round; whether the fleet is still owned.
    async fn round(&mut self) -> bool {
        if !self.node.may_act(clock::now()) {
            return true;
        }
        self.lift_rests().await;
        self.look().await;
        self.ask_pools().await;
        let now = clock::now();
        if self.vms.is_empty() || !self.node.may_act(now) {
            return true;
        }
        let (orders, completed) = self.plan(now).await;
        if !self.give(orders).await {
            return false;
        }
        self.tell_waves(&completed).await;
        true
    }

    /// Frees VMs whose last order came from an owner that has ended since.
    async fn lift_rests(&mut self) {
        let now = clock::now();
        self.rests.retain(|_, rest| now < rest.until);
        let givers: BTreeSet<Member> =
            self.rests.values().filter_map(|rest| rest.giver.clone()).collect();
        let asks = givers.into_iter().map(|giver| is_over(&self.node, giver));
        let over: BTreeSet<Member> = join_all(asks).await.into_iter().flatten().collect();
        if over.is_empty() {
            return;
        }
        let lifted = |rest: &Rest| rest.giver.as_ref().is_some_and(|giver| over.contains(giver));
        let (lifted, rests) =
            std::mem::take(&mut self.rests).into_iter().partition(|(_, rest)| lifted(rest));
        self.rests = rests;
        log::info!("event=rests_lifted vms={} left={}", lifted.len(), self.rests.len());
        for vm in lifted.keys() {
            for slice in &mut self.slices {
                slice.planner.lift_rest(vm);
            }
        }
    }

    /// Refreshes what is known of VMs and waves, and what of it each slice sees.
    async fn look(&mut self) {
        let (Some(table), map) = (self.node.table(), self.node.map()) else { return };
        let Some(count) = map.slices() else { return };
        if let Some(list) = self.listing.next(clock::now(), self.vms.len()).await {
            self.listed = list.asked;
            self.vms = list.vms;
        }
        self.waves = self.open_waves();
        while self.slices.len() < count as usize {
            let rests = self.rests.iter().map(|(vm, rest)| (Arc::clone(vm), rest.until));
            let maintained = self.kept.maintained.clone();
            let planner = Planner::new(self.settings, maintained, rests.collect());
            self.slices.push(Slice { planner, view: View::default() });
        }
        let pools = &table.config.pools;
        let serving = pools.iter().filter(|pool| !pool.spare);
        let serving: Vec<_> = serving.map(|pool| Arc::clone(&pool.name)).collect();
        let evacuated = self.node.evacuated().data_centres;
        let spare = pools.iter().find(|pool| pool.spare).map(|pool| Arc::clone(&pool.name));
        for (number, slice) in (0..).zip(&mut self.slices) {
            let own = self.vms.iter().filter(|vm| map.slice_of_vm(&vm.name) == number);
            slice.view.vms = own.cloned().collect();
            slice.view.listed = self.listed;
            slice.view.waves.clone_from(&self.waves);
            slice.view.serving.clone_from(&serving);
            slice.view.spare.clone_from(&spare);
            slice.view.slices = count;
            slice.view.evacuated = Arc::clone(&evacuated);
        }
    }

    fn open_waves(&self) -> Vec<(Arc<Wave>, Duration)> {
        let waves = self.node.waves();
        let open = waves
            .values()
            .filter(|(wave, _)| self.told.get(&wave.number) != Some(&WaveState::Completed));
        open.cloned().collect()
    }

    /// Has pools empty VMs, and hears how they are.
    async fn ask_pools(&mut self) {
        let map = self.node.map();
        let mut asks = Vec::new();
        for (number, slice) in (0..).zip(&self.slices) {
            let vacate = slice.planner.vacate(&slice.view.vms);
            for pool in &slice.view.serving {
                let unit = Unit { pool: Arc::clone(pool), slice: number };
                let Some(shard) = map.shard(&unit) else { continue };
                let vacate = vacate.get(pool).cloned().unwrap_or_default();
                let node = Arc::clone(&self.node);
                asks.push(async move {
                    let question = Question::Pool { shard, vacate };
                    let answer = rpc::ask_holder(&node, shard, question).await;
                    (unit, answer)
                });
            }
        }
        for slice in &mut self.slices {
            slice.view.pools.clear();
        }
        for (unit, answer) in join_all(asks).await {
            if let Some(Answer::Pool(report)) = answer {
                let slice = &mut self.slices[unit.slice as usize];
                slice.view.pools.insert(unit.pool, report);
            }
        }
    }

    /// Plans each slice, the budget of waves being common to all.
    async fn plan(&mut self, now: Duration) -> (Vec<(Arc<str>, Order)>, Vec<u64>) {
        let mut orders = Vec::new();
        let mut completed: Vec<u64> = self.waves.iter().map(|(wave, _)| wave.number).collect();
        let waves: Vec<_> = self.waves.iter().map(|(wave, _)| Arc::clone(wave)).collect();
        let mut under_way: Vec<_> =
            self.slices.iter().map(|slice| slice.under_way(now, &waves)).collect();
        for at in 0..self.slices.len() {
            let slice = &mut self.slices[at];
            slice.view.elsewhere = besides(&under_way, at);
            let plan = slice.planner.plan(now, &slice.view);
            under_way[at] = slice.under_way(now, &waves);
            orders.extend(plan.orders);
            completed.retain(|wave| plan.completed.contains(wave));
            // Joins, looks and answers to peers go between two slices.
            tokio::task::yield_now().await;
        }
        // Without a planner for every VM nothing is known to be completed.
        if self.slices.is_empty() {
            completed.clear();
        }
        (orders, completed)
    }

    /// Gives orders; whether none told of a later owner.
    async fn give(&mut self, orders: Vec<(Arc<str>, Order)>) -> bool {
        if orders.is_empty() {
            return true;
        }
        if !self.announce(&orders).await {
            return false;
        }
        let calls = orders.into_iter().map(|(vm, order)| {
            let (fleet, authority) = (Arc::clone(&self.fleet), self.authority.clone());
            async move {
                let outcome = fleet.order(&vm, &order, &authority).await;
                (vm, order, outcome)
            }
        });
        let mut noted = Vec::new();
        let mut fenced = false;
        for (vm, order, outcome) in join_all(calls).await {
            log::info!("event=vm_order vm={vm} order={order:?} outcome={outcome:?}");
            fenced |= outcome == Ok(Verdict::Fenced);
            self.listing.outdate();
            if let Some(wave) = self.take(&vm, &order, outcome) {
                noted.push(handover::upkeep_record(&vm, wave));
            }
        }
        !fenced && (noted.is_empty() || self.keep(noted).await)
    }

    /// Keeps which VMs are ordered about now, for the next owner.
    async fn announce(&mut self, orders: &[(Arc<str>, Order)]) -> bool {
        let now = clock::wall_ms();
        let record = |(vm, order): &(Arc<str>, Order)| {
            handover::order_record(vm, order, &self.node.member, now)
        };
        self.keep(orders.iter().map(record).collect()).await
    }

    fn take(&mut self, vm: &Arc<str>, order: &Order, outcome: Outcome) -> Option<u64> {
        if outcome == Err(Error::NoAnswer) {
            log::info!("event=vm_order_unanswered vm={vm}");
        }
        let slice = self.node.map().slice_of_vm(vm) as usize;
        let planner = &mut self.slices.get_mut(slice)?.planner;
        planner.ordered(clock::now(), vm, order, outcome)
    }

    /// Keeps records as owner; whether the shard is still owned.
    async fn keep(&mut self, records: Vec<NewRecord>) -> bool {
        self.sequence += 1;
        let guard = Precondition::Owner { epoch: self.claimed.epoch, sequence: self.sequence };
        let partition = shard_partition(self.node.fleet_shard());
        shard_log::append_owned(&self.node, partition, &records, guard).await
    }

    async fn tell_waves(&mut self, completed: &[u64]) {
        let waves: Vec<u64> = self.waves.iter().map(|(wave, _)| wave.number).collect();
        for number in waves {
            let over = completed.contains(&number);
            let state = if over { WaveState::Completed } else { WaveState::Running };
            if self.told.get(&number) == Some(&state) {
                continue;
            }
            let record = self.node.store.encode_wave_status(number, state);
            let partition = only_partition(Topic::WaveStatus);
            match self.node.store.append(partition, &[record], Precondition::Unconditional).await {
                Ok(_) => {
                    log::info!("event=wave_told wave={number} state={state:?}");
                    self.told.insert(number, state);
                }
                Err(error) => log::info!("event=wave_untold wave={number} error=\"{error}\""),
            }
        }
    }
}
