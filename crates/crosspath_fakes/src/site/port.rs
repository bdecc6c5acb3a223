//! Free ports for daemons that must know each other's addresses before they start.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST_PORT: u32 = 10_000;
/// Exclusive upper limit, below the range from which the system assigns ports to outgoing
/// connections.
const END_PORT: u32 = 32_000;
const STRIDE: u32 = 160;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Finds `count` ports that are free now. The search starts at a position that differs between
/// processes and calls.
pub(super) fn find_free(count: usize) -> Vec<u16> {
    let call = NEXT.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(7).wrapping_add(call).wrapping_mul(STRIDE);
    let ports = (0..END_PORT - FIRST_PORT)
        .map(|step| FIRST_PORT + start.wrapping_add(step) % (END_PORT - FIRST_PORT));
    let ports = ports.filter_map(|port| u16::try_from(port).ok());
    ports.filter(|port| is_free(*port)).take(count).collect()
}

fn is_free(port: u16) -> bool {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
}
