//! The faults on the way: a daemon killed and replaced, another frozen, the log away.

use std::time::Duration;

use crosspath_fakes::fault::LogFault;

use crate::Shared;

const BEFORE: Duration = Duration::from_millis(1_500);
const FROZEN: Duration = Duration::from_millis(2_500);
const LOG_DOWN: Duration = Duration::from_millis(1_500);

/// The planner, so that another daemon has to go on with the wave.
const FREEZES: usize = 0;
const KILLS: usize = 2;

pub(crate) async fn inject(site: Shared) {
    tokio::time::sleep(BEFORE).await;
    site.write().await.daemons[KILLS].kill();
    tokio::time::sleep(BEFORE).await;
    if let Err(error) = site.write().await.restart(KILLS) {
        eprintln!("quickstart: {error}");
    }
    site.read().await.daemons[FREEZES].freeze();
    tokio::time::sleep(FROZEN).await;
    site.read().await.daemons[FREEZES].thaw();
    tokio::time::sleep(BEFORE).await;
    let down = LogFault { down: true, ..LogFault::default() };
    site.read().await.fakes.set_log_fault(down);
    tokio::time::sleep(LOG_DOWN).await;
    site.read().await.fakes.set_log_fault(LogFault::default());
}
