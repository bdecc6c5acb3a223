//! Command-line arguments. Doc comments of the commands and their fields are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser, Parser as _, construct, long};
use crosspath_state::resource::Kind;
use snafu::Snafu;

use crate::output::Format;

/// Parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    pub(crate) connection: Connection,
    pub(crate) format: Format,
    pub(crate) command: Command,
}

/// Address of the daemon and the operator's token.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// `None` if neither the command line nor the environment has one; some commands need no daemon.
    pub(crate) server: Option<SocketAddr>,
    /// `None` if it is not on the command line. The variable in the environment is read elsewhere,
    /// because the help text would show its value.
    pub(crate) token: Option<String>,
}

/// An argument is not a kind of resource.
#[derive(Debug, Snafu)]
#[snafu(display(
    "unknown kind {text:?}; expected pools, services, teams, callers, vms, jobs or waves"
))]
struct UnknownKind {
    text: String,
}

fn kind(text: String) -> Result<Kind, UnknownKind> {
    Kind::parse(&text).ok_or(UnknownKind { text })
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Show a resource, or all resources of a kind
    #[bpaf(command)]
    Get {
        /// Kind of resource: pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Name of the resource; all of the kind if left out
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
    /// Create or update the resources in a file
    #[bpaf(command)]
    Apply {
        /// JSON file with a list of resources
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Show what would change, without changing it
        dry_run: bool,
        /// Wait until every member has applied the changes
        wait: bool,
    },
    /// Show how a file differs from the declared resources
    #[bpaf(command)]
    Diff {
        /// JSON file with a list of resources
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
    },
    /// Delete a resource
    #[bpaf(command)]
    Delete {
        /// Delete the resource only if it is at this revision
        #[bpaf(argument("REVISION"), optional)]
        revision: Option<u64>,
        /// Kind of resource: pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Name of the resource
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Print changes to the resources of a kind as they happen
    #[bpaf(command)]
    Watch {
        /// Print the changes after this revision; after the current one if left out
        #[bpaf(argument("REVISION"), optional)]
        from: Option<u64>,
        /// Kind of resource: pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
    },
    /// Create and control maintenance waves
    #[bpaf(command)]
    Wave(#[bpaf(external(wave_command))] WaveCommand),
    /// Show what blocks a VM or a job
    #[bpaf(command)]
    Explain {
        /// Kind of resource: vm or job
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Name of the VM or job
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show the status of every daemon
    #[bpaf(command)]
    Status,
    /// Place no new work in a data centre, or withdraw that request
    #[bpaf(command)]
    Evacuate {
        /// Address of the platform's store
        #[bpaf(env("CROSSPATH_STORE"), argument("ADDRESS"))]
        store: SocketAddr,
        /// Withdraw the evacuation request
        undo: bool,
        /// Evacuate the data centre although no other with workers would be left
        force: bool,
        /// Return when no task is left there, or with status 6 after the timeout
        wait: bool,
        /// Seconds to wait for
        #[bpaf(argument("SECONDS"), fallback(600))]
        timeout: u64,
        /// Name of the data centre
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Show the evacuated data centres, their workers and the tasks that remain
    #[bpaf(command)]
    Evacuations {
        /// Address of the platform's store
        #[bpaf(env("CROSSPATH_STORE"), argument("ADDRESS"))]
        store: SocketAddr,
    },
    /// Summarise one job from the saved logs of all daemons
    #[bpaf(command)]
    Trace {
        /// Print all log lines of the job and its tasks instead of a summary
        #[bpaf(long)]
        all: bool,
        /// Identifier of the job
        #[bpaf(positional("JOB"))]
        job: String,
        /// Log files; standard input if left out
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Show the outcome of a change that was reported as unknown
    #[bpaf(command)]
    Change {
        /// Identifier from the error message of the change
        #[bpaf(positional("ID"))]
        id: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum WaveCommand {
    /// Create a wave and start it
    #[bpaf(command)]
    Create {
        /// Service one VM of each pool alone first
        canary: bool,
        /// Number of failed VMs after which the wave pauses itself
        #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
        pause_after_failures: u32,
        /// Name of the wave
        #[bpaf(positional("NAME"))]
        name: String,
        /// Pools whose VMs are serviced
        #[bpaf(positional("POOL"), some("expected at least one pool"))]
        pools: Vec<String>,
    },
    /// Pause a wave: service no further VM until it is resumed
    #[bpaf(command)]
    Pause(#[bpaf(positional("NAME"))] String),
    /// Resume a paused wave
    #[bpaf(command)]
    Resume(#[bpaf(positional("NAME"))] String),
    /// Cancel a wave: service no further VM; it cannot be resumed
    #[bpaf(command)]
    Cancel(#[bpaf(positional("NAME"))] String),
    /// Show the progress of a wave
    #[bpaf(command)]
    Status {
        /// Print the progress repeatedly until the wave has ended
        follow: bool,
        /// Name of the wave
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

fn connection() -> impl bpaf::Parser<Connection> {
    let server = long("server")
        .env("CROSSPATH_SERVER")
        .help("Address of a daemon's resource API")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let token = long("token")
        .help("Bearer token; prefer CROSSPATH_TOKEN, which other users cannot list")
        .argument::<String>("TOKEN")
        .optional();
    construct!(Connection { server, token })
}

fn format() -> impl bpaf::Parser<Format> {
    long("output-format")
        .help("Format of the output: text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
        .display_fallback()
}

pub(crate) fn parser() -> OptionParser<Args> {
    let connection = connection();
    let format = format();
    let command = command();
    construct!(Args { connection, format, command })
        .to_options()
        .descr("Manages the resources of a crosspath site")
}
