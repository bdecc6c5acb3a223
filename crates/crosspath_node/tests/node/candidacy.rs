//! Which daemons are candidates for ownership, by the size of their VM and of the owners' VMs.
//! Guards against shards without an owner when large VMs are lost, and against shards that move
//! back and forth or to small VMs without need.

use std::time::Duration;

use crosspath_node::candidacy::Candidacy;
use crosspath_node::member::Member;

const SMALL: u32 = 120;
const LARGE: u32 = 500;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn owners(millicores: u32, count: u16) -> Vec<Member> {
    let member = |n| Member {
        address: ([10, 0, 0, 1], n).into(),
        name: format!("edge-{n}").into(),
        incarnation: "1".into(),
        millicores,
        data_centre: None,
    };
    (0..count).map(member).collect()
}

/// Whether the daemon is a candidate at each of the times `at`, with the same owners at all of
/// them.
fn observe(candidacy: &mut Candidacy, at: &[u64], seen: &[Member]) -> Vec<bool> {
    let mut candidate = Vec::new();
    for at in at {
        candidacy.observe(ms(*at), seen);
        candidate.push(candidacy.is_candidate());
    }
    candidate
}

#[test]
fn a_large_vm_is_always_a_candidate() {
    let mut candidacy = Candidacy::new(LARGE);
    assert!(candidacy.is_candidate());
    let seen = owners(LARGE, 8);
    assert_eq!(observe(&mut candidacy, &[0, 10_000], &seen), [true, true]);
}

#[test]
fn a_small_vm_is_no_candidate_while_large_vms_own_shards() {
    let mut candidacy = Candidacy::new(SMALL);
    assert!(!candidacy.is_candidate());
    let seen = owners(LARGE, 8);
    assert_eq!(observe(&mut candidacy, &[0, 10_000], &seen), [false, false]);
}

#[test]
fn a_small_vm_becomes_a_candidate_after_too_few_large_owners_for_some_time() {
    let mut candidacy = Candidacy::new(SMALL);
    let few = owners(LARGE, 1);
    assert_eq!(observe(&mut candidacy, &[0, 1_400], &few), [false, false]);
    // The return of the large VMs restarts the delay.
    candidacy.observe(ms(1_450), &owners(LARGE, 8));
    assert_eq!(observe(&mut candidacy, &[1_500, 2_900, 3_000], &few), [false, false, true]);
}

#[test]
fn a_small_vm_becomes_a_candidate_when_there_are_no_owners() {
    let mut candidacy = Candidacy::new(SMALL);
    assert_eq!(observe(&mut candidacy, &[0, 1_500], &[]), [false, true]);
}

#[test]
fn a_small_vm_becomes_a_candidate_at_once_among_small_owners() {
    let mut candidacy = Candidacy::new(SMALL);
    assert_eq!(observe(&mut candidacy, &[0], &owners(SMALL, 6)), [true]);
}

#[test]
fn a_small_vm_withdraws_once_enough_large_owners_stay() {
    let mut candidacy = Candidacy::new(SMALL);
    observe(&mut candidacy, &[0, 1_500], &[]);
    let some = owners(LARGE, 3);
    assert_eq!(observe(&mut candidacy, &[2_000, 9_000], &some), [true, true]);
    let enough = owners(LARGE, 4);
    assert_eq!(observe(&mut candidacy, &[9_500, 13_400, 13_500], &enough), [true, true, false]);
}

#[test]
fn a_member_round_trips_through_its_text() {
    let member = owners(LARGE, 1).remove(0);
    assert_eq!(member.to_string().parse(), Ok(member));
    let error =
        "10.0.0.1:7000/edge".parse::<Member>().expect_err("the text lacks two of four parts");
    assert!(error.to_string().contains("10.0.0.1:7000/edge"), "{error}");
}
