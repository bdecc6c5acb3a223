//! Many small tasks end on each worker while the store is down.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

const WORKERS: usize = 4;
const JOBS: u64 = 120;
/// Tasks of each job: 2,880 in all, on 126.7 of the 128 cores.
const STEP: Step = Step::new(24, 44, 64);
const TAKES_MS: (u64, u64) = (3_000, 5_000);
const OUTAGE: Duration = Duration::from_millis(4_500);
const MOST_WAIT: Duration = Duration::from_secs(45);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    for number in 0..JOBS {
        world.submit(&Job::new(number, vec![STEP], TAKES_MS));
    }
    world.pass(Duration::from_millis(700));
    let record = world.record.clone();
    let started = record.runs().len();
    record.say(&format!("{} jobs accepted, {started} tasks started", world.accepted.len()));
    if trouble {
        record.say("the store is down");
        world.store.set_busy(true);
        world.pass(OUTAGE);
        world.store.set_busy(false);
        record.say("the store is back");
    }
    let until = record.now() + MOST_WAIT;
    let ids: Vec<_> = world.accepted.keys().cloned().collect();
    while record.now() < until {
        world.pass(Duration::from_millis(1_500));
        if ids.iter().all(|id| world.state(id).as_deref() == Some("completed")) {
            break;
        }
    }
    world.pass(Duration::from_millis(1_000));
    let mut twice = 0;
    for (task, runs) in record.runs() {
        let done = runs.iter().filter(|run| matches!(run.ended, Some((_, "done"))));
        // Only an end that is taken note of counts.
        let done = done.filter(|run| run.noted.is_some());
        let Some(ended) = done.filter_map(|run| run.ended).map(|(at, _)| at).min() else {
            continue;
        };
        for again in runs.iter().filter(|run| run.began > ended) {
            twice += 1;
            let text = format!(
                "TWICE {task}: run {} on {} begins at {:.3}, after a run ended done at {:.3}",
                again.number,
                again.worker,
                again.began.as_secs_f64(),
                ended.as_secs_f64()
            );
            if twice <= 5 { record.say(&text) } else { record.line(&text) }
        }
    }
    record.say(&format!("{twice} starts after a run ended done"));
    if world.accepted.len() < JOBS as usize / 2 {
        return Verdict::NotRun;
    }
    if twice > 0 { Verdict::Broken } else { Verdict::Held }
}
