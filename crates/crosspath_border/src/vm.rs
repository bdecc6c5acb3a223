//! The platform's list of VMs, and the orders to move and service them.

use std::sync::Arc;

use async_trait::async_trait;
use crosspath_job::spec::Resources;
use snafu::Snafu;

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The VM serves its pool. Only in this state can it be moved or serviced.
    Up,
    /// The VM is being moved to another pool.
    Moving,
    /// The VM is being serviced.
    Maintenance,
    /// The VM is down: it has no worker.
    Down,
    /// The platform reports no state or one that this version does not know. The VM may have a
    /// worker, but gets no orders.
    Unknown,
}

/// Virtual machine, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Unique name, which orders and maintenance waves use.
    pub name: Arc<str>,
    /// Pool that the VM belongs to.
    pub pool: Arc<str>,
    /// Data centre in which the VM runs.
    pub data_centre: Arc<str>,
    /// Current lifecycle state.
    pub state: State,
    /// Labels of the VM, such as its kind and rack.
    pub labels: Vec<Arc<str>>,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Identifier of the worker on the VM; `None` if none runs there.
    pub worker: Option<Arc<str>>,
}

/// Order for one VM, carried out by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Move the VM from its current pool to another one.
    Move {
        /// Name of the destination pool.
        pool: Arc<str>,
    },
    /// Service the VM as part of a maintenance wave.
    Maintain {
        /// Number of the maintenance wave that names the VM.
        wave: u64,
    },
}

/// Answer of the platform to an [`Order`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The order was carried out, now or earlier.
    Done,
    /// A holder with a higher fencing token has already issued orders.
    Fenced,
    /// The VM is not up, or is about to leave its pool.
    Busy,
    /// The wave does not name the VM.
    OtherWave,
    /// The VM does not exist, or the pool does not accept this kind of VM.
    Impossible,
}

/// Failed call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The platform rejected the call for the moment or could not be reached; the call had no
    /// effect.
    #[snafu(display("platform rejected the VM call or could not be reached"))]
    Refused,
    /// No answer came. The order may have been carried out or may still be.
    #[snafu(display("platform did not answer the VM call"))]
    NoAnswer,
}

/// Identity under which orders are issued.
#[derive(Debug, Clone)]
pub struct Authority {
    /// Name of the daemon that issues the order.
    pub holder: Arc<str>,
    /// Fencing token of the daemon.
    pub token: u64,
}

/// Client of the platform's VM management.
#[async_trait]
pub trait Fleet: Send + Sync + std::fmt::Debug {
    /// Lists the VMs of all pools, each with its state.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform gives no usable answer.
    async fn list(&self) -> Result<Vec<Vm>, Error>;

    /// Issues an order for a VM. Everything that runs on the VM is killed when the order is carried
    /// out.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform rejects the order for the moment or gives no answer.
    async fn order(&self, vm: &str, order: &Order, by: &Authority) -> Result<Verdict, Error>;
}
