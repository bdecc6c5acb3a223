//! Record of what was sent, answered and run, written to a file and kept for the checks.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub number: u64,
    pub began: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// When the end was taken note of.
    pub noted: Option<Duration>,
}

#[derive(Debug)]
struct State {
    file: File,
    runs: BTreeMap<String, Vec<Run>>,
}

#[derive(Debug)]
pub struct Record {
    began: Instant,
    state: Mutex<State>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        let state = Mutex::new(State { file, runs: BTreeMap::new() });
        Self { began: Instant::now(), state }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        writeln!(self.lock().file, "{now:8.3} {text}").expect("the record can be written");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    pub fn started(&self, worker: &str, task: &str, number: u64) {
        self.line(&format!("worker {worker} starts {task} run {number}"));
        let run =
            Run { worker: worker.to_owned(), number, began: self.now(), ended: None, noted: None };
        self.lock().runs.entry(task.to_owned()).or_default().push(run);
    }

    fn change(&self, worker: &str, task: &str, number: u64, change: impl FnOnce(&mut Run)) {
        let mut state = self.lock();
        let runs = state.runs.entry(task.to_owned()).or_default();
        let run = runs.iter_mut().find(|run| run.worker == worker && run.number == number);
        if let Some(run) = run {
            change(run);
        }
    }

    pub fn ended(&self, worker: &str, task: &str, number: u64, how: &'static str) {
        self.line(&format!("worker {worker} ends {task} run {number}: {how}"));
        let now = self.now();
        self.change(worker, task, number, |run| run.ended = Some((now, how)));
    }

    pub fn noted(&self, worker: &str, task: &str, number: u64, how: &'static str) {
        self.line(&format!("worker {worker} is told that {task} run {number} ({how}) is noted"));
        let now = self.now();
        self.change(worker, task, number, |run| run.noted = Some(now));
    }

    /// All runs by task.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        self.lock().runs.clone()
    }
}
