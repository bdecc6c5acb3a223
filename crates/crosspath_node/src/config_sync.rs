//! Whether what operators have written may be newer than what this daemon knows, and learning it from others.
//!
//! The operators' records are read from the store by one call that waits for the next, so a daemon hears
//! from the store every [`feed::LONG_WAIT`]. One that the store turns away, or that it keeps silent to, does not know
//! whether a newer configuration has come. It asks other daemons for it; until one is heard from it goes on
//! serving by what it knows, but refuses nobody for good: an unknown key or queue may be a new one.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::operator::Config;
use rand::seq::SliceRandom as _;

use crate::clock;
use crate::feed;
use crate::node::Node;
use crate::rpc::{Reply, Request};

/// From the last word of the store on, after which a newer configuration may be in force: a read that waits
/// for a record, and its way through a slow store.
const STALE_AFTER: Duration = Duration::from_millis(2_000);
/// Between looks whether the configuration may be old, and between questions to others while it may. A third
/// of the shortest time seen in which a configuration has to be in force (2 s) is left for the answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Other daemons that are asked at a time. Where the store turns away a third of the daemons, one in
/// three rounds would ask only such as are turned away too; with three it is one in 27.
const PEERS_PER_ROUND: usize = 3;

/// Whether what was last heard at `heard` may be old at `now`.
#[must_use]
pub fn may_be_stale(confirmed_at: Duration, now: Duration) -> bool {
    now > confirmed_at + STALE_AFTER
}

/// Asks other daemons for a newer configuration while the store does not tell this one.
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
            Ok(Reply::Config { newer, evacuated, confirmed_ms_ago }) => {
                if let Some(config) = newer {
                    log::info!("event=config_of_peer version={} peer={peer}", config.version);
                    feed::apply_config(node, *config);
                }
                node.evacuations().merge(&evacuated);
                let confirmed_at = asked_at.saturating_sub(Duration::from_millis(confirmed_ms_ago));
                node.set_operator_log_confirmed(confirmed_at);
                return;
            }
            // Its own may be old.
            Ok(_) => {}
            Err(error) => log::info!("event=config_not_told peer={peer} error=\"{error}\""),
        }
    }
}

/// The configuration for a daemon that knows a version; none within when that is the newest. No answer
/// from a daemon whose own may be old.
pub(crate) fn reply(node: &Node, known: Option<u64>) -> Reply {
    let (read_at, now) = (node.operator_log_read_at(), clock::now());
    if may_be_stale(read_at, now) {
        return Reply::NotOwner;
    }
    let newer = node.table().filter(|table| known.is_none_or(|known| table.version > known));
    let newer = newer.map(|table| Box::new(Config::clone(&table.config)));
    let confirmed_ms_ago =
        u64::try_from(now.saturating_sub(read_at).as_millis()).unwrap_or(u64::MAX);
    Reply::Config { newer, evacuated: node.evacuated(), confirmed_ms_ago }
}
