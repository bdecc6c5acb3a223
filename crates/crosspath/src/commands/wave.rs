//! `crosspath wave`: creates and controls maintenance waves.

use std::time::Duration;

use crosspath_operator::model::Resource;
use crosspath_state::record::Revision;
use crosspath_state::resource::{Id, Kind};
use serde_json::json;

use crate::api::Api;
use crate::args::WaveCommand;
use crate::commands;
use crate::error::{Error, ExitStatus};
use crate::output::{self, Format};

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const BAR_CHARS: usize = 30;

pub(crate) async fn run(
    api: &Api,
    format: Format,
    command: WaveCommand,
) -> Result<ExitStatus, Error> {
    let wave = match command {
        WaveCommand::Create { canary, pause_after_failures, name, pools } => {
            let spec = json!({
                "pools": pools, "canary": canary, "pause_after_failures": pause_after_failures
            });
            api.put(&id(&name)?, &spec, Revision(0)).await?
        }
        WaveCommand::Pause(name) => {
            let phase = json!({ "phase": "paused", "cause": "operator" });
            api.set_phase(&id(&name)?, &phase).await?
        }
        WaveCommand::Resume(name) => {
            api.set_phase(&id(&name)?, &json!({ "phase": "running" })).await?
        }
        WaveCommand::Cancel(name) => {
            api.set_phase(&id(&name)?, &json!({ "phase": "cancelled" })).await?
        }
        WaveCommand::Status { follow, name } => {
            return status(api, format, &id(&name)?, follow).await;
        }
    };
    output::print(format, &wave, || progress(&wave));
    Ok(ExitStatus::Success)
}

fn id(name: &str) -> Result<Id, Error> {
    commands::id(Kind::Wave, name)
}

async fn status(api: &Api, format: Format, id: &Id, follow: bool) -> Result<ExitStatus, Error> {
    loop {
        let Some(wave) = api.get(id).await? else {
            output::print_line(&format!("{id} does not exist"));
            return Ok(ExitStatus::Refused);
        };
        output::print(format, &wave, || progress(&wave));
        let phase = wave.status["phase"]["phase"].as_str();
        if !follow || matches!(phase, Some("done" | "cancelled")) {
            return Ok(ExitStatus::Success);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Formats the progress of a wave on one line: a bar, counts and the phase.
fn progress(wave: &Resource) -> String {
    let status = &wave.status;
    let count = |field: &str| status[field].as_array().map_or(0, Vec::len);
    let (serviced, targets, failed) = (count("serviced"), count("targets"), count("failed"));
    let filled = (BAR_CHARS * serviced).checked_div(targets).unwrap_or(BAR_CHARS);
    let bar = "#".repeat(filled) + &".".repeat(BAR_CHARS - filled);
    let phase = status["phase"]["phase"].as_str().unwrap_or("unknown");
    let cause = status["phase"]["cause"].as_str().map(|cause| format!(" ({cause})"));
    let cause = cause.unwrap_or_default();
    let failed = if failed > 0 { format!(", {failed} failed") } else { String::new() };
    format!("{} [{bar}] {serviced}/{targets} serviced{failed}, {phase}{cause}", wave.id.name)
}
