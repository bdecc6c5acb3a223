//! One run of a seed: builds a cluster, submits jobs and injects faults, and checks the guarantees
//! once the faults have ended.

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

/// Time from the start of the daemons to the first request.
const STARTUP_DELAY: Duration = Duration::from_secs(3);
/// Mean interval between two submits.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(60);
/// Time in which all jobs must reach their expected state once the faults have ended: leases and
/// takeovers take some seconds.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of the jobs during [`SETTLE_TIMEOUT`].
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the tasks of long-running jobs must stop once these are cancelled.
const STOP_DELAY: Duration = Duration::from_secs(6);

/// Version of the configuration with which a run starts.
pub(crate) const FIRST_VERSION: u64 = 1;

/// Name of the pool that a queue has at first.
fn pool_name(queue: &str) -> String {
    format!("{queue}-pool")
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    /// For how long jobs are submitted and faults are injected.
    pub(crate) duration: Duration,
    pub(crate) daemons: usize,
    /// Workers in each pool.
    pub(crate) workers: usize,
    /// Whether some jobs crash the workers that start them.
    pub(crate) crashing_jobs: bool,
    /// Whether workers crash often, and crashed workers restart under the same identifier.
    pub(crate) reuse_worker_ids: bool,
    /// Whether configurations assign queues to other pools.
    pub(crate) reassign_queues: bool,
    /// Number of data centres; from 2 on they are cut from each other, lost and evacuated.
    pub(crate) data_centres: usize,
    pub(crate) program: PathBuf,
}

/// Results of a run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) faults: usize,
    pub(crate) jobs: usize,
    pub(crate) accepted: usize,
    pub(crate) completed: usize,
    pub(crate) starts: u64,
    pub(crate) violations: Vec<String>,
    /// Directory of the daemons' logs and settings, kept if a guarantee was broken.
    pub(crate) logs: Option<PathBuf>,
}

/// A run that could not be set up.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// A file could not be written, or a stand-in or proxy could not listen.
    #[snafu(display("cannot set up the {what}: {source}"))]
    Setup { what: &'static str, source: std::io::Error },
}

/// Stand-ins, proxies and daemons of a run, into which faults are injected.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) store: Arc<Store>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_proxies: Vec<Proxy>,
    /// Names of the data centres. Daemons and workers are assigned round-robin.
    pub(crate) data_centres: Vec<String>,
    pub(crate) daemons: Vec<Mutex<Daemon>>,
    /// Between each daemon and the store, in the order of the daemons.
    pub(crate) store_proxies: Vec<Proxy>,
}

impl Cluster {
    async fn build(plan: &Plan, audit: &Audit, directory: &std::path::Path) -> Result<Self, Error> {
        let store = Arc::new(Store::start().await.context(SetupSnafu { what: "store" })?);
        let mut cluster = Self {
            store,
            workers: Vec::new(),
            worker_proxies: Vec::new(),
            data_centres: (0..plan.data_centres).map(|number| format!("dc{number}")).collect(),
            daemons: Vec::new(),
            store_proxies: Vec::new(),
        };
        cluster.configure(FIRST_VERSION, QUEUES);
        for number in 0..plan.workers * QUEUES.len() {
            let pool = pool_name(QUEUES[number % QUEUES.len()]);
            let vm = format!("vm{number}");
            let observer = Arc::new(audit.clone());
            let data_centre = &cluster.data_centres[cluster.data_centre_of_worker(number)];
            audit.add_vm(&vm, data_centre);
            let worker = Worker::start(observer, &pool, &vm, data_centre).await;
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
            let daemon = Daemon::new(
                number,
                &plan.program,
                directory,
                proxy.address,
                PARTITIONS,
                &cluster.data_centres,
            );
            cluster.daemons.push(Mutex::new(daemon.context(SetupSnafu { what: "settings" })?));
            cluster.store_proxies.push(proxy);
        }
        Ok(cluster)
    }

