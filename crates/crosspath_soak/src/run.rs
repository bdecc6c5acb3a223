//! One run: a site, its traffic and its faults, and what must hold when all is calm again.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crosspath_platform_stand_in::caller::{Job, Lookup};
use crosspath_platform_stand_in::store::{Mode, PARTITIONS, Route, Store};
use crosspath_platform_stand_in::worker::Worker;
use futures::future::join_all;
use nix::sys::signal::Signal;
use snafu::{ResultExt as _, Snafu};
use tokio::sync::Mutex;

use crate::audit::{Audit, Submission};
use crate::daemon::Daemon;
use crate::faults;
use crate::proxy::{Impairment, Proxy};
use crate::traffic::{QUEUES, Traffic};

/// From the start of the daemons to the first request.
const STARTUP_DELAY: Duration = Duration::from_secs(3);
/// Between two submits, on the whole.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(60);
/// Given to all jobs to end once all is calm: leases and takeovers take some seconds.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Between two looks meanwhile.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Given to the tasks of lasting jobs to stop once those are cancelled.
const STOP_DELAY: Duration = Duration::from_secs(6);

/// What to run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) duration: Duration,
    pub(crate) daemons: usize,
    /// Of each pool.
    pub(crate) workers: usize,
    /// Whether some jobs crash the workers that start them.
    pub(crate) crashing_jobs: bool,
    /// Whether workers that crash begin again under their identifiers.
    pub(crate) reuse_worker_ids: bool,
    pub(crate) program: PathBuf,
}

/// What came of it.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) faults: usize,
    pub(crate) jobs: usize,
    pub(crate) accepted: usize,
    pub(crate) completed: usize,
    pub(crate) starts: u64,
    pub(crate) violations: Vec<String>,
    /// Where the logs are, if a promise was broken.
    pub(crate) logs: Option<PathBuf>,
}

/// A run could not be set up.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// A file, a port or a process.
    #[snafu(display("{what}: {source}"))]
    Setup { what: &'static str, source: std::io::Error },
}

/// Everything that faults can strike.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) store: Arc<Store>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_proxies: Vec<Proxy>,
    pub(crate) daemons: Vec<Mutex<Daemon>>,
    /// Between each daemon and the store.
    pub(crate) store_proxies: Vec<Proxy>,
}

impl Cluster {
    async fn build(plan: &Plan, audit: &Audit, directory: &std::path::Path) -> Result<Self, Error> {
        let store = Arc::new(Store::start().await.context(SetupSnafu { what: "store" })?);
        let route = |queue: &&str| Route {
            name: (*queue).to_owned(),
            pool: format!("{queue}-pool"),
            priority: 0,
        };
        store.configure(1, &QUEUES.iter().map(route).collect::<Vec<_>>(), "spare-pool");
        let mut cluster = Self {
            store,
            workers: Vec::new(),
            worker_proxies: Vec::new(),
            daemons: Vec::new(),
            store_proxies: Vec::new(),
        };
        for number in 0..plan.workers * QUEUES.len() {
            let pool = format!("{}-pool", QUEUES[number % QUEUES.len()]);
            let vm = format!("vm{number}");
            let observer = Arc::new(audit.clone());
            let worker = Worker::start(observer, &pool, &vm).await;
            let mut worker = worker.context(SetupSnafu { what: "worker" })?;
            let proxy = Proxy::start(worker.address()).await;
            let proxy = proxy.context(SetupSnafu { what: "proxy" })?;
            worker.publish(&cluster.store, proxy.address);
            if plan.reuse_worker_ids {
                worker.reuse_id();
            }
            cluster.workers.push(worker);
            cluster.worker_proxies.push(proxy);
        }
        for number in 0..plan.daemons {
            let proxy = Proxy::start(cluster.store.address()).await;
            let proxy = proxy.context(SetupSnafu { what: "proxy" })?;
            let daemon = Daemon::new(number, &plan.program, directory, proxy.address, PARTITIONS);
            cluster.daemons.push(Mutex::new(daemon.context(SetupSnafu { what: "settings" })?));
            cluster.store_proxies.push(proxy);
        }
        Ok(cluster)
    }

    /// Starts a daemon, if it does not run.
    pub(crate) async fn start(&self, daemon: usize) {
        if let Err(error) = self.daemons[daemon].lock().await.start() {
            log::warn!("event=daemon_not_started daemon={daemon} error=\"{error}\"");
        }
    }

    /// Ends all faults.
    async fn clear_faults(&self) {
        self.store.set_mode(Mode::Up);
        for proxy in self.store_proxies.iter().chain(&self.worker_proxies) {
            proxy.set_impairment(Impairment::None);
        }
        for number in 0..self.daemons.len() {
            self.daemons[number].lock().await.signal(Signal::SIGCONT);
            self.start(number).await;
        }
    }
}

