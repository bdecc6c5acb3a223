//! Injects faults during the wave: one daemon is killed and restarted, another is suspended, and
//! the log has an outage.

use std::time::Duration;

use crosspath_fakes::fault::LogFault;

use crate::Shared;

const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
const FREEZE_TIME: Duration = Duration::from_millis(2_500);
const LOG_OUTAGE: Duration = Duration::from_millis(1_500);

/// The planner, so that another daemon must continue the wave.
const FROZEN_DAEMON: usize = 0;
const KILLED_DAEMON: usize = 2;

pub(crate) async fn inject(site: Shared) {
    tokio::time::sleep(FAULT_INTERVAL).await;
    site.write().await.daemons[KILLED_DAEMON].kill();
    tokio::time::sleep(FAULT_INTERVAL).await;
    if let Err(error) = site.write().await.restart(KILLED_DAEMON) {
        eprintln!("quickstart: {error}");
    }
    site.read().await.daemons[FROZEN_DAEMON].freeze();
    tokio::time::sleep(FREEZE_TIME).await;
    site.read().await.daemons[FROZEN_DAEMON].thaw();
    tokio::time::sleep(FAULT_INTERVAL).await;
    let down = LogFault { down: true, ..LogFault::default() };
    site.read().await.fakes.set_log_fault(down);
    tokio::time::sleep(LOG_OUTAGE).await;
    site.read().await.fakes.set_log_fault(LogFault::default());
}
