//! The scheduler's state, and what each event changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::worker::{Ended, Entry, Error, Held, How, Running, Started};
use crosspath_job::progress::{Progress, State};
use crosspath_job::record::Accepted;
use crosspath_job::spec::Step;
use crosspath_job::{JobId, TaskId};

use crate::action::Action;
use crate::commit::Commits;
use crate::event::Event;
use crate::job::{Job, Phase, Run, Task};
use crate::lease::Terms;
use crate::place::{Key, Tickets};
use crate::takeover::Settlement;
use crate::worker::Worker;

/// Runs of one task in one epoch at most; run numbers rise with the epoch by this much, so that they
/// rise above those of owners before, whatever those have started unseen.
const RUNS_PER_EPOCH: u64 = 10_000;
/// Waiting tasks that make a backlog.
const BACKLOG: usize = 64;
/// Between two rounds of placing with a backlog, where each end that is heard would set one off.
const PLACE_INTERVAL: Duration = Duration::from_millis(4);
/// Between two stops for a run whose stop got no answer.
const STOP_AGAIN: Duration = Duration::from_millis(400);
/// No new work after an order without an answer, or a refusal; the next look tells more.
const REST_AFTER_SILENCE: Duration = Duration::from_millis(300);
/// No new work after a refusal for want of room: some looks' time.
const REST_AFTER_NO_ROOM: Duration = Duration::from_millis(60);
/// A malformed start is not repeated at once.
const PAUSE_AFTER_MALFORMED: Duration = Duration::from_secs(1);
/// Blame for a run that failed, by how likely it is the worker's fault.
const BLAME_FAILED: f64 = 1.0;
/// Blame for refusing a start.
const BLAME_REFUSED: f64 = 0.5;
/// What a run that ended well takes off.
const PRAISE_DONE: f64 = -0.5;

/// What the scheduler is told once.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Lengths of leases.
    pub terms: Terms,
    /// How long an ended job can be asked for.
    pub keep_ended: Duration,
    /// Silence of membership after which an owner stops acting.
    pub membership_ttl: Duration,
}

/// The scheduler of one shard.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    pub(crate) waiting: BTreeSet<Key>,
    pub(crate) actions: Vec<Action>,
    pub(crate) commits: Commits,
    pub(crate) settlement: Settlement,
    pub(crate) tickets: Tickets,
    pub(crate) vacate: BTreeSet<Arc<str>>,
    pub(crate) may_act: bool,
    pub(crate) store_away: bool,
    pub(crate) place_again: bool,
    /// What tasks want that the last round of placing found no worker for, in thousandths of a core.
    pub(crate) unplaced_millis: u64,
    /// Lasting tasks among those.
    pub(crate) unplaced_lasting: u32,
    /// When tasks were last placed.
    placed: Duration,
    /// Whether all workers are to be looked over.
    look_over: bool,
    /// Jobs that were cancelled before their record was read.
    cancelled_early: BTreeSet<JobId>,
    superseded: bool,
}

impl Scheduler {
    /// An owner of a shard that has just claimed it in `epoch`.
    #[must_use]
    pub fn new(settings: Settings, epoch: u64, now: Duration) -> Self {
        Self {
            settings,
            epoch,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            waiting: BTreeSet::new(),
            actions: Vec::new(),
            commits: Commits::default(),
            settlement: Settlement::new(&settings, now),
            tickets: Tickets::default(),
            vacate: BTreeSet::new(),
            may_act: true,
            store_away: false,
            place_again: false,
            unplaced_millis: 0,
            unplaced_lasting: 0,
            placed: Duration::ZERO,
            look_over: false,
            cancelled_early: BTreeSet::new(),
            superseded: false,
        }
    }

    /// Whether a worker has told of a later owner.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Whether it is to decide again soon, without an event.
    #[must_use]
    pub fn gathers(&self) -> bool {
        self.commits.gathers() || (self.place_again && !self.waiting.is_empty())
    }

    /// State of a job as it is kept; none when it is not known.
    #[must_use]
    pub fn state(&self, job: JobId) -> Option<State> {
        let job = self.jobs.get(&job)?;
        let unkept = job.state.is_final() && job.state != State::Cancelled && job.kept != job.state;
        Some(if unkept { State::Running } else { job.state })
    }

    /// What the log is to keep of a job; none when it is not known.
    #[must_use]
    pub fn progress(&self, job: JobId, wall_ms: u64) -> Option<Progress> {
        Some(self.jobs.get(&job)?.progress(wall_ms))
    }

