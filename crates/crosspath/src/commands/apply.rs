//! `crosspath apply`: creates or updates the resources in a file.

use std::path::Path;
use std::time::{Duration, Instant};

use crosspath_state::record::Revision;

use crate::api::Api;
use crate::commands::diff;
use crate::error::{Error, ExitStatus, WaitTimeoutSnafu};
use crate::output::{self, Format};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of the command.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mode {
    pub(crate) dry_run: bool,
    pub(crate) wait: bool,
}

pub(crate) async fn run(
    api: &Api,
    format: Format,
    file: &Path,
    mode: Mode,
) -> Result<ExitStatus, Error> {
    let differences = diff::differences(api, file).await?;
    if mode.dry_run {
        output::print(format, &differences, || diff::text(&differences));
        return Ok(ExitStatus::Success);
    }
    let mut applied = Vec::new();
    for difference in &differences {
        let resource = api.put(&difference.id, &difference.spec, difference.revision).await?;
        if format == Format::Text {
            output::print_line(&format!("{} at revision {}", resource.id, resource.revision));
        }
        applied.push(resource);
    }
    let newest = applied.iter().map(|resource| resource.revision).max();
    if let Some(newest) = newest.filter(|_| mode.wait) {
        wait_until_applied(api, newest).await?;
    }
    if format == Format::Json {
        output::print(format, &applied, String::new);
    } else if applied.is_empty() {
        output::print_line("nothing to change");
    }
    Ok(ExitStatus::Success)
}

/// Waits until every member has applied `revision`.
async fn wait_until_applied(api: &Api, revision: Revision) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let status = api.status().await?;
        let behind = status.daemons.iter().filter(|d| d.member && d.applied < revision);
        let behind: Vec<_> = behind.map(|daemon| daemon.name.clone()).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() > WAIT_TIMEOUT {
            let daemons = behind.join(", ");
            return WaitTimeoutSnafu {
                revision: revision.0,
                daemons,
                seconds: WAIT_TIMEOUT.as_secs(),
            }
            .fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
