//! Workers crash one after the other, each soon after it started one task of a job that lasts.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::record::Run;
use crate::worker::{LASTING, LASTING_START};
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
const COUNT: usize = 5;
const MAY_MISS: usize = 1;
/// Crashes, each of one of the eight workers. At the first one the task is at work, which does not
/// count against it.
const CRASHES: u64 = 4;
const AWAY: Duration = Duration::from_millis(4_500);
/// Age of the run at which its worker crashes: before the task is at work.
const AGE: Duration = Duration::from_millis(500);
/// Time without work after which a task counts as away (`notice_ms`).
const NOTICE: Duration = Duration::from_millis(4_500);
const LENGTH: Duration = Duration::from_secs(50);

/// Whether the task was at work at a time, or was within the time before it that does not count.
fn is_away(runs: &[Run], at: Duration) -> bool {
    let at_work = |run: &Run| {
        let until = run.ended.map_or(Duration::MAX, |(end, _)| end);
        run.began + LASTING_START < until && until + NOTICE > at && run.began + LASTING_START < at
    };
    !runs.iter().any(at_work)
}

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let record = world.record.clone();
    let step = Step {
        long_running: true,
        anti_affinity: 1,
        may_miss: MAY_MISS as u64,
        ..Step::new(COUNT as u64, 2_000, 1_024)
    };
    let lasting = u64::try_from(LASTING.as_millis()).expect("an hour fits");
    let job = Job::new(6_000, vec![step], (lasting, lasting));
    if !world.submit(&job) {
        return Verdict::NotRun;
    }
    world.pass(Duration::from_secs(5));
    let first = format!("{}.0.0.0", job.id);
    let (mut crashes, end) = (0, record.now() + LENGTH);
    while record.now() < end {
        world.pass(Duration::from_millis(50));
        let runs = record.runs();
        let of_first = runs.get(&first).map(Vec::as_slice).unwrap_or_default();
        let now = record.now();
        let is_due = |run: &Run| run.ended.is_none() && now >= run.began + AGE;
        if trouble && crashes < CRASHES && of_first.iter().any(is_due) {
            let Some(worker) = world.workers.running(&first) else { continue };
            crashes += 1;
            record.say(&format!("worker {worker} crashes, {crashes} of {CRASHES}"));
            world.workers.crash(worker, crashes, AWAY);
        }
    }
    let shown = world.state(&job.id);
    let runs = record.runs();
    let own: Vec<_> = runs.iter().filter(|(task, _)| task.starts_with(&job.id)).collect();
    let mut broken = 0;
    for (task, of_task) in &own {
        for run in of_task.iter() {
            let Some((at, "stopped")) = run.ended else { continue };
            let others = own.iter().filter(|(other, _)| other != task);
            let away = others.filter(|(_, runs)| is_away(runs, at)).count();
            if run.began + LASTING_START < at && away >= MAY_MISS {
                broken += 1;
                record.say(&format!(
                    "AVAIL {task}: stopped at {:.3} while {away} others are away, {MAY_MISS} may be",
                    at.as_secs_f64()
                ));
            }
        }
    }
    let failed = own.iter().flat_map(|(_, runs)| runs.iter());
    let failed = failed.filter(|run| matches!(run.ended, Some((_, "failed")))).count();
    record.say(&format!(
        "after {crashes} crashes the job is shown as {shown:?}; {failed} runs of it ended failed, \
         and nobody cancelled it"
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
