//! Injects random faults into the cluster.

use std::sync::Arc;
use std::time::Duration;

use crosspath_platform_stand_in::store::Mode;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::task::JoinHandle;

use crate::audit::Audit;
use crate::proxy::Impairment;
use crate::run::{Cluster, FIRST_VERSION, Plan};
use crate::traffic::QUEUES;

/// Longest time that a killed daemon stays down.
const MAX_DOWNTIME_MS: u64 = 2_500;
/// Longest fault of a connection, a process or the store.
const MAX_FAULT_MS: u64 = 4_000;
/// Longest loss of power of a data centre.
const MAX_POWER_LOSS: Duration = Duration::from_millis(2_500);
/// Interval between two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_500;
/// Interval between two times at which open connections are silenced for good.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 1_000..5_000;
/// XORed with the run's seed, so that the silenced connections do not change the sequence of the
/// other faults.
const SILENCE_SEED: u64 = 0x51_1e_4c_e5;
/// Interval between two crashes of workers that restart under the same identifier.
const CRASH_INTERVAL_MS: std::ops::Range<u64> = 100..700;
/// As [`SILENCES_SEED`], for these crashes.
const CRASH_SEED: u64 = 0xc4_a5_4e_5d;

/// Interval between two configurations that assign queues to other pools.
const REASSIGNMENT_INTERVAL_MS: std::ops::Range<u64> = 700..3_500;
/// As [`SILENCE_SEED`], for these configurations.
const REASSIGNMENT_SEED: u64 = 0x9a_55_19_20;

/// Interval between two faults of data centres.
const DATA_CENTRE_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;
/// As [`SILENCE_SEED`], for these faults.
const DATA_CENTRE_SEED: u64 = 0xdc_dc_dc_dc;
/// Duration of an evacuation: longer than the time from which starts are a violation.
const EVACUATION_MS: std::ops::Range<u64> = 6_000..12_000;

/// A fault and its target; daemons and workers by index.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Kills a daemon and starts it again later.
    Kill(usize),
    /// Kills all daemons and starts them again later.
    KillAll,
    /// Sends SIGTERM to a daemon and starts it again once it has exited.
    Stop(usize),
    /// Suspends a daemon by SIGSTOP.
    Freeze(usize),
    /// Sends SIGHUP to a daemon, as after a change of its settings.
    Reload(usize),
    /// Impairs a daemon's connections to the store.
    CutFromStore(usize, Impairment),
    /// Impairs all connections to a worker.
    CutFromWorker(usize, Impairment),
    /// Crashes a worker, which restarts at once as another incarnation.
    Crash(usize),
    /// Puts the store into a faulty mode.
    Store(Mode),
}

fn random_impairment(rng: &mut StdRng) -> Impairment {
    match rng.random_range(0..4) {
        0 => Impairment::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Impairment::Reset,
        2 => Impairment::Silence,
        _ => Impairment::NoAnswers,
    }
}

fn random_fault(rng: &mut StdRng, daemons: usize, workers: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..100) {
        0..18 => Fault::Kill(daemon),
        18..22 => Fault::KillAll,
        22..32 => Fault::Stop(daemon),
        32..44 => Fault::Freeze(daemon),
        44..48 => Fault::Reload(daemon),
        48..62 => Fault::CutFromStore(daemon, random_impairment(rng)),
        62..76 => Fault::CutFromWorker(worker, random_impairment(rng)),
        76..86 => Fault::Crash(worker),
        _ => {
            let modes = [Mode::Busy, Mode::Silent, Mode::Forgetful, Mode::Slow];
            Fault::Store(modes[rng.random_range(0..modes.len())])
        }
    }
}

/// Injects faults for the duration of the plan; they overlap. Returns their number.
pub(crate) async fn inject(cluster: &Arc<Cluster>, audit: &Audit, plan: &Plan) -> usize {
    let (seed, duration) = (plan.seed, plan.duration);
    let crashes = async {
        if plan.reuse_worker_ids { crash_workers(cluster, seed, duration).await } else { 0 }
    };
    let data_centres = async {
        if plan.data_centres > 1 {
            disrupt_data_centres(cluster, audit, seed, duration).await
        } else {
            0
        }
    };
    let reassignments = async {
        if plan.reassign_queues { reassign_queues(cluster, seed, duration).await } else { 0 }
    };
    let (overlapping, silences, crashes, data_centres, reassignments) = tokio::join!(
        inject_overlapping(cluster, seed, duration),
        silence_connections(cluster, seed, duration),
        crashes,
        data_centres,
        reassignments
    );
    overlapping + silences + crashes + data_centres + reassignments
}

