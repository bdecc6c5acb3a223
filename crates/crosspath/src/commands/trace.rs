//! `crosspath trace`: the course of one job, from saved logs of all daemons.
//!
//! The summary starts with a line on whether the job met its objective and what it waited for
//! longest. A line for each step follows, and then the log lines of the job itself and of the
//! owners of its shard.
//!
//! With `--all`, the command prints every line that names the job or one of its tasks. From
//! [`OWNER_CONTEXT_S`] seconds before the first of these to the last, it also prints the lines on
//! the shard's owners, and the lines on each worker that ran a task, from its first use on.

mod line;
mod summary;

use std::collections::{BTreeMap, BTreeSet};
use std::io::Read as _;
use std::path::{Path, PathBuf};

use snafu::ResultExt as _;

use self::line::Line;
use self::summary::Summary;
use crate::error::{Error, ExitStatus, JobNotLoggedSnafu, ReadSnafu};
use crate::output::{self, Format};

/// Lines on the shard's owners are included from this many seconds before the job's first line.
const OWNER_CONTEXT_S: u64 = 5;
/// Prefix of a shard's number in the `partition` field of lines on commits.
const SHARD_PARTITION_PREFIX: &str = "Shards/";

/// Prints the log lines of a job with `all`, or else their summary.
pub(crate) fn run(
    format: Format,
    job: &str,
    files: &[PathBuf],
    all: bool,
) -> Result<ExitStatus, Error> {
    let mut logs = String::new();
    if files.is_empty() {
        let source = Path::new("standard input");
        std::io::stdin().read_to_string(&mut logs).context(ReadSnafu { file: source })?;
    }
    for file in files {
        logs += &std::fs::read_to_string(file).context(ReadSnafu { file })?;
        logs.push('\n');
    }
    let lines = select_lines(&logs, job);
    if lines.is_empty() {
        return JobNotLoggedSnafu { job }.fail();
    }
    if all {
        output::print(format, &lines, || lines.join("\n"));
    } else {
        let summary = Summary::new(&lines);
        output::print(format, &summary, || summary.text());
    }
    Ok(ExitStatus::Success)
}

/// Returns the lines on a job, on the owners of its shard and on its workers, in the order of their
/// time. Returns none if no line names the job.
fn select_lines<'a>(logs: &'a str, job: &str) -> Vec<&'a str> {
    let mut lines: Vec<_> = logs.lines().filter_map(Line::parse).collect();
    lines.sort_by_key(|line| line.time_of_day_s);
    let job_lines: Vec<_> = lines.iter().filter(|line| line.concerns_job(job)).collect();
    let (Some(first), Some(last)) = (job_lines.first(), job_lines.last()) else {
        return Vec::new();
    };
    let (from, to) = (first.time_of_day_s.saturating_sub(OWNER_CONTEXT_S), last.time_of_day_s);
    let values = |key: &str| -> BTreeSet<&str> {
        job_lines.iter().filter_map(|line| line.value(key)).collect()
    };
    let shards = values("shard");
    let partitions: BTreeSet<String> =
        shards.iter().map(|shard| format!("{SHARD_PARTITION_PREFIX}{shard}")).collect();
    let first_use = first_use_of_workers(&job_lines);
    let is_relevant = |line: &&Line<'_>| {
        let concerns_worker = line.value("event").is_some_and(|event| event.starts_with("worker_"))
            && line
                .value("worker")
                .and_then(|worker| first_use.get(worker))
                .is_some_and(|first| line.time_of_day_s >= *first);
        let concerns_shard = line.value("job").is_none()
            && (line.value("shard").is_some_and(|shard| shards.contains(shard))
                || line.value("partition").is_some_and(|part| partitions.contains(part)));
        line.concerns_job(job)
            || ((from..=to).contains(&line.time_of_day_s) && (concerns_worker || concerns_shard))
    };
    lines.iter().filter(is_relevant).map(|line| line.text).collect()
}

/// Returns the time of the first line of the job that names each worker, in seconds.
fn first_use_of_workers<'a>(job_lines: &[&Line<'a>]) -> BTreeMap<&'a str, u64> {
    let mut first = BTreeMap::new();
    for line in job_lines {
        if let Some(worker) = line.value("worker") {
            first.entry(worker).or_insert(line.time_of_day_s);
        }
    }
    first
}
