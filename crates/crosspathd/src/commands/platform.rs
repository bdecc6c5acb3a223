//! Runs the daemon on the users' platform.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crosspath_border::advice::Advisor;
use crosspath_border::vm::Fleet;
use crosspath_node::{Ports, Settings};
use crosspath_platform::{HttpAdvisor, HttpFleet, HttpRunner, LogStore, ingress};

use super::ExitStatus;

/// Limit for a call to the log that does not wait for records; slow responses take several hundred
/// ms.
const LOG_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Limit for an order to a worker. A response takes a few ms; an order without a response is
/// voided.
const WORKER_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit for an order to the VM list, which may respond slowly.
const VM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limit for an advice request, which may take several hundred ms for many workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(3_000);

pub(crate) fn run(file: &Path) -> ExitStatus {
    let settings = match crosspath_node::settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("event=settings_refused error=\"{error}\"");
            return ExitStatus::BadSettings;
        }
    };
    // Entry VMs have a fraction of one core, so additional threads would not run in parallel.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(crosspath_node::run(settings.clone(), ports(&settings))),
        Err(error) => {
            log::error!("event=not_started error=\"{error}\"");
            return ExitStatus::NotStarted;
        }
    };
    match ended {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("event=not_started error=\"{error}\"");
            ExitStatus::NotStarted
        }
    }
}

fn ports(settings: &Settings) -> Ports {
    let fleet = |address| Arc::new(HttpFleet::new(address, VM_TIMEOUT)) as Arc<dyn Fleet>;
    let advisor = |address| Arc::new(HttpAdvisor::new(address, ADVICE_TIMEOUT)) as Arc<dyn Advisor>;
    Ports {
        store: Arc::new(LogStore::new(settings.log, LOG_TIMEOUT).with_limits(settings.log_limits)),
        runner: Arc::new(HttpRunner::new(WORKER_TIMEOUT).with_source(settings.source)),
        fleet: settings.vms.map(fleet),
        advisor: settings.advice.map(advisor),
        serve_callers: |listener, limits, stop, handler| {
            Box::pin(ingress::serve_callers(listener, limits, stop, handler))
        },
        serve_readiness: |listener, limits, stop, handler| {
            Box::pin(ingress::serve_readiness(listener, limits, stop, handler))
        },
    }
}
