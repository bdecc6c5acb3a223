//! A job comes at a quiet time, while one worker refuses starts for some seconds.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
/// One task that lasts on each worker.
const COUNT: u64 = 8;
const REFUSES: Duration = Duration::from_millis(5_500);
const LENGTH: Duration = Duration::from_secs(45);
/// Time after the disruption before which nothing counts.
const CALM: Duration = Duration::from_secs(4);
/// Time for which a task may not run although there is room for it.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let record = world.record.clone();
    world.pass(Duration::from_secs(2));
    let began = record.now();
    if trouble {
        record.say("worker 0 refuses starts");
        world.workers.refuse(0, true);
    }
    world.pass(Duration::from_millis(500));
    let step = Step { long_running: true, anti_affinity: 1, ..Step::new(COUNT, 500, 1_024) };
    let job = Job::new(5_000, vec![step], (3_600_000, 3_600_000));
    if !world.submit(&job) {
        return Verdict::NotRun;
    }
    let left = (began + REFUSES).saturating_sub(record.now());
    world.pass(left);
    world.workers.refuse(0, false);
    record.say("all workers take starts");
    let calm_from = record.now() + CALM;
    let end = record.now() + LENGTH;
    let (mut complete_at, mut longest) = (calm_from, Duration::ZERO);
    while record.now() < end {
        world.pass(Duration::from_millis(100));
        let at_work = record.runs().values().flatten().filter(|run| run.ended.is_none()).count();
        let now = record.now().max(calm_from);
        if at_work as u64 >= COUNT {
            complete_at = now;
        }
        longest = longest.max(now - complete_at);
    }
    let state = world.state(&job.id);
    let at_work = record.runs().values().flatten().filter(|run| run.ended.is_none()).count();
    record.say(&format!(
        "{at_work} of {COUNT} tasks are at work and the job is shown as {state:?}; in calm, a task \
         did not run for {:.1} s though a worker with room for it was idle",
        longest.as_secs_f64()
    ));
    if longest > IDLE { Verdict::Broken } else { Verdict::Held }
}
