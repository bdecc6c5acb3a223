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

use crate::audit::{Audit, Told};
use crate::daemon::Daemon;
use crate::faults;
use crate::proxy::{Harm, Proxy};
use crate::traffic::{QUEUES, Traffic};

/// From the start of the daemons to the first request.
const LEAD: Duration = Duration::from_secs(3);
/// Between two submits, on the whole.
const PAUSE: Duration = Duration::from_millis(60);
/// Given to all jobs to end once all is calm: leases and takeovers take some seconds.
const SETTLING: Duration = Duration::from_secs(40);
/// Between two looks meanwhile.
const SETTLING_PAUSE: Duration = Duration::from_millis(500);
/// Given to the tasks of lasting jobs to stop once those are cancelled.
const STOPPING: Duration = Duration::from_secs(6);

/// What to run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    pub(crate) daemons: usize,
    /// Of each pool.
    pub(crate) workers: usize,
    /// Whether some jobs crash the workers that start them.
    pub(crate) deadly: bool,
    /// Whether workers that crash begin again under their identifiers.
    pub(crate) reborn: bool,
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
pub(crate) struct Site {
    pub(crate) store: Arc<Store>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_proxies: Vec<Proxy>,
    pub(crate) daemons: Vec<Mutex<Daemon>>,
    /// Between each daemon and the store.
    pub(crate) store_proxies: Vec<Proxy>,
}

impl Site {
    async fn build(plan: &Plan, audit: &Audit, folder: &std::path::Path) -> Result<Self, Error> {
        let store = Arc::new(Store::start().await.context(SetupSnafu { what: "store" })?);
        let route = |queue: &&str| Route {
            name: (*queue).to_owned(),
            pool: format!("{queue}-pool"),
            priority: 0,
        };
        store.configure(1, &QUEUES.iter().map(route).collect::<Vec<_>>(), "spare-pool");
        let mut site = Self {
            store,
            workers: Vec::new(),
            worker_proxies: Vec::new(),
            daemons: Vec::new(),
            store_proxies: Vec::new(),
        };
        for number in 0..plan.workers * QUEUES.len() {
            let pool = format!("{}-pool", QUEUES[number % QUEUES.len()]);
            let vm = format!("vm{number}");
            let hears = Arc::new(audit.clone());
            let worker = Worker::start(hears, &pool, &vm).await;
            let mut worker = worker.context(SetupSnafu { what: "worker" })?;
            let proxy = Proxy::start(worker.address()).await;
            let proxy = proxy.context(SetupSnafu { what: "proxy" })?;
            worker.publish(&site.store, proxy.address);
            if plan.reborn {
                worker.reuse_id();
            }
            site.workers.push(worker);
            site.worker_proxies.push(proxy);
        }
        for number in 0..plan.daemons {
            let proxy = Proxy::start(site.store.address()).await;
            let proxy = proxy.context(SetupSnafu { what: "proxy" })?;
            let daemon = Daemon::new(number, &plan.program, folder, proxy.address, PARTITIONS);
            site.daemons.push(Mutex::new(daemon.context(SetupSnafu { what: "settings" })?));
            site.store_proxies.push(proxy);
        }
        Ok(site)
    }

    /// Starts a daemon, if it does not run.
    pub(crate) async fn start(&self, daemon: usize) {
        if let Err(error) = self.daemons[daemon].lock().await.start() {
            log::warn!("event=daemon_not_started daemon={daemon} error=\"{error}\"");
        }
    }

    /// Ends all faults.
    async fn heal(&self) {
        self.store.set_mode(Mode::Up);
        for proxy in self.store_proxies.iter().chain(&self.worker_proxies) {
            proxy.set(Harm::None);
        }
        for number in 0..self.daemons.len() {
            self.daemons[number].lock().await.signal(Signal::SIGCONT);
            self.start(number).await;
        }
    }
}

