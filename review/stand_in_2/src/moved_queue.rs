//! A queue moves to another service while the store turns one daemon away, and a job arrives twice.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

const WORKERS: usize = 8;
const OTHERS: usize = 8;
const STEP: Step = Step::new(4, 500, 256);
const TAKES_MS: (u64, u64) = (3_000, 3_000);
/// Daemon that the store turns away, and one that it serves.
const TURNED_AWAY: usize = 0;
const SERVED: usize = 3;
const AWAY: Duration = Duration::from_secs(6);
/// Time after its 2xx at which a job arrives again.
const AGAIN: Duration = Duration::from_millis(500);
const JOBS: u64 = 3;

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start_with_others(record, WORKERS, OTHERS) else {
        return Verdict::NotRun;
    };
    let record = world.record.clone();
    world.pass(Duration::from_secs(3));
    if trouble {
        record.say("the store turns daemon 0 away");
        world.store.turn_away(Some(TURNED_AWAY));
        world.pass(Duration::from_millis(300));
    }
    let began = record.now();
    world.move_queue();
    record.say("a configuration sends the queue to the other service");
    world.pass(Duration::from_millis(150));
    let mut accepted = 0;
    for number in 0..JOBS {
        let job = Job::new(7_000 + number, vec![STEP], TAKES_MS);
        // The same job arrives again at another daemon, also after its 2xx.
        accepted += u32::from(world.submit_at(SERVED, &job));
        world.pass(AGAIN);
        accepted += u32::from(world.submit_at(TURNED_AWAY, &job));
    }
    let left = (began + AWAY).saturating_sub(record.now());
    world.pass(left);
    world.store.turn_away(None);
    world.pass(Duration::from_secs(10));
    let mut twice = 0;
    for (task, runs) in record.runs() {
        for (index, run) in runs.iter().enumerate() {
            let until = run.ended.map_or(Duration::MAX, |(at, _)| at);
            for other in &runs[index + 1..] {
                if other.worker != run.worker && other.began < until {
                    twice += 1;
                    record.say(&format!(
                        "TWICE {task}: run {} on {} and run {} on {} are at work at {:.3}",
                        run.number,
                        run.worker,
                        other.number,
                        other.worker,
                        other.began.as_secs_f64()
                    ));
                }
            }
        }
    }
    record.say(&format!("{twice} tasks ran twice at once; {accepted} submissions answered 200"));
    if accepted == 0 {
        return Verdict::NotRun;
    }
    if twice > 0 { Verdict::Broken } else { Verdict::Held }
}
