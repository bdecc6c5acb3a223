//! All workers of one rack are lost for good, on which tasks that last have to run.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::lost;
use crate::worker;
use crate::world::{Job, Step, World};

const WORKERS: usize = 12;
/// The workers of the second of the three racks.
const RACK: std::ops::Range<usize> = 4..8;
/// Each of these jobs has tasks that last, on a tenth of a core each: 12 of the rack's 128 cores.
const JOBS: u64 = 24;
const COUNT: u64 = 5;
const CPU: u64 = 100;
const MEM_MB: u64 = 128;
/// Tasks that last end only when they are stopped.
const TAKES_MS: (u64, u64) = (3_600_000, 3_600_000);
const LOST_AFTER: Duration = Duration::from_secs(10);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let Some(mut world) = World::start(record, WORKERS) else { return Verdict::NotRun };
    let step = Step {
        requirements: Some(worker::rack(RACK.start)),
        long_running: true,
        ..Step::new(COUNT, CPU, MEM_MB)
    };
    let job = |number| Job::new(3_000 + number, vec![step.clone()], TAKES_MS);
    let load: Vec<_> = (0..JOBS).map(job).collect();
    let mut lose = |world: &mut World| {
        world.record.say(&format!("all workers of {} are lost", worker::rack(RACK.start)));
        for number in RACK {
            world.workers.lose(number);
        }
    };
    let event: Option<(Duration, &mut dyn FnMut(&mut World))> =
        if trouble { Some((LOST_AFTER, &mut lose)) } else { None };
    lost::play(&mut world, &load, event)
}
