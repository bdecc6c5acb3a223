//! The daemon's settings: JSON [`Options`] as the user wrote them, resolved into [`Settings`].
//!
//! Options are all optional where a default is sensible and carry the documentation of each field.
//! Settings are checked and complete; the rest of the program sees only them.

mod error;
mod options;
mod settings;
pub mod token;

pub use error::Error;
pub use options::{
    LimitOptions, ListenOptions, OperatorOptions, Options, PeerOptions, TimingOptions,
};
pub use settings::{Limits, Operator, Peer, Right, Settings, Timing, load};
