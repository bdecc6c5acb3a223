//! Output to standard output, as text or JSON.

use std::io::Write as _;
use std::str::FromStr;

use serde::Serialize;
use snafu::Snafu;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people.
    Text,
    /// One JSON value for programs.
    Json,
}

/// An argument is not an output format.
#[derive(Debug, Snafu)]
#[snafu(display("unknown output format {text:?}; expected text or json"))]
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

/// Prints `value` as JSON, or the result of `text`, according to `format`.
pub(crate) fn print(format: Format, value: &impl Serialize, text: impl FnOnce() -> String) {
    let out = match format {
        Format::Text => text(),
        Format::Json => serde_json::to_string(value).unwrap_or_default(),
    };
    print_line(&out);
}

/// Prints a line. Ignores write errors, because the reader may have closed the pipe.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}
