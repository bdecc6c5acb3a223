//! Prints the JSON schema of the settings.

use std::io::Write as _;

use super::ExitStatus;

pub(crate) fn run() -> ExitStatus {
    let schema = schemars::schema_for!(crosspath_settings::Options);
    let Ok(text) = serde_json::to_string_pretty(&schema) else {
        return ExitStatus::NotStarted;
    };
    let _ = writeln!(std::io::stdout(), "{text}");
    ExitStatus::Success
}
