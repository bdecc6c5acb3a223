//! Keeps this daemon a member of the group of owners, and owns the shards that the group assigns to
//! it.
//!
//! A daemon that is no candidate for ownership only follows which daemon holds which shard.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Join, Membership};
use futures::future::join_all;

use crate::backoff::{self, Backoff};
use crate::candidacy::Candidacy;
use crate::clock;
use crate::handover;
use crate::isolation::{Isolation, Observation, Step};
use crate::member::Member;
use crate::node::Node;
use crate::outage::Survey;
use crate::rpc::{Reply, Request};
use crate::shard::Handle;

/// Time without a join after which the group assigns this daemon's shards to others. Short, since
/// nothing new starts in these shards meanwhile; long enough that some joins may be lost.
pub(crate) const TTL: Duration = Duration::from_millis(1_200);
/// Interval between joins. Several fit into [`TTL`]. The group reassigns a shard in two steps, and
/// members see each of them at a join, so the interval also bounds how long a shard has no owner
/// when members change.
const JOIN_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of calls to the store; a join without an answer is then sent again.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a join during an outage of the store. Short, since the other daemons must be asked
/// again soon.
const OUTAGE_JOIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time by which this daemon considers its membership expired earlier than the group does.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Time for which this daemon goes on acting as owner after the others confirmed an outage. A store
/// that returns from an outage assigns no shard to another daemon before a member's TTL has passed.
const OUTAGE_LEASE: Duration = Duration::from_millis(900);
/// Interval between reads of the holders of shards, besides the reads after each change of the
/// group.
const HOLDERS_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between reads of the holders of shards by a daemon that is isolated from the others.
const AWAY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the holders of shards by a daemon that is no candidate. Long, since
/// there are many such daemons. A former holder says that it is not the owner, or does not answer,
/// and either triggers a read.
const STANDBY_INTERVAL: Duration = Duration::from_millis(3_000);

/// Stays in the group while this daemon is a candidate for ownership. Follows the holders of shards
/// in either case.
pub(crate) async fn run(node: Arc<Node>) {
    let mut candidacy = Candidacy::new(node.settings.millicores);
    node.update_member_status(|status| status.candidate = candidacy.is_candidate());
    drop(tokio::spawn(end_earlier_incarnations(Arc::clone(&node))));
    let mut session = Session {
        ttl: TTL.max(node.settings.min_member_ttl),
        generation: 0,
        holders_read_at: Duration::ZERO,
        backoff: Backoff::new(backoff::LIST_READS),
        suspect_backoff: Backoff::new(backoff::OWNER_CALLS),
        node: Arc::clone(&node),
    };
    let mut isolation = Isolation::new(session.ttl);
    while !node.is_stopping() {
        if isolation.is_away() {
            session.stay_away().await;
        } else if candidacy.is_candidate() {
            session.join().await;
        } else {
            session.follow_holders().await;
        }
        if node.settings.relays {
            session.review_isolation(&mut isolation).await;
        }
        let Some(owners) = node.owners() else { continue };
        if !candidacy.observe(clock::now(), &owners) {
            continue;
        }
        node.update_member_status(|status| status.candidate = candidacy.is_candidate());
        if !candidacy.is_candidate() {
            session.resign().await;
        }
    }
}

/// Removes earlier incarnations of this daemon from the group. They have ended, since this one uses
/// their addresses, and their shards need not wait until the group expires them after [`TTL`].
async fn end_earlier_incarnations(node: Arc<Node>) {
    refresh_holders(Arc::clone(&node)).await;
    let Ok(own) = node.member.parse::<Member>() else { return };
    let owners = node.owners().unwrap_or_default();
    for earlier in handover::earlier_incarnations(&owners, &own) {
        match node.store.leave(&earlier.to_string()).await {
            Ok(()) => log::info!("event=earlier_life_ended member={earlier}"),
            Err(error) => {
                log::info!("event=earlier_life_not_ended member={earlier} error=\"{error}\"");
            }
        }
    }
}

