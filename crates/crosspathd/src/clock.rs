//! The clocks, read here only.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crosspath_state::time::{Monotonic, Wall};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since this process first asked.
pub(crate) fn monotonic() -> Monotonic {
    // Never 0, which stands for "long ago".
    Monotonic(u64::try_from(START.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1))
}

/// Time of day.
pub(crate) fn wall() -> Wall {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
