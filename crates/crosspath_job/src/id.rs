//! Identifiers of jobs and tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use snafu::Snafu;

const JOB_DIGITS: usize = 16;

/// Text that is not a valid job or task identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("\"{text}\" is not {expected}"))]
pub struct ParseError {
    text: String,
    expected: &'static str,
}

fn malformed(text: &str, expected: &'static str) -> ParseError {
    ParseError { text: text.to_owned(), expected }
}

/// Identifier of a job, chosen by its caller. Written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_DIGITS || !text.bytes().all(lower_hex) {
            return Err(malformed(text, "16 lower-case hexadecimal digits"));
        }
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| malformed(text, "16 lower-case hexadecimal digits"))
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Identifier of one task of a job. Written as `JOB.TIME.STEP.INDEX`, where `TIME` is the
/// occurrence; all numbers but that of the job are decimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Position of the step within the job, counted from 0.
    pub step: u32,
    /// Position of the task within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = "JOB.TIME.STEP.INDEX";
        let mut parts = text.split('.');
        let job = parts.next().unwrap_or_default().parse()?;
        let mut number = || -> Result<u32, ParseError> {
            let part = parts.next().unwrap_or_default();
            part.parse().map_err(|_| malformed(text, expected))
        };
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(malformed(text, expected));
        }
        Ok(Self { job, occurrence, step, index })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
