//! Time while the machine is suspended.

use std::time::Duration;

use crosspath_node::clock::Steady;
use nix::errno::Errno;
use nix::time::ClockId;

/// A machine that was up for `up` and suspended for `suspended`.
fn machine(up: u64, suspended: u64) -> impl Fn(ClockId) -> Result<Duration, Errno> {
    move |clock| match clock {
        ClockId::CLOCK_MONOTONIC => Ok(Duration::from_secs(up)),
        ClockId::CLOCK_BOOTTIME => Ok(Duration::from_secs(up + suspended)),
        _ => Err(Errno::EINVAL),
    }
}

/// A kernel without the clock that counts suspensions.
fn old_kernel(up: u64) -> impl Fn(ClockId) -> Result<Duration, Errno> {
    move |clock| match clock {
        ClockId::CLOCK_MONOTONIC => Ok(Duration::from_secs(up)),
        _ => Err(Errno::EINVAL),
    }
}

#[test]
fn time_goes_on_while_the_machine_is_suspended() {
    let steady = Steady::begin(machine(100, 0));
    assert_eq!(steady.elapsed(machine(102, 5)), Duration::from_secs(7));
}

#[test]
fn a_kernel_without_that_clock_counts_time_awake() {
    let steady = Steady::begin(old_kernel(100));
    assert_eq!(steady.elapsed(old_kernel(102)), Duration::from_secs(2));
}
