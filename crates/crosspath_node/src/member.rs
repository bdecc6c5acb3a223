//! Text form under which a daemon joins the group of owners.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use snafu::{OptionExt as _, Snafu};

/// One incarnation of a daemon: its address for peers, its name, and the size of its VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Address on which other daemons connect.
    pub address: SocketAddr,
    /// Name of the daemon's VM.
    pub name: Arc<str>,
    /// Identifier of the process's current incarnation; differs between two starts of one daemon.
    pub incarnation: Arc<str>,
    /// Processor time of the daemon's VM, in thousandths of a core.
    pub millicores: u32,
    /// Data centre of the daemon's VM; `None` if the daemon is of a version that does not tell it.
    /// Such a daemon relays no calls.
    pub data_centre: Option<Arc<str>>,
}

/// Number of fields of the text form. The last one, the data centre, may contain the separator.
const FIELDS: usize = 5;

/// Error for a text that is not the text form of a member.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "invalid member \"{text}\": expected ADDRESS/NAME/INCARNATION/MILLICORES[/DATA_CENTRE]"
))]
pub struct ParseError {
    text: String,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { address, name, incarnation, millicores, data_centre } = self;
        write!(f, "{address}/{name}/{incarnation}/{millicores}")?;
        data_centre.as_ref().map_or(Ok(()), |data_centre| write!(f, "/{data_centre}"))
    }
}

impl FromStr for Member {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.splitn(FIELDS, '/');
        let mut parse = || {
            Some(Self {
                address: parts.next()?.parse().ok()?,
                name: parts.next()?.into(),
                incarnation: parts.next()?.into(),
                millicores: parts.next()?.parse().ok()?,
                data_centre: parts.next().map(Arc::from),
            })
        };
        parse().context(ParseSnafu { text })
    }
}
