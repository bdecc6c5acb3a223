//! Runs the daemon.

use std::path::Path;

use super::ExitStatus;

pub(crate) async fn run(file: &Path) -> ExitStatus {
    let settings = match crosspath_settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("event=settings_refused error=\"{error}\"");
            return ExitStatus::BadSettings;
        }
    };
    match crosspathd::run(settings).await {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("event=not_started error=\"{error}\"");
            ExitStatus::NotStarted
        }
    }
}
