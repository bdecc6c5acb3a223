//! Processing of the worker list and of polls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Entry, Error, PollReply, Running};
use crosspath_job::spec::Step;

use crate::action::Action;
use crate::incarnations;
use crate::job::{Phase, Run};
use crate::losses::Liveness;
use crate::runs::STOP_COMPLETION;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Time for which an ended incarnation is remembered, so that its entries are ignored if they
/// arrive late. Entries are written up to some seconds late.
const ENDED_INCARNATION_RETENTION: Duration = Duration::from_secs(60);

/// Incarnation of a worker that has certainly ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedIncarnation {
    /// Start of the incarnation, in ms since 1970.
    started_ms: u64,
    /// When this owner learnt that it had ended.
    ended_at: Duration,
}

impl Scheduler {
    pub(crate) fn worker_listed(&mut self, now: Duration, entry: Entry) {
        let ended = self.ended_incarnations.get(&entry.id);
        if ended.is_some_and(|ended| entry.started_ms <= ended.started_ms) {
            self.end_unaccounted(now, &incarnations::name(&entry.id, entry.started_ms));
            return;
        }
        self.placement_due = true;
        if self.workers.contains_key(&entry.id) && !self.accept_listed_incarnation(now, &entry) {
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
            let started_ms = entry.started_ms.max(worker.entry.started_ms);
            worker.entry = Entry { started_ms, ..entry };
            worker.read_warm_up(now);
            return;
        }
        log::info!(
            "event=worker_known worker={} vm={} born_ms={}",
            entry.id,
            entry.vm,
            entry.started_ms
        );
        let (id, clock_ms) = (Arc::clone(&entry.id), entry.clock_ms);
        let new_worker = Arc::clone(&id);
        let mut worker = Worker::new(entry, now);
        worker.read_warm_up(now);
        // Previous owners may have granted leases on this worker.
        worker.inherit_lease(self.recovery.pending_until());
        self.actions.push(Action::StartPolling { worker: worker.target(), clock_ms });
        self.workers.insert(id, worker);
        self.end_earlier_incarnations(now, &new_worker);
    }

    pub(crate) fn worker_unlisted(&mut self, now: Duration, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.listed = false;
        self.remove_if_left(now, id);
    }

    /// Removes a worker that is neither listed nor answering, if no run can be left on it. A worker
    /// with runs is kept until their leases have expired: a draining one may also be cut off, lose
    /// its entry and work on.
    fn remove_if_left(&mut self, now: Duration, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        let has_left = !worker.listed && worker.failures > 0;
        if has_left && worker.synced && worker.runs.is_empty() {
            self.remove_worker(now, id, "left");
        }
    }

    /// Ends the other incarnations on the VM of a worker that has answered a poll sent at `sent`,
    /// if their own last answered poll was not sent later. The worker list cannot show this, since
    /// entries may be written late.
    fn end_replaced_incarnations(&mut self, now: Duration, id: &Arc<str>, sent: Duration) {
        let Some(worker) = self.workers.get(id) else { return };
        let vm = &worker.entry.vm;
        if vm.is_empty() {
            return;
        }
        let others = self.workers.values().filter(|other| {
            other.entry.vm == *vm && other.entry.id != *id && other.last_answered_poll <= sent
        });
        let replaced: Vec<_> = others.map(|other| Arc::clone(&other.entry.id)).collect();
        for other in replaced {
            self.end_incarnation(now, &other, "replaced");
        }
    }

    /// Removes a worker whose incarnation has certainly ended, and ignores later entries of that
    /// incarnation in the worker list.
    pub(crate) fn end_incarnation(&mut self, now: Duration, id: &Arc<str>, reason: &str) {
        if let Some(worker) = self.workers.get(id) {
            let ended = EndedIncarnation { started_ms: worker.entry.started_ms, ended_at: now };
            self.ended_incarnations.insert(Arc::clone(id), ended);
        }
        self.remove_worker(now, id, reason);
    }

    /// Removes the ended incarnations of which no entry can arrive any more.
    pub(crate) fn prune_ended_incarnations(&mut self, now: Duration) {
        self.ended_incarnations
            .retain(|_, ended| now < ended.ended_at + ENDED_INCARNATION_RETENTION);
    }

    /// Removes a worker that has ended, and all runs on it. The log line gives `reason` as `why`.
    pub(crate) fn remove_worker(&mut self, now: Duration, id: &Arc<str>, reason: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        log::info!(
            "event=worker_over worker={id} why={reason} runs={} lease_left_ms={}",
            worker.runs.len(),
            worker.lease_expiry.saturating_sub(now).as_millis()
        );
        let incarnation = worker.incarnation();
        self.actions.push(Action::StopPolling { worker: worker.target() });
        self.release_runs(now, id, reason);
        self.account_for(now, &incarnation, Liveness::Ended);
        self.workers.remove(id);
        self.enforce_loss_limits_on(now, &incarnation);
    }

    /// Records all runs on a worker as lost, and queues their tasks.
    pub(crate) fn release_runs(&mut self, now: Duration, id: &Arc<str>, reason: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        let colocation = self.colocation(worker);
        for (task, run) in runs {
            self.record_loss(now, id, task, run, colocation);
            self.drop_and_requeue(now, id, task, run, reason);
        }
    }

    /// Releases the runs on workers that do not answer, once all leases on them have expired.
    pub(crate) fn release_expired(&mut self, now: Duration) {
        let expired = |worker: &&Worker| worker.failures > 0 && now > worker.lease_expiry;
        let silent: Vec<_> = self
            .workers
            .values()
            .filter(expired)
            .map(|worker| (Arc::clone(&worker.entry.id), worker.listed))
            .collect();
        for (id, listed) in silent {
            if listed {
                self.release_runs(now, &id, "lapsed");
            } else {
                self.remove_worker(now, &id, "gone");
            }
        }
        self.release_expired_unaccounted(now);
    }