/// Writes configurations that assign each queue to a random pool. Returns their number.
async fn reassign_queues(cluster: &Cluster, seed: u64, duration: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ REASSIGNMENT_SEED);
    let until = tokio::time::Instant::now() + duration;
    let mut count = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(REASSIGNMENT_INTERVAL_MS))).await;
        if tokio::time::Instant::now() >= until {
            return count;
        }
        let pools = QUEUES.map(|_| QUEUES[rng.random_range(0..QUEUES.len())]);
        log::info!("event=fault fault=Reassign({pools:?})");
        count += 1;
        cluster.configure(FIRST_VERSION + count as u64, pools);
    }
}

/// Breaks links between data centres, takes the power of a data centre, and evacuates them, beside
/// each other and beside the other faults. Returns how many times.
async fn disrupt_data_centres(
    cluster: &Arc<Cluster>,
    audit: &Audit,
    seed: u64,
    duration: Duration,
) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ DATA_CENTRE_SEED);
    let until = tokio::time::Instant::now() + duration;
    let count = cluster.data_centres.len();
    let mut in_progress = Vec::new();
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(DATA_CENTRE_INTERVAL_MS))).await;
        let target = rng.random_range(0..count);
        let other = (target + rng.random_range(1..count)) % count;
        let fault_duration = Duration::from_millis(rng.random_range(500..2 * MAX_FAULT_MS));
        let evacuation = Duration::from_millis(rng.random_range(EVACUATION_MS));
        let kind = rng.random_range(0..4);
        log::info!("event=fault fault=DataCentre({kind}, {target}, {other})");
        let (cluster, audit) = (Arc::clone(cluster), audit.clone());
        in_progress.push(tokio::spawn(async move {
            match kind {
                0 | 1 => break_link(&cluster, target, other, fault_duration).await,
                2 => lose_power(&cluster, target, fault_duration.min(MAX_POWER_LOSS)).await,
                _ => evacuate(&cluster, &audit, target, evacuation).await,
            }
        }));
    }
    finish(in_progress).await
}

/// Cuts the daemons of each of two data centres from the workers of the other.
async fn break_link(cluster: &Cluster, one: usize, other: usize, duration: Duration) {
    set_link_broken(cluster, one, other, true).await;
    tokio::time::sleep(duration).await;
    set_link_broken(cluster, one, other, false).await;
}

async fn set_link_broken(cluster: &Cluster, one: usize, other: usize, is_broken: bool) {
    for (from, to) in [(one, other), (other, one)] {
        for daemon in cluster.daemons_in(from) {
            let source = cluster.daemons[daemon].lock().await.source();
            cluster.worker_proxies_in(to).for_each(|proxy| proxy.set_blocked(source, is_broken));
        }
    }
}

/// Kills the daemons of a data centre and everything on its workers, which are silent until power
/// returns.
async fn lose_power(cluster: &Cluster, data_centre: usize, duration: Duration) {
    let workers = cluster.workers.iter().enumerate();
    for (number, worker) in workers {
        if cluster.data_centre_of_worker(number) == data_centre {
            cluster.worker_proxies[number].set_impairment(Impairment::Silence);
            worker.crash();
        }
    }
    for daemon in cluster.daemons_in(data_centre) {
        cluster.daemons[daemon].lock().await.kill().await;
    }
    tokio::time::sleep(duration).await;
    cluster.worker_proxies_in(data_centre).for_each(|proxy| proxy.set_impairment(Impairment::None));
    for daemon in cluster.daemons_in(data_centre) {
        cluster.start(daemon).await;
    }
}

/// Evacuates a data centre for some time, unless it is evacuated already.
async fn evacuate(cluster: &Cluster, audit: &Audit, data_centre: usize, duration: Duration) {
    let name = &cluster.data_centres[data_centre];
    if !audit.begin_evacuation(name) {
        return;
    }
    cluster.store.evacuate(name, true);
    tokio::time::sleep(duration).await;
    audit.end_evacuation(name);
    cluster.store.evacuate(name, false);
}