/// State that is kept between joins or reads of the holders.
#[derive(Debug)]
struct Session {
    node: Arc<Node>,
    ttl: Duration,
    generation: u64,
    /// Time at which the last read of the holders was started by a join.
    holders_read_at: Duration,
    /// Backoff after failed reads of the holders, while this daemon is no candidate.
    backoff: Backoff,
    /// Backoff between reads triggered by holders that did not answer as owners, one after the
    /// other.
    suspect_backoff: Backoff,
}

impl Session {
    /// Joins the group, and starts and ends ownership of shards as assigned.
    async fn join(&mut self) {
        let node = Arc::clone(&self.node);
        let mut pause = JOIN_INTERVAL;
        let sent = clock::now();
        let (ttl, generation) = (self.ttl, self.generation);
        node.record_store_call(sent);
        let join = Join { member: Arc::clone(&node.member), ttl, generation };
        let timeout = if node.is_store_outage(sent) { OUTAGE_JOIN_TIMEOUT } else { CALL_TIMEOUT };
        match tokio::time::timeout(timeout, node.store.join(&join)).await {
            Ok(Ok(membership)) => {
                node.record_store_answer(clock::now());
                node.update_member_status(|status| {
                    status.member_until = sent + ttl - EXPIRY_MARGIN;
                });
                let changed = membership.generation != generation;
                self.generation = membership.generation;
                // The next join informs the group that the shards released here are free.
                if apply_membership(&node, &membership) {
                    pause = Duration::ZERO;
                }
                if changed || clock::now() > self.holders_read_at + HOLDERS_INTERVAL {
                    self.holders_read_at = clock::now();
                    drop(tokio::spawn(refresh_holders(Arc::clone(&node))));
                }
            }
            Ok(Err(error)) => log::info!("event=join_failed error=\"{error}\""),
            Err(_) => log::info!("event=join_failed error=\"no answer within {timeout:?}\""),
        }
        if clock::now() >= node.member_status().member_until {
            survey_peers(&node).await;
        }
        if !pause.is_zero() {
            let mut stopping = node.stopping.subscribe();
            let stop = stopping.wait_for(|stopping| *stopping);
            // The caller's loop checks whether the daemon is stopping.
            drop(tokio::time::timeout(pause, stop).await);
        }
    }

    /// Reads the holders of shards, then waits until the next read is due or a holder may be
    /// outdated.
    async fn follow_holders(&mut self) {
        let reading = refresh_holders(Arc::clone(&self.node));
        let read = tokio::time::timeout(CALL_TIMEOUT, reading).await;
        if read.is_err() {
            log::info!("event=holders_unread error=\"no answer within {CALL_TIMEOUT:?}\"");
        }
        if read != Ok(true) {
            return tokio::time::sleep(self.backoff.pause(rand::random())).await;
        }
        self.backoff.reset();
        let suspected = self.node.holders_stale.notified();
        if tokio::time::timeout(STANDBY_INTERVAL, suspected).await.is_ok() {
            // Many daemons notice a lost holder at once, and go on doing so until the takeover is
            // done.
            tokio::time::sleep(self.suspect_backoff.pause(rand::random())).await;
        } else {
            self.suspect_backoff.reset();
        }
    }

    /// Reads the holders of shards while this daemon is out of the group, and pauses.
    async fn stay_away(&mut self) {
        let reading = refresh_holders(Arc::clone(&self.node));
        if tokio::time::timeout(CALL_TIMEOUT, reading).await.is_err() {
            log::info!("event=holders_unread error=\"no answer within {CALL_TIMEOUT:?}\"");
        }
        tokio::time::sleep(AWAY_INTERVAL).await;
    }

    /// Gives the shards back if this daemon reaches nobody but the store.
    async fn review_isolation(&mut self, isolation: &mut Isolation) {
        let node = Arc::clone(&self.node);
        let others = node.other_owners();
        // During an outage of the store nobody can take the shards over.
        let is_member = clock::now() < node.member_status().member_until;
        let mut seen = Observation {
            answered_at: node.peers.answered_at(),
            peers_silent: false,
            others: others.len(),
            generation: self.generation,
            owns_shards: is_member && !node.owned().is_empty(),
        };
        if isolation.needs_survey(clock::now(), &seen) {
            let calls =
                others.iter().map(|address| node.peers.call(*address, &Request::Incarnation));
            seen.peers_silent = join_all(calls).await.iter().all(Result::is_err);
            seen.answered_at = node.peers.answered_at();
        }
        let quiet = clock::now().saturating_sub(seen.answered_at);
        match isolation.observe(clock::now(), &seen) {
            Some(Step::Leave) => {
                log::info!("event=isolated others={} quiet_ms={}", seen.others, quiet.as_millis());
                self.resign().await;
            }
            Some(Step::Rejoin) => log::info!("event=isolation_ended others={}", seen.others),
            None => {}
        }
    }

