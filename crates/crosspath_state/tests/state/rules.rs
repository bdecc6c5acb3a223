//! Single rules for changes, each with a short case that breaks it.

use crate::common::{batch, id, job, name, pool, put, team, vm, wave, writer};
use crosspath_state::record::{Change, Entry, Expected, JobAction, Membership, Revision, Step};
use crosspath_state::resource::{Kind, Spec};
use crosspath_state::time::Wall;
use crosspath_state::{Applied, Conflict, State};

/// Applies changes, each in a batch of its own, and returns their results.
struct Log {
    state: State,
    sequence: u64,
}

impl Log {
    fn new() -> Self {
        Self { state: State::default(), sequence: 0 }
    }

    fn with_fleet(vms: u8, max_unavailable: u32, reserve: u32) -> Self {
        let mut log = Self::new();
        log.accept(put(Kind::Pool, "pool-0", pool(max_unavailable, reserve)));
        log.accept(put(Kind::Pool, "pool-1", pool(1, 0)));
        log.accept(put(Kind::Team, "team", team(100)));
        for number in 0..vms {
            log.accept(put(Kind::Vm, &format!("vm-{number}"), vm(0, 8)));
        }
        log.accept(put(Kind::Wave, "wave-0", wave(&[0])));
        log
    }

    fn apply(&mut self, change: Change) -> Result<Revision, Conflict> {
        self.apply_from(0, change)
    }

    fn apply_from(&mut self, daemon: u8, change: Change) -> Result<Revision, Conflict> {
        self.sequence += 1;
        let entry = Entry::Batch(batch(writer(daemon, 1), self.sequence, vec![change]));
        let offset = self.state.applied.next();
        match self.state.apply(offset, &entry).expect("the next offset") {
            Applied::Batch(mut verdicts) => verdicts.remove(0),
            other => panic!("batch not applied: {other:?}"),
        }
    }

    fn accept(&mut self, change: Change) -> Revision {
        self.apply(change).expect("accepted")
    }
}

fn step(vm: u8, step: Step) -> Change {
    Change::Step { vm: name(format!("vm-{vm}")), step }
}

fn drain(vm: u8) -> Change {
    step(vm, Step::Drain { wave: name("wave-0".to_owned()) })
}

fn failure(vm: u8) -> Change {
    Change::Failure { vm: name(format!("vm-{vm}")), seen_at: Wall(1) }
}

fn action(job: u8, action: JobAction) -> Change {
    Change::Job { job: name(format!("job-{job}")), action }
}

#[test]
fn the_earlier_of_two_racing_operators_wins() {
    let mut log = Log::new();
    let first = log.accept(put(Kind::Pool, "pool-0", pool(1, 0)));
    let change = |max| Change::Put {
        id: id(Kind::Pool, "pool-0"),
        spec: Box::new(pool(max, 0)),
        expected: Some(Expected::At(first)),
    };
    let second = log.apply_from(1, change(2)).expect("the first of the two");
    let lost = log.apply_from(2, change(3)).expect_err("the second of the two");
    let id = id(Kind::Pool, "pool-0");
    assert_eq!(lost, Conflict::Stale { id, current: second });
}

#[test]
fn a_wave_keeps_the_reserve_free() {
    let mut log = Log::with_fleet(5, 3, 1);
    log.accept(drain(0));
    log.accept(drain(1));
    let refused = log.apply(drain(2)).expect_err("the third uses the reserve");
    assert!(matches!(refused, Conflict::BudgetExceeded { voluntary: 3, withheld: 1, .. }));
    log.accept(failure(4));
    log.apply(drain(2)).expect_err("a failure uses the reserve, not more");
}

#[test]
fn failures_use_the_budget_up() {
    let mut log = Log::with_fleet(5, 3, 1);
    for vm in 0..3 {
        log.accept(failure(vm));
    }
    log.apply(drain(3)).expect_err("three have failed");
}

#[test]
fn a_budget_cannot_shrink_below_the_vms_taken_out() {
    let mut log = Log::with_fleet(5, 3, 1);
    log.accept(drain(0));
    log.accept(drain(1));
    log.apply(put(Kind::Pool, "pool-0", pool(2, 1))).expect_err("two are out");
}

#[test]
fn a_failed_vm_does_not_move_into_a_budget_that_is_used_up() {
    let mut log = Log::with_fleet(5, 3, 1);
    log.accept(put(Kind::Vm, "vm-9", vm(1, 8)));
    log.accept(put(Kind::Vm, "vm-8", vm(1, 8)));
    log.accept(drain(0));
    log.accept(drain(1));
    log.accept(failure(9));
    log.accept(failure(8));
    log.accept(put(Kind::Vm, "vm-9", vm(0, 8)));
    log.apply(put(Kind::Vm, "vm-8", vm(0, 8))).expect_err("the budget is used up");
}

#[test]
fn a_vm_does_not_change_pool_while_draining_or_with_jobs() {
    let mut log = Log::with_fleet(5, 3, 1);
    log.accept(put(Kind::Job, "job-0", job(0, 2, true)));
    log.accept(action(0, JobAction::Place { vm: name("vm-3".to_owned()) }));
    log.accept(drain(0));
    log.apply(put(Kind::Vm, "vm-0", vm(1, 8))).expect_err("it drains");
    log.apply(put(Kind::Vm, "vm-3", vm(1, 8))).expect_err("it holds a job");
    log.accept(put(Kind::Vm, "vm-4", vm(1, 8)));
}

