//! What the API answers with, shared with the command-line tool.

use crosspath_state::budget::Usage;
use crosspath_state::name::{JobName, PoolName, VmName, WaveName};
use crosspath_state::record::Revision;
use crosspath_state::resource::{Id, Kind, Spec};
use crosspath_state::{Conflict, State};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind and name.
    #[serde(flatten)]
    pub id: Id,
    /// Its revision.
    pub revision: Revision,
    /// As declared.
    pub spec: Value,
    /// What the system says of it.
    pub status: Value,
}

impl Resource {
    /// A resource of the state.
    #[must_use]
    pub fn of(state: &State, id: &Id) -> Option<Self> {
        let (revision, spec) = state.resource(id)?;
        let id = id.clone();
        Some(Self { spec: spec_value(&spec), status: status(state, &id), id, revision })
    }
}

/// The spec alone, without its kind.
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

/// The value's JSON form; an empty object when there is none.
fn object(value: Option<impl Serialize>) -> Value {
    let value = value.and_then(|value| serde_json::to_value(value).ok());
    value.unwrap_or_else(|| Value::Object(serde_json::Map::new()))
}

/// Resources of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the whole list; watch from here.
    pub revision: Revision,
    /// The resources.
    pub items: Vec<Resource>,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The resource is now like this.
    Changed {
        /// The resource.
        resource: Resource,
    },
    /// The resource is gone.
    Deleted {
        /// Which.
        id: Id,
        /// Since this revision.
        revision: Revision,
    },
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum Outcome {
    /// It is in force from this revision.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// The fold rejected it.
    Rejected {
        /// Why.
        conflict: Conflict,
    },
    /// It was never appended, and will not be.
    NotAccepted,
    /// Not known yet.
    Pending,
    /// Too old, or never seen by this daemon.
    #[serde(rename = "unheard")]
    Unrecorded,
}

/// A daemon as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its name.
    pub name: String,
    /// Whether it is a member.
    pub member: bool,
    /// What it had applied when last heard.
    pub applied: Revision,
    /// Time since it was last heard, in ms; none if never.
    pub heard_ms_ago: Option<u64>,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Partitions of payment keys that it owns.
    pub partitions: usize,
    /// Its guard.
    pub guard: Option<String>,
}

/// The daemons as one of them sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Who says so.
    pub daemon: String,
    /// What it has applied.
    pub applied: Revision,
    /// Digest of its state.
    pub digest: String,
    /// Whether the log answers it.
    pub log_up: bool,
    /// Whether it acts for its partitions.
    pub lease_valid: bool,
    /// Why it has stopped deciding, if it has.
    pub halted: Option<String>,
    /// Every daemon, itself among them.
    pub daemons: Vec<DaemonStatus>,
}

/// What stands in the way of a resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Which resource.
    pub id: Id,
    /// Where it is.
    pub status: Value,
    /// What stands in the way; empty when nothing does.
    pub obstacles: Vec<Value>,
}

/// An error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Machine-readable reason.
    pub reason: String,
    /// For people.
    pub message: String,
    /// The field that is wrong, if one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The conflict, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Conflict>,
    /// Id to ask for the fate of the change, if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
}
