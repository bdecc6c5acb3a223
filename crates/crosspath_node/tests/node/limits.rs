//! Sizes that the store accepts. A commit or an append beyond them was repeated for ever, and with it
//! everything behind it stood still.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::ingress::{Lookup, Submitted};
use crosspath_border::store::Limits;
use crosspath_fakes::memory_store::MemoryStore;
use crosspath_job::progress::State;
use crosspath_job::spec::{Resources, Spec, Step};
use futures::future::join_all;

use crate::common::{Daemon, SHARDS, list_worker, write_config};

const RECORD_BYTES: usize = 4_000;
/// Interval between checks of a condition, and number of checks before the test fails.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CHECKS: usize = 500;

/// Daemon with one worker, at a store that accepts only small appends.
async fn daemon() -> Daemon {
    let limits = Limits { record_bytes: RECORD_BYTES, append_bytes: 2 * RECORD_BYTES };
    let log = Arc::new(MemoryStore::new(SHARDS).with_limits(limits));
    write_config(&log, "1").await;
    list_worker(&log).await;
    Daemon::start("one", &log).await
}

/// Job of `tasks` tasks that all have room beside each other.
fn spec(tasks: u32, text: &str) -> Spec {
    let resources = Resources { cpu_millis: 1, mem_mb: 1, gpus: 0 };
    let step = Step { tasks, resources, estimate_ms: 800, ..Step::default() };
    Spec { text: text.into(), steps: vec![step], repeat: None }
}

async fn wait_until_running(daemon: &Daemon, job: u64) {
    for _ in 0..MAX_CHECKS {
        if daemon.state_now(job).await == Lookup::State(State::Running) {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("job {job} does not start");
}

#[tokio::test]
async fn a_job_whose_progress_exceeds_a_record_and_an_append_starts_and_stops_no_other() {
    let daemon = daemon().await;
    assert_eq!(daemon.submit_spec(1, spec(800, "text")).await, Submitted::Accepted);
    wait_until_running(&daemon, 1).await;
    assert_eq!(daemon.submit_spec(2, spec(1, "text")).await, Submitted::Accepted);
    wait_until_running(&daemon, 2).await;
}

#[tokio::test]
async fn a_job_that_exceeds_a_record_is_refused_for_good() {
    let daemon = daemon().await;
    let (large, small) = (spec(1, &"x".repeat(RECORD_BYTES)), spec(1, "text"));
    let (refused, accepted) =
        tokio::join!(daemon.submit_spec(1, large), daemon.submit_spec(2, small));
    assert!(
        matches!(refused, Submitted::TooLarge { bytes, max: RECORD_BYTES } if bytes > RECORD_BYTES),
        "{refused:?}"
    );
    assert_eq!(accepted, Submitted::Accepted);
    assert_eq!(daemon.state_now(1).await, Lookup::None);
}

#[tokio::test]
async fn jobs_that_exceed_an_append_together_are_all_accepted() {
    let daemon = daemon().await;
    let text = "x".repeat(RECORD_BYTES / 2);
    let submitted = (0..20).map(|job| daemon.submit_spec(job, spec(1, &text)));
    let outcomes = join_all(submitted).await;
    assert!(outcomes.iter().all(|outcome| *outcome == Submitted::Accepted), "{outcomes:?}");
}