#[test]
fn a_pool_keeps_its_minimum_when_vms_leave() {
    let mut log = Log::with_fleet(2, 3, 1);
    log.accept(put(Kind::Vm, "vm-0", vm(1, 8)));
    let delete = Change::Delete { id: id(Kind::Vm, "vm-1"), expected: None };
    log.apply(delete).expect_err("the last one serving");
}

#[test]
fn a_vm_reboots_only_without_running_jobs() {
    let mut log = Log::with_fleet(5, 3, 1);
    log.accept(put(Kind::Job, "job-0", job(0, 2, true)));
    log.accept(action(0, JobAction::Place { vm: name("vm-0".to_owned()) }));
    log.accept(drain(0));
    let refused = log.apply(step(0, Step::Reboot)).expect_err("the job runs");
    assert!(matches!(refused, Conflict::JobRunning { .. }));
    log.accept(action(0, JobAction::Suspend));
    log.accept(step(0, Step::Reboot));
    log.apply(action(0, JobAction::Resume)).expect_err("it reboots");
    log.accept(step(0, Step::Return));
    log.accept(action(0, JobAction::Resume));
}

#[test]
fn each_vm_is_serviced_once_a_wave() {
    let mut log = Log::with_fleet(3, 3, 1);
    for s in [Step::Reboot, Step::Return] {
        if s == Step::Reboot {
            log.accept(drain(0));
        }
        log.accept(step(0, s));
    }
    log.apply(drain(0)).expect_err("serviced already");
}

#[test]
fn correlated_failures_pause_the_wave() {
    let mut log = Log::with_fleet(9, 9, 0);
    log.accept(drain(0));
    for vm in 0..3 {
        log.accept(failure(vm));
    }
    let refused = log.apply(drain(5)).expect_err("paused");
    assert!(matches!(refused, Conflict::NotInWave { .. }), "{refused:?}");
}

#[test]
fn jobs_stay_within_the_vm_and_the_quota() {
    let mut log = Log::with_fleet(3, 3, 1);
    log.accept(put(Kind::Team, "team", team(10)));
    for number in 0..3 {
        log.accept(put(Kind::Job, &format!("job-{number}"), job(0, 5, true)));
    }
    let place = |vm: &str| JobAction::Place { vm: name(vm.to_owned()) };
    log.accept(action(0, place("vm-0")));
    let full = log.apply(action(1, place("vm-0"))).expect_err("5 of 8 cores are taken");
    assert!(matches!(full, Conflict::NoRoom { .. }));
    log.accept(action(1, place("vm-1")));
    let quota = log.apply(action(2, place("vm-2"))).expect_err("10 of 10 cores are used");
    assert!(matches!(quota, Conflict::QuotaExceeded { cores: 15, .. }));
    let shrink = log.apply(put(Kind::Vm, "vm-0", vm(0, 4))).expect_err("it holds 5 cores");
    assert!(matches!(shrink, Conflict::NoRoom { .. }));
}

#[test]
fn a_spec_of_another_kind_is_refused() {
    let mut log = Log::new();
    let refused = log.apply(put(Kind::Vm, "pool-0", pool(1, 0))).expect_err("not a VM");
    assert!(matches!(refused, Conflict::KindMismatch { .. }));
    let orphan = log.apply(put(Kind::Vm, "vm-0", vm(0, 8))).expect_err("no such pool");
    assert!(matches!(orphan, Conflict::MissingReference { .. }));
    let _: Spec = team(1);
}

fn member(change: Membership) -> Change {
    Change::Member(change)
}

#[test]
fn only_the_guard_evicts_and_inherits_partitions() {
    let mut log = Log::new();
    for daemon in 0..3 {
        log.apply_from(daemon, member(Membership::Join)).expect("joined");
    }
    let guard = Membership::Guard { guard: name("entry-1".to_owned()) };
    log.apply_from(0, member(guard)).expect("named");
    let evict = || member(Membership::Evict { member: writer(0, 1) });
    log.apply_from(2, evict()).expect_err("not the guard");
    log.apply_from(1, evict()).expect("the guard");
    let owner = log.state.owner(0).map(|own| (own.owner.to_string(), own.since));
    assert_eq!(owner, Some(("entry-1".to_owned(), Wall(1_000))));
    log.apply_from(0, member(Membership::Guard { guard: name("entry-2".to_owned()) }))
        .expect_err("no member any more");
}

#[test]
fn an_earlier_incarnation_is_fenced() {
    let mut log = Log::new();
    log.apply_from(0, member(Membership::Join)).expect("joined");
    let newer = batch(writer(0, 2), 1, vec![member(Membership::Join)]);
    let offset = log.state.applied.next();
    log.state.apply(offset, &Entry::Batch(newer)).expect("the next offset");
    let old = batch(writer(0, 1), 99, vec![member(Membership::Leave)]);
    let offset = log.state.applied.next();
    let applied = log.state.apply(offset, &Entry::Batch(old)).expect("the next offset");
    assert_eq!(applied, Applied::Dropped);
}
