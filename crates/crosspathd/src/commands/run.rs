//! Runs the daemon with the settings in a file until it is stopped.

use std::path::Path;

use super::ExitStatus;

pub(crate) fn run(file: &Path) -> ExitStatus {
    let settings = match crosspath_settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("event=settings_refused error=\"{error}\"");
            return ExitStatus::BadSettings;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=not_started error=\"{error}\"");
            return ExitStatus::NotStarted;
        }
    };
    match runtime.block_on(crosspathd::run(settings)) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("event=not_started error=\"{error}\"");
            ExitStatus::NotStarted
        }
    }
}
