//! What is lost when each daemon has a fixed part of a VM's slots, compared with slots that all
//! daemons share.

use crosspath_route::split::Position;
use crosspath_state::name::VmName;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const VMS: u32 = 10;
const SLOTS: u32 = 8;
/// Offered load as a fraction of all slots.
const LOAD_FACTOR: f64 = 0.7;
const REQUESTS: u32 = 50_000;

/// Fraction of requests that find no slot at their daemon while another daemon has a free one, and
/// the largest number by which the parts of all daemons together exceed a VM's slots.
#[must_use]
pub fn waste_and_overshoot(daemons: u32, seed: u64) -> (f64, f64) {
    let vm = |number: u32| VmName::new(&format!("vm-{number}")).expect("a valid name");
    let part = |index: u32, number: u32| Position { index, daemons }.share(&vm(number), SLOTS);
    let daemon_slots: Vec<u32> =
        (0..daemons).map(|index| (0..VMS).map(|number| part(index, number)).sum()).collect();
    let overshoot = (0..VMS)
        .map(|number| (0..daemons).map(|index| part(index, number)).sum::<u32>())
        .map(|sum| sum.saturating_sub(SLOTS))
        .max()
        .unwrap_or_default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let total = VMS * SLOTS;
    let mean_gap = 1.0 / (f64::from(total) * LOAD_FACTOR);
    let mut now = 0.0;
    let mut completions: Vec<Vec<f64>> = vec![Vec::new(); daemons as usize];
    let mut refused = 0;
    for _ in 0..REQUESTS {
        now += mean_gap * exponential(&mut rng);
        for completions in &mut completions {
            completions.retain(|completion| *completion > now);
        }
        let daemon = rng.random_range(0..daemons) as usize;
        let busy: usize = completions.iter().map(Vec::len).sum();
        if completions[daemon].len() < daemon_slots[daemon] as usize {
            completions[daemon].push(now + exponential(&mut rng));
        } else if busy < total as usize {
            refused += 1;
        }
    }
    (f64::from(refused) / f64::from(REQUESTS), f64::from(overshoot))
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut SmallRng) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln()
}
