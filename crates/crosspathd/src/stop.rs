//! Graceful stop.
//!
//! The daemon first reports that it is not ready, so that the load balancer sends callers
//! elsewhere. It then accepts no further connections, lets requests in flight finish, and hands its
//! partitions with their claims over to its guard. Finally it leaves the members. A second signal
//! stops the daemon immediately.

use std::sync::Arc;

use crosspath_http::server::Stage;
use crosspath_state::record::{Change, Membership};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use crate::core::Core;
use crate::handover;

/// Receives the signals to stop, SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Stops gracefully. `callers` is the task of the callers' listener, which ends when no request of
/// theirs is in flight.
pub(crate) async fn graceful(core: &Arc<Core>, callers: JoinHandle<()>) {
    let timing = &core.settings.timing;
    log::info!("event=stopping");
    core.set_stopping();
    tokio::time::sleep(timing.stop_wait).await;
    core.stage.send_replace(Stage::Finishing);
    if tokio::time::timeout(timing.stop_drain, callers).await.is_err() {
        log::warn!("event=stop_cut_off");
    }
    if core.lease_is_valid() && core.is_log_up() {
        let leaving = leave(core);
        if tokio::time::timeout(timing.stop_drain, leaving).await.is_err() {
            log::warn!("event=leave_timed_out");
        }
    }
    core.stage.send_replace(Stage::Ended);
    log::info!("event=stopped");
}

async fn leave(core: &Core) {
    if let Err(error) = handover::hand_over_all(core).await {
        log::warn!("event=handover_failed error=\"{error}\"");
    }
    let leave = Change::Member(Membership::Leave);
    if let Err(error) = core.committer.commit_until_final(vec![leave]).await {
        log::warn!("event=leave_failed error=\"{error}\"");
    }
}
