//! Daemons that own nothing: how often they read the holders of shards, and how soon they find a
//! new owner.

use std::time::Duration;

use crosspath_border::ingress::{Lookup, Submitted};
use crosspath_job::progress::State;

use crate::common::{Daemon, SETTLE_TIME, log_with_one_pool};

/// Time in which a daemon that owns nothing may read the holders twice at most.
const IDLE_PERIOD: Duration = Duration::from_millis(4_000);

/// There may be as many standby daemons as the fleet is large, so frequent reads of the holders
/// would load the store. 4 reads in 4 s are too many.
#[tokio::test]
async fn standby_daemons_rarely_read_holders_while_owners_answer() {
    let log = log_with_one_pool().await;
    let large = Daemon::start("entry-1", &log).await;
    let _other = Daemon::start("entry-2", &log).await;
    let small = Daemon::start_small("entry-3", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(small.submit(1).await, Submitted::Accepted);
    let before = small.holder_reads();
    tokio::time::sleep(IDLE_PERIOD).await;
    assert_eq!(small.state_for(None, 1).await, Lookup::State(State::Queued));
    let read = small.holder_reads() - before;
    assert!(read <= 2, "{read} reads of the holders in {IDLE_PERIOD:?}");
    assert!(large.appends() > 0, "the owner appends for it");
}

/// The previous owner answers that it is not the owner any more. The daemon that asked it must find
/// the new one while the caller still waits.
#[tokio::test]
async fn asking_the_previous_owner_leads_to_the_new_one() {
    let log = log_with_one_pool().await;
    let _large = Daemon::start("entry-1", &log).await;
    let small = Daemon::start_small("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(small.submit(1).await, Submitted::Accepted);
    // The group reassigns shards among more members.
    let _other = Daemon::start("entry-3", &log).await;
    let _third = Daemon::start("entry-4", &log).await;
    assert_eq!(small.state_for(None, 1).await, Lookup::State(State::Queued));
}
