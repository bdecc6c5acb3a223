//! How fast fill work may run beside tasks that have a tail target.
//!
//! A worker's tails are compared with their targets at each look. Fill work on it is slowed at once
//! when a tail comes near its target, and speeds up again step by step.

use crosspath_job::TaskId;

use crate::action::Action;
use crate::job::Phase;
use crate::scheduler::Scheduler;

/// Tail, as a share of its target, from which fill work is slowed.
const SLOW_DOWN_RATIO: f64 = 0.85;
/// Tail, as a share of its target, below which fill work may speed up.
const SPEED_UP_RATIO: f64 = 0.6;
/// What fill work keeps of its speed at each slowing, in percent.
const SLOW_DOWN_PERCENT: u32 = 40;
/// What it gains at each step up, in percent of full speed.
const SPEED_UP_PERCENT: u32 = 15;
/// Below this share it is stopped altogether, in percent.
const MIN_PERCENT: u32 = 5;

impl Scheduler {
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
