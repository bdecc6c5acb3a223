//! Limits of the listeners of a process that follow from the memory and the descriptors of its VM.
//!
//! A quarter of the memory is for connections, a quarter for bodies of callers and an eighth for
//! bodies of peers. Half of the descriptors is for incoming connections. What remains is for the
//! daemon itself.

/// Memory in MiB if the settings do not state it: that of the smallest VM.
const DEFAULT_MEMORY_MB: u64 = 160;
/// Descriptors if the settings do not state them: those of the smallest VM.
const DEFAULT_DESCRIPTORS: u64 = 4_100;
/// Memory of a connection with a head of the largest size: its buffers for reading the head and the
/// next piece of a body, and its task.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Memory in bytes.
    memory: usize,
    descriptors: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Self::new(None, None)
    }
}

impl Capacity {
    /// Creates the capacity that the settings state; by default that of the smallest VM.
    #[must_use]
    pub fn new(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory_mb = usize::try_from(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        let descriptors = usize::try_from(descriptors.unwrap_or(DEFAULT_DESCRIPTORS));
        let memory = memory_mb.unwrap_or(usize::MAX).saturating_mul(1024 * 1024);
        Self { memory, descriptors: descriptors.unwrap_or(usize::MAX) }
    }

    /// Connections of a listener that gets so many sixteenths of those of the process.
    #[must_use]
    pub fn connections(&self, sixteenths: usize) -> usize {
        let all = (self.descriptors / 2).min(self.memory / 4 / CONNECTION_BYTES);
        (all / 16).saturating_mul(sixteenths).max(1)
    }

    /// Memory for bodies of callers and operators, in bytes.
    #[must_use]
    pub fn caller_body_bytes(&self) -> usize {
        self.memory / 4
    }

    /// Memory for bodies of peers, in bytes.
    #[must_use]
    pub fn peer_body_bytes(&self) -> usize {
        self.memory / 8
    }
}
