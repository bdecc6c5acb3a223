//! Builders and generators of resources, writers and changes.

use crosspath_state::State;
use crosspath_state::budget::Usage;
use crosspath_state::job::{self, Class};
use crosspath_state::record::{
    Batch, BatchId, Change, Expected, Incarnation, JobAction, Membership, Revision, Step, Writer,
};
use crosspath_state::resource::{Id, Kind, Pool, Spec, Team};
use crosspath_state::time::Wall;
use crosspath_state::{vm, wave};
use proptest::prelude::*;

pub(crate) fn name<N: std::str::FromStr>(text: String) -> N
where
    N::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub(crate) fn id(kind: Kind, text: &str) -> Id {
    Id::new(kind, name(text.to_owned()))
}

pub(crate) fn writer(daemon: u8, incarnation: u64) -> Writer {
    Writer { daemon: name(format!("entry-{daemon}")), incarnation: Incarnation(incarnation) }
}

pub(crate) fn batch(writer: Writer, sequence: u64, changes: Vec<Change>) -> Batch {
    let id = BatchId { writer, sequence };
    Batch { id, decided_on: Revision(0), written_at: Wall(1_000), changes }
}

pub(crate) fn put(kind: Kind, text: &str, spec: Spec) -> Change {
    Change::Put { id: id(kind, text), spec: Box::new(spec), expected: None }
}

pub(crate) fn pool(max_unavailable: u32, reserve: u32) -> Spec {
    Spec::Pool(Pool { max_unavailable, reserve, min_available: 1 })
}

pub(crate) fn vm(pool: u8, cores: u32) -> Spec {
    Spec::Vm(vm::Spec {
        pool: name(format!("pool-{pool}")),
        data_centre: name("dc-1".to_owned()),
        rack: name("rack-1".to_owned()),
        address: ([127, 0, 0, 1], 9).into(),
        cores,
        memory_mb: 1_000,
        accelerators: 0,
        slots: 8,
        connections: 64,
    })
}

pub(crate) fn job(pool: u8, cores: u32, checkpointable: bool) -> Spec {
    Spec::Job(job::Spec {
        pool: name(format!("pool-{pool}")),
        team: name("team".to_owned()),
        class: Class::Batch,
        cores,
        memory_mb: 100,
        accelerators: 0,
        checkpointable,
    })
}

pub(crate) fn wave(pools: &[u8]) -> Spec {
    let pools = pools.iter().map(|pool| name(format!("pool-{pool}"))).collect();
    Spec::Wave(wave::Spec { pools, canary: false, pause_after_failures: 3 })
}

pub(crate) fn team(max_cores: u32) -> Spec {
    Spec::Team(Team { max_cores })
}

/// Changes that declare a small fleet, on which generated changes can act.
pub(crate) fn fleet() -> Vec<Change> {
    let pools = (0..2).map(|number| put(Kind::Pool, &format!("pool-{number}"), pool(3, 1)));
    let team = put(Kind::Team, "team", team(40));
    let vms = (0..6).map(|number| put(Kind::Vm, &format!("vm-{number}"), vm(number % 2, 8)));
    let jobs = (0..6)
        .map(|number| put(Kind::Job, &format!("job-{number}"), job(number % 2, 3, number < 4)));
    let waves = (0..2).map(|number| put(Kind::Wave, &format!("wave-{number}"), wave(&[number])));
    pools.chain([team]).chain(vms).chain(jobs).chain(waves).collect()
}

/// Generates a change over 2 pools, 6 VMs, 6 jobs, 2 waves and 4 daemons.
pub(crate) fn any_change() -> impl Strategy<Value = Change> {
    let vm_name = (0..6_u8).prop_map(|vm| name(format!("vm-{vm}")));
    let job_name = (0..6_u8).prop_map(|job| name(format!("job-{job}")));
    let step = prop_oneof![
        4 => (0..2_u8).prop_map(|wave| Step::Drain { wave: name(format!("wave-{wave}")) }),
        5 => Just(Step::Undrain),
        5 => Just(Step::Reboot),
        5 => Just(Step::Return),
    ];
    let action = prop_oneof![
        3 => (0..6_u8).prop_map(|vm| JobAction::Place { vm: name(format!("vm-{vm}")) }),
        3 => Just(JobAction::Suspend),
        4 => Just(JobAction::Resume),
        1 => Just(JobAction::Unplace),
    ];
    let phase = prop_oneof![
        3 => Just(wave::Phase::Running),
        1 => Just(wave::Phase::Paused { cause: wave::Cause::Operator }),
        1 => Just(wave::Phase::Cancelled),
        1 => Just(wave::Phase::Done),
    ];
    prop_oneof![
        4 => any_put(),
        1 => any_id().prop_map(|id| Change::Delete { id, expected: None }),
        20 => (vm_name.clone(), step).prop_map(|(vm, step)| Change::Step { vm, step }),
        1 => vm_name.clone().prop_map(|vm| Change::Failure { vm, seen_at: Wall(5) }),
        2 => vm_name.prop_map(|vm| Change::Recovery { vm }),
        1 => ((0..2_u8), phase).prop_map(|(wave, phase)| {
            Change::Steer { wave: name(format!("wave-{wave}")), phase }
        }),
        8 => (job_name, action).prop_map(|(job, action)| Change::Job { job, action }),
        10 => any_membership().prop_map(Change::Member),
    ]
}

