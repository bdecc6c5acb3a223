//! Detects that the operators' log may have unread records, and fetches their content from peers.
//!
//! The operators' log is read by long polls, so a daemon receives an answer of the store every
//! `feed::LONG_POLL_TIMEOUT`. If the store refuses its calls or does not answer, the daemon
//! cannot know whether there is a newer configuration, and asks other daemons. Until one replies,
//! it goes on serving by the configuration that it has, but gives no final refusals: an unknown key
//! or queue may be a new one.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::{Change, Config};
use crosspath_border::store::{Error, Topic};
use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};

use crate::assignment::Assignments;
use crate::clock;
use crate::feed;
use crate::node::{Node, only_partition};
use crate::routing::Sequence;
use crate::rpc::{Reply, Request};

/// Time since the last confirmation after which a newer configuration may be in effect. Covers a
/// long poll and its delay in a slow store.
const STALE_AFTER: Duration = Duration::from_millis(2_000);
/// Interval between checks whether the configuration may be stale, and between queries of peers
/// while it may be. It leaves a third of 2 s, the shortest known time within which a configuration
/// must take effect, for the peer's reply.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of peers that are queried in one round. If the store refuses a third of the
/// daemons, one round in three would reach only a refused daemon if it queried one peer; with three
/// peers it is one in 27.
const PEERS_PER_ROUND: usize = 3;

/// Timeout of a read that confirms the configuration, while a caller waits.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether data that was last confirmed at `confirmed_at` may be stale at `now`.
#[must_use]
pub fn may_be_stale(confirmed_at: Duration, now: Duration) -> bool {
    now > confirmed_at + STALE_AFTER
}

/// Whether this version of the configuration was still the newest one at some time after `since`. Reads
/// the operators' log to find out, or asks peers if the store does not answer.
pub(crate) async fn is_newest_after(node: &Node, version: u64, since: Duration) -> bool {
    let is_told = || node.operator_log_told_at() >= since;
    if !is_told() {
        match has_later_config(node, version).await {
            Ok(false) => {}
            Ok(true) => return false,
            Err(error) => {
                log::info!("event=config_not_confirmed version={version} error=\"{error}\"");
                query_peers(node).await;
                if !is_told() {
                    return false;
                }
            }
        }
    }
    // Another configuration may have been applied meanwhile.
    node.table().is_some_and(|table| table.version == version)
}

/// Whether the operators' log has a later configuration, which has not been applied.
async fn has_later_config(node: &Node, version: u64) -> Result<bool, Error> {
    let end = node.operator_log_end().ok_or(Error::NotReached)?;
    let read = node.store.read(only_partition(Topic::Operators), end, Duration::ZERO);
    let page = tokio::time::timeout(CONFIRM_TIMEOUT, read).await.unwrap_or(Err(Error::NoAnswer))?;
    Ok(page.records.iter().any(|record| {
        let change = node.store.decode_change(record);
        matches!(change, Ok(Change::Config(config)) if config.version > version)
    }))
}

/// Queries other daemons for a newer configuration while the store does not confirm the current
/// one.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if may_be_stale(node.operator_log_confirmed_at(), clock::now()) {
            query_peers(&node).await;
        }
    }
}

async fn query_peers(node: &Node) {
    let mut others = node.other_owners();
    let (selected, _) = others.partial_shuffle(&mut rand::rng(), PEERS_PER_ROUND);
    let known = node.table().map(|table| table.version);
    for peer in &*selected {
        let asked_at = clock::now();
        match node.peers.call(*peer, &Request::Config { known }).await {
            Ok(Reply::Config { newer, evacuated, confirmed_ms_ago, assignments }) => {
                let sequence = apply_assignments(node, assignments);
                if let Some(config) = newer {
                    log::info!("event=config_of_peer version={} peer={peer}", config.version);
                    feed::apply_config(node, *config, sequence);
                }
                node.evacuations().merge(&evacuated);
                let confirmed_at = asked_at.saturating_sub(Duration::from_millis(confirmed_ms_ago));
                node.set_operator_log_confirmed(confirmed_at);
                return;
            }
            // The peer's own configuration may be stale.
            Ok(_) => {}
            Err(error) => log::info!("event=config_not_told peer={peer} error=\"{error}\""),
        }
    }
}

/// Assignments of queues to pools that a daemon knows: all by configurations before its own.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PeerAssignments {
    /// Those that are recorded in the store.
    recorded: Assignments,
    /// Those by configurations that it has applied before the newest one.
    earlier: Assignments,
}

/// Applies a peer's assignments, which include those by configurations that this daemon may have
/// missed.
fn apply_assignments(node: &Node, assignments: Option<PeerAssignments>) -> Sequence {
    let Some(PeerAssignments { recorded, earlier }) = assignments else { return Sequence::Later };
    if node.table().is_none() {
        return Sequence::Later;
    }
    node.merge_assignments(&recorded);
    node.change_table(|current| {
        let table = current.filter(|table| !table.applied().includes(&earlier))?;
        Some(table.with_applied(&earlier))
    });
    Sequence::LaterWithAssignments
}

/// Reply to a daemon that has version `known` of the configuration. It contains a configuration
/// only if that of this daemon is newer. [`Reply::NotOwner`] if this daemon's own data may be
/// stale or is incomplete.
pub(crate) fn reply(node: &Node, known: Option<u64>) -> Reply {
    let (read_at, now) = (node.operator_log_read_at(), clock::now());
    if may_be_stale(read_at, now) || !node.knows_assignments() {
        return Reply::NotOwner;
    }
    let table = node.table();
    let assignments = table.as_ref().map(|table| PeerAssignments {
        recorded: node.map().assignments().clone(),
        earlier: table.earlier(),
    });
    let newer = table.filter(|table| known.is_none_or(|known| table.version > known));
    let newer = newer.map(|table| Box::new(Config::clone(&table.config)));
    let confirmed_ms_ago = clock::as_ms(now.saturating_sub(read_at));
    Reply::Config { newer, evacuated: node.evacuated(), confirmed_ms_ago, assignments }
}
