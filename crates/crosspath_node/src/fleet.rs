//! Ownership of the fleet: moves between pools, pool sizes and maintenance waves.
//!
//! The owner claims the fleet's shard as owners of pools claim theirs; the log position of the
//! claim is its fencing token towards the platform. The shard stores which VMs have been maintained
//! and when each VM was last ordered, since the platform requires some seconds between the orders
//! of two owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::{Wave, WaveState};
use crosspath_border::store::{NewRecord, Precondition, Topic};
use crosspath_border::vm::{Authority, Error, Fleet, Order, Verdict, Vm};
use crosspath_fleet::domains::{Domains, is_down};
use crosspath_fleet::{Outcome, Planner, Settings, View};
use crosspath_quota::Ledger;
use crosspath_schedule::domains::Down;
use futures::future::join_all;
use tokio::time::MissedTickBehavior;

use crate::backoff::{self, Backoff};
use crate::claim::{Claim, claim};
use crate::clock;
use crate::feed;
use crate::handover::{self, Cooldown, History};
use crate::listing::Listing;
use crate::map::PoolSlice;
use crate::member::Member;
use crate::node::{Node, only_partition, shard_partition};
use crate::pages::Pages;
use crate::progress::Publisher;
use crate::rpc::{self, Reply, Request};
use crate::shard_log;
use crate::stamps::Stamps;

/// Time between two rounds. The demand of a pool changes within a second, and its deficit is known
/// one round later.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a round waits for the store to take the progress of evacuations.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a new owner waits to learn whether a previous owner's incarnation still runs.
/// Peers answer within milliseconds.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a round waits for a pool's report where failure domains are lost: an owner that is
/// lost with its data centre must not delay the other owners' reports. Reports take some
/// milliseconds.
const REPORT_WAIT: Duration = Duration::from_millis(200);
/// Every so many rounds, an owner whose reports come late is given the full time of a call, so that
/// the pool of a slow owner is still planned for.
const FULL_WAIT_ROUNDS: u32 = 4;

/// Runs the planning rounds while this daemon owns the fleet's shard. Without access to the VM
/// platform it only runs the quota ledger.
pub(crate) async fn run(node: Arc<Node>) {
    let claimed = claim(&*node.store, shard_partition(node.fleet_shard()), &node.member).await;
    let _ledger_term = LedgerTerm::begin(&node, claimed.epoch);
    let Some(fleet) = node.fleet.clone() else {
        std::future::pending::<()>().await;
        return;
    };
    let history = load_history(&node).await;
    let cooldowns =
        history.cooldowns(clock::now(), clock::wall_ms(), node.settings.vm_order_exclusion);
    let costs = node.settings.costs;
    let domains = node.settings.failure_domains;
    let settings = Settings {
        vm_second: costs.vm_second,
        vm_move: costs.vm_move,
        orders_per_s: node.settings.vm_orders_per_s,
        spread: domains.tolerated_data_centres > 0,
        tolerated_data_centres: if domains.reserve { domains.tolerated_data_centres } else { 0 },
    };
    let mut owner = Owner {
        authority: Authority { holder: Arc::clone(&node.settings.name), token: claimed.token },
        slices: Vec::new(),
        settings,
        history,
        cooldowns,
        vms: Vec::new(),
        waves: Vec::new(),
        listed_at: Duration::ZERO,
        domains: Domains::default(),
        stamps: BTreeMap::new(),
        unreported_rounds: BTreeMap::new(),
        listing: Listing::new(Arc::clone(&fleet)),
        sequence: claimed.sequence,
        rounds: 0,
        published: BTreeMap::new(),
        progress: Publisher::default(),
        claimed,
        fleet,
        node,
    };
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while owner.round().await {
        rounds.tick().await;
    }
}

/// Runs the ledger of customers' maxima until dropped, when the ownership of the fleet ends.
#[derive(Debug)]
struct LedgerTerm {
    node: Arc<Node>,
    term: u64,
}

impl LedgerTerm {
    fn begin(node: &Arc<Node>, term: u64) -> Self {
        node.set_ledger(Ledger::new(term));
        Self { node: Arc::clone(node), term }
    }
}