    /// Leaves the group, so that others take over the shards that this daemon owned.
    async fn resign(&mut self) {
        self.node.update_member_status(|status| status.member_until = Duration::ZERO);
        self.generation = 0;
        leave(&self.node).await;
    }
}

/// Ends ownership of shards that are no longer assigned to this daemon, before the next join
/// informs the group, and begins ownership of new ones. Returns whether any shard was released.
fn apply_membership(node: &Arc<Node>, membership: &Membership) -> bool {
    let assigned: BTreeSet<u32> = membership.shards.iter().copied().collect();
    let pool_slices = node.map().by_shard();
    let mut owned = node.owned();
    let before = owned.len();
    owned.retain(|number, handle| {
        let stays = assigned.contains(number) && !handle.has_ended();
        if !stays {
            log::info!("event=shard_released shard={number}");
            node.release_shard(*number, handle);
        }
        stays
    });
    let released = owned.len() < before;
    for number in assigned {
        let pool_slice = pool_slices.get(&number);
        if (number == node.fleet_shard() || pool_slice.is_some()) && !owned.contains_key(&number) {
            let unit = pool_slice.map_or_else(|| "fleet".to_owned(), ToString::to_string);
            log::info!("event=shard_dealt shard={number} unit={unit}");
            owned.insert(number, Handle::start(node, number, pool_slice.cloned()));
            node.ownership_changed.notify_one();
        }
    }
    released
}

/// Asks the other daemons when the store last answered them, and extends ownership if there is an
/// outage.
async fn survey_peers(node: &Arc<Node>) {
    let others = node.other_owners();
    let asked_at = clock::now();
    let calls = others.iter().map(|address| node.peers.call(*address, &Request::StoreStatus));
    let answered_ago = join_all(calls).await.into_iter().filter_map(|reply| match reply {
        Ok(Reply::StoreStatus { answered_ms_ago }) => Some(Duration::from_millis(answered_ms_ago)),
        _ => None,
    });
    let survey = Survey {
        asked_at,
        member_until: node.member_status().member_until,
        others: others.len(),
        answered_ago: answered_ago.collect(),
    };
    if survey.shows_outage() {
        node.update_member_status(|status| status.outage_until = asked_at + OUTAGE_LEASE);
    } else {
        log::info!(
            "event=store_away_not_for_all others={} replies={}",
            others.len(),
            survey.answered_ago.len()
        );
    }
}

/// Reads the holders of shards; returns whether the read succeeded.
async fn refresh_holders(node: Arc<Node>) -> bool {
    node.record_store_call(clock::now());
    match node.store.holders().await {
        Ok(holders) => {
            node.record_store_answer(clock::now());
            let known = holders.into_iter().filter_map(|holder| {
                let member: Result<Member, _> = holder.member.parse();
                let member = member.inspect_err(|error| {
                    log::warn!("event=member_unreadable shard={} error=\"{error}\"", holder.shard);
                });
                Some((holder.shard, member.ok()?))
            });
            let holders: HashMap<_, _> = known.collect();
            node.set_holders(holders);
            true
        }
        Err(error) => {
            log::info!("event=holders_unread error=\"{error}\"");
            false
        }
    }
}

/// Ends ownership of all shards and leaves the group, so that others can own them at once.
pub(crate) async fn leave(node: &Node) {
    for (number, handle) in std::mem::take(&mut *node.owned()) {
        node.release_shard(number, &handle);
    }
    match tokio::time::timeout(CALL_TIMEOUT, node.store.leave(&node.member)).await {
        Ok(Ok(())) => log::info!("event=left_group"),
        Ok(Err(error)) => log::info!("event=leave_failed error=\"{error}\""),
        Err(_) => log::info!("event=leave_failed error=\"no answer within {CALL_TIMEOUT:?}\""),
    }
}
