//! The slots of a VM, divided between the daemons.
//!
//! Each daemon gets a fixed part, so that the sum never exceeds the VM's slots, whoever is cut off
//! from whom, and without a message. The remainder goes to other daemons for each VM, and with
//! more daemons than slots each daemon uses only some of the VMs.

use std::hash::Hasher as _;

use crosspath_state::name::VmName;
use siphasher::sip::SipHasher13;

/// This daemon's place among all daemons of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// From 0, in name order.
    pub index: u32,
    /// How many daemons there are.
    pub daemons: u32,
}

impl Position {
    /// This daemon's part of `total` slots (or connections) of `vm`.
    #[must_use]
    pub fn share(self, vm: &VmName, total: u32) -> u32 {
        let mut hasher = SipHasher13::new();
        hasher.write(vm.as_str().as_bytes());
        let daemons = u64::from(self.daemons.max(1));
        let rotation = hasher.finish() % daemons;
        let rotated = (u64::from(self.index) + rotation) % daemons;
        let remainder = u64::from(total) % daemons;
        total / self.daemons.max(1) + u32::from(rotated < remainder)
    }
}
