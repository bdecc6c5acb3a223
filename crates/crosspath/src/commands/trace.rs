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
use crate::error::{Error, ExitStatus, NotLoggedSnafu, ReadSnafu};
use crate::output::{self, Format};

/// Lines on owners that come this many seconds before the job's first line still bear on it.
const BEFORE_S: u64 = 5;
/// How lines on commits name a shard's partition, before its number.
const SHARD_PARTITION: &str = "Shards/";

/// Prints the job's story, `all` its lines or the summary.
pub(crate) fn run(
    format: Format,
    job: &str,
    files: &[PathBuf],
    all: bool,
) -> Result<ExitStatus, Error> {
    let mut whole = String::new();
    if files.is_empty() {
        let source = Path::new("standard input");
        std::io::stdin().read_to_string(&mut whole).context(ReadSnafu { file: source })?;
    }
    for file in files {
        whole += &std::fs::read_to_string(file).context(ReadSnafu { file })?;
        whole.push('\n');
    }
    let story = story(&whole, job);
    if story.is_empty() {
        return NotLoggedSnafu { job }.fail();
    }
    if all {
        output::print(format, &story, || story.join("\n"));
    } else {
        let summary = Summary::new(&story);
        output::print(format, &summary, || summary.text());
    }
    Ok(ExitStatus::Success)
}

fn story<'a>(whole: &'a str, job: &str) -> Vec<&'a str> {
    let mut lines: Vec<_> = whole.lines().filter_map(Line::parse).collect();
    lines.sort_by_key(|line| line.at_s);
    let own: Vec<_> = lines.iter().filter(|line| line.is_of(job)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let (from, to) = (first.at_s.saturating_sub(BEFORE_S), last.at_s);
    let values =
        |key: &str| -> BTreeSet<&str> { own.iter().filter_map(|line| line.value(key)).collect() };
    let shards = values("shard");
    let partitions: BTreeSet<String> =
        shards.iter().map(|shard| format!("{SHARD_PARTITION}{shard}")).collect();
    let first_use = first_use_of_workers(&own);
    let bears = |line: &&Line<'_>| {
        let of_worker = line.value("event").is_some_and(|event| event.starts_with("worker_"))
            && line
                .value("worker")
                .and_then(|worker| first_use.get(worker))
                .is_some_and(|first| line.at_s >= *first);
        let of_shard = line.value("job").is_none()
            && (line.value("shard").is_some_and(|shard| shards.contains(shard))
                || line.value("partition").is_some_and(|part| partitions.contains(part)));
        line.is_of(job) || ((from..=to).contains(&line.at_s) && (of_worker || of_shard))
    };
    lines.iter().filter(bears).map(|line| line.text).collect()
}

/// When the job's lines name each worker first, in seconds.
fn first_use_of_workers<'a>(own: &[&Line<'a>]) -> BTreeMap<&'a str, u64> {
    let mut first = BTreeMap::new();
    for line in own {
        if let Some(worker) = line.value("worker") {
            first.entry(worker).or_insert(line.at_s);
        }
    }
    first
}
