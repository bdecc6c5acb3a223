//! The state that every daemon builds by replaying the log.
//!
//! Tables are persistent data structures that share memory between versions, so that a reader can
//! keep the version it decided on while further records are applied.

use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::member::Member;
use crate::name::{
    CallerName, DaemonName, JobName, PoolName, ResourceName, ServiceName, TeamName, VmName,
    WaveName,
};
use crate::partition::{self, Ownership};
use crate::record::{Incarnation, Revision, Writer};
use crate::resource::{Caller, Id, Kind, Pool, Service, Spec, Team};
use crate::{job, vm, wave};

/// A resource as a table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored<T, S = ()> {
    /// Offset of the last accepted change of its spec or status.
    pub revision: Revision,
    /// Specification as the operator declared it.
    pub spec: T,
    /// Status derived from the log.
    pub status: S,
}

/// Identifier of the last batch of a daemon that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastWrite {
    /// Incarnation of the daemon that wrote the batch.
    pub incarnation: Incarnation,
    /// Number of the batch within that incarnation.
    pub sequence: u64,
}

/// The replicated state: everything that the daemons agree on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the last applied record; 0 before the first.
    pub applied: Revision,
    /// Pools, keyed by name.
    pub pools: OrdMap<PoolName, Stored<Pool>>,
    /// Services, keyed by name.
    pub services: OrdMap<ServiceName, Stored<Service>>,
    /// Teams, keyed by name.
    pub teams: OrdMap<TeamName, Stored<Team>>,
    /// Callers, keyed by name.
    pub callers: OrdMap<CallerName, Stored<Caller>>,
    /// VMs, keyed by name; the spec of each names its one pool.
    pub vms: OrdMap<VmName, Stored<vm::Spec, vm::Phase>>,
    /// Jobs, keyed by name.
    pub jobs: OrdMap<JobName, Stored<job::Spec, job::Status>>,
    /// Maintenance waves, keyed by name.
    pub waves: OrdMap<WaveName, Stored<wave::Spec, wave::Status>>,
    /// Daemons that are currently members, keyed by name.
    pub members: OrdMap<DaemonName, Member>,
    /// Owner of each partition, by index; empty until the first daemon joins.
    pub partitions: Vector<Ownership>,
    /// Last applied batch of every daemon, by which duplicates are recognised.
    pub writers: OrdMap<DaemonName, LastWrite>,
}

impl State {
    /// Iterates over the VMs of a pool.
    pub fn vms_of(
        &self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (&VmName, &Stored<vm::Spec, vm::Phase>)> {
        self.vms.iter().filter(move |(_, vm)| vm.spec.pool == *pool)
    }

    /// Iterates over the running and suspended jobs that occupy a VM.
    pub fn jobs_on(
        &self,
        vm: &VmName,
    ) -> impl Iterator<Item = (&JobName, &Stored<job::Spec, job::Status>)> {
        self.jobs.iter().filter(move |(_, job)| job.status.phase.vm() == Some(vm))
    }

    /// Whether `writer` is a member in its current incarnation.
    #[must_use]
    pub fn is_member(&self, writer: &Writer) -> bool {
        let member = self.members.get(&writer.daemon);
        member.is_some_and(|member| member.incarnation == writer.incarnation)
    }

    /// Owner of a partition; `None` if no daemon has joined.
    #[must_use]
    pub fn owner(&self, partition: u16) -> Option<&Ownership> {
        self.partitions.get(usize::from(partition))
    }

    /// Iterates over the partitions that a daemon owns.
    pub fn partitions_of(&self, daemon: &DaemonName) -> impl Iterator<Item = u16> {
        let owners = (0..partition::COUNT).zip(self.partitions.iter());
        owners.filter(move |(_, own)| own.owner == *daemon).map(|(partition, _)| partition)
    }

    /// SHA-256 of the state's JSON form, in lower-case hexadecimal.
    ///
    /// # Panics
    ///
    /// Never: the state can always be serialised to JSON.
    #[must_use]
    pub fn digest(&self) -> String {
        let json = serde_json::to_vec(self).expect("the state can be serialised to JSON");
        let digest = Sha256::digest(&json);
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Current revision of a resource; `None` if it does not exist.
    #[must_use]
    pub fn revision(&self, id: &Id) -> Option<Revision> {
        self.resource(id).map(|(revision, _)| revision)
    }

    /// Current revision and spec of a resource; `None` if it does not exist.
    #[must_use]
    pub fn resource(&self, id: &Id) -> Option<(Revision, Spec)> {
        let text = id.name.as_str();
        macro_rules! find {
            ($table:ident, $name:ident, $spec:ident) => {{
                let stored = self.$table.get(&$name::new(text).ok()?)?;
                Some((stored.revision, Spec::$spec(stored.spec.clone())))
            }};
        }
        match id.kind {
            Kind::Pool => find!(pools, PoolName, Pool),
            Kind::Service => find!(services, ServiceName, Service),
            Kind::Team => find!(teams, TeamName, Team),
            Kind::Caller => find!(callers, CallerName, Caller),
            Kind::Vm => find!(vms, VmName, Vm),
            Kind::Job => find!(jobs, JobName, Job),
            Kind::Wave => find!(waves, WaveName, Wave),
        }
    }

    /// Names of all resources of a kind, sorted.
    #[must_use]
    pub fn names(&self, kind: Kind) -> Vec<ResourceName> {
        macro_rules! keys {
            ($table:ident) => {
                self.$table
                    .keys()
                    .filter_map(|name| ResourceName::new(name.as_str()).ok())
                    .collect()
            };
        }
        match kind {
            Kind::Pool => keys!(pools),
            Kind::Service => keys!(services),
            Kind::Team => keys!(teams),
            Kind::Caller => keys!(callers),
            Kind::Vm => keys!(vms),
            Kind::Job => keys!(jobs),
            Kind::Wave => keys!(waves),
        }
    }
}
