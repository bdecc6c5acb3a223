//! Division of a VM's slots between the daemons.
//!
//! Each daemon gets a fixed share, so that the sum never exceeds the VM's slots, without any
//! messages and under any network partition. The remainder goes to different daemons for different
//! VMs; with more daemons than slots, each daemon uses only some of the VMs.

use std::hash::Hasher as _;

use crosspath_state::name::VmName;
use siphasher::sip::SipHasher13;

/// Position of this daemon among all daemons in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Index of this daemon in the order of names, from 0.
    pub index: u32,
    /// Number of daemons in the settings.
    pub daemons: u32,
}

impl Position {
    /// This daemon's share of the `total` slots or connections of `vm`.
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