    /// Writes a configuration that assigns each queue to the pool of one of the queues.
    pub(crate) fn configure(&self, version: u64, pools: [&str; QUEUES.len()]) {
        let routes = QUEUES.iter().zip(pools).map(|(queue, pool)| Route {
            name: (*queue).to_owned(),
            pool: pool_name(pool),
            priority: 0,
        });
        self.store.configure(version, &routes.collect::<Vec<_>>(), "spare-pool");
    }

    /// Index of the data centre of a worker. Consecutive workers are of different pools, so that
    /// each data centre gets workers of all pools.
    pub(crate) fn data_centre_of_worker(&self, number: usize) -> usize {
        number / QUEUES.len() % self.data_centres.len()
    }

    /// Proxies in front of the workers of a data centre.
    pub(crate) fn worker_proxies_in(&self, data_centre: usize) -> impl Iterator<Item = &Proxy> {
        let proxies = self.worker_proxies.iter().enumerate();
        let inside =
            move |(number, _): &(usize, &Proxy)| self.data_centre_of_worker(*number) == data_centre;
        proxies.filter(inside).map(|(_, proxy)| proxy)
    }

    /// Indices of the daemons of a data centre.
    pub(crate) fn daemons_in(&self, data_centre: usize) -> impl Iterator<Item = usize> {
        (data_centre..self.daemons.len()).step_by(self.data_centres.len())
    }

    /// Starts a daemon unless it is running.
    pub(crate) async fn start(&self, daemon: usize) {
        if let Err(error) = self.daemons[daemon].lock().await.start() {
            log::warn!("event=daemon_not_started daemon={daemon} error=\"{error}\"");
        }
    }

    /// Ends all faults and starts the daemons that are down.
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

/// Runs one seed.
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
    let faults = faults::inject(&cluster, &audit, plan).await;
    if let Err(error) = submissions.await {
        audit.report_violation(format!("the task that submits jobs failed: {error}"));
    }
    cluster.clear_faults().await;
    let completed = wait_until_settled(&audit, &traffic).await;
    for daemon in &cluster.daemons {
        let mut daemon = daemon.lock().await;
        if !daemon.is_running() {
            audit.report_violation(format!(
                "{} is not running although all faults have ended",
                daemon.name
            ));
        }
    }
    let jobs = audit.jobs();
    let accepted = jobs.iter().filter(|(_, submission)| submission.accepted).count();
    // Without an accepted job no other guarantee is put to the test.
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

/// Why a job is not yet in its expected state after the faults; none when it is.
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
            .then(|| format!("job {} is reported as completed and is not", job.id)),
        Lookup::State(state) if state == "failed" && audit.may_fail(job) => {
            (running > 0).then(|| format!("failed job {} still runs tasks", job.id))
        }
        Lookup::State(state) if state == "cancelled" && submission.cancel_requested => {
            (running > 0).then(|| format!("cancelled job {} still runs tasks", job.id))
        }
        Lookup::State(state)
            if state == "running" && job.work.long_running && !submission.cancel_accepted =>
        {
            let total = job.steps.iter().sum::<u32>() as usize;
            (running < total).then(|| {
                format!("long-running job {} runs only {running} of {total} tasks", job.id)
            })
        }
        Lookup::None if !submission.accepted => None,
        other => Some(format!("job {} must not be reported as {other:?} ({submission:?})", job.id)),
    }
}

/// Waits until every job is in its expected state, up to [`SETTLE_TIMEOUT`]. Returns the number of
/// jobs that are.
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

/// Cancels the long-running jobs, whose tasks must then stop.
async fn cancel_long_running(audit: &Audit, traffic: &Traffic) {
    let jobs = audit.jobs().into_iter().map(|(job, _)| job);
    let long_running: Vec<Job> = jobs.filter(|job| job.work.long_running).collect();
    for job in &long_running {
        if audit.running(job.id) > 0 && !traffic.cancel_at_any(job).await {
            audit.report_violation(format!("no daemon accepts the cancellation of job {}", job.id));
        }
    }
    tokio::time::sleep(STOP_DELAY).await;
    for job in long_running.iter().filter(|job| audit.running(job.id) > 0) {
        audit.report_violation(format!("job {} still runs after its cancellation", job.id));
    }
}
