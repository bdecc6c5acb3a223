//! Authorisation by customers' keys, also while a daemon cannot read new configurations.

use std::time::Duration;

use crosspath_border::ingress::{Lookup, Resolved, Submitted};
use crosspath_job::progress::State;

use crate::common::{Daemon, SETTLE_TIME, log_with_one_pool, write_config};

/// Time within which a configuration must take effect, including the delay of a slow test machine.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(3_000);

/// Customer that a key resolves to; `None` if the key is rejected.
fn customer(daemon: &Daemon, key: &str) -> Option<String> {
    match daemon.resolve(Some(key)) {
        Resolved::Access(access) => access.customer.map(|name| name.to_string()),
        Resolved::Unauthorized => None,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_call_needs_a_key_from_the_newest_configuration() {
    let log = log_with_one_pool().await;
    write_config(&log, "2 water=w-1,w-2 power=p-1").await;
    let daemon = Daemon::start("entry-1", &log).await;
    assert!(matches!(daemon.resolve(None), Resolved::Unauthorized));
    assert_eq!(customer(&daemon, "w-1").as_deref(), Some("water"));
    assert_eq!(customer(&daemon, "p-1").as_deref(), Some("power"));
    assert_eq!(customer(&daemon, "never"), None);
    // One customer loses all its keys, and the other gets a second one.
    write_config(&log, "3 water= power=p-1,p-2").await;
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(customer(&daemon, "w-2"), None);
    assert_eq!(customer(&daemon, "p-2").as_deref(), Some("power"));
}

#[tokio::test]
async fn a_job_is_visible_only_to_its_customer() {
    let log = log_with_one_pool().await;
    write_config(&log, "2 water=w-1 power=p-1").await;
    let one = Daemon::start("entry-1", &log).await;
    let other = Daemon::start("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    for daemon in [&one, &other] {
        assert_eq!(daemon.submit_for(Some("water"), 1).await, Submitted::Accepted);
        assert_eq!(daemon.state_for(Some("water"), 1).await, Lookup::State(State::Queued));
        assert_eq!(daemon.state_for(Some("power"), 1).await, Lookup::None);
        assert_eq!(daemon.submit_for(Some("power"), 1).await, Submitted::Taken);
    }
}

/// A daemon whose reads the log refuses must neither accept a revoked key nor reject a new one: it
/// gets the configuration from its peers.
#[tokio::test]
async fn a_daemon_refused_by_the_log_gets_new_keys_from_peers() {
    let log = log_with_one_pool().await;
    write_config(&log, "2 water=w-1 power=p-1").await;
    let refused = Daemon::start("entry-1", &log).await;
    let served = Daemon::start("entry-2", &log).await;
    tokio::time::sleep(SETTLE_TIME).await;
    refused.set_log_down(true);
    write_config(&log, "3 water=w-2 power=p-1").await;
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    assert_eq!(customer(&refused, "w-1"), None, "the key was revoked");
    assert_eq!(customer(&refused, "w-2").as_deref(), Some("water"));
    assert_eq!(customer(&served, "w-2").as_deref(), Some("water"));
}

/// If no daemon can read the log, there may be a newer configuration with a new key, so an unknown
/// key must not be rejected. Known keys are still accepted.
#[tokio::test]
async fn an_unknown_key_is_rejected_only_if_the_configuration_is_current() {
    let log = log_with_one_pool().await;
    write_config(&log, "2 water=w-1").await;
    let daemon = Daemon::start("entry-1", &log).await;
    assert_eq!(customer(&daemon, "w-2"), None);
    daemon.set_log_down(true);
    tokio::time::sleep(CONFIG_PROPAGATION).await;
    let answer = daemon.resolve(Some("w-2"));
    assert!(matches!(answer, Resolved::MaybeStale { .. }), "{answer:?}");
    assert_eq!(customer(&daemon, "w-1").as_deref(), Some("water"), "a known key stays valid");
}
