//! Points in time, which callers pass in: the pure crates read no clock.
//!
//! [`Wall`] is written into records and compared across machines within a stated skew;
//! [`Monotonic`] is for leases and deadlines of one process.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

macro_rules! time_points {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The point in time that is `span` later.
            #[must_use]
            pub fn after(self, span: Duration) -> Self {
                Self(self.0.saturating_add(millis(span)))
            }

            /// Time since `earlier`; zero if `earlier` is in fact later.
            #[must_use]
            pub fn since(self, earlier: Self) -> Duration {
                Duration::from_millis(self.0.saturating_sub(earlier.0))
            }
        }
    )*};
}

time_points! {
    /// Milliseconds since the Unix epoch, by the writer's clock.
    Wall;
    /// Milliseconds since an arbitrary origin that is fixed for the process.
    Monotonic;
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
