//! Which faults strike what, and when.

use std::sync::Arc;
use std::time::Duration;

use crosspath_platform_stand_in::store::Mode;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::proxy::Harm;
use crate::run::{Plan, Site};

/// A killed daemon is started again after this at most, in ms.
const LONGEST_DOWN_MS: u64 = 2_500;
/// Longest fault of a connection, a process or the store, in ms.
const LONGEST_MS: u64 = 4_000;
/// Between two faults, in ms.
const BETWEEN_MS: std::ops::Range<u64> = 150..1_500;
/// Between two moments at which open connections go silent for good, in ms.
const BETWEEN_SILENCES_MS: std::ops::Range<u64> = 1_000..5_000;
/// Told apart from the seed of the other faults, which are drawn as without silences.
const SILENCES_SEED: u64 = 0x51_1e_4c_e5;
/// Between two crashes of workers that begin again under their identifiers, in ms.
const BETWEEN_CRASHES_MS: std::ops::Range<u64> = 100..700;
/// As [`SILENCES_SEED`], for these crashes.
const CRASHES_SEED: u64 = 0xc4_a5_4e_5d;

/// One fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// A daemon is killed, and started again later.
    Kill(usize),
    /// All are.
    KillAll,
    /// A daemon is asked to stop, and started again.
    Stop(usize),
    /// A daemon stands still.
    Freeze(usize),
    /// A daemon is told that its settings have changed.
    Reload(usize),
    /// A daemon's connections to the store are harmed.
    CutFromStore(usize, Harm),
    /// All connections to a worker are harmed.
    CutFromWorker(usize, Harm),
    /// A worker's process dies and another comes.
    Crash(usize),
    /// The store misbehaves.
    Store(Mode),
}

fn harm(rng: &mut StdRng) -> Harm {
    match rng.random_range(0..4) {
        0 => Harm::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Harm::Reset,
        2 => Harm::Silence,
        _ => Harm::NoAnswers,
    }
}

fn draw(rng: &mut StdRng, daemons: usize, workers: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..100) {
        0..18 => Fault::Kill(daemon),
        18..22 => Fault::KillAll,
        22..32 => Fault::Stop(daemon),
        32..44 => Fault::Freeze(daemon),
        44..48 => Fault::Reload(daemon),
        48..62 => Fault::CutFromStore(daemon, harm(rng)),
        62..76 => Fault::CutFromWorker(worker, harm(rng)),
        76..86 => Fault::Crash(worker),
        _ => {
            let modes = [Mode::Busy, Mode::Silent, Mode::Forgetful, Mode::Slow];
            Fault::Store(modes[rng.random_range(0..modes.len())])
        }
    }
}

/// Strikes as the plan says; faults overlap. Their number.
pub(crate) async fn strike(site: &Arc<Site>, plan: &Plan) -> usize {
    let (seed, length) = (plan.seed, plan.length);
    let crashes = async { if plan.reborn { crash_often(site, seed, length).await } else { 0 } };
    let (others, silences, crashes) =
        tokio::join!(overlap(site, seed, length), silence(site, seed, length), crashes);
    others + silences + crashes
}

/// Workers crash, and begin again at once.
async fn crash_often(site: &Site, seed: u64, length: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ CRASHES_SEED);
    let until = tokio::time::Instant::now() + length;
    let mut number = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(BETWEEN_CRASHES_MS))).await;
        if tokio::time::Instant::now() >= until {
            return number;
        }
        let worker = rng.random_range(0..site.workers.len());
        log::info!("event=fault fault=Crash({worker})");
        site.workers[worker].crash();
        number += 1;
    }
}

/// Open connections to the store or to workers go silent for good, while new ones work.
async fn silence(site: &Site, seed: u64, length: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCES_SEED);
    let until = tokio::time::Instant::now() + length;
    let mut number = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(BETWEEN_SILENCES_MS))).await;
        if tokio::time::Instant::now() >= until {
            return number;
        }
        let to_store = rng.random_range(0..2) == 0;
        let proxies = if to_store { &site.store_proxies } else { &site.worker_proxies };
        let struck = proxies.iter().filter(|_| rng.random_range(0..2) == 0);
        let struck = struck.map(crate::proxy::Proxy::silence_open).count();
        log::info!("event=fault fault=SilenceOpen to_store={to_store} proxies={struck}");
        number += 1;
    }
}

async fn overlap(site: &Arc<Site>, seed: u64, length: Duration) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let until = tokio::time::Instant::now() + length;
    let mut under_way = Vec::new();
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(BETWEEN_MS))).await;
        let fault = draw(&mut rng, site.daemons.len(), site.workers.len());
        let lasts = Duration::from_millis(rng.random_range(100..LONGEST_MS));
        let down = lasts.min(Duration::from_millis(LONGEST_DOWN_MS));
        log::info!("event=fault fault={fault:?} lasts_ms={}", lasts.as_millis());
        let site = Arc::clone(site);
        under_way.push(tokio::spawn(async move { carry_out(&site, fault, lasts, down).await }));
    }
    let number = under_way.len();
    for fault in under_way {
        if let Err(error) = fault.await {
            log::warn!("event=fault_failed error={error}");
        }
    }
    number
}

async fn carry_out(site: &Site, fault: Fault, lasts: Duration, down: Duration) {
    match fault {
        Fault::Kill(daemon) => {
            site.daemons[daemon].lock().await.kill().await;
            tokio::time::sleep(down).await;
            site.start(daemon).await;
        }
        Fault::KillAll => {
            for daemon in &site.daemons {
                daemon.lock().await.kill().await;
            }
            tokio::time::sleep(down).await;
            for daemon in 0..site.daemons.len() {
                site.start(daemon).await;
            }
        }
        Fault::Stop(daemon) => {
            if !site.daemons[daemon].lock().await.stop().await {
                log::info!("event=stop_overran daemon={daemon}");
            }
            site.start(daemon).await;
        }
        Fault::Freeze(daemon) => {
            site.daemons[daemon].lock().await.signal(Signal::SIGSTOP);
            tokio::time::sleep(lasts).await;
            site.daemons[daemon].lock().await.signal(Signal::SIGCONT);
        }
        Fault::Reload(daemon) => site.daemons[daemon].lock().await.signal(Signal::SIGHUP),
        Fault::CutFromStore(daemon, harm) => {
            site.store_proxies[daemon].harm_for(harm, lasts).await;
        }
        Fault::CutFromWorker(worker, harm) => {
            site.worker_proxies[worker].harm_for(harm, lasts).await;
        }
        Fault::Crash(worker) => site.workers[worker].crash(),
        Fault::Store(mode) => {
            site.store.set_mode(mode);
            tokio::time::sleep(lasts).await;
            site.store.set_mode(Mode::Up);
        }
    }
}
