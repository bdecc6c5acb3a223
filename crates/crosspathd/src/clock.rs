//! The process clocks. No other module reads the system's clocks for [`Monotonic`] and [`Wall`].

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crosspath_state::time::{Monotonic, Wall};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since the first call in this process, starting at 1.
pub(crate) fn monotonic() -> Monotonic {
    // Never 0: that value stands for a time long ago.
    Monotonic(u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1))
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall() -> Wall {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
