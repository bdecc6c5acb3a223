//! Workers are added to a service whose queue has advice.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::advice;
use crate::world::{Job, Step, World};

const WORKERS: usize = 100;
/// Workers that are added: three tenths.
const ADDED: usize = 30;
const STEP: Step = Step::new(4, 500, 256);
const TAKES_MS: (u64, u64) = (400, 800);
const JOBS: u64 = 60;
const GAP: Duration = Duration::from_millis(350);
const LAST: Duration = Duration::from_secs(14);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start_with_advice(record, WORKERS) else {
        return Verdict::NotRun;
    };
    let record = world.record.clone();
    world.pass(Duration::from_secs(3));
    if trouble {
        world.workers.add(ADDED);
        record.say(&format!("{ADDED} workers are added to {WORKERS}"));
        world.pass(Duration::from_secs(5));
    }
    let mut sent = BTreeMap::new();
    for number in 0..JOBS {
        let job = Job::new(number, vec![STEP], TAKES_MS);
        if world.submit(&job) {
            sent.insert(job.id, record.now());
        }
        world.pass(GAP);
    }
    world.pass(LAST);
    let workers = world.workers.identifiers();
    let runs = record.runs();
    let (mut lost, mut barred) = (0, 0);
    for (id, at) in sent {
        // Whose step may run nowhere has no capacity.
        let step = format!("{id}.0.0");
        let good = workers.iter().filter(|worker| advice::ticket(&step, worker).is_some()).count();
        let begun = runs.range(id.clone()..).next().is_some_and(|(task, _)| task.starts_with(&id));
        let state = world.state(&id);
        if good == 0 {
            barred += 1;
        } else if !begun {
            lost += 1;
            record.say(&format!(
                "LOST {id}: accepted at {:.3}, shown as {state:?}, nothing ever ran, and {good} \
                 idle workers may run its step",
                at.as_secs_f64()
            ));
        }
    }
    record.say(&format!("{lost} accepted jobs never ran; {barred} may run on no worker"));
    if world.accepted.len() < 30 {
        return Verdict::NotRun;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
