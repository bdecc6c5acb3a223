//! Commands of the command line, one module each.

mod apply;
mod change;
mod delete;
mod diff;
mod evacuate;
mod explain;
mod get;
mod status;
mod trace;
mod watch;
mod wave;

use std::time::Duration;

use crosspath_state::name::ResourceName;
use crosspath_state::resource::{Id, Kind};
use snafu::ResultExt as _;

use crate::api::Api;
use crate::args::{Args, Command};
use crate::error::{Error, ExitStatus, NameSnafu};

/// Runs the command in `args`.
pub(crate) async fn run(args: Args) -> Result<ExitStatus, Error> {
    let format = args.format;
    let api = || Api::new(&args.connection);
    match args.command {
        Command::Get { kind, name } => get::run(&api()?, format, kind, name.as_deref()).await,
        Command::Apply { file, dry_run, wait } => {
            apply::run(&api()?, format, &file, apply::Mode { dry_run, wait }).await
        }
        Command::Diff { file } => diff::run(&api()?, format, &file).await,
        Command::Delete { revision, kind, name } => {
            delete::run(&api()?, format, &id(kind, &name)?, revision).await
        }
        Command::Watch { from, kind } => watch::run(&api()?, kind, from).await,
        Command::Wave(command) => wave::run(&api()?, format, command).await,
        Command::Explain { kind, name } => explain::run(&api()?, format, &id(kind, &name)?).await,
        Command::Status => status::run(&api()?, format).await,
        Command::Evacuate { store, undo, force, wait, timeout, data_centre } => {
            let timeout = wait.then(|| Duration::from_secs(timeout));
            let request = evacuate::Request { data_centre: &data_centre, undo, force, timeout };
            evacuate::run(format, store, request).await
        }
        Command::Evacuations { store } => evacuate::show(format, store).await,
        Command::Trace { all, job, files } => trace::run(format, &job, &files, all),
        Command::Change { id } => change::run(&api()?, format, &id).await,
    }
}

fn id(kind: Kind, name: &str) -> Result<Id, Error> {
    let named = ResourceName::new(name).context(NameSnafu { file: "command line", name })?;
    Ok(Id::new(kind, named))
}
