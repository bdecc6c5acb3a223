//! Ports for daemons that must know each other's address before they start.

use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST: u32 = 10_000;
/// Below the range from which the system gives ports to outgoing connections.
const END: u32 = 32_000;
const STRIDE: u32 = 160;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// So many ports that are free now, looked for from a place that differs between processes.
pub(super) fn block(count: usize) -> Vec<u16> {
    let turn = NEXT.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(7).wrapping_add(turn).wrapping_mul(STRIDE);
    let ports = (0..END - FIRST).map(|step| FIRST + start.wrapping_add(step) % (END - FIRST));
    let ports = ports.filter_map(|port| u16::try_from(port).ok());
    ports.filter(|port| is_free(*port)).take(count).collect()
}

fn is_free(port: u16) -> bool {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
}
