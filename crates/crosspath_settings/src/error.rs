//! Errors in a settings file, with the invalid field.

use std::path::PathBuf;

use snafu::Snafu;

/// A settings file is unreadable or invalid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// Path of the settings file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or does not match the schema.
    #[snafu(display("{}: field {field}: {source}", file.display()))]
    Shape {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the invalid field.
        field: String,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The value of a field is not allowed.
    #[snafu(display("{}: field {field}: {value} cannot be used; {remedy}", file.display()))]
    Value {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the invalid field.
        field: &'static str,
        /// Value that is not allowed, or a placeholder for a secret.
        value: String,
        /// Instruction for a valid value.
        remedy: &'static str,
    },
}
