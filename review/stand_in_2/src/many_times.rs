//! A job that runs at many times comes beside the usual ones. Without the disruption it runs at a
//! third of the times.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::lost;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
/// Each time has five such steps, which run side by side: 32 of the 256 cores.
const STEP: Step = Step::new(32, 200, 128);
const STEPS: usize = 5;
const TAKES_MS: (u64, u64) = (100, 200);
const TIMES: u64 = 120;
const FEW_TIMES: u64 = 40;
const INTERVAL_MS: u64 = 250;
/// Time from the start of the scenario to the first time.
const AHEAD_MS: u64 = 4_000;

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let mut job = Job::new(1_000, vec![STEP; STEPS], TAKES_MS);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let first_ms = u64::try_from(since.as_millis()).unwrap_or(0) + AHEAD_MS;
    job.times = Some((if trouble { TIMES } else { FEW_TIMES }, INTERVAL_MS, first_ms));
    lost::play(&mut world, &[job])
}
