//! `crosspathd`, the daemon of an entry VM: command line and start of logging.

mod commands;
mod logging;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser as _, construct, long};

#[derive(Debug, Clone)]
enum Command {
    Run { settings: PathBuf },
    Platform { platform: PathBuf },
    Check { check_settings: PathBuf },
    Schema,
}

fn parser() -> OptionParser<Command> {
    let settings = long("settings")
        .short('s')
        .help("Run with the settings in this JSON file")
        .argument::<PathBuf>("FILE");
    let run = construct!(Command::Run { settings });
    let platform = long("platform")
        .help("Run on the users' platform with the settings in this JSON file")
        .argument::<PathBuf>("FILE");
    let platform = construct!(Command::Platform { platform });
    let check_settings = long("check-settings")
        .help("Check the settings in this JSON file and exit")
        .argument::<PathBuf>("FILE");
    let check = construct!(Command::Check { check_settings });
    let schema = long("settings-schema")
        .help("Print the JSON schema of the settings and exit")
        .req_flag(Command::Schema);
    construct!([run, platform, check, schema]).to_options().descr("The daemon of an entry VM")
}

fn main() -> ExitCode {
    logging::start();
    let status = match parser().run() {
        Command::Run { settings } => commands::run::run(&settings),
        Command::Platform { platform } => commands::platform::run(&platform),
        Command::Check { check_settings } => commands::check_settings::run(&check_settings),
        Command::Schema => commands::schema::run(),
    };
    status.into()
}
