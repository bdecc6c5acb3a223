//! Lives of a worker under one identifier.
//!
//! A worker may begin again under the identifier that it had. It then holds nothing, and counts its ends from 1: were
//! it told that ends up to some number are kept, as the life before was, it would forget its own.

use std::sync::Arc;
use std::time::Duration;

use crosspath_job::progress::Loss;

use crate::action::Action;
use crate::job::Phase;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Takes in which life of a worker has told something; whether that is the newest one that is known.
    pub(crate) fn is_newest_life(&mut self, now: Duration, id: &Arc<str>, born_ms: u64) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let known_ms = worker.entry.born_ms;
        if born_ms == 0 || born_ms == known_ms {
            return true;
        }
        if born_ms < known_ms {
            return false;
        }
        worker.entry.born_ms = born_ms;
        if known_ms > 0 {
            self.begin_anew(now, id, known_ms);
        }
        true
    }

    /// The life that began at `before_ms` is over, and another answers in its place. What it does not show is gone:
    /// its first answer rules that out.
    fn begin_anew(&mut self, now: Duration, id: &Arc<str>, before_ms: u64) {
        self.lose_life(now, id, before_ms);
        self.commits.forget_ends(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        log::info!(
            "event=worker_reborn worker={id} born_ms={} before_ms={before_ms} runs={} acknowledged={}",
            worker.entry.born_ms,
            worker.runs.len(),
            worker.ends_acknowledged
        );
        worker.reborn = Some(now);
        worker.ends_seen = 0;
        worker.ends_acknowledged = 0;
        worker.synced = false;
        worker.failures = 0;
        let (target, clock_ms) = (worker.target(), worker.entry.clock_ms);
        self.actions.push(Action::Unwatch { worker: target.clone() });
        self.actions.push(Action::Watch { worker: target, clock_ms });
    }

    /// What a life's end takes along counts for its tasks, under a name that no worker has.
    fn lose_life(&mut self, now: Duration, id: &Arc<str>, born_ms: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.entry.draining {
            return;
        }
        let alone = self.company(worker).is_alone();
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        let life: Arc<str> = format!("{id}@{born_ms}").into();
        for (task, number) in runs {
            let phase = self.run(task, number).map(|run| run.phase);
            let was_there =
                matches!(phase, Some(Phase::Running | Phase::Stopping | Phase::Stopped));
            if was_there && !self.is_innocent(task, number) {
                log::info!("event=run_lost task={task} run={number} worker={life} phase={phase:?}");
                let worker = Arc::clone(&life);
                self.count_loss(now, task, Loss { run: number, worker, alone });
            }
        }
        self.judge_lost_on(now, &life);
    }
}