/// Plays one seed.
pub(crate) async fn run(plan: &Plan) -> Result<Report, Error> {
    let folder = tempfile::tempdir().context(SetupSnafu { what: "folder" })?;
    let audit = Audit::default();
    let site = Arc::new(Site::build(plan, &audit, folder.path()).await?);
    for daemon in 0..site.daemons.len() {
        site.start(daemon).await;
    }
    tokio::time::sleep(LEAD).await;
    let mut addresses = Vec::new();
    for daemon in &site.daemons {
        addresses.push(daemon.lock().await.callers);
    }
    let traffic = Traffic::new(addresses.into_iter(), &audit, plan.deadly);
    let submits = tokio::spawn(traffic.clone().run(plan.seed, plan.length, PAUSE));
    let faults = faults::strike(&site, plan).await;
    if let Err(error) = submits.await {
        audit.violation(format!("callers failed: {error}"));
    }
    site.heal().await;
    let completed = settle(&audit, &traffic).await;
    for daemon in &site.daemons {
        let mut daemon = daemon.lock().await;
        if !daemon.is_running() {
            audit.violation(format!("{} does not run, though nothing strikes it", daemon.name));
        }
    }
    let jobs = audit.jobs();
    let accepted = jobs.iter().filter(|(_, told)| told.accepted).count();
    // Where nothing is taken no other promise is tried.
    if accepted == 0 {
        audit.violation(format!("none of {} jobs was accepted", jobs.len()));
    }
    let violations = audit.violations();
    let logs = (!violations.is_empty()).then(|| folder.keep());
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
async fn lacks(audit: &Audit, traffic: &Traffic, job: &Job, told: Told) -> Option<String> {
    let shown = traffic.state(job).await;
    let running = audit.running(job.id);
    match &shown {
        Lookup::State(state) if state == "completed" => {
            (!audit.is_done(job)).then(|| format!("job {} is shown as done and is not", job.id))
        }
        Lookup::State(state) if state == "failed" && audit.may_be_given_up(job) => {
            (running > 0).then(|| format!("job {} was given up and runs", job.id))
        }
        Lookup::State(state) if state == "cancelled" && told.cancel_tried => {
            (running > 0).then(|| format!("cancelled job {} runs", job.id))
        }
        Lookup::State(state) if state == "running" && job.work.long_running && !told.cancelled => {
            let all = job.steps.iter().sum::<u32>() as usize;
            (running < all)
                .then(|| format!("lasting job {} runs only {running} of {all} tasks", job.id))
        }
        Lookup::None if !told.accepted => None,
        other => Some(format!("job {} may not be shown as {other:?} now ({told:?})", job.id)),
    }
}

/// Waits until every job is as it must be; the number of completed ones.
async fn settle(audit: &Audit, traffic: &Traffic) -> usize {
    let until = tokio::time::Instant::now() + SETTLING;
    let mut open = audit.jobs();
    let all = open.len();
    loop {
        let looks = open.iter().map(|(job, told)| lacks(audit, traffic, job, *told));
        let lacking = join_all(looks).await;
        open = open
            .into_iter()
            .zip(&lacking)
            .filter(|(_, lack)| lack.is_some())
            .map(|(job, _)| job)
            .collect();
        if open.is_empty() || tokio::time::Instant::now() >= until {
            for lack in lacking.into_iter().flatten() {
                audit.violation(lack);
            }
            break;
        }
        tokio::time::sleep(SETTLING_PAUSE).await;
    }
    end_lasting(audit, traffic).await;
    audit.check_refused();
    all - open.len()
}

/// Cancels what lasts, which must then stop.
async fn end_lasting(audit: &Audit, traffic: &Traffic) {
    let jobs = audit.jobs().into_iter().map(|(job, _)| job);
    let lasting: Vec<Job> = jobs.filter(|job| job.work.long_running).collect();
    for job in &lasting {
        if audit.running(job.id) > 0 && !traffic.end(job).await {
            audit.violation(format!("job {} cannot be cancelled", job.id));
        }
    }
    tokio::time::sleep(STOPPING).await;
    for job in lasting.iter().filter(|job| audit.running(job.id) > 0) {
        audit.violation(format!("job {} runs on after its cancelling", job.id));
    }
}
