//! `crosspath`: command line for operators.

mod api;
mod args;
mod commands;
mod error;
mod file;
mod output;
mod table;

use std::io::Write as _;
use std::process::ExitCode;

use crate::error::ExitStatus;

#[tokio::main]
async fn main() -> ExitCode {
    let args = args::parser().run();
    let status = match commands::run(args).await {
        Ok(status) => status,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "crosspath: {error}");
            error.exit_status()
        }
    };
    ExitCode::from(status)
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
