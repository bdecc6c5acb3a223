//! The clocks, read here only.
//!
//! Time is counted by the clock that goes on while the machine is suspended. By the other one, a daemon that wakes
//! after seconds would take its membership and its configuration for as fresh as before, and give orders beside the
//! next owner of its shards.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

static MONOTONIC: LazyLock<Monotonic> = LazyLock::new(|| Monotonic::start(read));

/// A clock that never goes back, and when counting began.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    clock: ClockId,
    started_at: Duration,
}

impl Monotonic {
    /// Begins to count, by the first clock that can be read.
    #[must_use]
    pub fn start(read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Self {
        let clock = ClockId::CLOCK_BOOTTIME;
        match read(clock) {
            Ok(started_at) => Self { clock, started_at },
            Err(error) => {
                log::warn!("event=suspension_not_counted error=\"{error}\"");
                let clock = ClockId::CLOCK_MONOTONIC;
                let started_at = read(clock).expect("every kernel has a steady clock");
                Self { clock, started_at }
            }
        }
    }

    /// Time since counting began, suspensions included.
    #[must_use]
    pub fn elapsed(&self, read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Duration {
        let now = read(self.clock).expect("a clock that was read can be read again");
        now.saturating_sub(self.started_at)
    }
}

fn read(clock: ClockId) -> Result<Duration, Errno> {
    clock_gettime(clock).map(Duration::from)
}

/// Time since this process first asked.
pub(crate) fn now() -> Duration {
    MONOTONIC.elapsed(read)
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
