//! Elapsed time and wall-clock time. Only this module reads the clocks; timers use that of
//! the runtime.
//!
//! Elapsed time is measured by the clock that also runs while the machine is suspended. With
//! `CLOCK_MONOTONIC`, a daemon that resumes after some seconds would consider its membership and
//! its configuration as recent as before, and would send orders concurrently with the next owner of
//! its shards.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

static MONOTONIC: LazyLock<Monotonic> = LazyLock::new(|| Monotonic::start(read));

/// Clock that never goes back, with the reading from which elapsed time is measured.
#[derive(Debug, Clone, Copy)]
pub struct Monotonic {
    clock: ClockId,
    started_at: Duration,
}

impl Monotonic {
    /// Starts at the current reading of `CLOCK_BOOTTIME`, or of `CLOCK_MONOTONIC` if the kernel
    /// lacks the former.
    ///
    /// # Panics
    ///
    /// If neither clock can be read.
    #[must_use]
    pub fn start(read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Self {
        let clock = ClockId::CLOCK_BOOTTIME;
        match read(clock) {
            Ok(started_at) => Self { clock, started_at },
            Err(error) => {
                log::warn!("event=suspension_not_counted error=\"{error}\"");
                let clock = ClockId::CLOCK_MONOTONIC;
                let started_at = read(clock).expect("CLOCK_MONOTONIC can be read on every kernel");
                Self { clock, started_at }
            }
        }
    }

    /// Time since the start, including suspensions if the kernel has `CLOCK_BOOTTIME`.
    ///
    /// # Panics
    ///
    /// If the clock can no longer be read.
    #[must_use]
    pub fn elapsed(&self, read: impl Fn(ClockId) -> Result<Duration, Errno>) -> Duration {
        let now = read(self.clock).expect("a clock that was read once can be read again");
        now.saturating_sub(self.started_at)
    }
}

fn read(clock: ClockId) -> Result<Duration, Errno> {
    clock_gettime(clock).map(Duration::from)
}

/// Time since the first call in this process.
pub(crate) fn now() -> Duration {
    MONOTONIC.elapsed(read)
}

/// Wall-clock time in ms since 1970; 0 if the clock is set to an earlier time.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_else(|error| {
        log::warn!("event=clock_before_1970 error=\"{error}\"");
        Duration::ZERO
    });
    as_ms(since)
}

/// Whole ms of a duration; the maximum if they do not fit.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
