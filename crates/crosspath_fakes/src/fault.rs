//! Faults that can be injected.

use serde::{Deserialize, Serialize};

/// Faults of the log. The default is none.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// Requests fail and nothing is appended.
    pub down: bool,
    /// Additional latency of reads and appends, in ms.
    pub slow_ms: u64,
    /// Number of further appends that take effect and are not answered.
    pub lose_answers: u32,
}

/// Faults of one VM. The default is none.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmFault {
    /// Additional delay between running a request and responding, in ms.
    pub late_ms: u64,
    /// Closes the connection without running the request.
    pub break_before: bool,
    /// Runs the request and closes the connection before responding.
    pub break_after: bool,
    /// Runs the request and closes the connection in the middle of the response.
    pub half_answer: bool,
    /// Responds immediately with status 500 and does not run the request.
    pub fail: bool,
}
