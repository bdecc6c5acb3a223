//! The text by which a daemon is known in the group of owners.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use snafu::{OptionExt as _, Snafu};

/// One life of a daemon: where peers reach it, who it is, and what its VM can carry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Where other daemons connect.
    pub address: SocketAddr,
    /// Name of its VM.
    pub name: Arc<str>,
    /// Differs between two lives of one daemon.
    pub incarnation: Arc<str>,
    /// Processor time of its VM, in thousandths of a core.
    pub millicores: u32,
}

/// A text that names no member.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("\"{text}\" is not ADDRESS/NAME/INCARNATION/MILLICORES"))]
pub struct ParseError {
    text: String,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { address, name, incarnation, millicores } = self;
        write!(f, "{address}/{name}/{incarnation}/{millicores}")
    }
}

impl FromStr for Member {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut parts = text.split('/');
        let mut parse = || {
            Some(Self {
                address: parts.next()?.parse().ok()?,
                name: parts.next()?.into(),
                incarnation: parts.next()?.into(),
                millicores: parts.next()?.parse().ok()?,
            })
        };
        parse().context(ParseSnafu { text })
    }
}
