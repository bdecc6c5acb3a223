//! `crosspath trace`: the story of one job, from saved logs of all daemons.
//!
//! A first line tells whether the job was in time and what it waited for longest, a line each how its
//! steps went, and then come the lines of the job itself and of who owned its shard. With `--all` it
//! prints every line that names the job or one of its tasks, and, from a little before the first of
//! those to the last, those of the workers that ran them, since they did.

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

/// Lines on owners that come this many seconds before the job's first line still bear on it.
const OWNER_CONTEXT_S: u64 = 5;
/// How lines on commits name a shard's partition, before its number.
const SHARD_PARTITION_PREFIX: &str = "Shards/";

/// Prints the job's lines, `all` its lines or the summary.
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

/// When the job's lines name each worker first, in seconds.
fn first_use_of_workers<'a>(job_lines: &[&Line<'a>]) -> BTreeMap<&'a str, u64> {
    let mut first = BTreeMap::new();
    for line in job_lines {
        if let Some(worker) = line.value("worker") {
            first.entry(worker).or_insert(line.time_of_day_s);
        }
    }
    first
}
