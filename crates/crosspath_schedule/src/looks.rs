//! What the worker list and looks at workers tell.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Error, PollReply, Running};
use crosspath_job::spec::Step;

use crate::action::Action;
use crate::job::{Phase, Run};
use crate::lives;
use crate::losses::Liveness;
use crate::runs::STOPPED_WITHIN;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// For which a late entry of a life that has ended is known as such. Writes are late by some seconds.
const ENDED_LIFE_MEMORY: Duration = Duration::from_secs(60);

/// A life that is surely over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedLife {
    /// When it began, in ms since 1970.
    born_ms: u64,
    /// When it was known to be over.
    known: Duration,
}

impl Scheduler {
    pub(crate) fn worker_seen(&mut self, now: Duration, entry: Entry) {
        let ended = self.ended_lives.get(&entry.id);
        if ended.is_some_and(|ended| entry.started_ms <= ended.born_ms) {
            self.lost_unseen(now, &lives::name(&entry.id, entry.started_ms));
            return;
        }
        self.place_again = true;
        if self.workers.contains_key(&entry.id) && !self.is_listed_newest(now, &entry) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            if entry.draining && !worker.entry.draining {
                log::info!(
                    "event=worker_draining worker={} left_ms={}",
                    entry.id,
                    entry.remaining_ms
                );
            }
            worker.listed = true;
            let born_ms = entry.started_ms.max(worker.entry.started_ms);
            worker.entry = Entry { started_ms: born_ms, ..entry };
            return;
        }
        log::info!(
            "event=worker_known worker={} vm={} born_ms={}",
            entry.id,
            entry.vm,
            entry.started_ms
        );
        let (id, clock_ms) = (Arc::clone(&entry.id), entry.clock_ms);
        let known = Arc::clone(&id);
        let mut worker = Worker::new(entry);
        // An owner before may have given leases there.
        worker.inherited_until(self.settlement.open_until());
        self.actions.push(Action::Watch { worker: worker.target(), clock_ms });
        self.workers.insert(id, worker);
        self.end_lives_under(now, &known);
    }

    pub(crate) fn worker_gone(&mut self, now: Duration, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.listed = false;
        if worker.entry.draining && worker.failures > 0 {
            self.worker_dead(now, id, "left");
        }
    }

    /// A life has answered: those of the same VM that were last known to answer before are over. The
    /// list cannot tell that, since an entry may be written late.
    fn end_lives_before(&mut self, now: Duration, id: &Arc<str>, sent: Duration) {
        let Some(worker) = self.workers.get(id) else { return };
        let vm = &worker.entry.vm;
        if vm.is_empty() {
            return;
        }
        let others = self.workers.values().filter(|other| {
            other.entry.vm == *vm && other.entry.id != *id && other.answered_sent <= sent
        });
        let before: Vec<_> = others.map(|other| Arc::clone(&other.entry.id)).collect();
        for other in before {
            self.end_life(now, &other, "replaced");
        }
    }

    /// The worker's life is surely over, whatever the list may show of it yet.
    pub(crate) fn end_life(&mut self, now: Duration, id: &Arc<str>, why: &str) {
        if let Some(worker) = self.workers.get(id) {
            let ended = EndedLife { born_ms: worker.entry.started_ms, known: now };
            self.ended_lives.insert(Arc::clone(id), ended);
        }
        self.worker_dead(now, id, why);
    }

    /// Forgets ended lives of which no entry can come any more.
    pub(crate) fn forget_ended_lives(&mut self, now: Duration) {
        self.ended_lives.retain(|_, ended| now < ended.known + ENDED_LIFE_MEMORY);
    }

    /// The worker's life is over, and with it all that ran there.
    pub(crate) fn worker_dead(&mut self, now: Duration, id: &Arc<str>, why: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        log::info!("event=worker_over worker={id} why={why} runs={}", worker.runs.len());
        let life = worker.life();
        self.actions.push(Action::Unwatch { worker: worker.target() });
        self.release_all(now, id, why);
        self.accounted(now, &life, Liveness::Ended);
        self.workers.remove(id);
        self.enforce_loss_limits_on(now, &life);
    }

    pub(crate) fn release_all(&mut self, now: Duration, id: &Arc<str>, why: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        let colocation = self.colocation(worker);
        for (task, run) in runs {
            self.record_loss(now, id, task, run, colocation);
            self.drop_and_queue(now, id, task, run, why);
        }
    }

    /// Frees what ran on silent workers once their leases have surely ended.
    pub(crate) fn release_lapsed(&mut self, now: Duration) {
        let lapsed = |worker: &&Worker| worker.failures > 0 && now > worker.lease_over;
        let silent: Vec<_> = self
            .workers
            .values()
            .filter(lapsed)
            .map(|worker| (Arc::clone(&worker.entry.id), worker.listed))
            .collect();
        for (id, listed) in silent {
            if listed {
                self.release_all(now, &id, "lapsed");
            } else {
                self.worker_dead(now, &id, "gone");
            }
        }
        self.settle(now);
    }

    pub(crate) fn hold_failed(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        extended: bool,
        error: Error,
    ) {
        if self.is_of_life_before(id, sent) {
            return;
        }
        match error {
            Error::OtherLife => return self.end_life(now, id, "other_life"),
            Error::Fenced => self.superseded = true,
            Error::NotReached | Error::NoAnswer | Error::Refused { .. } => {}
        }
        let terms = self.settings.terms;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.failures == 0 {
            log::info!("event=worker_silent worker={id} error=\"{error}\"");
        }
        worker.failures += 1;
        if extended && error == Error::NoAnswer {
            worker.leased_until(terms.over(sent, terms.hold));
        }
        let left = worker.entry.draining || (worker.synced && worker.runs.is_empty());
        if left && !worker.listed {
            self.worker_dead(now, id, "left");
        }
    }

    pub(crate) fn held(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        extended: bool,
        held: PollReply,
    ) {
        if !self.is_answered_by_newest(now, id, sent, &held) {
            return;
        }
        let terms = self.settings.terms;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.failures > 0 {
            log::info!("event=worker_back worker={id} failures={}", worker.failures);
            self.place_again = true;
        }
        self.place_again |= !worker.synced;
        let was_lost = worker.failures > 0 || !worker.synced;
        worker.failures = 0;
        worker.synced = true;
        worker.answered_sent = worker.answered_sent.max(sent);
        if extended {
            worker.leased_until(terms.over(sent, terms.hold));
        }
        let life = worker.life();
        if was_lost {
            self.clear_losses_on(now, &life);
        }
        for ended in &held.ended {
            self.ended(now, id, ended);
        }
        for running in &held.running {
            self.clear_loss(now, running.task, running.run);
            self.is_running(now, id, running);
        }
        self.reconcile(now, id, sent, &held.running);
        self.accounted(now, &life, Liveness::Answering);
        // A record may not tell which life it means.
        self.accounted(now, id, Liveness::Answering);
        self.end_lives_before(now, id, sent);
    }

    /// A run that the worker lists.
    pub(crate) fn is_running(&mut self, now: Duration, worker: &Arc<str>, row: &Running) {
        let Running { task: id, run: number, .. } = *row;
        if let Some(run) = self.run_mut(id, number) {
            if run.percent != row.percent {
                run.percent = row.percent;
                run.progressed = now;
            }
            run.last_seen = now;
            run.gauge = row.gauge;
            if row.checkpoint.is_some() {
                run.checkpoint.clone_from(&row.checkpoint);
            }
            if run.phase == Phase::Starting {
                run.phase = Phase::Running;
                run.answered = now;
                self.mark_running(now, id.job);
            } else if run.phase == Phase::Stopped && now >= run.answered + STOPPED_WITHIN {
                log::info!("event=run_shown_after_stop task={id} run={number} worker={worker}");
                run.phase = Phase::Running;
                self.stop_run(now, id, number);
            }
            self.end_probation(now, worker, id, number);
            return;
        }
        self.found(now, worker, row);
    }

    /// A run that this owner did not start: adopted if its task may run there, else stopped.
    pub(crate) fn found(&mut self, now: Duration, worker: &Arc<str>, row: &Running) {
        let Running { task: id, run: number, .. } = *row;
        let wanted = self.jobs.get(&id.job).is_some_and(|job| {
            let copies = job.accepted.spec.steps.get(id.step as usize);
            let copies = copies.is_some_and(|step| step.speculative);
            let free =
                job.task(id).is_some_and(|task| !task.done && (task.runs.is_empty() || copies));
            free && !job.state.is_terminal()
        });
        let room = self.step_of(id).map(Step::reserved).unwrap_or_default();
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let losses = task.map_or(0, |task| task.lost.len());
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.reserve(id, number, room);
        known.suspect(id, number, losses);
        let incarnation = known.life();
        if !wanted {
            log::info!("event=run_unwanted task={id} run={number} worker={worker}");
            let worker = known.target();
            self.actions.push(Action::Stop { worker, task: id, run: number });
            return;
        }
        log::info!("event=run_adopted task={id} run={number} worker={worker}");
        if let Some(task) = self.task_mut(id) {
            task.last_run = task.last_run.max(number);
            task.runs.push(Run {
                number,
                worker: Arc::clone(worker),
                incarnation,
                phase: Phase::Running,
                start_sent: now,
                answered: now,
                stop_sent: Duration::ZERO,
                percent: row.percent,
                last_seen: now,
                progressed: now,
                checkpoint: row.checkpoint.clone(),
                gauge: row.gauge,
                speed_percent: 100,
            });
        }
        self.commits.touch(now, id.job);
        self.mark_running(now, id.job);
    }

    /// Rules out runs that a look, sent at `sent`, should have shown.
    pub(crate) fn reconcile(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        running: &[Running],
    ) {
        let there: BTreeSet<_> = running.iter().map(|row| (row.task, row.run)).collect();
        let Some(worker) = self.workers.get(id) else { return };
        let missing: Vec<_> =
            worker.runs.keys().filter(|key| !there.contains(key)).copied().collect();
        let start = self.settings.terms.start;
        for (task, number) in missing {
            let Some(run) = self.run(task, number) else {
                self.drop_run(id, task, number);
                continue;
            };
            let ruled_out = match run.phase {
                Phase::Planned | Phase::Starting | Phase::Stopping => false,
                Phase::Running | Phase::Stopped => run.answered < sent,
                Phase::Doubtful => self.settings.terms.over(run.start_sent, start) < sent,
            };
            if ruled_out {
                let ended = matches!(run.phase, Phase::Running);
                let why = if ended { "end_not_heard" } else { "not_there" };
                self.drop_and_queue(now, id, task, number, why);
            }
        }
    }
}
