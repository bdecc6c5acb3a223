//! Errors that point at the field.

use std::path::PathBuf;

use snafu::Snafu;

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not JSON of the right shape.
    #[snafu(display("{}: field {field}: {source}", file.display()))]
    Shape {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// What the decoder says.
        source: serde_json::Error,
    },
    /// A field has a value that cannot be used.
    #[snafu(display("{}: field {field}: {value} cannot be used; {remedy}", file.display()))]
    Value {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}