/// Crashes workers at short intervals; they restart at once. Returns the number of crashes.
async fn crash_workers(cluster: &Cluster, seed: u64, duration: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ CRASH_SEED);
    let until = tokio::time::Instant::now() + duration;
    let mut count = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(CRASH_INTERVAL_MS))).await;
        if tokio::time::Instant::now() >= until {
            return count;
        }
        let worker = rng.random_range(0..cluster.workers.len());
        log::info!("event=fault fault=Crash({worker})");
        cluster.workers[worker].crash();
        count += 1;
    }
}

/// Silences open connections to the store or to workers for good, while new ones work. Returns how
/// many times.
async fn silence_connections(cluster: &Cluster, seed: u64, duration: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCE_SEED);
    let until = tokio::time::Instant::now() + duration;
    let mut count = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS))).await;
        if tokio::time::Instant::now() >= until {
            return count;
        }
        let to_store = rng.random_range(0..2) == 0;
        let proxies = if to_store { &cluster.store_proxies } else { &cluster.worker_proxies };
        let selected = proxies.iter().filter(|_| rng.random_range(0..2) == 0);
        let selected = selected.map(crate::proxy::Proxy::silence_open).count();
        log::info!("event=fault fault=SilenceOpen to_store={to_store} proxies={selected}");
        count += 1;
    }
}

/// Starts random faults without waiting for earlier ones to end, then waits for all. Returns their
/// number.
async fn inject_overlapping(cluster: &Arc<Cluster>, seed: u64, duration: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let until = tokio::time::Instant::now() + duration;
    let mut in_progress = Vec::new();
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
        let fault = random_fault(&mut rng, cluster.daemons.len(), cluster.workers.len());
        let fault_duration = Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
        let downtime = fault_duration.min(Duration::from_millis(MAX_DOWNTIME_MS));
        log::info!("event=fault fault={fault:?} lasts_ms={}", fault_duration.as_millis());
        let cluster = Arc::clone(cluster);
        in_progress.push(tokio::spawn(async move {
            apply(&cluster, fault, fault_duration, downtime).await;
        }));
    }
    finish(in_progress).await
}

/// Waits for faults to end. Returns their number.
async fn finish(in_progress: Vec<JoinHandle<()>>) -> usize {
    let count = in_progress.len();
    for fault in in_progress {
        if let Err(error) = fault.await {
            log::warn!("event=fault_failed error={error}");
        }
    }
    count
}

async fn apply(cluster: &Cluster, fault: Fault, fault_duration: Duration, downtime: Duration) {
    match fault {
        Fault::Kill(daemon) => {
            cluster.daemons[daemon].lock().await.kill().await;
            tokio::time::sleep(downtime).await;
            cluster.start(daemon).await;
        }
        Fault::KillAll => {
            for daemon in &cluster.daemons {
                daemon.lock().await.kill().await;
            }
            tokio::time::sleep(downtime).await;
            for daemon in 0..cluster.daemons.len() {
                cluster.start(daemon).await;
            }
        }
        Fault::Stop(daemon) => {
            if !cluster.daemons[daemon].lock().await.stop().await {
                log::info!("event=stop_overran daemon={daemon}");
            }
            cluster.start(daemon).await;
        }
        Fault::Freeze(daemon) => {
            cluster.daemons[daemon].lock().await.signal(Signal::SIGSTOP);
            tokio::time::sleep(fault_duration).await;
            cluster.daemons[daemon].lock().await.signal(Signal::SIGCONT);
        }
        Fault::Reload(daemon) => cluster.daemons[daemon].lock().await.signal(Signal::SIGHUP),
        Fault::CutFromStore(daemon, impairment) => {
            cluster.store_proxies[daemon].impair_for(impairment, fault_duration).await;
        }
        Fault::CutFromWorker(worker, impairment) => {
            cluster.worker_proxies[worker].impair_for(impairment, fault_duration).await;
        }
        Fault::Crash(worker) => cluster.workers[worker].crash(),
        Fault::Store(mode) => {
            cluster.store.set_mode(mode);
            tokio::time::sleep(fault_duration).await;
            cluster.store.set_mode(Mode::Up);
        }
    }
}
