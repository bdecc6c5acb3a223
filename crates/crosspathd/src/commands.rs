//! What the program can do, one file each.

pub(crate) mod check_settings;
pub(crate) mod platform;
pub(crate) mod run;
pub(crate) mod schema;

use std::process::ExitCode;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// As it should.
    Success,
    /// The settings cannot be used.
    BadSettings,
    /// It could not start.
    NotStarted,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::BadSettings => Self::from(2),
            ExitStatus::NotStarted => Self::from(1),
        }
    }
}
