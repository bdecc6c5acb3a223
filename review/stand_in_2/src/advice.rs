//! The advice service: which workers may run a step.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{self, Reply};

/// Time for one answer (`decide_ms`).
pub const DECIDE_MS: u64 = 20;
/// Validity of a ticket (`valid_ms`).
pub const VALID_MS: u64 = 3_000;
/// Workers in one call.
const MOST_WORKERS: usize = 100;
/// One worker in this many may run a step.
const RARITY: u64 = 80;

/// Spreads numbers evenly over all 64-bit values.
pub fn mixed(number: u64) -> u64 {
    let mut value = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Ticket with which the step may run on the worker; `None` if it may not. This never changes.
pub fn ticket(step: &str, worker: &str) -> Option<String> {
    let text = step.bytes().chain(worker.bytes());
    let number = text.fold(0, |number, byte| mixed(number ^ u64::from(byte)));
    (number % RARITY == 0).then(|| format!("{:012x}", number >> 16))
}

/// Serves until the process ends.
pub fn start() -> SocketAddr {
    // Handles one call at a time.
    let turn = Arc::new(Mutex::new(()));
    http::serve(Arc::new(move |call| {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let step = body["step"].as_str().unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        if workers.len() > MOST_WORKERS {
            return Some(Reply::empty(400));
        }
        let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(Duration::from_millis(DECIDE_MS));
        let workers = workers.iter().filter_map(Value::as_str);
        let good = workers.filter_map(|worker| Some(json!([worker, ticket(step, worker)?])));
        let good: Vec<_> = good.collect();
        Some(Reply::json(200, &json!({ "good": good, "valid_ms": VALID_MS })))
    }))
}
