//! Monitors the site through the fakes' counters and the daemons' operator interfaces.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crosspath_fakes::site::Manifest;
use crosspath_http::client::{Client, Method};
use crosspath_log::{HttpLog, Log};
use crosspath_operator::model::List;
use crosspath_plan::bound;
use crosspath_state::State;
use crosspath_state::budget::Usage;
use crosspath_state::name::WaveName;
use crosspath_state::record::{Entry, Revision};
use crosspath_state::resource::Kind;
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::{REBOOT_MS, Shared};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const COMPARE_INTERVAL_ROUNDS: u32 = 25;

/// Violations and figures collected during the run.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) budget_violations: u64,
    pub(crate) vms_in_two_pools: u64,
    pub(crate) vms_total: usize,
    pub(crate) vms_serviced: usize,
    pub(crate) requests_cut_off: u64,
    pub(crate) jobs_cut_off: u64,
    pub(crate) slot_overshoot: u32,
    pub(crate) moves: u32,
    pub(crate) bound: Option<Duration>,
    pub(crate) runs: BTreeMap<String, u32>,
}

pub(crate) struct Monitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Audit>,
}

pub(crate) async fn start(site: &Shared, resources: &[Manifest]) -> Monitor {
    let stop = Arc::new(AtomicBool::new(false));
    let task = tokio::spawn(observe(Arc::clone(site), budgets(resources), Arc::clone(&stop)));
    Monitor { stop, task }
}

/// Pool of each VM, and maximum number of unavailable VMs in each pool.
struct Budgets {
    pool_of: BTreeMap<String, String>,
    max_unavailable: BTreeMap<String, u64>,
}

fn budgets(resources: &[Manifest]) -> Budgets {
    let of = |kind| resources.iter().filter(move |resource| resource.kind == kind);
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let pool_of = of(Kind::Vm).map(|vm| (vm.name.clone(), text(&vm.spec["pool"])));
    let max = |spec: &Value| spec["max_unavailable"].as_u64().unwrap_or_default();
    let budgets = of(Kind::Pool).map(|pool| (pool.name.clone(), max(&pool.spec)));
    Budgets { pool_of: pool_of.collect(), max_unavailable: budgets.collect() }
}

async fn observe(site: Shared, budgets: Budgets, stop: Arc<AtomicBool>) -> Audit {
    let mut audit = Audit::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
        let site = site.read().await;
        let mut unavailable: BTreeMap<&String, u64> = BTreeMap::new();
        for vm in site.fakes.audits() {
            let pool = budgets.pool_of.get(vm.vm.as_str());
            if let Some(pool) = pool.filter(|_| !vm.up || vm.drained) {
                *unavailable.entry(pool).or_default() += 1;
            }
        }
        let exceeds = |(pool, count): (&&String, &u64)| {
            *count > budgets.max_unavailable.get(*pool).copied().unwrap_or_default()
        };
        audit.budget_violations += unavailable.iter().filter(|pair| exceeds(*pair)).count() as u64;
        round += 1;
        if round % COMPARE_INTERVAL_ROUNDS == 0 {
            let operators: Vec<_> = site.daemons.iter().map(|daemon| daemon.operators).collect();
            drop(site);
            audit.vms_in_two_pools += count_pool_conflicts(&operators).await;
        }
    }
    audit
}

/// Number of VMs that daemons assign to different pools at the same revision.
async fn count_pool_conflicts(operators: &[std::net::SocketAddr]) -> u64 {
    let lists = operators.iter().map(|address| async move {
        let client = Client::new(*address, Duration::from_millis(300));
        let client = client.with_token(crosspath_fakes::site::OPERATOR_TOKEN);
        client.call::<List>(Method::GET, "/v1/vms", None::<&()>).await.ok()
    });
    let lists = futures::future::join_all(lists).await.into_iter().flatten();
    let mut pools: BTreeMap<(Revision, String), BTreeSet<String>> = BTreeMap::new();
    for list in lists {
        for vm in list.items {
            let pool = vm.spec["pool"].as_str().unwrap_or_default().to_owned();
            pools.entry((list.revision, vm.id.name.to_string())).or_default().insert(pool);
        }
    }
    pools.values().filter(|pools| pools.len() > 1).count() as u64
}

impl Monitor {
    /// Ends the monitoring and replays the log independently of the daemons.
    pub(crate) async fn stop(self, site: &Shared, wave: &str) -> Audit {
        self.stop.store(true, Ordering::Relaxed);
        let mut audit = self.task.await.unwrap_or_default();
        let site = site.read().await;
        let seen = site.fakes.audits();
        audit.vms_total = seen.len();
        audit.requests_cut_off = seen.iter().map(|vm| u64::from(vm.cut_off)).sum();
        audit.jobs_cut_off = seen.iter().map(|vm| u64::from(vm.jobs_cut_off)).sum();
        let overshoot = seen.iter().map(|vm| vm.max_in_flight.saturating_sub(vm.slots));
        audit.slot_overshoot = overshoot.max().unwrap_or_default();
        audit.runs = site.fakes.ledger().runs();
        let rebooted: BTreeSet<_> = seen
            .iter()
            .filter(|vm| vm.reboots > 0 && vm.up && !vm.drained)
            .collect::<Vec<_>>()
            .into_iter()
            .map(|vm| vm.vm.clone())
            .collect();
        let log = HttpLog::new(site.fakes.platform, Duration::from_secs(2));
        let state = replay(&log, &mut audit).await;
        let wave = wave.parse::<WaveName>().ok().and_then(|wave| state.waves.get(&wave));
        if let Some(wave) = wave {
            let serviced = wave.status.serviced.iter().filter(|vm| rebooted.contains(*vm));
            audit.vms_serviced = serviced.count();
            let service = Duration::from_millis(REBOOT_MS);
            audit.bound = bound::wave_time(&state, &wave.spec, service);
        }
        audit.moves = state.jobs.values().map(|job| job.status.moves).sum();
        audit
    }
}

async fn replay(log: &HttpLog, audit: &mut Audit) -> State {
    let mut state = State::default();
    loop {
        let Ok(page) = log.read(state.applied, Duration::ZERO).await else { return state };
        for record in &page.records {
            let Ok(entry) = Entry::decode(&record.data) else { continue };
            if state.apply(record.offset, &entry).is_err() {
                return state;
            }
            let exceeded = state
                .pools
                .iter()
                .filter(|(name, pool)| Usage::of(&state, name).exceeds(&pool.spec));
            audit.budget_violations += exceeded.count() as u64;
        }
        if state.applied >= page.last {
            return state;
        }
    }
}
