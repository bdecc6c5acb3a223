//! The program's commands, one module each.

pub(crate) mod check_settings;
pub(crate) mod platform;
pub(crate) mod run;
pub(crate) mod schema;

use std::process::ExitCode;

/// Exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded (exit code 0).
    Success,
    /// The settings file cannot be read or is invalid (exit code 2).
    BadSettings,
    /// The command could not start or produced no result (exit code 1).
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
