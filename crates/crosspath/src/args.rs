//! What is written on the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, OptionParser, Parser as _, construct, long};
use crosspath_state::resource::Kind;
use snafu::Snafu;

use crate::output::Format;

/// The whole command line.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    pub(crate) connection: Connection,
    pub(crate) format: Format,
    pub(crate) command: Command,
}

/// Where the daemon is and who asks.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// None for commands that ask no daemon.
    pub(crate) server: Option<SocketAddr>,
    /// None when it is in the environment, which the help text must not show.
    pub(crate) token: Option<String>,
}

/// A word that is not a kind of resource.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{text:?} is not a kind; write pools, services, teams, callers, vms, jobs or waves"
))]
struct UnknownKind {
    text: String,
}

fn kind(text: String) -> Result<Kind, UnknownKind> {
    Kind::parse(&text).ok_or(UnknownKind { text })
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Show one resource, or all of a kind
    #[bpaf(command)]
    Get {
        /// pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Its name
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
    /// Declare the resources of a file
    #[bpaf(command)]
    Apply {
        /// JSON file with a list of resources
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Say what would change and change nothing
        dry_run: bool,
        /// Return when the changes are in force on every daemon
        wait: bool,
    },
    /// Say how a file differs from what is declared
    #[bpaf(command)]
    Diff {
        /// JSON file with a list of resources
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
    },
    /// Remove a resource
    #[bpaf(command)]
    Delete {
        /// Only while it is at this revision
        #[bpaf(argument("REVISION"), optional)]
        revision: Option<u64>,
        /// pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show changes of a kind as they come
    #[bpaf(command)]
    Watch {
        /// From this revision on; from now when left out
        #[bpaf(argument("REVISION"), optional)]
        from: Option<u64>,
        /// pools, services, teams, callers, vms, jobs or waves
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
    },
    /// Create and steer maintenance waves
    #[bpaf(command)]
    Wave(#[bpaf(external(wave_command))] WaveCommand),
    /// Say what stands in the way of a VM or a job
    #[bpaf(command)]
    Explain {
        /// vm or job
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show every daemon
    #[bpaf(command)]
    Status,
    /// Keep new work from a data centre, or let it in again
    #[bpaf(command)]
    Evacuate {
        /// Address of the platform's store
        #[bpaf(env("CROSSPATH_STORE"), argument("ADDRESS"))]
        store: SocketAddr,
        /// Take the evacuation back
        undo: bool,
        /// Its name
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: String,
    },
    /// Show which data centres are evacuated, and the workers there
    #[bpaf(command)]
    Evacuations {
        /// Address of the platform's store
        #[bpaf(env("CROSSPATH_STORE"), argument("ADDRESS"))]
        store: SocketAddr,
    },
    /// Print the story of one job, from saved logs of all daemons
    #[bpaf(command)]
    Trace {
        /// Every line, of each task too, instead of a summary
        #[bpaf(long)]
        all: bool,
        /// Identifier of the job
        #[bpaf(positional("JOB"))]
        job: String,
        /// Logs; standard input when there is none
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Ask what became of a change whose fate was not known
    #[bpaf(command)]
    Change {
        /// The id that the change was given
        #[bpaf(positional("ID"))]
        id: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum WaveCommand {
    /// Start a wave
    #[bpaf(command)]
    Create {
        /// Serve one VM of each pool alone first
        canary: bool,
        /// Failures after which the wave pauses itself
        #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
        pause_after_failures: u32,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
        /// The pools whose VMs are serviced
        #[bpaf(positional("POOL"), some("name at least one pool"))]
        pools: Vec<String>,
    },
    /// Start no further VM until the wave is resumed
    #[bpaf(command)]
    Pause(#[bpaf(positional("NAME"))] String),
    /// Go on with a paused wave
    #[bpaf(command)]
    Resume(#[bpaf(positional("NAME"))] String),
    /// Start no further VM, ever
    #[bpaf(command)]
    Cancel(#[bpaf(positional("NAME"))] String),
    /// Show how far a wave is
    #[bpaf(command)]
    Status {
        /// Show it again until the wave has ended
        follow: bool,
        /// Its name
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
        .help("Bearer token; better set as CROSSPATH_TOKEN, which other users cannot list")
        .argument::<String>("TOKEN")
        .optional();
    construct!(Connection { server, token })
}

fn format() -> impl bpaf::Parser<Format> {
    long("output-format")
        .help("text or json")
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
        .descr("Declares, shows and steers the resources of a crosspath site")
}
