//! Spread of the tasks of a step over failure domains. The cost of a worker's domain is one term of
//! what placement compares: long-running steps are spread over data centres and racks, finite steps
//! stay together.

use crosspath_job::TaskId;
use crosspath_job::spec::Step;
use crosspath_spread::Occupancy;

use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Cost of a worker in a data centre that has one or more tasks of a long-running step more than
/// the best candidate's. It weighs more than how full the worker is, and less than what a mix with
/// best-effort runs costs.
const DATA_CENTRE_WEIGHT: f64 = 3.0;
/// The same for its rack, within the data centre.
const RACK_WEIGHT: f64 = 1.2;
/// Excess of tasks in a domain beyond which its cost does not grow, so that it stays below the costs
/// that keep a task off a worker.
const MAX_EXCESS: u32 = 2;
/// Cost of a worker outside the data centres in which a finite step already runs: the loss of a
/// data centre then takes a few steps whole instead of some tasks of nearly every step.
const SCATTER_WEIGHT: f64 = 1.0;

/// Domains of the runs of a step, for the placement of one more of its tasks.
pub(crate) struct StepSpread {
    siblings: Occupancy,
    /// Rank of the best candidate.
    best: crosspath_spread::Rank,
    long_running: bool,
}

impl StepSpread {
    /// Cost of the worker's domain. Long-running steps are spread, since the rest of their tasks
    /// serves on after a loss. Finite steps stay together, since they end with their last task.
    pub(crate) fn cost(&self, worker: &Worker) -> f64 {
        if !self.long_running {
            let data_centre = &worker.entry.data_centre;
            let scatters = !self.siblings.is_empty() && !self.siblings.has_data_centre(data_centre);
            return if scatters { SCATTER_WEIGHT } else { 0.0 };
        }
        let rank = self.siblings.rank(&worker.domain);
        let excess =
            |members: u32, least: u32| f64::from(members.saturating_sub(least).min(MAX_EXCESS));
        DATA_CENTRE_WEIGHT * excess(rank.in_data_centre, self.best.in_data_centre)
            + RACK_WEIGHT * excess(rank.in_rack, self.best.in_rack)
    }
}

impl Scheduler {
    /// Where the other runs of the task's step are, and the best domain among the candidates.
    pub(crate) fn spread_of(&self, id: TaskId, step: &Step, candidates: &[&Worker]) -> StepSpread {
        let mut siblings = Occupancy::default();
        if let Some(job) = self.jobs.get(&id.job) {
            let tasks = &job.occurrences[id.occurrence as usize].steps[id.step as usize].tasks;
            let others = (0..).zip(tasks).filter(|(index, _)| *index != id.index);
            for run in others.flat_map(|(_, task)| &task.runs) {
                if let Some(worker) = self.workers.get(&run.worker) {
                    siblings.add(&worker.domain);
                }
            }
        }
        // Finite steps need no ranks, and are placed most often.
        let ranked = candidates.iter().filter(|_| step.long_running);
        let best = ranked.map(|worker| siblings.rank(&worker.domain)).min().unwrap_or_default();
        StepSpread { siblings, best, long_running: step.long_running }
    }
}
