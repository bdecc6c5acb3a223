//! Fleets as input of the benchmarks: those of `examples/`, and generated ones of any size.

use std::collections::BTreeMap;

use crosspath_fakes::site::Manifest;
use crosspath_state::job::{self, Class};
use crosspath_state::name::{JobName, ResourceName};
use crosspath_state::record::{Batch, BatchId, Change, Entry, Incarnation, Revision, Writer};
use crosspath_state::resource::{Id, Kind, Pool, Spec, Team};
use crosspath_state::time::Wall;
use crosspath_state::{Applied, Conflict, State, vm};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::json;

const COBROS: &str = include_str!("../../../examples/cobros-unidos/resources.json");
const ASSOCIATION: &str = include_str!("../../../examples/association/resources.json");

/// State of a fleet, to which changes are applied in batches of a single writer.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// State after all batches applied so far.
    pub state: State,
    /// Number of batches applied so far.
    pub batches: u64,
}

impl Fleet {
    /// Applies one batch. Returns one verdict for each change.
    ///
    /// # Panics
    ///
    /// Never: each batch is applied at the next offset.
    pub fn apply(&mut self, changes: Vec<Change>) -> Vec<Result<Revision, Conflict>> {
        self.batches += 1;
        let daemon = "bench".parse().expect("a valid name");
        let writer = Writer { daemon, incarnation: Incarnation(1) };
        let id = BatchId { writer, sequence: self.batches };
        let decided_on = self.state.applied;
        let batch = Batch { id, decided_on, written_at: Wall(0), changes };
        let offset = self.state.applied.next();
        match self.state.apply(offset, &Entry::Batch(batch)) {
            Ok(Applied::Batch(verdicts)) => verdicts,
            other => panic!("batch not applied: {other:?}"),
        }
    }

    fn declare(&mut self, kind: Kind, name: &str, spec: Spec) {
        let id = Id::new(kind, ResourceName::new(name).expect("a valid name"));
        let change = Change::Put { id, spec: Box::new(spec), expected: None };
        for verdict in self.apply(vec![change]) {
            verdict.unwrap_or_else(|conflict| panic!("cannot declare {kind}/{name}: {conflict}"));
        }
    }
}

/// The fleet of `examples/cobros-unidos`, with its jobs placed.
#[must_use]
pub fn cobros() -> Fleet {
    from_json(COBROS)
}

/// The fleet of `examples/association`, with its jobs placed.
#[must_use]
pub fn association() -> Fleet {
    from_json(ASSOCIATION)
}

fn from_json(text: &str) -> Fleet {
    let resources: Vec<Manifest> = serde_json::from_str(text).expect("an example is well formed");
    let mut fleet = Fleet::default();
    for resource in resources {
        let tagged = json!({ "kind": resource.kind, "spec": resource.spec });
        let spec = serde_json::from_value(tagged).expect("an example's spec is well formed");
        fleet.declare(resource.kind, &resource.name, spec);
    }
    place_jobs(fleet)
}

/// Size of a generated fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of VMs, spread unevenly over the pools.
    pub workers: usize,
    /// Number of pools, each with a budget of its own.
    pub pools: usize,
    /// Number of data centres, over which the VMs are spread.
    pub data_centres: usize,
    /// Number of teams, over which the jobs are spread.
    pub teams: usize,
}

impl Size {
    /// Expected size after two years of growth.
    pub const PROJECTED: Self = Self { workers: 780, pools: 35, data_centres: 8, teams: 25 };

    /// Size with `workers` VMs, and with pools and teams in the proportion of [`Self::PROJECTED`].
    #[must_use]
    pub fn scaled_to(workers: usize) -> Self {
        let pools = (workers * Self::PROJECTED.pools / Self::PROJECTED.workers).max(5);
        let teams = (workers * Self::PROJECTED.teams / Self::PROJECTED.workers).max(3);
        Self { workers, pools, teams, data_centres: Self::PROJECTED.data_centres }
    }
}

/// Generates a fleet: pools of uneven size, about half of the cores used by jobs, of which a third
/// cannot be checkpointed.
///
/// # Panics
///
/// Never: everything that is declared is valid.
#[must_use]
pub fn generate(size: Size, seed: u64) -> Fleet {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::default();
    let pool_of = |number: usize| (number * number + number) % size.pools;
    let mut vm_counts = vec![0_u32; size.pools];
    for number in 0..size.workers {
        vm_counts[pool_of(number)] += 1;
    }
    for (number, count) in vm_counts.iter().enumerate() {
        let max_unavailable = (count / 5).max(2);
        let spec = Pool { max_unavailable, reserve: 1, min_available: 1 };
        fleet.declare(Kind::Pool, &format!("pool-{number}"), Spec::Pool(spec));
    }
    for number in 0..size.teams {
        let spec = Spec::Team(Team { max_cores: 100_000 });
        fleet.declare(Kind::Team, &format!("team-{number}"), spec);
    }
    for number in 0..size.workers {
        let spec = vm_spec(number, pool_of(number), size.data_centres);
        fleet.declare(Kind::Vm, &format!("vm-{number:04}"), Spec::Vm(spec));
    }
    for number in 0..size.workers * 2 {
        let pool = pool_of(rng.random_range(0..size.workers));
        let spec = job::Spec {
            pool: format!("pool-{pool}").parse().expect("a valid name"),
            team: format!("team-{}", number % size.teams).parse().expect("a valid name"),
            class: if number % 4 == 0 { Class::Urgent } else { Class::Batch },
            cores: [2, 4, 8, 16][rng.random_range(0..4)],
            memory_mb: 8_192,
            accelerators: 0,
            checkpointable: number % 3 != 0,
        };
        fleet.declare(Kind::Job, &format!("job-{number:05}"), Spec::Job(spec));
    }
    place_jobs(fleet)
}

fn vm_spec(number: usize, pool: usize, data_centres: usize) -> vm::Spec {
    let data_centre = number % data_centres;
    let rack = number / data_centres / 4;
    vm::Spec {
        pool: format!("pool-{pool}").parse().expect("a valid name"),
        data_centre: format!("dc-{data_centre}").parse().expect("a valid name"),
        rack: format!("dc-{data_centre}-r{rack}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9).into(),
        cores: 32,
        memory_mb: 131_072,
        accelerators: 0,
        slots: 8,
        connections: 64,
    }
}

/// Places every job that fits on some VM.
fn place_jobs(mut fleet: Fleet) -> Fleet {
    let changes = crosspath_plan::decide(&fleet.state, &BTreeMap::new());
    for verdict in fleet.apply(changes) {
        verdict.unwrap_or_else(|conflict| panic!("placement rejected: {conflict}"));
    }
    fleet
}

/// Placed jobs that cannot be suspended, so that servicing their VM moves them.
#[must_use]
pub fn non_checkpointable_jobs(state: &State) -> Vec<JobName> {
    let jobs = state
        .jobs
        .iter()
        .filter(|(_, job)| !job.spec.checkpointable && job.status.phase.vm().is_some());
    jobs.map(|(name, _)| name.clone()).collect()
}
