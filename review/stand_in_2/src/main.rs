//! Scenarios of the second independent review: `review_stand_in_2 SCENARIO RECORD`.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the scenario could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod advice;
mod advised;
mod cloud;
mod daemons;
mod ends;
mod http;
mod lasting_crashes;
mod long_tasks;
mod lost;
mod many_times;
mod moved_queue;
mod quiet;
mod record;
mod store;
mod timed_job;
mod worker;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::thread;

/// Result of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = arguments.as_slice() else {
        eprintln!("usage: review_stand_in_2 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(record).to_owned();
    let play = match scenario.as_str() {
        "advised" => advised::play,
        "ends" => ends::play,
        "lasting_crashes" => lasting_crashes::play,
        "long_tasks" => long_tasks::play,
        "many_times" => many_times::play,
        "moved_queue" => moved_queue::play,
        "quiet" => quiet::play,
        "timed_job" => timed_job::play,
        _ => {
            eprintln!("unknown scenario {scenario}");
            return ExitCode::from(2);
        }
    };
    // A panic unwinds that thread, which kills the daemons.
    let playing = thread::spawn(move || play(&record, trouble));
    match playing.join() {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun) | Err(_) => ExitCode::from(2),
    }
}
