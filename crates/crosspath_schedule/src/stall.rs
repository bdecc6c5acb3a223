//! Detection of stalled runs on workers that answer.
//!
//! A worker may answer every poll and yet make no progress. If polls have reported the same
//! progress of a finite run for [`STALL_TIMEOUT`], the run is stopped, its task resumes elsewhere,
//! and the suspicion score of the worker is raised. Gangs and best-effort runs are exempt.

use std::time::Duration;

use crosspath_job::TaskId;

use crate::job::{Phase, Run};
use crate::scheduler::Scheduler;

/// Time without progress after which a run counts as stalled. Even a long task on a slow worker
/// gains some percent within it, and resuming from a checkpoint takes only a part of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Added to the suspicion score of a worker for each stalled run; two of them quarantine it.
const SUSPICION_STALLED: f64 = 1.5;

impl Scheduler {
    /// Stops all stalled runs on workers that answer.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled: Vec<(TaskId, u64)> = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.failures == 0) {
            let runs = worker.runs.keys().filter(|(task, run)| self.is_stalled(*task, *run));
            stalled.extend(runs.copied());
        }
        for (task, run) in stalled {
            let Some(worker) = self.run(task, run).map(|run| run.worker.clone()) else { continue };
            log::info!("event=run_stalled task={task} run={run} worker={worker}");
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.add_suspicion(now, SUSPICION_STALLED);
            }
            self.stop_run(now, task, run);
        }
    }

    fn is_stalled(&self, id: TaskId, number: u64) -> bool {
        let applies = self
            .step_of(id)
            .is_some_and(|step| !step.long_running && !step.gang && !step.best_effort);
        applies && self.run(id, number).is_some_and(has_stalled)
    }
}

fn has_stalled(run: &Run) -> bool {
    run.phase == Phase::Running && run.last_seen >= run.progressed + STALL_TIMEOUT
}