    /// Number of a queue's jobs of which no task has begun.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> u64 {
        let queued = |job: &&Job| job.state == State::Queued && *job.accepted.queue == *queue;
        self.jobs.values().filter(queued).count() as u64
    }

    /// Takes in what has happened. `wall_ms` is the time of day in ms since 1970.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) {
        match event {
            Event::Accepted(id, accepted) => self.accept(now, wall_ms, id, accepted),
            Event::Cancelled(id) => self.cancel(now, id),
            Event::WorkerSeen(entry) => self.worker_seen(now, entry),
            Event::WorkerGone(id) => self.worker_gone(now, &id),
            Event::Held { worker, sent, extended, held } => {
                self.held(now, &worker, sent, extended, held);
            }
            Event::HoldFailed { worker, sent, extended, error } => {
                self.hold_failed(now, &worker, sent, extended, error);
            }
            Event::StartAnswered { worker, task, run, answer } => {
                self.start_answered(now, &worker, task, run, answer);
            }
            Event::StopAnswered { worker, task, run, answer } => {
                self.stop_answered(now, &worker, task, run, answer);
            }
            Event::Advised { step, asked, answer } => {
                self.tickets.advised(now, step, asked, answer);
                self.place_again = true;
            }
            Event::Committed => self.committed(now),
            Event::Vacate(vms) => {
                self.place_again |= vms != self.vacate;
                self.look_over |= vms != self.vacate;
                self.vacate = vms;
            }
            Event::MayAct(may_act) => {
                self.place_again |= may_act;
                self.may_act = may_act;
            }
            Event::StoreAway(away) => {
                self.store_away = away;
                if away {
                    self.start_unkept(now);
                }
            }
            Event::Superseded => self.superseded = true,
            Event::Tick => {
                self.look_over = true;
                self.open_due(now, wall_ms);
                self.release_lapsed(now);
                self.forget_ended(now);
            }
        }
    }

    /// Decides what to do now. Called after some events, and now and then without any.
    pub fn decide(&mut self, now: Duration, wall_ms: u64) -> Vec<Action> {
        if self.may_act {
            if std::mem::take(&mut self.look_over) {
                self.stop_again(now);
                self.vacate_tasks(now);
                self.stop_stalled(now);
                self.pace();
            }
            let pause = if self.waiting.len() > BACKLOG { PLACE_INTERVAL } else { Duration::ZERO };
            if self.place_again && now >= self.placed + pause {
                self.place_again = false;
                self.placed = now;
                self.place(now);
                if self.store_away {
                    self.start_unkept(now);
                }
            }
        }
        self.commit(now, wall_ms);
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn step_of(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.accepted.spec.steps.get(task.step as usize)
    }

    // Jobs.

    fn accept(&mut self, now: Duration, wall_ms: u64, id: JobId, accepted: Arc<Accepted>) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.insert(now, wall_ms, id, accepted);
        if self.cancelled_early.remove(&id) {
            self.cancel(now, id);
        }
        self.open_steps(now, wall_ms, id);
    }

    pub(crate) fn insert(
        &mut self,
        now: Duration,
        wall_ms: u64,
        id: JobId,
        accepted: Arc<Accepted>,
    ) {
        let age = Duration::from_millis(wall_ms.saturating_sub(accepted.at_ms));
        let job = Job::new(id, accepted, now.saturating_sub(age));
        log::info!(
            "event=job_known job={id} queue={} age_ms={}",
            job.accepted.queue,
            age.as_millis()
        );
        self.jobs.insert(id, job);
    }

    pub(crate) fn cancel(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            self.cancelled_early.insert(id);
            return;
        };
        if !job.state.is_final() {
            self.finish(now, id, State::Cancelled);
        }
    }

    fn open_due(&mut self, now: Duration, wall_ms: u64) {
        let pending = |job: &&Job| {
            !job.state.is_final() && job.instances.iter().any(|instance| !instance.due)
        };
        let pending: Vec<_> = self.jobs.values().filter(pending).map(|job| job.id).collect();
        for id in pending {
            self.open_steps(now, wall_ms, id);
        }
    }

    /// Opens the steps of due times whose turn has come.
    pub(crate) fn open_steps(&mut self, now: Duration, wall_ms: u64, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() {
            return;
        }
        let spec = Arc::clone(&job.accepted);
        let spec = &spec.spec;
        for (time, instance) in (0..).zip(&mut job.instances) {
            instance.due |= spec.due_ms(time) <= wall_ms;
            if !instance.due {
                continue;
            }
            for number in 0..instance.steps.len() {
                let before = &spec.steps[number].after;
                let ready = before.iter().all(|after| instance.steps[*after as usize].left == 0);
                let step = &mut instance.steps[number];
                step.open |= ready;
                if !ready || step.left == 0 {
                    continue;
                }
                for task in step.tasks.iter_mut().filter(|task| task.freed.is_zero()) {
                    task.freed = now;
                }
            }
        }
        self.queue_job(now, id);
    }

    /// Puts all tasks that need a run among the waiting ones.
    pub(crate) fn queue_job(&mut self, _now: Duration, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut found = Vec::new();
        for (time, instance) in (0..).zip(&job.instances) {
            for (step, run) in (0..).zip(&instance.steps) {
                if !run.open || run.left == 0 {
                    continue;
                }
                for (index, task) in (0..).zip(&run.tasks) {
                    if !task.done && task.runs.is_empty() {
                        found.push(Key::of(job, TaskId { job: id, time, step, index }));
                    }
                }
            }
        }
        self.place_again |= !found.is_empty();
        self.waiting.extend(found);
    }

    /// Puts a task among the waiting ones, if it needs a run.
    pub(crate) fn queue_task(&mut self, now: Duration, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.state.is_final() {
            return;
        }
        let step = &job.instances[id.time as usize].steps[id.step as usize];
        if !step.open {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || !task.runs.is_empty() {
            return;
        }
        task.freed = now;
        let key = Key::of(job, id);
        self.waiting.insert(key);
        self.place_again = true;
    }

    fn finish(&mut self, now: Duration, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        log::info!(
            "event=job_ended job={id} state={state:?} after_ms={}",
            now.saturating_sub(job.since).as_millis()
        );
        job.state = state;
        job.ended = now;
        let running = job.running();
        let keys: Vec<_> = self.waiting.iter().filter(|key| key.task.job == id).copied().collect();
        for key in keys {
            self.waiting.remove(&key);
        }
        for (task, run, _) in running {
            self.stop_run(now, task, run);
        }
        self.commits.touch(now, id);
    }

    // Runs.

    /// Next number for a run of a task.
    pub(crate) fn next_run(epoch: u64, task: &Task) -> u64 {
        (task.last_run + 1).max(epoch * RUNS_PER_EPOCH + 1)
    }

    pub(crate) fn stop_run(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let Some(run) = task.runs.iter_mut().find(|run| run.number == number) else { return };
        if matches!(run.phase, Phase::Stopped) {
            return;
        }
        if run.phase == Phase::Planned {
            return self.drop_planned(now, id, number);
        }
        if !matches!(run.phase, Phase::Doubtful) {
            run.phase = Phase::Stopping;
        }
        run.stop_sent = now;
        let Some(worker) = self.workers.get(&run.worker) else { return };
        self.actions.push(Action::Stop { worker: worker.target(), task: id, run: number });
    }

    /// Gives up a run of which nothing was sent.
    pub(crate) fn drop_planned(&mut self, now: Duration, id: TaskId, number: u64) {
        let Some(run) = self.run(id, number) else { return };
        if run.phase == Phase::Planned {
            let worker = Arc::clone(&run.worker);
            self.drop_and_queue(now, &worker, id, number, "not_sent");
        }
    }

    fn stop_again(&mut self, now: Duration) {
        let mut again = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.failures == 0) {
            again.extend(worker.unanswered.iter().copied());
        }
        for (task, run) in again {
            let found = self.run(task, run);
            let due = found.is_some_and(|found| now >= found.stop_sent + STOP_AGAIN);
            if due {
                self.stop_run(now, task, run);
            }
        }
    }

    pub(crate) fn run(&self, id: TaskId, number: u64) -> Option<&Run> {
        let task = self.jobs.get(&id.job)?.task(id)?;
        task.runs.iter().find(|run| run.number == number)
    }

    fn run_mut(&mut self, id: TaskId, number: u64) -> Option<&mut Run> {
        let task = self.jobs.get_mut(&id.job)?.task_mut(id)?;
        task.runs.iter_mut().find(|run| run.number == number)
    }

    /// Removes a run that is not there any more.
    fn drop_run(&mut self, worker: &str, id: TaskId, number: u64) -> Option<Run> {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.release(id, number);
            self.place_again = true;
        }
        let task = self.jobs.get_mut(&id.job)?.task_mut(id)?;
        let at = task.runs.iter().position(|run| run.number == number)?;
        Some(task.runs.remove(at))
    }

    fn drop_and_queue(&mut self, now: Duration, worker: &str, id: TaskId, number: u64, why: &str) {
        if self.drop_run(worker, id, number).is_some() {
            log::info!("event=run_over task={id} run={number} worker={worker} why={why}");
        }
        self.queue_task(now, id);
    }

    // Workers.

    fn worker_seen(&mut self, now: Duration, entry: Entry) {
        if self.workers.values().any(|worker| worker.entry.replaces(&entry)) {
            self.accounted(&entry.id);
            return;
        }
        let replaced: Vec<_> = self
            .workers
            .values()
            .filter(|worker| entry.replaces(&worker.entry))
            .map(|worker| Arc::clone(&worker.entry.id))
            .collect();
        for old in replaced {
            self.worker_dead(now, &old, "replaced");
        }
        self.place_again = true;
        if let Some(worker) = self.workers.get_mut(&entry.id) {
            if entry.draining && !worker.entry.draining {
                log::info!(
                    "event=worker_draining worker={} left_ms={}",
                    entry.id,
                    entry.remaining_ms
                );
            }
            worker.listed = true;
            worker.entry = entry;
            return;
        }
        log::info!("event=worker_known worker={} vm={}", entry.id, entry.vm);
        let (id, clock_ms) = (Arc::clone(&entry.id), entry.clock_ms);
        let worker = Worker::new(entry);
        self.actions.push(Action::Watch { worker: worker.target(), clock_ms });
        self.workers.insert(id, worker);
    }

    fn worker_gone(&mut self, now: Duration, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.listed = false;
        if worker.entry.draining && worker.failures > 0 {
            self.worker_dead(now, id, "left");
        }
    }

    /// The worker's life is over, and with it all that ran there.
    fn worker_dead(&mut self, now: Duration, id: &Arc<str>, why: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        log::info!("event=worker_over worker={id} why={why} runs={}", worker.runs.len());
        self.actions.push(Action::Unwatch { worker: worker.target() });
        self.release_all(now, id, why);
        self.workers.remove(id);
        self.accounted(id);
    }

    fn release_all(&mut self, now: Duration, id: &Arc<str>, why: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        for (task, run) in runs {
            self.drop_and_queue(now, id, task, run, why);
        }
    }

    /// Frees what ran on silent workers once their leases have surely ended.
    fn release_lapsed(&mut self, now: Duration) {
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

    fn hold_failed(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        sent: Duration,
        extended: bool,
        error: Error,
    ) {
        match error {
            Error::OtherLife => return self.worker_dead(now, id, "other_life"),
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

    fn held(&mut self, now: Duration, id: &Arc<str>, sent: Duration, extended: bool, held: Held) {
        let terms = self.settings.terms;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.failures > 0 {
            log::info!("event=worker_back worker={id} failures={}", worker.failures);
            self.place_again = true;
        }
        self.place_again |= !worker.synced;
        worker.failures = 0;
        worker.synced = true;
        if extended {
            worker.leased_until(terms.over(sent, terms.hold));
        }
        for ended in &held.ended {
            self.ended(now, id, ended);
        }
        for running in &held.running {
            self.is_running(now, id, running);
        }
        self.reconcile(now, id, sent, &held.running);
        self.accounted(id);
    }

    /// A run that the worker lists.
    fn is_running(&mut self, now: Duration, worker: &Arc<str>, row: &Running) {
        let Running { task: id, run: number, .. } = *row;
        if let Some(run) = self.run_mut(id, number) {
            if run.percent != row.percent {
                run.percent = row.percent;
                run.progressed = now;
            }
            run.looked = now;
            run.gauge = row.gauge;
            if row.checkpoint.is_some() {
                run.checkpoint.clone_from(&row.checkpoint);
            }
            if run.phase == Phase::Starting {
                run.phase = Phase::Running;
                run.answered = now;
                self.begun(now, id.job);
            }
            return;
        }
        self.found(now, worker, row);
    }

    /// A run that this owner did not start: adopted if its task may run there, else stopped.
    fn found(&mut self, now: Duration, worker: &Arc<str>, row: &Running) {
        let Running { task: id, run: number, .. } = *row;
        let wanted = self.jobs.get(&id.job).is_some_and(|job| {
            let copies = job.accepted.spec.steps.get(id.step as usize);
            let copies = copies.is_some_and(|step| step.speculative);
            let free =
                job.task(id).is_some_and(|task| !task.done && (task.runs.is_empty() || copies));
            free && !job.state.is_final()
        });
        let room = self.step_of(id).map(Step::reserved).unwrap_or_default();
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.reserve(id, number, room);
        if !wanted {
            log::info!("event=run_unwanted task={id} run={number} worker={worker}");
            let worker = known.target();
            self.actions.push(Action::Stop { worker, task: id, run: number });
            return;
        }
        log::info!("event=run_adopted task={id} run={number} worker={worker}");
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
            task.last_run = task.last_run.max(number);
            task.runs.push(Run {
                number,
                worker: Arc::clone(worker),
                phase: Phase::Running,
                sent: now,
                answered: now,
                stop_sent: Duration::ZERO,
                percent: row.percent,
                looked: now,
                progressed: now,
                checkpoint: row.checkpoint.clone(),
                gauge: row.gauge,
                pace: 100,
            });
        }
        self.commits.touch(now, id.job);
        self.begun(now, id.job);
    }

    /// Rules out runs that a look, sent at `sent`, should have shown.
    fn reconcile(&mut self, now: Duration, id: &Arc<str>, sent: Duration, running: &[Running]) {
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
                Phase::Doubtful => self.settings.terms.over(run.sent, start) < sent,
            };
            if ruled_out {
                self.drop_and_queue(now, id, task, number, "not_there");
            }
        }
    }

    fn begun(&mut self, now: Duration, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == State::Queued {
            job.state = State::Running;
            let after = now.saturating_sub(job.since).as_millis();
            log::info!("event=job_begun job={id} after_ms={after}");
        }
    }

    /// An end that the worker lists.
    fn ended(&mut self, now: Duration, id: &Arc<str>, ended: &Ended) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if ended.number <= worker.ends_seen {
            return;
        }
        worker.ends_seen = ended.number;
        let Ended { task, run, how, .. } = *ended;
        let dropped = self.drop_run(id, task, run);
        let took = dropped.as_ref().map(|run| now.saturating_sub(run.answered));
        log::info!(
            "event=run_ended task={task} run={run} worker={id} how={how:?} took_ms={}",
            took.unwrap_or_default().as_millis()
        );
        let Some(step) = self.step_of(task) else { return };
        let lasting = step.lasting;
        self.save_checkpoint(now, ended);
        match how {
            How::Done if !lasting => self.task_done(now, id, task),
            How::Failed if !lasting => self.task_failed(now, id, task, run),
            How::Failed => {
                self.blame(now, id, BLAME_FAILED * 0.5);
                self.queue_task(now, task);
            }
            _ => self.queue_task(now, task),
        }
    }

    fn save_checkpoint(&mut self, now: Duration, ended: &Ended) {
        if ended.checkpoint.is_none() || ended.how == How::Done {
            return;
        }
        let Some(job) = self.jobs.get_mut(&ended.task.job) else { return };
        let Some(task) = job.task_mut(ended.task) else { return };
        if task.done || task.checkpoint == ended.checkpoint {
            return;
        }
        task.checkpoint.clone_from(&ended.checkpoint);
        self.commits.touch(now, ended.task.job);
    }

    fn blame(&mut self, now: Duration, id: &str, amount: f64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_blame(now, amount);
        }
    }

    fn task_done(&mut self, now: Duration, worker: &Arc<str>, id: TaskId) {
        self.blame(now, worker, PRAISE_DONE);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.state.is_final() {
            return;
        }
        let gang = job.accepted.spec.steps[id.step as usize].gang;
        let step = &mut job.instances[id.time as usize].steps[id.step as usize];
        let mut others = Vec::new();
        for (index, task) in (0..).zip(&mut step.tasks) {
            // One successful end of a gang stands for all of its members.
            if task.done || !(gang || index == id.index) {
                continue;
            }
            task.done = true;
            step.left -= 1;
            let other = TaskId { index, ..id };
            others.extend(task.runs.iter().map(|run| (other, run.number)));
        }
        let (step_over, job_over) = (step.left == 0, job.is_done());
        let keys: Vec<_> = if gang {
            self.waiting.iter().filter(|key| key.task.job == id.job).copied().collect()
        } else {
            vec![Key::of(job, id)]
        };
        for key in keys {
            let done = self.jobs[&id.job].task(key.task).is_some_and(|task| task.done);
            if done {
                self.waiting.remove(&key);
            }
        }
        for (task, run) in others {
            self.stop_run(now, task, run);
        }
        self.commits.touch(now, id.job);
        if job_over {
            self.finish(now, id.job, State::Completed);
        } else if step_over {
            // Times that are not due are opened by the tick; 0 opens none of them early.
            self.open_steps(now, 0, id.job);
        }
    }

    fn task_failed(&mut self, now: Duration, worker: &Arc<str>, id: TaskId, number: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let attempts = job.accepted.policy.max_attempts.max(1);
        if job.state.is_final() {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || task.failed_runs.contains(&number) {
            return self.queue_task(now, id);
        }
        task.failed_runs.push(number);
        task.last_run = task.last_run.max(number);
        task.failed_on.push(Arc::clone(worker));
        let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
        let others: Vec<_> = task.runs.iter().map(|run| run.number).collect();
        self.blame(now, worker, BLAME_FAILED);
        self.commits.touch(now, id.job);
        if failures < attempts {
            return self.queue_task(now, id);
        }
        for run in others {
            self.stop_run(now, id, run);
        }
        self.finish(now, id.job, State::Failed);
    }

    // Answers to orders.

    fn start_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        task: TaskId,
        number: u64,
        answer: Result<Started, Error>,
    ) {
        if answer != Ok(Started::Yes) {
            log::info!(
                "event=start_refused task={task} run={number} worker={id} answer={answer:?}"
            );
        }
        match answer {
            Ok(Started::Yes) => {
                if let Some(run) = self.run_mut(task, number) {
                    run.answered = now;
                    if run.phase == Phase::Starting {
                        run.phase = Phase::Running;
                        run.progressed = now;
                    }
                }
                self.begun(now, task.job);
            }
            Ok(Started::Fenced) | Err(Error::Fenced) => self.superseded = true,
            Ok(Started::NoRoom) => {
                self.rest(id, now + REST_AFTER_NO_ROOM);
                self.drop_and_queue(now, id, task, number, "no_room");
            }
            Ok(Started::Old | Started::Late) => {
                self.rest(id, now + REST_AFTER_NO_ROOM);
                self.drop_and_queue(now, id, task, number, "refused");
            }
            Ok(Started::Ticket) => {
                self.tickets.forget(task);
                self.drop_and_queue(now, id, task, number, "ticket");
            }
            Ok(Started::Unhealthy) | Err(Error::Refused { .. }) => {
                self.blame(now, id, BLAME_REFUSED);
                self.rest(id, now + REST_AFTER_SILENCE);
                self.drop_and_queue(now, id, task, number, "unhealthy");
            }
            Ok(Started::Malformed) => {
                log::warn!("event=start_malformed task={task} worker={id}");
                if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task))
                {
                    task.not_before = now + PAUSE_AFTER_MALFORMED;
                }
                self.drop_and_queue(now, id, task, number, "malformed");
            }
            Err(Error::NotReached) => {
                self.rest(id, now + REST_AFTER_SILENCE);
                self.drop_and_queue(now, id, task, number, "not_reached");
            }
            Err(Error::OtherLife) => self.worker_dead(now, id, "other_life"),
            Err(Error::NoAnswer) => self.start_unanswered(now, id, task, number),
        }
    }

    fn start_unanswered(&mut self, now: Duration, id: &Arc<str>, task: TaskId, number: u64) {
        self.rest(id, now + REST_AFTER_SILENCE);
        let Some(run) = self.run_mut(task, number) else { return };
        if run.phase == Phase::Starting {
            run.phase = Phase::Doubtful;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered.insert((task, number));
        }
        self.stop_run(now, task, number);
    }

    fn rest(&mut self, id: &str, until: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.rest_until = worker.rest_until.max(until);
        }
    }

    fn stop_answered(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        task: TaskId,
        number: u64,
        answer: Result<(), Error>,
    ) {
        match answer {
            Ok(()) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unanswered.remove(&(task, number));
                }
                if let Some(run) = self.run_mut(task, number) {
                    run.phase = Phase::Stopped;
                    run.answered = now;
                }
            }
            Err(Error::Fenced) => self.superseded = true,
            Err(Error::OtherLife) => self.worker_dead(now, id, "other_life"),
            Err(error) => {
                log::info!(
                    "event=stop_failed task={task} run={number} worker={id} error=\"{error}\""
                );
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unanswered.insert((task, number));
                }
            }
        }
    }
}
