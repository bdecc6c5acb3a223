//! Lives of a worker under one identifier.
//!
//! A worker may begin again under the identifier that it had. It then holds nothing, and counts its ends from 1: were
//! it told that ends up to some number are kept, as the life before was, it would forget its own.

use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::Entry;
use crosspath_job::progress::Loss;

use crate::action::Action;
use crate::job::Phase;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Takes in which life of a worker has told something; whether that is the newest one that is known. `entry` makes
    /// the entry of a later life from that of the one before.
    pub(crate) fn is_newest_life(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        born_ms: u64,
        entry: impl FnOnce(&Entry) -> Entry,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let known_ms = worker.entry.born_ms;
        if born_ms > known_ms {
            let entry = entry(&worker.entry);
            self.begin_anew(now, id, entry);
        }
        born_ms == 0 || born_ms >= known_ms
    }

    /// Whether something that was sent to a worker at `sent` was meant for a life before the one that is known.
    pub(crate) fn is_of_life_before(&self, id: &str, sent: Duration) -> bool {
        let worker = self.workers.get(id);
        worker.and_then(|worker| worker.reborn).is_some_and(|reborn| sent <= reborn)
    }

    /// An order met another worker, so the life that it was meant for is over. `sent` is when it was sent, if that is
    /// known still; else looks tell.
    pub(crate) fn met_other_life(&mut self, now: Duration, id: &Arc<str>, sent: Option<Duration>) {
        if sent.is_some_and(|sent| !self.is_of_life_before(id, sent)) {
            self.end_life(now, id, "other_life");
        }
    }

    /// Another life answers in the place of the one that was known. What it does not show is gone: its first answer
    /// rules that out.
    fn begin_anew(&mut self, now: Duration, id: &Arc<str>, entry: Entry) {
        self.lose_life(now, id);
        self.commits.forget_ends(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        log::info!(
            "event=worker_reborn worker={id} born_ms={} before_ms={} runs={} acknowledged={}",
            entry.born_ms,
            worker.entry.born_ms,
            worker.runs.len(),
            worker.ends_acknowledged
        );
        self.actions.push(Action::Unwatch { worker: worker.target() });
        worker.entry = entry;
        worker.reborn = Some(now);
        worker.ends_seen = 0;
        worker.ends_acknowledged = 0;
        worker.synced = false;
        let (worker, clock_ms) = (worker.target(), worker.entry.clock_ms);
        self.actions.push(Action::Watch { worker, clock_ms });
    }

    /// What a life's end takes along counts for its tasks, under a name that no worker has.
    fn lose_life(&mut self, now: Duration, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        let born_ms = worker.entry.born_ms;
        let draining = worker.entry.draining;
        if born_ms == 0 {
            return;
        }
        let life: Arc<str> = format!("{id}@{born_ms}").into();
        self.rename_losses(now, id, &life);
        if draining {
            return;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let alone = self.company(worker).is_alone();
        let runs: Vec<_> = worker.runs.keys().copied().collect();
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