impl Drop for LedgerTerm {
    fn drop(&mut self) {
        self.node.clear_ledger(self.term);
        self.node.metrics.fleet.clear();
    }
}

async fn load_history(node: &Node) -> History {
    let mut pages = Pages::default();
    let mut backoff = Backoff::new(backoff::OWNER_CALLS);
    loop {
        match feed::newest(node, shard_partition(node.fleet_shard()), &mut pages).await {
            Ok((records, _)) => {
                let mut history = History::default();
                records.iter().for_each(|record| history.apply(record));
                return history;
            }
            Err(error) => {
                log::info!("event=fleet_unread error=\"{error}\"");
                tokio::time::sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}

/// Returns the member if its incarnation is confirmed to have ended.
async fn confirm_ended(node: &Node, member: Member) -> Option<Member> {
    let own: Option<Member> = node.member.parse().ok();
    if own.is_some_and(|own| handover::has_ended(&member, &own)) {
        return Some(member);
    }
    let request = node.peers.call(member.address, &Request::Incarnation);
    let Ok(Ok(Reply::Incarnation { member: text })) =
        tokio::time::timeout(INCARNATION_TIMEOUT, request).await
    else {
        return None;
    };
    let seen: Member = text.parse().ok()?;
    handover::has_ended(&member, &seen).then_some(member)
}

/// One slice of the fleet, with a planner of its own.
#[derive(Debug)]
struct Slice {
    planner: Planner,
    view: View,
}

impl Slice {
    /// Number of VMs that are, or may be, in maintenance, by wave.
    fn count_in_maintenance(&self, now: Duration, waves: &[Arc<Wave>]) -> BTreeMap<u64, usize> {
        let count = |wave: &Arc<Wave>| self.planner.count_in_maintenance(now, wave, &self.view);
        waves.iter().map(|wave| (wave.number, count(wave))).collect()
    }
}

/// Number of VMs in maintenance in all slices but that at `index`, by wave.
fn in_maintenance_elsewhere(
    in_maintenance: &[BTreeMap<u64, usize>],
    index: usize,
) -> BTreeMap<u64, usize> {
    let mut total = BTreeMap::new();
    for (_, others) in in_maintenance.iter().enumerate().filter(|(other, _)| *other != index) {
        for (wave, count) in others {
            *total.entry(*wave).or_default() += count;
        }
    }
    total
}

/// Owner of the fleet's shard, for one term of ownership.
#[derive(Debug)]
struct Owner {
    node: Arc<Node>,
    fleet: Arc<dyn Fleet>,
    authority: Authority,
    claimed: Claim,
    sequence: u64,
    /// Number of planning rounds that this owner has begun.
    rounds: u64,
    settings: Settings,
    history: History,
    /// VMs that must not be ordered yet, after orders of previous owners.
    cooldowns: BTreeMap<Arc<str>, Cooldown>,
    slices: Vec<Slice>,
    /// VMs of all slices, from the last list.
    vms: Vec<Vm>,
    /// Waves that are not completed, each with the time at which it was first seen.
    waves: Vec<(Arc<Wave>, Duration)>,
    /// Time at which the list in `vms` was requested.
    listed_at: Duration,
    domains: Domains,
    /// Stamps in the reports of the pools' owners.
    stamps: BTreeMap<PoolSlice, Stamps>,
    /// Number of rounds in a row without a report, by pool slice.
    unreported_rounds: BTreeMap<PoolSlice, u32>,
    listing: Listing,
    /// Last published state of each wave.
    published: BTreeMap<u64, WaveState>,
    progress: Publisher,
}

impl Owner {
    /// Runs one round. Returns whether the fleet is still owned.
    async fn round(&mut self) -> bool {
        if !self.node.may_act(clock::now()) {
            return true;
        }
        self.clear_cooldowns().await;
        self.refresh().await;
        self.poll_pools().await;
        let now = clock::now();
        if self.vms.is_empty() || !self.node.may_act(now) {
            return true;
        }
        let (orders, completed) = self.plan(now).await;
        if !self.send_orders(orders).await {
            return false;
        }
        self.publish_wave_status(&completed).await;
        self.publish_evacuations().await;
        true
    }

    /// Ends the cooldown of VMs whose last order came from an incarnation that has ended.
    async fn clear_cooldowns(&mut self) {
        let now = clock::now();
        self.cooldowns.retain(|_, cooldown| now < cooldown.until);
        let issuers: BTreeSet<Member> =
            self.cooldowns.values().filter_map(|cooldown| cooldown.issuer.clone()).collect();
        let requests = issuers.into_iter().map(|issuer| confirm_ended(&self.node, issuer));
        let ended: BTreeSet<Member> = join_all(requests).await.into_iter().flatten().collect();
        if ended.is_empty() {
            return;
        }
        let cleared = |cooldown: &Cooldown| {
            cooldown.issuer.as_ref().is_some_and(|issuer| ended.contains(issuer))
        };
        let (cleared, cooldowns) = std::mem::take(&mut self.cooldowns)
            .into_iter()
            .partition(|(_, cooldown)| cleared(cooldown));
        self.cooldowns = cooldowns;
        log::info!("event=rests_lifted vms={} left={}", cleared.len(), self.cooldowns.len());
        for vm in cleared.keys() {
            for slice in &mut self.slices {
                slice.planner.clear_cooldown(vm);
            }
        }
    }

    /// Refreshes the VM list and the waves, and the view of each slice.
    async fn refresh(&mut self) {
        let (Some(table), map) = (self.node.table(), self.node.map()) else { return };
        let Some(count) = map.slices() else { return };
        if let Some(list) = self.listing.next(clock::now(), self.vms.len()).await {
            self.listed_at = list.requested_at;
            self.vms = list.vms;
            if self.settings.spread {
                self.domains.update(&self.vms);
                self.node.metrics.fleet.set(&self.vms);
            }
        }
        self.waves = self.open_waves();
        while self.slices.len() < count as usize {
            let cooldowns =
                self.cooldowns.iter().map(|(vm, cooldown)| (Arc::clone(vm), cooldown.until));
            let maintained = self.history.maintained.clone();
            let planner = Planner::new(self.settings, maintained, cooldowns.collect());
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
            slice.view.listed_at = self.listed_at;
            slice.view.waves.clone_from(&self.waves);
            slice.view.serving.clone_from(&serving);
            slice.view.spare.clone_from(&spare);
            slice.view.slice_count = count;
            slice.view.evacuated = Arc::clone(&evacuated);
        }
    }

    fn open_waves(&self) -> Vec<(Arc<Wave>, Duration)> {
        let waves = self.node.waves();
        let open = waves
            .values()
            .filter(|(wave, _)| self.published.get(&wave.number) != Some(&WaveState::Completed));
        open.cloned().collect()
    }

    /// Sends the owners of pools the VMs to vacate, and collects their reports.
    async fn poll_pools(&mut self) {
        let map = self.node.map();
        self.rounds += 1;
        let round = Some((self.claimed.epoch, self.rounds));
        let mut requests = Vec::new();
        for (number, slice) in (0..).zip(&self.slices) {
            let vacate = slice.planner.vms_to_vacate(&slice.view.vms);
            let mut down = self.vms_down(&slice.view);
            for pool in &slice.view.serving {
                let pool_slice = PoolSlice { pool: Arc::clone(pool), slice: number };
                let Some(shard) = map.shard(&pool_slice) else { continue };
                let vacate = vacate.get(pool).cloned().unwrap_or_default();
                let down = down.remove(pool).and_then(|vms| self.down(&pool_slice, vms));
                let node = Arc::clone(&self.node);
                let wait = self.report_wait(&pool_slice);
                requests.push(async move {
                    let request = Request::Pool { shard, vacate, down, round };
                    let call = rpc::call_holder(&node, shard, request);
                    // A later report could name a VM as vacant that this round selects.
                    let reply = tokio::time::timeout(wait, call).await;
                    if reply.is_err() {
                        node.holders_stale.notify_one();
                    }
                    (pool_slice, reply.ok().flatten())
                });
            }
        }
        for slice in &mut self.slices {
            slice.view.pools.clear();
        }
        for (pool_slice, reply) in join_all(requests).await {
            let Some(Reply::Pool(report)) = reply else {
                *self.unreported_rounds.entry(pool_slice).or_default() += 1;
                continue;
            };
            self.unreported_rounds.remove(&pool_slice);
            if let Some(stamp) = report.stamp {
                let stamps = self.stamps.entry(pool_slice.clone()).or_default();
                stamps.add(clock::now(), stamp);
            }
            let slice = &mut self.slices[pool_slice.slice as usize];
            slice.view.pools.insert(pool_slice.pool, report);
        }
    }

    /// Time for which this round waits for the report on a pool slice.
    fn report_wait(&self, pool_slice: &PoolSlice) -> Duration {
        let unreported = self.unreported_rounds.get(pool_slice).copied().unwrap_or(0);
        let waits_fully = unreported % FULL_WAIT_ROUNDS == FULL_WAIT_ROUNDS - 1;
        if !self.settings.spread || waits_fully { Duration::MAX } else { REPORT_WAIT }
    }

    /// VMs of a slice that the last list shows as down, by pool.
    fn vms_down(&self, view: &View) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let mut by_pool = BTreeMap::<_, BTreeSet<_>>::new();
        for vm in view.vms.iter().filter(|vm| self.settings.spread && is_down(vm)) {
            by_pool.entry(Arc::clone(&vm.pool)).or_default().insert(Arc::clone(&vm.name));
        }
        by_pool
    }

    /// What to tell the owner of a pool slice about its `vms` that are down; `None` if the age of
    /// the list cannot be told.
    fn down(&self, pool_slice: &PoolSlice, vms: BTreeSet<Arc<str>>) -> Option<Down> {
        let stamp = self.stamps.get(pool_slice)?.last_before(self.listed_at)?;
        Some(Down { stamp, vms, lost_data_centres: self.domains.lost().clone() })
    }

    /// Plans each slice. The concurrency limit of a wave is shared by all slices.
    async fn plan(&mut self, now: Duration) -> (Vec<(Arc<str>, Order)>, Vec<u64>) {
        let mut orders = Vec::new();
        let mut completed: Vec<u64> = self.waves.iter().map(|(wave, _)| wave.number).collect();
        let waves: Vec<_> = self.waves.iter().map(|(wave, _)| Arc::clone(wave)).collect();
        let mut in_maintenance: Vec<_> =
            self.slices.iter().map(|slice| slice.count_in_maintenance(now, &waves)).collect();
        for index in 0..self.slices.len() {
            let slice = &mut self.slices[index];
            slice.view.in_maintenance_elsewhere = in_maintenance_elsewhere(&in_maintenance, index);
            let plan = slice.planner.plan(now, &slice.view);
            in_maintenance[index] = slice.count_in_maintenance(now, &waves);
            orders.extend(plan.orders);
            completed.retain(|wave| plan.completed.contains(wave));
            // Lets membership, worker polls and answers to peers proceed between two slices.
            tokio::task::yield_now().await;
        }
        // Without planners no wave is known to be completed.
        if self.slices.is_empty() {
            completed.clear();
        }
        (orders, completed)
    }

    /// Sends orders. Returns false if the fleet has a later owner.
    async fn send_orders(&mut self, orders: Vec<(Arc<str>, Order)>) -> bool {
        if orders.is_empty() {
            return true;
        }
        if !self.record_orders(&orders).await {
            return false;
        }
        let calls = orders.into_iter().map(|(vm, order)| {
            let (fleet, authority) = (Arc::clone(&self.fleet), self.authority.clone());
            async move {
                let outcome = fleet.order(&vm, &order, &authority).await;
                (vm, order, outcome)
            }
        });
        let mut maintained = Vec::new();
        let mut fenced = false;
        for (vm, order, outcome) in join_all(calls).await {
            log::info!("event=vm_order vm={vm} order={order:?} outcome={outcome:?}");
            fenced |= outcome == Ok(Verdict::Fenced);
            self.listing.mark_outdated();
            if let Some(wave) = self.apply_outcome(&vm, &order, outcome) {
                maintained.push(handover::maintenance_record(&vm, wave));
            }
        }
        !fenced && (maintained.is_empty() || self.append(maintained).await)
    }

    /// Records which VMs are about to be ordered, for the next owner.
    async fn record_orders(&mut self, orders: &[(Arc<str>, Order)]) -> bool {
        let now = clock::wall_ms();
        let record = |(vm, order): &(Arc<str>, Order)| {
            handover::order_record(vm, order, &self.node.member, now)
        };
        self.append(orders.iter().map(record).collect()).await
    }

    fn apply_outcome(&mut self, vm: &Arc<str>, order: &Order, outcome: Outcome) -> Option<u64> {
        if outcome == Err(Error::NoAnswer) {
            log::info!("event=vm_order_unanswered vm={vm}");
        }
        let slice = self.node.map().slice_of_vm(vm) as usize;
        let planner = &mut self.slices.get_mut(slice)?.planner;
        planner.record_outcome(clock::now(), vm, order, outcome)
    }

    /// Appends records as the shard's owner. Returns whether the shard is still owned.
    async fn append(&mut self, records: Vec<NewRecord>) -> bool {
        let first_sequence = self.sequence + 1;
        self.sequence += self.node.store.limits().appends(&records).len() as u64;
        let partition = shard_partition(self.node.fleet_shard());
        let epoch = self.claimed.epoch;
        shard_log::append_owned(&self.node, partition, &records, epoch, first_sequence).await
    }

    async fn publish_wave_status(&mut self, completed: &[u64]) {
        let waves: Vec<u64> = self.waves.iter().map(|(wave, _)| wave.number).collect();
        for number in waves {
            let is_completed = completed.contains(&number);
            let state = if is_completed { WaveState::Completed } else { WaveState::Running };
            if self.published.get(&number) == Some(&state) {
                continue;
            }
            let record = self.node.store.encode_wave_status(number, state);
            let partition = only_partition(Topic::WaveStatus);
            match self.node.store.append(partition, &[record], Precondition::Unconditional).await {
                Ok(_) => {
                    log::info!("event=wave_status_published wave={number} state={state:?}");
                    self.published.insert(number, state);
                }
                Err(error) => log::info!("event=wave_status_error wave={number} error=\"{error}\""),
            }
        }
    }

    /// Publishes what remains in evacuated data centres, where that is due.
    async fn publish_evacuations(&mut self) {
        let now = clock::now();
        let evacuated = self.node.evacuated();
        let limit = self.node.settings.evacuation_limit;
        let mut progress = self.progress.begin(now, clock::wall_ms(), &evacuated, limit);
        if !progress.is_empty() {
            for slice in &self.slices {
                crosspath_fleet::evacuation::add_remaining(&slice.view, &mut progress);
            }
        }
        self.node.metrics.fleet.set_evacuation_tasks(&progress);
        progress.retain(|name, progress| self.progress.is_due(now, name, progress));
        if progress.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for (name, progress) in progress {
            log::info!(
                "event=evacuation_progress data_centre={name} in_force={} empty={} unknown_vms={} pools={:?}",
                progress.in_force,
                progress.is_empty(),
                progress.unknown_vms,
                progress.pools
            );
            match serde_json::to_vec(&progress) {
                Ok(value) => {
                    records.push(NewRecord { key: name.to_string(), value: value.into() });
                }
                Err(error) => log::warn!("event=evacuation_progress_error error=\"{error}\""),
            }
            self.progress.record(now, name, progress);
        }
        let partition = only_partition(Topic::Evacuations);
        // The orders of the next round must not wait for a store that is slow or away.
        let append = self.node.store.append(partition, &records, Precondition::Unconditional);
        let error = match tokio::time::timeout(PROGRESS_TIMEOUT, append).await {
            Ok(Ok(_)) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer".to_owned(),
        };
        let store = self.node.settings.log;
        log::info!("event=evacuation_progress_error store={store} error=\"{error}\"");
    }
}
