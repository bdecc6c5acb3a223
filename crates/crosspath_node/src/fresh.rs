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
use crate::rpc::{Answer, Question};

/// From the last word of the store on, after which a newer configuration may be in force: a read that waits
/// for a record, and its way through a slow store.
const OLD_AFTER: Duration = Duration::from_millis(2_000);
/// Between looks whether the configuration may be old, and between questions to others while it may. A third
/// of the shortest time seen in which a configuration has to be in force (2 s) is left for the answer.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Other daemons that are asked at a time. Where the store turns away a third of the daemons, one in
/// three rounds would ask only such as are turned away too; with three it is one in 27.
const ASKED: usize = 3;

/// Whether what was last heard at `heard` may be old at `now`.
#[must_use]
pub fn may_be_old(heard: Duration, now: Duration) -> bool {
    now > heard + OLD_AFTER
}

/// Asks other daemons for a newer configuration while the store does not tell this one.
pub(crate) async fn follow(node: Arc<Node>) {
    loop {
        tokio::time::sleep(ASK_INTERVAL).await;
        if may_be_old(node.operators_heard(), clock::now()) {
            ask_others(&node).await;
        }
    }
}

async fn ask_others(node: &Node) {
    let mut others = node.other_daemons();
    let (some, _) = others.partial_shuffle(&mut rand::rng(), ASKED);
    let known = node.table().map(|table| table.version);
    for peer in &*some {
        let asked = clock::now();
        match node.peers.ask(*peer, &Question::Config { known }).await {
            Ok(Answer::Config { newer, evacuated, heard_ms_ago }) => {
                if let Some(config) = newer {
                    log::info!("event=config_of_peer version={} peer={peer}", config.version);
                    feed::take_config(node, *config);
                }
                node.evacuations().merge(&evacuated);
                let heard = asked.saturating_sub(Duration::from_millis(heard_ms_ago));
                node.operators_told(heard);
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
pub(crate) fn tell(node: &Node, known: Option<u64>) -> Answer {
    let (heard, now) = (node.operators_heard_from_store(), clock::now());
    if may_be_old(heard, now) {
        return Answer::NotOwner;
    }
    let newer = node.table().filter(|table| known.is_none_or(|known| table.version > known));
    let newer = newer.map(|table| Box::new(Config::clone(&table.config)));
    let heard_ms_ago = u64::try_from(now.saturating_sub(heard).as_millis()).unwrap_or(u64::MAX);
    Answer::Config { newer, evacuated: node.evacuated(), heard_ms_ago }
}