/// Plays one seed.
pub(crate) async fn run(plan: &Plan) -> Result<Report, Error> {
    let directory = tempfile::tempdir().context(SetupSnafu { what: "folder" })?;
    let audit = Audit::default();
    let cluster = Arc::new(Cluster::build(plan, &audit, directory.path()).await?);
    for daemon in 0..cluster.daemons.len() {
        cluster.start(daemon).await;
    }
    tokio::time::sleep(STARTUP_DELAY).await;
    let mut addresses = Vec::new();
    for daemon in &cluster.daemons {
        addresses.push(daemon.lock().await.callers_address);
    }
    let traffic = Traffic::new(addresses.into_iter(), &audit, plan.crashing_jobs);
    let submissions = tokio::spawn(traffic.clone().run(plan.seed, plan.duration, SUBMIT_INTERVAL));
    let faults = faults::inject(&cluster, plan).await;
    if let Err(error) = submissions.await {
        audit.report_violation(format!("callers failed: {error}"));
    }
    cluster.clear_faults().await;
    let completed = wait_until_settled(&audit, &traffic).await;
    for daemon in &cluster.daemons {
        let mut daemon = daemon.lock().await;
        if !daemon.is_running() {
            audit.report_violation(format!(
                "{} does not run, though nothing strikes it",
                daemon.name
            ));
        }
    }
    let jobs = audit.jobs();
    let accepted = jobs.iter().filter(|(_, submission)| submission.accepted).count();
    // Where nothing is taken no other promise is tried.
    if accepted == 0 {
        audit.report_violation(format!("none of {} jobs was accepted", jobs.len()));
    }
    let violations = audit.violations();
    let logs = (!violations.is_empty()).then(|| directory.keep());
    Ok(Report {
        faults,
        jobs: jobs.len(),
        accepted,
        completed,
        starts: audit.starts(),
        violations,
        logs,
    })
}

/// What a job still lacks, now that all is calm; none when nothing.
async fn check_job(
    audit: &Audit,
    traffic: &Traffic,
    job: &Job,
    submission: Submission,
) -> Option<String> {
    let lookup = traffic.state(job).await;
    let running = audit.running(job.id);
    match &lookup {
        Lookup::State(state) if state == "completed" => (!audit.is_completed(job))
            .then(|| format!("job {} is shown as done and is not", job.id)),
        Lookup::State(state) if state == "failed" && audit.may_fail(job) => {
            (running > 0).then(|| format!("job {} was given up and runs", job.id))
        }
        Lookup::State(state) if state == "cancelled" && submission.cancel_requested => {
            (running > 0).then(|| format!("cancelled job {} runs", job.id))
        }
        Lookup::State(state)
            if state == "running" && job.work.long_running && !submission.cancel_accepted =>
        {
            let total = job.steps.iter().sum::<u32>() as usize;
            (running < total)
                .then(|| format!("lasting job {} runs only {running} of {total} tasks", job.id))
        }
        Lookup::None if !submission.accepted => None,
        other => Some(format!("job {} may not be shown as {other:?} now ({submission:?})", job.id)),
    }
}

/// Waits until every job is as it must be; the number of completed ones.
async fn wait_until_settled(audit: &Audit, traffic: &Traffic) -> usize {
    let until = tokio::time::Instant::now() + SETTLE_TIMEOUT;
    let mut unsettled = audit.jobs();
    let total = unsettled.len();
    loop {
        let checks =
            unsettled.iter().map(|(job, submission)| check_job(audit, traffic, job, *submission));
        let violations = join_all(checks).await;
        unsettled = unsettled
            .into_iter()
            .zip(&violations)
            .filter(|(_, violation)| violation.is_some())
            .map(|(job, _)| job)
            .collect();
        if unsettled.is_empty() || tokio::time::Instant::now() >= until {
            for violation in violations.into_iter().flatten() {
                audit.report_violation(violation);
            }
            break;
        }
        tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
    cancel_long_running(audit, traffic).await;
    audit.check_refused();
    total - unsettled.len()
}

/// Cancels what lasts, which must then stop.
async fn cancel_long_running(audit: &Audit, traffic: &Traffic) {
    let jobs = audit.jobs().into_iter().map(|(job, _)| job);
    let long_running: Vec<Job> = jobs.filter(|job| job.work.long_running).collect();
    for job in &long_running {
        if audit.running(job.id) > 0 && !traffic.cancel_at_any(job).await {
            audit.report_violation(format!("job {} cannot be cancelled", job.id));
        }
    }
    tokio::time::sleep(STOP_DELAY).await;
    for job in long_running.iter().filter(|job| audit.running(job.id) > 0) {
        audit.report_violation(format!("job {} runs on after its cancelling", job.id));
    }
}
