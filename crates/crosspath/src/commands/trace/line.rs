//! Lines of a daemon's log.

/// A line of a log.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    /// Time of day, in seconds since midnight.
    pub(crate) time_of_day_s: u64,
    pub(crate) text: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line of the form `… 2026-12-02T15:53:10Z … event=NAME key=value …`.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let time = text.split_once('T')?.1;
        let mut parts = time.get(..8)?.split(':').map(str::parse::<u64>);
        let mut next = || parts.next()?.ok();
        let (hours, minutes, seconds) = (next()?, next()?, next()?);
        Some(Self { time_of_day_s: hours * 3_600 + minutes * 60 + seconds, text })
    }

    pub(crate) fn value(&self, key: &str) -> Option<&'a str> {
        let pairs = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        let (_, value) = pairs.into_iter().find(|(name, _)| *name == key)?;
        Some(value)
    }

    /// Returns the numeric value of `key`, or 0 if there is none.
    pub(crate) fn number(&self, key: &str) -> u64 {
        self.value(key).and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    pub(crate) fn is_event(&self, event: &str) -> bool {
        self.value("event") == Some(event)
    }

    pub(crate) fn concerns_job(&self, job: &str) -> bool {
        let task = |task: &str| task.split('.').next() == Some(job);
        self.value("job") == Some(job)
            || self.value("task").is_some_and(task)
            || self.value("key").is_some_and(|key| key.rsplit('/').next() == Some(job))
    }
}
