//! Staying a member of the group of owners, and owning the shards that it deals.
//!
//! A daemon that does not stand for ownership only follows who owns what.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::store::{Join, Membership};
use futures::future::join_all;

use crate::backoff::{self, Backoff};
use crate::candidacy::Candidacy;
use crate::clock;
use crate::handover;
use crate::member::Member;
use crate::node::Node;
use crate::outage::Survey;
use crate::rpc::{Answer, Question};
use crate::shard::Handle;

/// Silence after which the group deals this daemon's shards to others. Short, since nothing new
/// starts in an owner's shards meanwhile; long enough for some joins to be lost.
pub(crate) const TTL: Duration = Duration::from_millis(1_200);
/// Between joins. Some fit into the silence that is allowed; and since the group deals a shard in
/// two steps, each seen at a join, this bounds how long a shard has no owner when members change.
const JOIN_INTERVAL: Duration = Duration::from_millis(150);
/// A join without an answer is sent again after this.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The same while the store is away for all: the others must be asked again soon.
const OUTAGE_JOIN_TIMEOUT: Duration = Duration::from_millis(250);
/// This daemon counts itself out so much earlier than the group does.
const EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// For which the others' word holds that the store is away. The store deals no shard sooner after
/// its return than a member's silence may last.
const OUTAGE_LEASE: Duration = Duration::from_millis(900);
/// Between readings of who holds what, besides those after changes.
const HOLDERS_INTERVAL: Duration = Duration::from_millis(1_500);

/// Between readings of who holds what while this daemon does not stand for ownership. Long, since there are many
/// such daemons: a holder that is none any more says so, or is silent, and is doubted then.
const STANDBY_INTERVAL: Duration = Duration::from_millis(3_000);

/// Stays in the group while this daemon stands for ownership; follows who owns what in any case.
pub(crate) async fn run(node: Arc<Node>) {
    let mut candidacy = Candidacy::new(node.settings.millicores);
    node.set_standing(|standing| standing.candidate = candidacy.is_candidate());
    drop(tokio::spawn(end_earlier_incarnations(Arc::clone(&node))));
    let mut session = Session {
        ttl: TTL.max(node.settings.membership_least),
        generation: 0,
        holders_read_at: Duration::ZERO,
        backoff: Backoff::new(backoff::LIST_READS),
        suspect_backoff: Backoff::new(backoff::OWNER_CALLS),
        node: Arc::clone(&node),
    };
    while !node.is_stopping() {
        if candidacy.is_candidate() {
            session.join().await;
        } else {
            session.follow_holders().await;
        }
        let Some(owners) = node.owners() else { continue };
        if !candidacy.observe(clock::now(), &owners) {
            continue;
        }
        node.set_standing(|standing| standing.candidate = candidacy.is_candidate());
        if !candidacy.is_candidate() {
            session.resign().await;
        }
    }
}

/// Takes earlier lives of this daemon out of the group: they are over, since this one has their
/// addresses, and their shards need not wait until the group has missed them for [`TTL`].
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

/// What is kept from one round to the next.
#[derive(Debug)]
struct Session {
    node: Arc<Node>,
    ttl: Duration,
    generation: u64,
    /// When who holds what was last read.
    holders_read_at: Duration,
    /// Of readings of who holds what that failed, while this daemon does not stand for ownership.
    backoff: Backoff,
    /// The same of holders that were doubted one after the other.
    suspect_backoff: Backoff,
}

impl Session {
    /// Joins, and starts and ends ownership as the group deals.
    async fn join(&mut self) {
        let node = Arc::clone(&self.node);
        let mut pause = JOIN_INTERVAL;
        let sent = clock::now();
        let (ttl, generation) = (self.ttl, self.generation);
        node.store_asked(sent);
        let join = Join { member: Arc::clone(&node.member), ttl, generation };
        let timeout = if node.is_store_away(sent) { OUTAGE_JOIN_TIMEOUT } else { CALL_TIMEOUT };
        match tokio::time::timeout(timeout, node.store.join(&join)).await {
            Ok(Ok(membership)) => {
                node.store_answers(clock::now());
                node.set_standing(|standing| standing.until = sent + ttl - EXPIRY_MARGIN);
                let changed = membership.generation != generation;
                self.generation = membership.generation;
                // The next join tells the group that dealt-away shards are free.
                if apply_membership(&node, &membership) {
                    pause = Duration::ZERO;
                }
                if changed || clock::now() > self.holders_read_at + HOLDERS_INTERVAL {
                    self.holders_read_at = clock::now();
                    drop(tokio::spawn(refresh_holders(Arc::clone(&node))));
                }
            }
            Ok(Err(error)) => log::info!("event=join_failed error=\"{error}\""),
            Err(_) => log::info!("event=join_failed error=\"timed out\""),
        }
        if clock::now() >= node.standing().until {
            survey_peers(&node).await;
        }
        if !pause.is_zero() {
            let mut stopping = node.stopping.subscribe();
            let stop = stopping.wait_for(|stopping| *stopping);
            // Either way the loop looks at what it is to do next.
            drop(tokio::time::timeout(pause, stop).await);
        }
    }

