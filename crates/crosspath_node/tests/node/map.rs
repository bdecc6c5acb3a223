//! Assignment of pool slices to shards. Guards against jobs that are searched in the wrong shard
//! after the map has grown, and against slices that are loaded unevenly.

use std::collections::BTreeSet;
use std::sync::Arc;

use crosspath_border::store::{NewRecord, Stored};
use crosspath_job::JobId;
use crosspath_node::map::Map;

fn pools(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Appends the records that the map lacks for `pools` on `vms` VMs, with 23 shards and entry VMs of
/// 120 millicores.
fn extend(map: &mut Map, pools: &BTreeSet<Arc<str>>, vms: usize) {
    for NewRecord { key, value } in map.missing_records(pools, vms, 120, 23) {
        map.apply(&Stored { offset: 0, key, value });
    }
}

#[test]
fn a_small_fleet_has_a_shard_for_each_pool() {
    let mut map = Map::default();
    let four = pools(&["a", "b", "c", "d"]);
    extend(&mut map, &four, 48);
    assert_eq!(map.slices(), Some(1));
    assert_eq!(map.by_shard().into_keys().collect::<Vec<_>>(), [19, 20, 21, 22]);
    assert!(four.iter().all(|pool| map.is_complete_for(pool)));
}

#[test]
fn a_large_fleet_gets_as_many_slices_as_the_shards_allow() {
    let mut map = Map::default();
    let four = pools(&["a", "b", "c", "d"]);
    extend(&mut map, &four, 780);
    assert_eq!(map.slices(), Some(5));
    assert_eq!(map.by_shard().len(), 20);
}

#[test]
fn a_pool_added_later_gets_free_shards() {
    let mut map = Map::default();
    extend(&mut map, &pools(&["a", "b"]), 100);
    let before = map.by_shard();
    extend(&mut map, &pools(&["a", "b", "c"]), 500);
    assert_eq!(map.slices(), Some(2), "the number of slices never changes");
    assert!(map.is_complete_for(&"c".into()));
    assert_eq!(map.by_shard().len(), before.len() + 2);
    assert!(before.iter().all(|(shard, pool_slice)| map.by_shard().get(shard) == Some(pool_slice)));
}

#[test]
fn jobs_and_vms_are_spread_over_slices() {
    let mut map = Map::default();
    extend(&mut map, &pools(&["a"]), 300);
    let slices = map.slices().expect("a number of slices");
    let mut vms = vec![0; slices as usize];
    let mut jobs = vms.clone();
    for n in 0..1_000_u64 {
        vms[map.slice_of_vm(&format!("m-{n:05x}")) as usize] += 1;
        let job = JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        jobs[map.slice_of_job(&"a".into(), job) as usize] += 1;
    }
    for count in vms.into_iter().chain(jobs) {
        assert!(count > 1_000 / i32::try_from(slices).expect("fits in 32 bits") * 3 / 4, "{count}");
    }
}

#[test]
fn slices_with_long_running_tasks_of_other_pools_get_fewer_finite_jobs() {
    let mut map = Map::default();
    extend(&mut map, &pools(&["a", "b"]), 300);
    let mut jobs = vec![0; 5];
    for n in 0..10_000_u64 {
        let job = JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        jobs[map.slice_of_job(&"a".into(), job) as usize] += 1;
    }
    let least = jobs.iter().min().expect("a slice");
    let most = jobs.iter().max().expect("a slice");
    assert!(most * 4 > least * 6 && most * 4 < least * 8, "{jobs:?}");
}

#[test]
fn a_job_is_found_in_its_shard_after_a_pool_was_added() {
    let mut map = Map::default();
    extend(&mut map, &pools(&["m", "n"]), 300);
    let mut later = map.clone();
    extend(&mut later, &pools(&["a", "m", "n"]), 300);
    for n in 0..1_000_u64 {
        let (pool, job) = ("m".into(), JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        for long_running in [false, true] {
            let shard = map.shard_for_new_job(&pool, job, long_running).expect("a shard");
            assert!(later.candidate_shards(&pool, job).expect("shards").contains(&shard));
            assert_eq!(later.shard_for_new_job(&pool, job, long_running), Some(shard));
        }
    }
}
