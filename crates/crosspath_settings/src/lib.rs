//! Settings of the daemon: the JSON [`Options`] of a settings file, resolved into [`Settings`].
//!
//! An option can be left out where there is a sensible default. The doc comments of the options are
//! the descriptions in the JSON schema. Settings are validated and complete; the other crates use
//! only them.

mod error;
mod options;
mod settings;
pub mod token;

pub use error::Error;
pub use options::{
    LimitOptions, ListenOptions, OperatorOptions, Options, PeerOptions, TimingOptions,
};
pub use settings::{Limits, Operator, Peer, Right, Settings, Timing, load};