fn any_id() -> impl Strategy<Value = Id> {
    (0..7_usize, 0..6_u8).prop_map(|(kind, number)| {
        let kind = Kind::ALL[kind];
        let plural = kind.plural();
        let text = format!("{}-{number}", &plural[..plural.len() - 1]);
        id(kind, &text)
    })
}

fn any_put() -> impl Strategy<Value = Change> {
    let numbered = |kind: Kind, prefix: &'static str, spec: BoxedStrategy<Spec>, count: u8| {
        (0..count, spec, any_expected()).prop_map(move |(number, spec, expected)| Change::Put {
            id: id(kind, &format!("{prefix}-{number}")),
            spec: Box::new(spec),
            expected,
        })
    };
    let pools = (0..4_u32, 0..2_u32).prop_map(|(max, reserve)| pool(max, reserve)).boxed();
    let vms = (0..2_u8, 4..12_u32).prop_map(|(pool, cores)| vm(pool, cores)).boxed();
    let jobs = (0..2_u8, 1..8_u32, any::<bool>()).prop_map(|(p, c, k)| job(p, c, k)).boxed();
    let waves = prop_oneof![Just(wave(&[0])), Just(wave(&[1])), Just(wave(&[0, 1]))].boxed();
    let teams = (1..30_u32).prop_map(team);
    prop_oneof![
        1 => numbered(Kind::Pool, "pool", pools, 2),
        3 => numbered(Kind::Vm, "vm", vms, 6),
        3 => numbered(Kind::Job, "job", jobs, 6),
        2 => numbered(Kind::Wave, "wave", waves, 2),
        1 => teams.prop_map(|team| put(Kind::Team, "team", team)),
    ]
}

fn any_expected() -> impl Strategy<Value = Option<Expected>> {
    prop_oneof![
        6 => Just(None),
        1 => Just(Some(Expected::Absent)),
        1 => (1..50_u64).prop_map(|at| Some(Expected::At(Revision(at)))),
    ]
}

fn any_membership() -> impl Strategy<Value = Membership> {
    let peer = || (0..4_u8, 1..3_u64).prop_map(|(daemon, incarnation)| writer(daemon, incarnation));
    prop_oneof![
        3 => Just(Membership::Join),
        3 => (0..4_u8).prop_map(|d| Membership::Guard { guard: name(format!("entry-{d}")) }),
        6 => peer().prop_map(|member| Membership::Evict { member }),
        2 => (prop::collection::vec(0..64_u16, 1..9), peer())
            .prop_map(|(partitions, to)| Membership::Handover { partitions, to }),
        1 => Just(Membership::Leave),
    ]
}

/// Panics if an invariant of the state does not hold.
pub(crate) fn check_invariants(state: &State) {
    for (name, pool) in &state.pools {
        let usage = Usage::of(state, name);
        assert!(!usage.exceeds(&pool.spec), "pool {name} exceeds its budget: {usage:?}");
    }
    for (name, vm) in &state.vms {
        assert!(state.pools.contains_key(&vm.spec.pool), "VM {name} is in no pool");
        let cores: u32 = state.jobs_on(name).map(|(_, job)| job.spec.cores).sum();
        assert!(cores <= vm.spec.cores, "VM {name} holds {cores} cores");
        let mut jobs = state.jobs_on(name);
        assert!(jobs.all(|(_, job)| job.spec.pool == vm.spec.pool), "job on a VM of another pool");
        if matches!(vm.status, vm::Phase::Rebooting { .. }) {
            let mut jobs = state.jobs_on(name);
            let running = |status: &job::Status| matches!(status.phase, job::Phase::Running { .. });
            assert!(!jobs.any(|(_, job)| running(&job.status)), "job runs on rebooting VM {name}");
        }
    }
    for (name, job) in &state.jobs {
        let vm = job.status.phase.vm();
        assert!(vm.is_none_or(|vm| state.vms.contains_key(vm)), "job {name} is on no VM");
    }
    for partition in &state.partitions {
        assert!(state.members.contains_key(&partition.owner), "partition without an owner");
    }
    assert_eq!(state.members.is_empty(), state.partitions.is_empty(), "members without partitions");
    for (name, member) in &state.members {
        let guard = member.guard.as_ref();
        assert!(guard.is_none_or(|guard| guard != name && state.members.contains_key(guard)));
    }
}
