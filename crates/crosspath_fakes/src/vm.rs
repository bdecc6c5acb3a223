//! State of an upstream VM and of the worker on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crosspath_state::name::{JobName, VmName};
use crosspath_vm_list::Liveness;
use crosspath_worker::{JobReport, JobState, Report};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::fault::VmFault;

/// State and counters of a VM, for checks by tests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Name of the observed VM.
    pub vm: VmName,
    /// Whether the VM is up.
    pub up: bool,
    /// Whether the VM is drained and refuses requests.
    pub drained: bool,
    /// Number of reboots so far.
    pub reboots: u32,
    /// Number of requests that reboots interrupted.
    pub cut_off: u32,
    /// Number of requests refused while the VM was drained or down.
    pub refused: u32,
    /// Highest number of concurrent requests.
    pub max_in_flight: u32,
    /// Maximum number of concurrent requests that the VM should receive.
    pub slots: u32,
    /// Number of job starts so far, without resumptions.
    pub job_starts: u32,
    /// Number of jobs that a reboot ended while they ran.
    pub jobs_cut_off: u32,
    /// Time since the last accepted request, in ms; `None` before the first.
    pub last_request_ms_ago: Option<u64>,
}

#[derive(Debug)]
struct Inner {
    up: bool,
    drained: bool,
    in_flight: u32,
    reboot: Option<String>,
    jobs: BTreeMap<JobName, JobState>,
    fault: VmFault,
    audit: Audit,
    last_request: Option<Instant>,
    history: Vec<(Instant, bool)>,
}

/// Whether a VM is up, and how often it went down. Each outage closes its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Power {
    pub(crate) up: bool,
    pub(crate) outages: u32,
}

/// Fake VM with its worker.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: VmName,
    pub(crate) address: SocketAddr,
    inner: Mutex<Inner>,
    pub(crate) power: watch::Sender<Power>,
}

impl Vm {
    pub(crate) fn new(name: VmName, address: SocketAddr, slots: u32) -> Self {
        let audit = Audit {
            vm: name.clone(),
            up: true,
            drained: false,
            reboots: 0,
            cut_off: 0,
            refused: 0,
            max_in_flight: 0,
            slots,
            job_starts: 0,
            jobs_cut_off: 0,
            last_request_ms_ago: None,
        };
        let inner = Inner {
            up: true,
            drained: false,
            in_flight: 0,
            reboot: None,
            jobs: BTreeMap::new(),
            fault: VmFault::default(),
            audit,
            last_request: None,
            history: vec![(Instant::now(), true)],
        };
        let power = watch::Sender::new(Power { up: true, outages: 0 });
        Self { name, address, inner: Mutex::new(inner), power }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn report(&self) -> Report {
        let inner = self.inner();
        let jobs = inner.jobs.iter().map(|(job, state)| JobReport {
            job: job.clone(),
            state: *state,
            used_millicores: 0,
        });
        Report {
            up: inner.up,
            drained: inner.drained,
            in_flight: inner.in_flight,
            reboot: inner.reboot.clone(),
            jobs: jobs.collect(),
        }
    }

    pub(crate) fn audit(&self) -> Audit {
        let inner = self.inner();
        let last = inner.last_request.map(|last| last.elapsed().as_millis());
        let last_request_ms_ago = last.and_then(|last| u64::try_from(last).ok());
        let (up, drained) = (inner.up, inner.drained);
        Audit { up, drained, last_request_ms_ago, ..inner.audit.clone() }
    }

    pub(crate) fn set_drained(&self, drained: bool) {
        self.inner().drained = drained;
    }

    pub(crate) fn fault(&self) -> VmFault {
        self.inner().fault
    }

    pub(crate) fn set_fault(&self, fault: VmFault) {
        self.inner().fault = fault;
    }

    /// Starts a reboot unless it is the one that was requested last. Returns whether it started.
    pub(crate) fn begin_reboot(&self, id: String) -> bool {
        let mut inner = self.inner();
        if inner.reboot.as_ref() == Some(&id) {
            return false;
        }
        inner.reboot = Some(id);
        inner.audit.reboots += 1;
        inner.audit.cut_off += inner.in_flight;
        let running = inner.jobs.values().filter(|state| **state == JobState::Running).count();
        inner.audit.jobs_cut_off += u32::try_from(running).unwrap_or(u32::MAX);
        inner.jobs.retain(|_, state| *state == JobState::Suspended);
        drop(inner);
        self.set_up(false);
        true
    }

    pub(crate) fn set_up(&self, up: bool) {
        let mut inner = self.inner();
        inner.up = up;
        if !up {
            inner.jobs.retain(|_, state| *state == JobState::Suspended);
        }
        inner.history.push((Instant::now(), up));
        self.power.send_modify(|power| {
            power.up = up;
            power.outages += u32::from(!up);
        });
    }

    /// Whether some connection is open. Each holds a receiver of [`Self::power`], as the server does.
    pub(crate) fn has_open_connections(&self) -> bool {
        self.power.receiver_count() > 1
    }

    /// Liveness that the VM list shows: the state of the VM `lag` ago.
    pub(crate) fn liveness(&self, lag: Duration) -> Liveness {
        let inner = self.inner();
        let observed = inner.history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        match observed {
            Some((_, false)) => Liveness::Down,
            _ => Liveness::Live,
        }
    }

    /// Sets the state of a job. Returns whether this was done; a VM that is down does nothing.
    pub(crate) fn set_job(&self, job: JobName, state: JobState) -> bool {
        let mut inner = self.inner();
        if !inner.up {
            return false;
        }
        let before = inner.jobs.get(&job).copied();
        let starts = state == JobState::Running && before.is_none();
        inner.audit.job_starts += u32::from(starts);
        match state {
            JobState::Absent => drop(inner.jobs.remove(&job)),
            JobState::Running | JobState::Suspended => drop(inner.jobs.insert(job, state)),
        }
        true
    }

    /// Counts a request as in flight. Returns `false` if the VM is drained or down and refuses it.
    pub(crate) fn begin_request(&self) -> bool {
        let mut inner = self.inner();
        if inner.drained || !inner.up {
            inner.audit.refused += 1;
            return false;
        }
        inner.last_request = Some(Instant::now());
        inner.in_flight += 1;
        inner.audit.max_in_flight = inner.audit.max_in_flight.max(inner.in_flight);
        true
    }

    pub(crate) fn end_request(&self) {
        let mut inner = self.inner();
        inner.in_flight = inner.in_flight.saturating_sub(1);
    }
}
