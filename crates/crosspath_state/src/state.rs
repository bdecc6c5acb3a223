//! The state that every daemon folds from the log.
//!
//! Tables share their structure between versions, so that a reader can keep the version it decided
//! on while the fold goes on.

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

/// A resource in a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored<T, S = ()> {
    /// Offset of the last accepted change of its spec or status.
    pub revision: Revision,
    /// As declared.
    pub spec: T,
    /// What the fold keeps beside.
    pub status: S,
}

/// The last batch of a daemon that was folded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastWrite {
    /// In this life.
    pub incarnation: Incarnation,
    /// With this number.
    pub sequence: u64,
}

/// Everything that is agreed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the last folded record.
    pub applied: Revision,
    /// Pools by name.
    pub pools: OrdMap<PoolName, Stored<Pool>>,
    /// Services by name.
    pub services: OrdMap<ServiceName, Stored<Service>>,
    /// Teams by name.
    pub teams: OrdMap<TeamName, Stored<Team>>,
    /// Callers by name.
    pub callers: OrdMap<CallerName, Stored<Caller>>,
    /// VMs by name; the spec of each names its one pool.
    pub vms: OrdMap<VmName, Stored<vm::Spec, vm::Phase>>,
    /// Jobs by name.
    pub jobs: OrdMap<JobName, Stored<job::Spec, job::Status>>,
    /// Waves by name.
    pub waves: OrdMap<WaveName, Stored<wave::Spec, wave::Status>>,
    /// Daemons that are members.
    pub members: OrdMap<DaemonName, Member>,
    /// Owners by partition; empty until the first daemon joins.
    pub partitions: Vector<Ownership>,
    /// Last batch of every daemon, which drops second copies.
    pub writers: OrdMap<DaemonName, LastWrite>,
}

impl State {
    /// VMs of a pool.
    pub fn vms_of(
        &self,
        pool: &PoolName,
    ) -> impl Iterator<Item = (&VmName, &Stored<vm::Spec, vm::Phase>)> {
        self.vms.iter().filter(move |(_, vm)| vm.spec.pool == *pool)
    }

    /// Jobs that take room on a VM.
    pub fn jobs_on(
        &self,
        vm: &VmName,
    ) -> impl Iterator<Item = (&JobName, &Stored<job::Spec, job::Status>)> {
        self.jobs.iter().filter(move |(_, job)| job.status.phase.vm() == Some(vm))
    }

    /// Whether `writer` is a member in this life.
    #[must_use]
    pub fn is_member(&self, writer: &Writer) -> bool {
        let member = self.members.get(&writer.daemon);
        member.is_some_and(|member| member.incarnation == writer.incarnation)
    }

    /// The owner of a partition.
    #[must_use]
    pub fn owner(&self, partition: u16) -> Option<&Ownership> {
        self.partitions.get(usize::from(partition))
    }

    /// Partitions of a daemon.
    pub fn partitions_of(&self, daemon: &DaemonName) -> impl Iterator<Item = u16> {
        let owners = (0..partition::COUNT).zip(self.partitions.iter());
        owners.filter(move |(_, own)| own.owner == *daemon).map(|(partition, _)| partition)
    }

    /// Digest of the whole state, in lower-case hexadecimal.
    ///
    /// # Panics
    ///
    /// Never: the state has a JSON form.
    #[must_use]
    pub fn digest(&self) -> String {
        let json = serde_json::to_vec(self).expect("the state has a JSON form");
        let digest = Sha256::digest(&json);
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Revision of a resource.
    #[must_use]
    pub fn revision(&self, id: &Id) -> Option<Revision> {
        self.resource(id).map(|(revision, _)| revision)
    }

    /// Revision and spec of a resource.
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

    /// Names of all resources of a kind.
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
