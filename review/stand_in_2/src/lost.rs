//! The check that accepted jobs are worked on, while usual jobs come and one unusual load beside.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Verdict;
use crate::world::{Job, Step, World};

/// A usual job comes every half second: 8 tasks on half a core each.
const USUAL: Step = Step::new(8, 500, 256);
const USUAL_TAKES_MS: (u64, u64) = (400, 800);
const USUAL_GAP: Duration = Duration::from_millis(500);
/// Time after which the unusual load comes.
const LOAD_AFTER: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(45);
/// Time before the end in which no more jobs come.
const LAST: Duration = Duration::from_secs(10);
/// Time for which a job may have nothing running although there is room for it.
const IDLE: Duration = Duration::from_secs(3);
const SAMPLE: Duration = Duration::from_millis(100);
/// Number of broken cases that are printed; all are in the record.
const PRINTED: usize = 5;

/// Plays usual jobs with `load` beside them. Tells whether an accepted job without times had nothing
/// running for three seconds while its turn had come, there was room for it twice over, and under
/// half of the service was in use.
pub fn play(world: &mut World, load: &[Job]) -> Verdict {
    let record = world.record.clone();
    let began = record.now();
    let (end, load_at) = (began + LENGTH, began + LOAD_AFTER);
    let (mut number, mut load_sent, mut next_job) = (0, false, record.now());
    let mut busy_at: BTreeMap<String, Duration> = BTreeMap::new();
    let mut lost: BTreeMap<String, Duration> = BTreeMap::new();
    while record.now() < end {
        if record.now() >= next_job && record.now() + LAST < end {
            next_job += USUAL_GAP;
            number += 1;
            world.submit(&Job::new(number, vec![USUAL], USUAL_TAKES_MS));
        }
        if record.now() >= load_at && !load_sent {
            load_sent = true;
            let taken = load.iter().filter(|job| world.submit(job)).count();
            let tasks: u64 = load.iter().map(Job::tasks).sum();
            record.say(&format!("{tasks} tasks come as {} jobs, {taken} accepted", load.len()));
        }
        world.pass(SAMPLE);
        let now = record.now();
        let runs = record.runs();
        let in_use = world.workers.share_in_use();
        // The turn of a job with times depends on the time of day.
        for (id, job) in world.accepted.iter().filter(|(_, job)| job.times.is_none()) {
            let own = runs.range(id.clone()..).take_while(|(task, _)| task.starts_with(id));
            let own: Vec<_> = own.map(|(_, runs)| runs).collect();
            let is_done = |runs: &&&Vec<_>| {
                let ended = |run: &crate::record::Run| run.ended.map(|(_, how)| how);
                runs.iter().any(|run| ended(run) == Some("done"))
            };
            let over = own.iter().filter(is_done).count() as u64 >= job.tasks();
            let running = own.iter().any(|runs| runs.iter().any(|run| run.ended.is_none()));
            if running || over || in_use >= 0.5 {
                busy_at.insert(id.clone(), now);
                continue;
            }
            let since = *busy_at.entry(id.clone()).or_insert(now);
            if now > since + IDLE && lost.insert(id.clone(), now).is_none() {
                let (since, in_use) = (since.as_secs_f64(), in_use * 100.0);
                let text = format!(
                    "LOST {id}: nothing runs since {since:.3}, {in_use:.0}% of the service in use"
                );
                if lost.len() <= PRINTED { record.say(&text) } else { record.line(&text) }
            }
        }
    }
    let ids: Vec<_> = world.accepted.keys().cloned().collect();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    for id in ids {
        *states.entry(world.state(&id).unwrap_or_else(|| "not told".to_owned())).or_default() += 1;
    }
    record.say(&format!("{} accepted jobs are shown as {states:?}", world.accepted.len()));
    record.say(&format!(
        "{} accepted jobs had nothing running for over 3 s; the store refused {} appends as too \
         large; processes ended by themselves {} times; most memory {} MB",
        lost.len(),
        world.store.too_large(),
        world.daemons.own_ends(),
        world.daemons.peak_mb()
    ));
    if world.accepted.len() < 10 {
        return Verdict::NotRun;
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
