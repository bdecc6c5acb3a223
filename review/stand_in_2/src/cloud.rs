//! The list of machines. None is spare, so there is none to move, and there is no upkeep.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

use crate::http::{self, Reply};
use crate::worker::{CPU, MEMORY_MB, Machines};

/// Serves until the process ends.
pub fn start(machines: Machines) -> SocketAddr {
    http::serve(Arc::new(move |call| match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/crosspath/machines") => {
            let rows = machines.rows().into_iter().map(|machine| {
                let state = if machine.id.is_some() { "up" } else { "down" };
                json!({
                    "machine": machine.name, "pool": machine.service, "state": state, "zone": "z1",
                    "labels": machine.labels, "id": machine.id.unwrap_or_default(),
                    "capacity": { "cpu": CPU, "mem_mb": MEMORY_MB, "gpu": 0 },
                })
            });
            let rows: Vec<_> = rows.collect();
            Some(Reply::json(200, &json!({ "machines": rows, "next_token": null })))
        }
        ("POST", "/crosspath/machine-move") => Some(Reply::empty(400)),
        ("POST", "/crosspath/machine-upkeep") => {
            Some(Reply::json(409, &json!({ "reason": "wave" })))
        }
        _ => Some(Reply::empty(404)),
    }))
}
