//! Output as text or JSON.

use std::io::Write as _;
use std::str::FromStr;

use serde::Serialize;
use snafu::Snafu;

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Text,
    /// For programs; one JSON value.
    Json,
}

/// A word that is not a format.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a format; write text or json"))]
pub(crate) struct UnknownFormat {
    text: String,
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, UnknownFormat> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => UnknownFormatSnafu { text }.fail(),
        }
    }
}

impl std::fmt::Display for Format {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// Prints a value in one form or the other.
pub(crate) fn print(format: Format, value: &impl Serialize, text: impl FnOnce() -> String) {
    let out = match format {
        Format::Text => text(),
        Format::Json => serde_json::to_string(value).unwrap_or_default(),
    };
    print_line(&out);
}

/// Prints a line; a reader that has gone away is no error.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
