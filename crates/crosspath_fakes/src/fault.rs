//! Faults to inject.

use serde::{Deserialize, Serialize};

/// Faults of the log.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// It answers nothing and appends nothing.
    pub down: bool,
    /// It takes this much longer, in ms.
    pub slow_ms: u64,
    /// So many appends take effect and are never answered.
    pub lose_answers: u32,
}

/// Faults of one VM.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmFault {
    /// Runs a request and then waits this much longer, in ms.
    pub late_ms: u64,
    /// Breaks the connection before it runs the request.
    pub break_before: bool,
    /// Runs the request and breaks the connection before it answers.
    pub break_after: bool,
    /// Runs the request and breaks the connection in the middle of the answer.
    pub half_answer: bool,
    /// Answers 500 at once and runs nothing.
    pub fail: bool,
}
