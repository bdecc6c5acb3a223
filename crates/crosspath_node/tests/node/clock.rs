//! Elapsed time across suspensions of the machine. Guards against a daemon that resumes and
//! considers its membership as recent as before the suspension.

use std::time::Duration;

use crosspath_node::clock::Monotonic;
use nix::errno::Errno;
use nix::time::ClockId;

/// Clock readings, in seconds, of a machine that ran for `up` and was suspended for `suspended`.
fn boottime_kernel(up: u64, suspended: u64) -> impl Fn(ClockId) -> Result<Duration, Errno> {
    move |clock| match clock {
        ClockId::CLOCK_MONOTONIC => Ok(Duration::from_secs(up)),
        ClockId::CLOCK_BOOTTIME => Ok(Duration::from_secs(up + suspended)),
        _ => Err(Errno::EINVAL),
    }
}

/// Clock readings of a kernel without `CLOCK_BOOTTIME`.
fn monotonic_only_kernel(up: u64) -> impl Fn(ClockId) -> Result<Duration, Errno> {
    move |clock| match clock {
        ClockId::CLOCK_MONOTONIC => Ok(Duration::from_secs(up)),
        _ => Err(Errno::EINVAL),
    }
}

#[test]
fn elapsed_time_includes_suspension() {
    let clock = Monotonic::start(boottime_kernel(100, 0));
    assert_eq!(clock.elapsed(boottime_kernel(102, 5)), Duration::from_secs(7));
}

#[test]
fn elapsed_time_excludes_suspension_without_boottime_clock() {
    let clock = Monotonic::start(monotonic_only_kernel(100));
    assert_eq!(clock.elapsed(monotonic_only_kernel(102)), Duration::from_secs(2));
}
