//! A job with many times comes beside the usual ones. Without the disruption it has few times.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::lost;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
/// The timed job has five such steps.
const STEP: Step = Step::new(32, 200, 128);
const STEPS: usize = 5;
const TAKES_MS: (u64, u64) = (300, 600);
/// Number of times: every minute for a week, and for ten minutes.
const TIMES: u64 = 10_000;
const FEW_TIMES: u64 = 10;
const INTERVAL_MS: u64 = 60_000;
/// The first time is ten minutes ahead, so that no task of the job's is due in the scenario.
const AHEAD_MS: u64 = 600_000;

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let mut job = Job::new(2_000, vec![STEP; STEPS], TAKES_MS);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let first_ms = u64::try_from(since.as_millis()).unwrap_or(0) + AHEAD_MS;
    job.times = Some((if trouble { TIMES } else { FEW_TIMES }, INTERVAL_MS, first_ms));
    lost::play(&mut world, &[job])
}
