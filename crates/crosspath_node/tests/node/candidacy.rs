//! Which daemons stand for ownership.

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
        life: "1".into(),
        millicores,
    };
    (0..count).map(member).collect()
}

/// Whether it stands at each of some moments, seeing the same owners at all of them.
fn observe(candidacy: &mut Candidacy, at: &[u64], seen: &[Member]) -> Vec<bool> {
    let mut stands = Vec::new();
    for at in at {
        candidacy.observe(ms(*at), seen);
        stands.push(candidacy.stands());
    }
    stands
}

#[test]
fn a_large_vm_stands_whatever_it_sees() {
    let mut candidacy = Candidacy::new(LARGE);
    assert!(candidacy.stands());
    let seen = owners(LARGE, 8);
    assert_eq!(observe(&mut candidacy, &[0, 10_000], &seen), [true, true]);
}

#[test]
fn a_small_vm_leaves_shards_to_large_ones() {
    let mut candidacy = Candidacy::new(SMALL);
    assert!(!candidacy.stands());
    let seen = owners(LARGE, 8);
    assert_eq!(observe(&mut candidacy, &[0, 10_000], &seen), [false, false]);
}

#[test]
fn a_small_vm_steps_in_when_too_few_large_ones_are_left_for_some_time() {
    let mut candidacy = Candidacy::new(SMALL);
    let few = owners(LARGE, 1);
    assert_eq!(observe(&mut candidacy, &[0, 1_400], &few), [false, false]);
    // A restart of the large ones ends the count.
    candidacy.observe(ms(1_450), &owners(LARGE, 8));
    assert_eq!(observe(&mut candidacy, &[1_500, 2_900, 3_000], &few), [false, false, true]);
}

#[test]
fn nobody_owning_at_all_brings_small_ones_in() {
    let mut candidacy = Candidacy::new(SMALL);
    assert_eq!(observe(&mut candidacy, &[0, 1_500], &[]), [false, true]);
}

#[test]
fn where_small_ones_own_already_another_joins_them_at_once() {
    let mut candidacy = Candidacy::new(SMALL);
    assert_eq!(observe(&mut candidacy, &[0], &owners(SMALL, 6)), [true]);
}

#[test]
fn a_small_vm_steps_back_once_enough_large_ones_stay() {
    let mut candidacy = Candidacy::new(SMALL);
    observe(&mut candidacy, &[0, 1_500], &[]);
    let some = owners(LARGE, 3);
    assert_eq!(observe(&mut candidacy, &[2_000, 9_000], &some), [true, true]);
    let enough = owners(LARGE, 4);
    assert_eq!(observe(&mut candidacy, &[9_500, 13_400, 13_500], &enough), [true, true, false]);
}

#[test]
fn a_members_text_can_be_read_back() {
    let member = owners(LARGE, 1).remove(0);
    assert_eq!(member.to_string().parse(), Ok(member));
    let error = "10.0.0.1:7000/edge".parse::<Member>().expect_err("half a text");
    assert!(error.to_string().contains("10.0.0.1:7000/edge"), "{error}");
}