    /// Reads who owns what, and waits a while.
    async fn follow_holders(&mut self) {
        let reading = refresh_holders(Arc::clone(&self.node));
        let read = tokio::time::timeout(CALL_TIMEOUT, reading).await;
        if read.is_err() {
            log::info!("event=holders_unread error=\"timed out\"");
        }
        if read != Ok(true) {
            return tokio::time::sleep(self.backoff.pause(rand::random())).await;
        }
        self.backoff.reset();
        let doubted = self.node.holders_doubted.notified();
        if tokio::time::timeout(STANDBY_INTERVAL, doubted).await.is_ok() {
            // Many daemons find out at once that a holder is gone, and for as long as a takeover takes.
            tokio::time::sleep(self.suspect_backoff.pause(rand::random())).await;
        } else {
            self.suspect_backoff.reset();
        }
    }

    /// Leaves what this daemon owned to the others.
    async fn resign(&mut self) {
        self.node.set_standing(|standing| standing.until = Duration::ZERO);
        self.generation = 0;
        leave(&self.node).await;
    }
}

/// Ends ownership of shards that were dealt away, before the next join tells the group so; begins
/// that of new ones. Whether any was dealt away.
fn apply_membership(node: &Arc<Node>, membership: &Membership) -> bool {
    let assigned: BTreeSet<u32> = membership.shards.iter().copied().collect();
    let units = node.map().by_shard();
    let mut owned = node.owned();
    let before = owned.len();
    owned.retain(|number, handle| {
        let stays = assigned.contains(number) && !handle.has_ended();
        if !stays {
            log::info!("event=shard_released shard={number}");
            node.leave_shard(*number, handle);
        }
        stays
    });
    let released = owned.len() < before;
    for number in assigned {
        let unit = units.get(&number);
        if (number == node.fleet_shard() || unit.is_some()) && !owned.contains_key(&number) {
            let of = unit.map_or_else(|| "fleet".to_owned(), ToString::to_string);
            log::info!("event=shard_dealt shard={number} unit={of}");
            owned.insert(number, Handle::start(node, number, unit.cloned()));
            node.ownership_changed.notify_one();
        }
    }
    released
}

/// Asks the other daemons whether the store answers them.
async fn survey_peers(node: &Arc<Node>) {
    let others = node.other_daemons();
    let asked_at = clock::now();
    let asks = others.iter().map(|address| node.peers.ask(*address, &Question::Store));
    let answered_ago = join_all(asks).await.into_iter().filter_map(|answer| match answer {
        Ok(Answer::Store { answered_ms_ago }) => Some(Duration::from_millis(answered_ms_ago)),
        _ => None,
    });
    let survey = Survey {
        asked_at,
        member_until: node.standing().until,
        others: others.len(),
        answered_ago: answered_ago.collect(),
    };
    if survey.shows_outage() {
        node.set_standing(|standing| standing.away_until = asked_at + OUTAGE_LEASE);
    } else {
        log::info!(
            "event=store_away_not_for_all others={} replies={}",
            others.len(),
            survey.answered_ago.len()
        );
    }
}

/// Reads who holds what; whether that was read.
async fn refresh_holders(node: Arc<Node>) -> bool {
    node.store_asked(clock::now());
    match node.store.holders().await {
        Ok(holders) => {
            node.store_answers(clock::now());
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

/// Leaves the group on a planned stop, so that others own at once what this daemon owned.
pub(crate) async fn leave(node: &Node) {
    for (number, handle) in std::mem::take(&mut *node.owned()) {
        node.leave_shard(number, &handle);
    }
    match tokio::time::timeout(CALL_TIMEOUT, node.store.leave(&node.member)).await {
        Ok(Ok(())) => log::info!("event=left_group"),
        Ok(Err(error)) => log::info!("event=leave_failed error=\"{error}\""),
        Err(_) => log::info!("event=leave_failed error=\"timed out\""),
    }
}
