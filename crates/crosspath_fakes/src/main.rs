//! Runs the fakes as a program: `crosspath_fakes FILE.json`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser as _;
use crosspath_fakes::{Config, Fakes};
use snafu::{ResultExt as _, Snafu};

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Read { file: PathBuf, source: std::io::Error },
    #[snafu(display("cannot parse {}: {source}", file.display()))]
    Parse { file: PathBuf, source: serde_json::Error },
    #[snafu(display("{source}"))]
    Start { source: crosspath_fakes::StartError },
    #[snafu(display("cannot wait for the interrupt signal: {source}"))]
    Wait { source: std::io::Error },
}

async fn run(file: PathBuf) -> Result<(), Error> {
    let text = std::fs::read_to_string(&file).context(ReadSnafu { file: &file })?;
    let config: Config = serde_json::from_str(&text).context(ParseSnafu { file: &file })?;
    let fakes = Fakes::start(&config).await.context(StartSnafu)?;
    log::info!("event=fakes_started platform={} vms={}", fakes.platform, fakes.vms.len());
    tokio::signal::ctrl_c().await.context(WaitSnafu)
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let file = bpaf::positional::<PathBuf>("FILE").help("Configuration of the fakes, as JSON");
    let file = file.to_options().descr("Fake platform and upstreams for tests").run();
    match run(file).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=fakes_failed error=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}
