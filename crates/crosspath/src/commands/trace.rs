//! `crosspath trace`: the story of one job, from saved logs of all daemons.
//!
//! It prints the lines that name the job or one of its tasks, and, from a little before the first of
//! those to the last, the lines that tell of the workers that ran them and of who owned the job's
//! shard.

use std::collections::BTreeSet;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use snafu::ResultExt as _;

use crate::error::{Error, ExitStatus, NotLoggedSnafu, ReadSnafu};
use crate::output::{self, Format};

/// Lines on owners that come this many seconds before the job's first line still bear on it.
const BEFORE_S: u64 = 5;

/// One line of a log.
#[derive(Debug)]
struct Line<'a> {
    /// Time of day of the line, in seconds.
    at_s: u64,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// Reads a line of the form `… 2026-12-02T15:53:10Z … event=NAME key=value …`.
    fn parse(text: &'a str) -> Option<Self> {
        let time = text.split_once('T')?.1;
        let mut parts = time.get(..8)?.split(':').map(str::parse::<u64>);
        let mut next = || parts.next()?.ok();
        let (hours, minutes, seconds) = (next()?, next()?, next()?);
        Some(Self { at_s: hours * 3_600 + minutes * 60 + seconds, text })
    }

    fn value(&self, key: &str) -> Option<&'a str> {
        let pairs = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        let (_, value) = pairs.into_iter().find(|(known, _)| *known == key)?;
        Some(value)
    }

    fn is_of(&self, job: &str) -> bool {
        let task = |task: &str| task.split('.').next() == Some(job);
        self.value("job") == Some(job)
            || self.value("task").is_some_and(task)
            || self.value("key").is_some_and(|key| key.rsplit('/').next() == Some(job))
    }
}

/// Prints the job's lines, in order of time.
pub(crate) fn run(format: Format, job: &str, files: &[PathBuf]) -> Result<ExitStatus, Error> {
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
    output::print(format, &story, || story.join("\n"));
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
    let (workers, shards) = (values("worker"), values("shard"));
    let bears = |line: &&Line<'_>| {
        let of_worker = line.value("event").is_some_and(|event| event.starts_with("worker_"))
            && line.value("worker").is_some_and(|worker| workers.contains(worker));
        let of_shard = line.value("shard").is_some_and(|shard| shards.contains(shard))
            && line.value("job").is_none();
        line.is_of(job) || ((from..=to).contains(&line.at_s) && (of_worker || of_shard))
    };
    lines.iter().filter(bears).map(|line| line.text).collect()
}
