//! The tasks of a job take ten times as long as usual.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
/// Only the first worker is of this kind.
const KIND: &str = "b";
const COUNT: u64 = 4;
const USUAL_MS: u64 = 30_000;
const TIMES_AS_LONG: u64 = 10;
const LENGTH: Duration = Duration::from_secs(60);
/// Time for which a job may have nothing running although there is room for it.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let record = world.record.clone();
    let takes_ms = if trouble { USUAL_MS * TIMES_AS_LONG } else { USUAL_MS };
    let step = Step { requirements: Some(KIND.to_owned()), ..Step::new(COUNT, 1_000, 1_024) };
    let job = Job::new(4_000, vec![step], (takes_ms, takes_ms));
    if !world.submit(&job) {
        return Verdict::NotRun;
    }
    let end = record.now() + LENGTH;
    let (mut idle_since, mut longest_idle) = (record.now(), Duration::ZERO);
    while record.now() < end {
        world.pass(Duration::from_millis(100));
        let runs = record.runs();
        let own: Vec<_> = runs.iter().filter(|(task, _)| task.starts_with(&job.id)).collect();
        let over = own
            .iter()
            .filter(|(_, runs)| runs.iter().any(|run| matches!(run.ended, Some((_, "done")))));
        let over = over.count() as u64 == COUNT;
        if over || own.iter().any(|(_, runs)| runs.iter().any(|run| run.ended.is_none())) {
            idle_since = record.now();
        }
        longest_idle = longest_idle.max(record.now() - idle_since);
    }
    let state = world.state(&job.id);
    for (task, runs) in record.runs() {
        let stopped = runs.iter().filter(|run| matches!(run.ended, Some((_, "stopped")))).count();
        let lengths = runs.iter().filter_map(|run| Some(run.ended?.0 - run.began));
        let longest = lengths.max().unwrap_or_default();
        record.say(&format!(
            "{task}: {} runs, {stopped} stopped by the system; the longest of those that ended \
             lasted {:.1} s of {:.0} s",
            runs.len(),
            longest.as_secs_f64(),
            takes_ms as f64 / 1_000.0
        ));
    }
    record.say(&format!(
        "the job is shown as {state:?}; at most it had nothing running for {:.1} s, with room for \
         it on an idle worker",
        longest_idle.as_secs_f64()
    ));
    if longest_idle > IDLE { Verdict::Broken } else { Verdict::Held }
}
