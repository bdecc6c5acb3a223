//! Typed names.
//!
//! Every name is 1 to 63 characters of `a-z`, `0-9`, `-` and `.`, so that it can stand in a path,
//! a log line and a metric label without escapes.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Longest name, in bytes.
pub const MAX_LEN: usize = 63;

/// A name that breaks the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "name {text:?} is not 1 to {MAX_LEN} characters of a-z, 0-9, '-' and '.'; rename it"
))]
pub struct InvalidName {
    text: String,
}

fn validate(text: &str) -> Result<(), InvalidName> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    let valid = !text.is_empty() && text.len() <= MAX_LEN && text.bytes().all(allowed);
    ensure!(valid, InvalidNameSnafu { text });
    Ok(())
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] if `text` breaks the rules for names.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    )*};
}

name_types! {
    /// Name of a caller: a shop agent, a donation page or a feed.
    CallerName;
    /// Name of a data centre (a hall or a zone).
    DataCentre;
    /// Name of a `crosspathd` daemon.
    DaemonName;
    /// Name of a job.
    JobName;
    /// Name of a pool of VMs.
    PoolName;
    /// Name of a rack inside a data centre.
    Rack;
    /// Name of a service that callers send requests to.
    ServiceName;
    /// Name of a team that owns jobs.
    TeamName;
    /// Name of a VM in a pool.
    VmName;
    /// Name of a maintenance wave.
    WaveName;
    /// Name of a resource whose kind is stated elsewhere.
    ResourceName;
}
