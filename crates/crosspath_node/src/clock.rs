//! The clocks, read here only.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since this process first asked.
pub(crate) fn now() -> Duration {
    START.elapsed()
}

/// Time of day, in ms since 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_else(|error| {
        log::warn!("event=clock_before_1970 error=\"{error}\"");
        Duration::ZERO
    });
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
