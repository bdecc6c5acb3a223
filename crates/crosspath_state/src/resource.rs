//! The resources that operators declare.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::job::Class;
use crate::name::{PoolName, ResourceName};
use crate::{job, vm, wave};

/// The kinds of resources.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Pools of VMs.
    Pool,
    /// Services that callers ask for.
    Service,
    /// Teams with quotas.
    Team,
    /// Callers.
    Caller,
    /// VMs.
    Vm,
    /// Jobs.
    Job,
    /// Maintenance waves.
    Wave,
}

impl Kind {
    /// Every kind, in the order in which a deployment declares them.
    pub const ALL: [Self; 7] =
        [Self::Pool, Self::Service, Self::Team, Self::Caller, Self::Vm, Self::Job, Self::Wave];

    /// The kind as it stands in a path: `pools`.
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

    /// The kind whose plural is `text`, or whose singular is.
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
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: ResourceName,
}

impl Id {
    /// Makes an id.
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

/// What an operator declares of one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum Spec {
    /// A pool.
    Pool(Pool),
    /// A service.
    Service(Service),
    /// A team.
    Team(Team),
    /// A caller.
    Caller(Caller),
    /// A VM.
    Vm(vm::Spec),
    /// A job.
    Job(job::Spec),
    /// A wave.
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
    /// Part of `max_unavailable` that voluntary steps leave free for failures.
    #[serde(default)]
    pub reserve: u32,
    /// VMs that a move out of the pool must leave serving.
    #[serde(default)]
    pub min_available: u32,
}

/// A service: what callers ask for, and which pool answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool whose VMs answer.
    pub pool: PoolName,
    /// How urgent its requests are.
    pub class: Class,
    /// Whether a request may run more than once without harm.
    #[serde(default)]
    pub repeatable: bool,
    /// Longest time until the final answer, in ms.
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
    /// Cores that its jobs may take together.
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
