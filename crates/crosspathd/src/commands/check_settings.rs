//! Validates a settings file and reports the first error.

use std::io::Write as _;
use std::path::Path;

use super::ExitStatus;

pub(crate) fn run(file: &Path) -> ExitStatus {
    match crosspath_settings::load(file) {
        Ok(settings) => {
            let _ = writeln!(std::io::stdout(), "{}: ok, daemon {}", file.display(), settings.name);
            ExitStatus::Success
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            ExitStatus::BadSettings
        }
    }
}
