//! Errors of the commands, and the exit status for each.

use std::net::SocketAddr;
use std::path::PathBuf;

use crosspath_border::store;
use crosspath_http::client;
use crosspath_operator::model::Problem;
use snafu::Snafu;

/// Exit status of the program. Scripts may rely on the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// `diff` found differences.
    Different = 1,
    /// The command line, a file or a field is invalid.
    InvalidInput = 2,
    /// The daemon refused the request: a conflict, a missing resource or a missing right.
    Refused = 3,
    /// Nothing was changed, because the daemon or the log could not be reached.
    NotAccepted = 4,
    /// It is unknown whether something was changed.
    Unknown = 5,
    /// The evacuation is in force, but the data centre did not get empty in time.
    NotEmpty = 6,
}

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{}: cannot be read: {source}", file.display()))]
    Read { file: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {field}: {source}", file.display()))]
    Malformed { file: PathBuf, field: String, source: serde_json::Error },
    #[snafu(display("{}: resource {name}: {source}", file.display()))]
    Name { file: PathBuf, name: String, source: crosspath_state::name::InvalidName },
    #[snafu(display("no address of a daemon; set CROSSPATH_SERVER or use --server ADDRESS"))]
    MissingServer,
    #[snafu(display("no line names the job {job}; are the logs of all daemons given?"))]
    JobNotLogged { job: String },
    #[snafu(display(
        "no worker is in the data centre {data_centre}; data centres with workers: {known}"
    ))]
    UnknownDataCentre { data_centre: String, known: String },
    #[snafu(display(
        "data centre {data_centre} is the last one with workers that is not evacuated; use --force to evacuate it too"
    ))]
    LastDataCentre { data_centre: String },
    #[snafu(display("platform's store at {address}: {source}"))]
    Store { address: SocketAddr, source: store::Error },
    #[snafu(display(
        "data centre {data_centre} is evacuated, but not known to be empty after {seconds} s: {state}"
    ))]
    NotEmpty { data_centre: String, seconds: u64, state: String },
    #[snafu(display("the evacuation of data centre {data_centre} was withdrawn meanwhile"))]
    Withdrawn { data_centre: String },
    #[snafu(display("no token; set {variable} or use --token TOKEN"))]
    MissingToken { variable: &'static str },
    #[snafu(display("{}", problem.message))]
    Refused { status: u16, problem: Box<Problem> },
    #[snafu(display("{source}"))]
    Call { source: client::Error },
    #[snafu(display("revision {revision} is not applied on {daemons} after {seconds} s"))]
    WaitTimeout { revision: u64, daemons: String, seconds: u64 },
}

impl Error {
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Read { .. }
            | Self::Malformed { .. }
            | Self::Name { .. }
            | Self::MissingServer
            | Self::JobNotLogged { .. }
            | Self::UnknownDataCentre { .. }
            | Self::MissingToken { .. } => ExitStatus::InvalidInput,
            Self::LastDataCentre { .. } | Self::Withdrawn { .. } => ExitStatus::Refused,
            Self::NotEmpty { .. } => ExitStatus::NotEmpty,
            Self::Refused { status: 400 | 413 | 422, .. } => ExitStatus::InvalidInput,
            Self::Refused { status: 503, .. } => ExitStatus::NotAccepted,
            Self::Refused { status: 504, .. } => ExitStatus::Unknown,
            Self::Refused { .. } => ExitStatus::Refused,
            Self::Call { source: client::Error::NotSent { .. } } => ExitStatus::NotAccepted,
            Self::Store { source, .. } if source.had_no_effect() => ExitStatus::NotAccepted,
            Self::Store { .. } | Self::Call { .. } | Self::WaitTimeout { .. } => {
                ExitStatus::Unknown
            }
        }
    }
}
