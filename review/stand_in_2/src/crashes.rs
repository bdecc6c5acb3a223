//! Workers crash one after the other, each while it runs the one task of a long job.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
const USUAL: Step = Step::new(8, 500, 256);
const USUAL_TAKES_MS: (u64, u64) = (400, 800);
const LONG: Step = Step::new(1, 2_000, 1_024);
const LONG_TAKES_MS: (u64, u64) = (16_000, 16_000);
/// Crashes, each of one of the eight workers.
const CRASHES: u64 = 4;
const AWAY: Duration = Duration::from_millis(4_500);
const GAP: Duration = Duration::from_millis(10_000);
const MOST: Duration = Duration::from_secs(95);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let record = world.record.clone();
    let long = Job::new(900, vec![LONG], LONG_TAKES_MS);
    if !world.submit(&long) {
        return Verdict::NotRun;
    }
    let end = record.now() + MOST;
    let (mut number, mut crashes) = (0, 0);
    let mut next_crash = record.now() + GAP;
    let mut shown = None;
    while record.now() < end {
        number += 1;
        world.submit(&Job::new(number, vec![USUAL], USUAL_TAKES_MS));
        world.pass(Duration::from_millis(500));
        if trouble && crashes < CRASHES && record.now() >= next_crash {
            if let Some(worker) = world.workers.running(&long.id) {
                crashes += 1;
                next_crash = record.now() + GAP;
                record.say(&format!("worker {worker} crashes, {crashes} of {CRASHES}"));
                world.workers.crash(worker, crashes, AWAY);
            }
        }
        shown = world.state(&long.id);
        if shown.as_deref().is_some_and(|state| state != "queued" && state != "running") {
            break;
        }
    }
    let failed = record.runs().iter().filter(|(task, _)| task.starts_with(&long.id)).any(
        |(_, runs)| runs.iter().any(|run| matches!(run.ended, Some((_, "failed")))),
    );
    record.say(&format!("after {crashes} crashes the long job is shown as {shown:?}; a run of it ended failed: {failed}"));
    match shown.as_deref() {
        Some("failed") if !failed => Verdict::Broken,
        Some("completed") => Verdict::Held,
        _ => Verdict::NotRun,
    }
}
