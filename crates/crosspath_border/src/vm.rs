//! The list of VMs, and the orders that move and service them.

use std::sync::Arc;

use async_trait::async_trait;
use crosspath_job::spec::Resources;
use snafu::Snafu;

/// What a VM is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It serves its pool.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It has its upkeep.
    Maintenance,
    /// It is down.
    Down,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// What it is doing.
    pub state: State,
    /// Kind, rack, and others.
    pub labels: Vec<Arc<str>>,
    /// What it has.
    pub capacity: Resources,
    /// The worker on it; none when it runs none.
    pub worker: Option<Arc<str>>,
}

/// An order to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Bring the VM into a pool.
    Move {
        /// The pool.
        pool: Arc<str>,
    },
    /// Give the VM its upkeep.
    Maintain {
        /// The wave that asks for it.
        wave: u64,
    },
}

/// How an order was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Done, or already done.
    Done,
    /// A holder with a higher token gave orders before.
    Fenced,
    /// The VM is not up, or is leaving.
    Busy,
    /// The wave does not name the VM.
    OtherWave,
    /// There is no such VM, or the pool takes no such VMs.
    Impossible,
}

/// A call without a usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Nothing was done: refused for now, or not reached.
    #[snafu(display("the platform refuses VM orders for now"))]
    Refused,
    /// No answer came; the order may have been done, or may yet be.
    #[snafu(display("the platform gives no answer to a VM order"))]
    NoAnswer,
}

/// Who gives an order.
#[derive(Debug, Clone)]
pub struct Authority {
    /// The daemon.
    pub holder: Arc<str>,
    /// Its fencing token.
    pub token: u64,
}

/// Moves and services VMs.
#[async_trait]
pub trait Fleet: Send + Sync + std::fmt::Debug {
    /// All VMs.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn list(&self) -> Result<Vec<Vm>, Error>;

    /// Gives an order. When it is done, everything on the VM dies at once.
    ///
    /// # Errors
    ///
    /// [`Error`].
    async fn order(&self, vm: &str, order: &Order, by: &Authority) -> Result<Verdict, Error>;
}
