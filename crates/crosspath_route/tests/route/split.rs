//! Shares of a VM's slots.

use crosspath_route::split::Position;
use crosspath_state::name::VmName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// The shares add up to the total, so the daemons together never exceed it under any network
    /// partition, and no two shares differ by more than 1.
    #[test]
    fn shares_add_up_to_the_total(vm in "[a-z]{1,8}", daemons in 1..60_u32, total in 0..300_u32) {
        let vm = VmName::new(&vm).expect("valid name");
        let shares = (0..daemons).map(|index| Position { index, daemons }.share(&vm, total));
        let shares: Vec<u32> = shares.collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), total);
        let spread = shares.iter().max().copied().unwrap_or_default()
            - shares.iter().min().copied().unwrap_or_default();
        prop_assert!(spread <= 1);
    }
}

/// The remainder goes to different daemons for different VMs.
#[test]
fn remainders_are_spread_over_the_daemons() {
    let mut got = [0_u32; 6];
    for number in 0..600 {
        let vm = VmName::new(&format!("vm-{number}")).expect("valid name");
        for (index, got) in (0..).zip(&mut got) {
            *got += Position { index, daemons: 6 }.share(&vm, 8);
        }
    }
    assert_eq!(got.iter().sum::<u32>(), 4_800);
    assert!(got.iter().all(|got| (760..=840).contains(got)), "{got:?}");
}
