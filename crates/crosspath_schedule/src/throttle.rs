//! Throttling of best-effort runs beside tasks that have a tail latency target.
//!
//! The tail latencies that a worker's polls report are compared with their targets. When one comes
//! near its target, the best-effort runs on that worker are slowed down at once. They speed up
//! again step by step.

use crosspath_job::TaskId;

use crate::action::Action;
use crate::job::Phase;
use crate::scheduler::Scheduler;

/// Ratio of tail latency to its target from which best-effort runs are slowed down.
const SLOW_DOWN_RATIO: f64 = 0.85;
/// Ratio of tail latency to its target below which best-effort runs speed up.
const SPEED_UP_RATIO: f64 = 0.6;
/// Percentage of its current speed that a run keeps each time it is slowed down.
const SLOW_DOWN_PERCENT: u32 = 40;
/// Speed that a run gains each time it speeds up, in percent of full speed.
const SPEED_UP_PERCENT: u32 = 15;
/// Minimum speed, in percent of full speed; a run that would be slower is paused.
const MIN_PERCENT: u32 = 5;

impl Scheduler {
    /// Adjusts the speed of best-effort runs on answering workers to the tail latencies there.
    pub(crate) fn throttle_best_effort(&mut self) {
        let mut orders = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.failures == 0) {
            let mut pressure: f64 = 0.0;
            let mut best_effort: Vec<(TaskId, u64)> = Vec::new();
            for (task, run) in worker.runs.keys() {
                let Some(step) = self.step_of(*task) else { continue };
                if step.best_effort {
                    best_effort.push((*task, *run));
                } else if step.tail_target_ms > 0 {
                    let gauge = self.run(*task, *run).map_or(0, |run| run.gauge);
                    pressure = pressure.max(gauge as f64 / step.tail_target_ms as f64);
                }
            }
            let target = worker.target();
            orders.extend(
                best_effort.into_iter().map(|(task, run)| (target.clone(), task, run, pressure)),
            );
        }
        for (worker, id, number, pressure) in orders {
            let Some(run) = self.run_mut(id, number) else { continue };
            if run.phase != Phase::Running {
                continue;
            }
            let percent = adjusted_percent(run.speed_percent, pressure);
            if percent != run.speed_percent {
                run.speed_percent = percent;
                self.actions.push(Action::Throttle { worker, task: id, run: number, percent });
            }
        }
    }
}

/// The next speed of a run that works at `percent` of its full speed. `pressure` is the highest
/// ratio of a tail latency to its target on the worker; 0 if there is no target.
fn adjusted_percent(percent: u32, pressure: f64) -> u32 {
    if pressure >= SLOW_DOWN_RATIO {
        let slower = percent * SLOW_DOWN_PERCENT / 100;
        if slower < MIN_PERCENT { 0 } else { slower }
    } else if pressure < SPEED_UP_RATIO {
        (percent + SPEED_UP_PERCENT).min(100)
    } else {
        percent
    }
}
