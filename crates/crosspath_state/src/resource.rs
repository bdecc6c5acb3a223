//! The resources that operators declare.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::job::Class;
use crate::name::{PoolName, ResourceName};
use crate::{job, vm, wave};

/// Kind of a resource.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Pools of VMs.
    Pool,
    /// Services that callers send requests to.
    Service,
    /// Teams with quotas.
    Team,
    /// Callers of services.
    Caller,
    /// VMs, each in one pool.
    Vm,
    /// Jobs, each in one pool.
    Job,
    /// Maintenance waves.
    Wave,
}

impl Kind {
    /// Every kind, in the order in which a deployment declares them.
    pub const ALL: [Self; 7] =
        [Self::Pool, Self::Service, Self::Team, Self::Caller, Self::Vm, Self::Job, Self::Wave];

    /// Plural of the kind, as used in paths: `pools`.
    #[must_use]
    pub fn plural(self) -> &'static str {
        match self {
            Self::Pool => "pools",
            Self::Service => "services",
            Self::Team => "teams",
            Self::Caller => "callers",
            Self::Vm => "vms",
            Self::Job => "jobs",
            Self::Wave => "waves",
        }
    }

    /// Parses the plural or singular of a kind.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.plural() == text || kind.plural().strip_suffix('s') == Some(text))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.plural())
    }
}

/// Kind and name of one resource.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct Id {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: ResourceName,
}

impl Id {
    /// Identifies the resource of this kind and name.
    #[must_use]
    pub fn new(kind: Kind, name: ResourceName) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Specification of a resource, as an operator declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum Spec {
    /// Specification of a pool.
    Pool(Pool),
    /// Specification of a service.
    Service(Service),
    /// Specification of a team.
    Team(Team),
    /// Specification of a caller.
    Caller(Caller),
    /// Specification of a VM.
    Vm(vm::Spec),
    /// Specification of a job.
    Job(job::Spec),
    /// Specification of a wave.
    Wave(wave::Spec),
}

impl Spec {
    /// The kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Pool(_) => Kind::Pool,
            Self::Service(_) => Kind::Service,
            Self::Team(_) => Kind::Team,
            Self::Caller(_) => Kind::Caller,
            Self::Vm(_) => Kind::Vm,
            Self::Job(_) => Kind::Job,
            Self::Wave(_) => Kind::Wave,
        }
    }
}

/// A pool of VMs and its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// VMs that may be unavailable at one time, for any cause.
    pub max_unavailable: u32,
    /// Part of `max_unavailable` that voluntary disruptions leave free for failures.
    #[serde(default)]
    pub reserve: u32,
    /// VMs that must remain serving when a VM moves out of the pool.
    #[serde(default)]
    pub min_available: u32,
}

/// A service that callers send requests to, and the pool that runs them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool whose VMs run the requests.
    pub pool: PoolName,
    /// Urgency of its requests.
    pub class: Class,
    /// Whether a request may run more than once without harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Longest time until the final response, in ms.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

/// A team that owns jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Cores that its running and suspended jobs may take in total.
    pub max_cores: u32,
}

/// A caller of services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of its bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Requests it may have in flight at one daemon; 0 for no limit of its own.
    #[serde(default)]
    pub max_in_flight: u32,
}
