//! Response bodies of the API. The `crosspath` command line decodes them.

use crosspath_state::budget::Usage;
use crosspath_state::name::{JobName, PoolName, VmName, WaveName};
use crosspath_state::record::Revision;
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::{Conflict, State};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind and name of the resource.
    #[serde(flatten)]
    pub id: Id,
    /// Revision of the last change to the resource.
    pub revision: Revision,
    /// Spec as an operator declared it, without its kind.
    pub spec: Value,
    /// Status as the daemons maintain it; an empty object for kinds without a status.
    pub status: Value,
}

impl Resource {
    /// Returns the resource `id` of `state`, or `None` if it does not exist.
    #[must_use]
    pub fn of(state: &State, id: &Id) -> Option<Self> {
        let (revision, spec) = state.resource(id)?;
        let id = id.clone();
        Some(Self { spec: spec_value(&spec), status: status(state, &id), id, revision })
    }
}

/// Returns the JSON form of a spec, without its kind.
fn spec_value(spec: &Spec) -> Value {
    let mut value = serde_json::to_value(spec).unwrap_or_default();
    value.get_mut("spec").map(Value::take).unwrap_or_default()
}

fn status(state: &State, id: &Id) -> Value {
    let text = id.name.as_str();
    match id.kind {
        Kind::Vm => {
            let vm = VmName::new(text).ok().and_then(|name| state.vms.get(&name));
            object(vm.map(|vm| &vm.status))
        }
        Kind::Job => {
            let job = JobName::new(text).ok().and_then(|name| state.jobs.get(&name));
            object(job.map(|job| &job.status))
        }
        Kind::Wave => {
            let wave = WaveName::new(text).ok().and_then(|name| state.waves.get(&name));
            object(wave.map(|wave| &wave.status))
        }
        Kind::Pool => object(PoolName::new(text).ok().map(|pool| Usage::of(state, &pool))),
        Kind::Service | Kind::Team | Kind::Caller => object(None::<()>),
    }
}

/// Returns the JSON form of `value`, or an empty object if there is none.
fn object(value: Option<impl Serialize>) -> Value {
    let value = value.and_then(|value| serde_json::to_value(value).ok());
    value.unwrap_or_else(|| Value::Object(serde_json::Map::new()))
}

/// All resources of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the state that was listed. A watch from it misses no change.
    pub revision: Revision,
    /// Resources of the kind, ordered by name.
    pub items: Vec<Resource>,
}

/// A change of a resource: one line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The resource was created or updated.
    Changed {
        /// Resource after the change.
        resource: Resource,
    },
    /// The resource was deleted.
    Deleted {
        /// Kind and name of the deleted resource.
        id: Id,
        /// Revision of the first observed state without the resource.
        revision: Revision,
    },
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum Outcome {
    /// The change was accepted and applied.
    Accepted {
        /// Revision from which the change is in effect.
        revision: Revision,
    },
    /// The change was rejected when it was applied to the state.
    Rejected {
        /// Rule or precondition that the change violates.
        conflict: Conflict,
    },
    /// The change was not accepted, and will have no effect even if it is still appended.
    NotAccepted,
    /// The outcome is not known yet; a later request may return it.
    Pending,
    /// This daemon has no record of the change: it is too old, or was never received here.
    #[serde(rename = "unheard")]
    Unrecorded,
}

/// Status of one daemon, as far as the reporting daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub name: String,
    /// Whether the daemon is a member of the group.
    pub member: bool,
    /// Revision that the daemon had applied at its last message; 0 if there was none.
    pub applied: Revision,
    /// Time since the last message from the daemon, in ms; `None` if there was none.
    pub heard_ms_ago: Option<u64>,
    /// Whether the daemon accepts callers' requests.
    pub ready: bool,
    /// Number of partitions of payment keys that the daemon owns.
    pub partitions: usize,
    /// Member that grants the daemon its lease; `None` if it has none.
    pub guard: Option<String>,
}

/// Status of all daemons, as far as the reporting daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the reporting daemon.
    pub daemon: String,
    /// Revision that the reporting daemon has applied.
    pub applied: Revision,
    /// Digest of the reporting daemon's state, for comparison with other daemons.
    pub digest: String,
    /// Whether the reporting daemon can reach the log.
    pub log_up: bool,
    /// Whether the reporting daemon has a valid lease and so may act as a member.
    pub lease_valid: bool,
    /// Why the reporting daemon has stopped making decisions; `None` while it makes them.
    pub halted: Option<String>,
    /// All daemons, including the reporting one.
    pub daemons: Vec<DaemonStatus>,
}

/// What blocks a VM or a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Kind and name of the resource.
    pub id: Id,
    /// Current status of the resource.
    pub status: Value,
    /// What blocks the resource; empty if nothing does.
    pub obstacles: Vec<Value>,
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable identifier of the error, for programs.
    pub reason: String,
    /// Description of the error, for people.
    pub message: String,
    /// Path of the invalid field of the request; `None` for other errors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Conflict for which the change was rejected; `None` for other errors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
    /// Identifier with which to ask for the outcome of the change, if that is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
}
