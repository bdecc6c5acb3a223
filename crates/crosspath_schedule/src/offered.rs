//! What the jobs that arrive ask for: the load that a pool will run in a few seconds.
//!
//! Work that arrives shows a rise a job's length before what runs does, and does not grow by itself
//! while it waits, as a backlog does.

use std::time::Duration;

use crosspath_job::Spec;
use serde::{Deserialize, Serialize};

/// Run time, in ms, by which estimates stand until runs have shown how far off they are.
const TRUST_MS: f64 = 20_000.0;

/// Load offered to a shard since it is known, jobs of owners before included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Offered {
    /// Brief jobs that have arrived.
    pub jobs: u64,
    /// Their work by the callers' estimates, in thousandths of a core times ms.
    estimated_work: f64,
    /// Run time of tasks that are done, in ms.
    took_ms: f64,
    /// Their run time by the callers' estimates, in ms.
    estimated_ms: f64,
}

impl Offered {
    /// A job has arrived.
    pub(crate) fn arrived(&mut self, spec: &Spec) {
        if spec.steps.iter().any(|step| step.lasting) {
            return;
        }
        let works = spec.steps.iter().map(|step| {
            let tasks = f64::from(step.tasks);
            tasks * step.room.cpu_millis as f64 * step.estimate_ms as f64
        });
        self.jobs += 1;
        // Of a job with times, what is due first; the others come later.
        self.estimated_work += works.sum::<f64>();
    }

    /// A brief task is done.
    pub(crate) fn done(&mut self, took: Duration, estimate_ms: u64) {
        self.took_ms += took.as_secs_f64() * 1_000.0;
        self.estimated_ms += estimate_ms as f64;
    }

    /// Work of a job, in thousandths of a core times ms.
    #[must_use]
    pub fn work_of_job(&self) -> f64 {
        let ratio = (self.took_ms + TRUST_MS) / (self.estimated_ms + TRUST_MS);
        self.estimated_work / (self.jobs.max(1) as f64) * ratio
    }
}
