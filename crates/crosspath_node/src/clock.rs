//! The clocks, read here only.
//!
//! Time is counted by the clock that goes on while the machine is suspended. By the other one, a daemon that wakes
//! after seconds would take its membership and its configuration for as fresh as before, and give orders beside the
//! next owner of its shards.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

static STEADY: LazyLock<Steady> = LazyLock::new(|| Steady::begin(read));

/// A clock that never goes back, and when counting began.
#[derive(Debug, Clone, Copy)]
pub struct Steady {
    clock: ClockId,
    began: Duration,
}

impl Steady {
    /// Begins to count, by the first clock that can be read.
    #[must_use]
    pub fn begin(read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Self {
        let clock = ClockId::CLOCK_BOOTTIME;
        match read(clock) {
            Ok(began) => Self { clock, began },
            Err(error) => {
                log::warn!("event=suspension_not_counted error=\"{error}\"");
                let clock = ClockId::CLOCK_MONOTONIC;
                let began = read(clock).expect("every kernel has a steady clock");
                Self { clock, began }
            }
        }
    }

    /// Time since counting began, suspensions included.
    #[must_use]
    pub fn elapsed(&self, read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Duration {
        let now = read(self.clock).expect("a clock that was read can be read again");
        now.saturating_sub(self.began)
    }
}

fn read(clock: ClockId) -> Result<Duration, Errno> {
    clock_gettime(clock).map(Duration::from)
}

/// Time since this process first asked.
pub(crate) fn now() -> Duration {
    STEADY.elapsed(read)
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
