//! Summary of a job: whether it met its objective, what it waited for, and the runs of each step.

use std::collections::BTreeMap;

use serde::Serialize;

use super::line::Line;

/// Shortest wait of a task, in ms, that is reported with a cause. A round of placement and the
/// append of the placement record alone take about 50 ms.
const NOTABLE_WAIT_MS: u64 = 100;

/// Cause of a task's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Cause {
    /// Another daemon took over the shard during the wait.
    Takeover,
    /// The log did not accept records of the shard's owner during the wait.
    Log,
    /// No worker had enough free resources. Assumed if the lines show no other cause.
    Room,
}

/// Time that a task waited before it was placed.
#[derive(Debug, Clone, Copy, Serialize)]
struct Wait {
    ms: u64,
    cause: Cause,
}

/// Runs of one step in one occurrence of a job.
#[derive(Debug, Default, Serialize)]
struct Step {
    name: String,
    placed: u64,
    done: u64,
    /// Number of runs that did not end with `Done` or were abandoned.
    other: u64,
    longest_run_ms: u64,
    longest_wait: Option<Wait>,
    /// Number of starts that went by each relay.
    relays: BTreeMap<String, u64>,
}

/// Summary of a job.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    verdict: String,
    steps: Vec<Step>,
    /// Log lines of the job itself and of its shard.
    lines: Vec<String>,
}

impl Summary {
    /// Summarises the selected lines of a job.
    pub(crate) fn new(texts: &[&str]) -> Self {
        let lines: Vec<_> = texts.iter().filter_map(|text| Line::parse(text)).collect();
        let steps = summarise_steps(&lines);
        let is_task_line = |line: &&Line<'_>| line.value("task").is_some();
        let is_worker_line = |line: &&Line<'_>| {
            line.value("event").is_some_and(|event| event.starts_with("worker_"))
        };
        let job_and_shard_lines =
            lines.iter().filter(|line| !is_task_line(line) && !is_worker_line(line));
        let verdict = summarise_job(&lines, &steps);
        Self {
            verdict,
            steps,
            lines: job_and_shard_lines.map(|line| line.text.to_owned()).collect(),
        }
    }

    /// Formats the summary as text.
    pub(crate) fn text(&self) -> String {
        let steps = self.steps.iter().map(Step::text);
        let lines = self.lines.iter().cloned();
        let all: Vec<_> = [self.verdict.clone()].into_iter().chain(steps).chain(lines).collect();
        all.join("\n")
    }
}

impl Step {
    fn text(&self) -> String {
        let Self { name, placed, done, other, longest_run_ms, relays, .. } = self;
        let wait = match self.longest_wait {
            Some(Wait { ms, cause }) if ms >= NOTABLE_WAIT_MS => {
                format!("longest wait {ms} ms ({})", cause.text())
            }
            _ => "no wait".to_owned(),
        };
        let by_relay =
            |(relay, starts): (&String, &u64)| format!("; {starts} starts by relay {relay}");
        let relayed: String = relays.iter().map(by_relay).collect();
        format!(
            "step {name}: {placed} runs placed, {done} done, {other} otherwise; {wait}; longest run \
             {longest_run_ms} ms{relayed}"
        )
    }
}

impl Cause {
    fn text(self) -> &'static str {
        match self {
            Self::Takeover => "its shard was taken over",
            Self::Log => "the log did not take records",
            Self::Room => "no worker with room",
        }
    }
}

/// Returns the occurrence and step in a task's name, which has the form `JOB.TIME.STEP.INDEX`.
fn step_name(task: &str) -> Option<String> {
    let mut parts = task.split('.').skip(1);
    Some(format!("{}.{}", parts.next()?, parts.next()?))
}

fn summarise_steps(lines: &[Line<'_>]) -> Vec<Step> {
    let mut steps: BTreeMap<String, Step> = BTreeMap::new();
    for line in lines {
        let Some(name) = line.value("task").and_then(step_name) else { continue };
        let step = steps.entry(name.clone()).or_default();
        step.name = name;
        if line.is_event("run_placed") {
            step.placed += 1;
            let ms = line.number("waited_ms");
            if step.longest_wait.is_none_or(|longest| ms > longest.ms) {
                step.longest_wait = Some(Wait { ms, cause: wait_cause(lines, line, ms) });
            }
        }
        if line.is_event("start_relayed") {
            let relay = line.value("relay").unwrap_or("unknown").to_owned();
            *step.relays.entry(relay).or_default() += 1;
        }
        if line.is_event("run_ended") && line.value("how") == Some("Done") {
            step.done += 1;
            step.longest_run_ms = step.longest_run_ms.max(line.number("took_ms"));
        }
        let ended_otherwise = line.is_event("run_ended") && line.value("how") != Some("Done");
        step.other += u64::from(ended_otherwise || line.is_event("run_over"));
    }
    steps.into_values().collect()
}

/// Determines the cause of a task's wait of `waited_ms` from the lines up to its line `placed`. The
/// wait is rounded up to whole seconds, because the lines have no finer timestamps.
fn wait_cause(lines: &[Line<'_>], placed: &Line<'_>, waited_ms: u64) -> Cause {
    let from = placed.time_of_day_s.saturating_sub(waited_ms.div_ceil(1_000));
    let during_wait =
        || lines.iter().filter(|line| (from..=placed.time_of_day_s).contains(&line.time_of_day_s));
    if during_wait().any(|line| line.is_event("shard_claimed") || line.is_event("taken_over")) {
        return Cause::Takeover;
    }
    if during_wait().any(|line| line.is_event("commit_failed")) {
        return Cause::Log;
    }
    Cause::Room
}

fn summarise_job(lines: &[Line<'_>], steps: &[Step]) -> String {
    let waits = steps.iter().filter_map(|step| Some((step, step.longest_wait?)));
    let longest = waits.max_by_key(|(_, wait)| wait.ms);
    let wait = match longest {
        Some((step, Wait { ms, cause })) if ms >= NOTABLE_WAIT_MS => {
            format!("; longest wait {ms} ms before step {} ({})", step.name, cause.text())
        }
        _ => String::new(),
    };
    let Some(job_ended) = lines.iter().rfind(|line| line.is_event("job_ended")) else {
        return format!("not ended in these logs{wait}");
    };
    let state = job_ended.value("state").unwrap_or("ended").to_lowercase();
    let (after_ms, objective_ms) = (job_ended.number("after_ms"), job_ended.number("objective_ms"));
    if let Some(abandoned) = lines.iter().rfind(|line| line.is_event("task_given_up")) {
        let task = abandoned.value("task").unwrap_or("a task");
        let losses = abandoned.number("losses");
        return format!(
            "{state} after {after_ms} ms: {losses} workers were lost under {task}{wait}"
        );
    }
    let late_ms = after_ms.saturating_sub(objective_ms);
    match (objective_ms, late_ms) {
        (0, _) => format!("{state} after {after_ms} ms{wait}"),
        (_, 0) => format!("{state} after {after_ms} ms, in time for {objective_ms} ms{wait}"),
        _ => format!("{state} after {after_ms} ms, {late_ms} ms late for {objective_ms} ms{wait}"),
    }
}