    pub(crate) fn poll_failed(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        extended: bool,
        error: Error,
    ) {
        if self.was_sent_to_earlier_incarnation(id, sent) {
            return;
        }
        match error {
            Error::OtherLife => return self.end_incarnation(now, id, "other_life"),
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
            worker.extend_lease(terms.latest_expiry(sent, terms.extension));
        }
        self.remove_if_left(now, id);
    }

    pub(crate) fn poll_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        extended: bool,
        reply: PollReply,
    ) {
        if !self.accept_answering_incarnation(now, id, sent, &reply) {
            return;
        }
        let terms = self.settings.terms;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.failures > 0 {
            log::info!("event=worker_back worker={id} failures={}", worker.failures);
            self.placement_due = true;
        }
        self.placement_due |= !worker.synced;
        let was_unavailable = worker.failures > 0 || !worker.synced;
        worker.failures = 0;
        worker.synced = true;
        worker.last_answered_poll = worker.last_answered_poll.max(sent);
        worker.last_answer = now;
        worker.has_more_ended = reply.has_more_ended;
        worker.correct_warm_up(now, reply.clock_ms);
        if extended {
            worker.extend_lease(terms.latest_expiry(sent, terms.extension));
        }
        let incarnation = worker.incarnation();
        if was_unavailable {
            self.clear_losses_on(now, &incarnation);
        }
        for ended in &reply.ended {
            self.run_ended(now, id, ended);
        }
        for running in &reply.running {
            self.clear_loss(now, running.task, running.run);
            self.update_running(now, id, running);
        }
        if !reply.has_more_ended {
            self.reconcile(now, id, sent, &reply.running);
            self.account_for(now, &incarnation, Liveness::Answering);
            // A progress record may name the worker without the start of its incarnation.
            self.account_for(now, id, Liveness::Answering);
        }
        self.end_replaced_incarnations(now, id, sent);
    }

    /// Updates a run that the worker reports as running.
    pub(crate) fn update_running(&mut self, now: Duration, worker: &Arc<str>, listed: &Running) {
        let Running { task: id, run: number, .. } = *listed;
        if let Some(run) = self.run_mut(id, number) {
            if run.percent != listed.percent {
                run.percent = listed.percent;
                run.progressed = now;
            }
            run.last_seen = now;
            run.gauge = listed.gauge;
            if listed.checkpoint.is_some() {
                run.checkpoint.clone_from(&listed.checkpoint);
            }
            if run.phase == Phase::Starting {
                run.phase = Phase::Running;
                run.answered = now;
                self.mark_running(now, id.job);
            } else if run.phase == Phase::Stopped && now >= run.answered + STOP_COMPLETION {
                log::info!("event=run_shown_after_stop task={id} run={number} worker={worker}");
                run.phase = Phase::Running;
                self.stop_run(now, id, number);
            }
            self.end_probation(now, worker, id, number);
            return;
        }
        self.adopt_or_stop(now, worker, listed);
    }

    /// Adopts a run that this owner did not start if its task may have it, and stops it otherwise.
    pub(crate) fn adopt_or_stop(&mut self, now: Duration, worker: &Arc<str>, listed: &Running) {
        let Running { task: id, run: number, .. } = *listed;
        let wanted = self.jobs.get(&id.job).is_some_and(|job| {
            let speculative = job.accepted.spec.steps.get(id.step as usize);
            let speculative = speculative.is_some_and(|step| step.speculative);
            let unclaimed = job
                .task(id)
                .is_some_and(|task| !task.done && (task.runs.is_empty() || speculative));
            unclaimed && !job.state.is_terminal()
        });
        let reserved = self.step_of(id).map(Step::reserved).unwrap_or_default();
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let losses = task.map_or(0, |task| task.lost.len());
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.reserve(id, number, reserved);
        known.mark_suspect(id, number, losses);
        let incarnation = known.incarnation();
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
                percent: listed.percent,
                last_seen: now,
                progressed: now,
                checkpoint: listed.checkpoint.clone(),
                gauge: listed.gauge,
                speed_percent: 100,
            });
        }
        self.commits.mark_dirty(now, id.job);
        self.mark_running(now, id.job);
    }

    /// Removes the runs that are missing from the answer to a poll sent at `sent` although the
    /// worker would have reported them.
    pub(crate) fn reconcile(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        running: &[Running],
    ) {
        let listed: BTreeSet<_> = running.iter().map(|row| (row.task, row.run)).collect();
        let Some(worker) = self.workers.get(id) else { return };
        let missing: Vec<_> =
            worker.runs.keys().filter(|key| !listed.contains(key)).copied().collect();
        let initial = self.settings.terms.initial;
        for (task, number) in missing {
            let Some(run) = self.run(task, number) else {
                self.drop_run(id, task, number);
                continue;
            };
            let ruled_out = match run.phase {
                Phase::Planned | Phase::Starting | Phase::Stopping => false,
                Phase::Running | Phase::Stopped => run.answered < sent,
                Phase::Doubtful => {
                    self.settings.terms.latest_expiry(run.start_sent, initial) < sent
                }
            };
            if ruled_out {
                let ended = matches!(run.phase, Phase::Running);
                let reason = if ended { "end_not_heard" } else { "not_there" };
                self.drop_and_requeue(now, id, task, number, reason);
            }
        }
    }
}
