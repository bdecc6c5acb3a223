//! The daemon's side of the resource API for operators.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use crosspath_operator::model::{DaemonStatus, Explanation, Outcome, Resource, Status};
use crosspath_operator::{CommitError, Handler};
use crosspath_plan::wave::Observation;
use crosspath_plan::{place, wave};
use crosspath_state::State;
use crosspath_state::name::{DaemonName, JobName, VmName};
use crosspath_state::record::{Change, Revision};
use crosspath_state::resource::{Id, Kind};
use serde_json::Value;
use tokio::sync::watch;

use crate::clock;
use crate::core::Core;
use crate::peers;

/// How long an operator's request waits for its changes to be applied.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles operators' requests.
#[derive(Debug)]
pub(crate) struct Api(pub(crate) Arc<Core>);

#[async_trait]
impl Handler for Api {
    fn state(&self) -> watch::Receiver<Arc<State>> {
        self.0.state.subscribe()
    }

    async fn commit(&self, changes: Vec<Change>) -> Result<Revision, CommitError> {
        if self.0.halted().is_some() {
            return Err(CommitError::NotAccepted);
        }
        self.0.committer.commit(changes, COMMIT_TIMEOUT).await
    }

    fn outcome(&self, change: &str) -> Outcome {
        let state = self.0.state();
        self.0.outcomes().outcome(&state, change)
    }

    fn status(&self) -> Status {
        let core = &*self.0;
        let state = core.state();
        let daemons = core.links.keys().chain([&core.settings.name]);
        Status {
            daemon: core.settings.name.to_string(),
            applied: state.applied,
            digest: state.digest(),
            log_up: core.is_log_up(),
            lease_valid: core.lease_is_valid(),
            halted: core.halted(),
            daemons: daemons.map(|name| daemon_status(core, &state, name)).collect(),
        }
    }

    fn explain(&self, id: &Id) -> Option<Explanation> {
        let state = self.0.state();
        let resource = Resource::of(&state, id)?;
        let obstacles = obstacles(&self.0, &state, id);
        Some(Explanation { id: id.clone(), status: resource.status, obstacles })
    }

    fn metrics(&self) -> String {
        self.0.metrics.render()
    }

    fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    fn state_at(&self, revision: Revision) -> Option<Arc<State>> {
        self.0.state_at(revision)
    }

    fn count_rejected(&self, status: u16) {
        self.0.metrics.count_rejection(format!("operator_{status}"));
    }
}

fn daemon_status(core: &Core, state: &State, name: &DaemonName) -> DaemonStatus {
    let own = *name == core.settings.name;
    let peer = core.peer_states().get(name).cloned();
    let received_ms_ago = |peer: &crate::peers::PeerState| {
        let ago = clock::monotonic().since(peer.received_at).as_millis();
        u64::try_from(ago).unwrap_or(u64::MAX)
    };
    let member = state.members.get(name);
    DaemonStatus {
        name: name.to_string(),
        member: member.is_some(),
        applied: match &peer {
            _ if own => state.applied,
            Some(peer) => peer.applied,
            None => Revision::default(),
        },
        heard_ms_ago: if own { Some(0) } else { peer.as_ref().map(received_ms_ago) },
        ready: if own { core.is_ready() } else { peer.is_some_and(|peer| peer.ready) },
        partitions: state.partitions_of(name).count(),
        guard: member.and_then(|member| member.guard.as_ref()).map(ToString::to_string),
    }
}

/// What keeps a VM from being serviced, or a job from being placed.
fn obstacles(core: &Core, state: &State, id: &Id) -> Vec<Value> {
    let text = id.name.as_str();
    let obstacle = match id.kind {
        Kind::Vm => VmName::new(text).ok().and_then(|vm| {
            let obstacle = wave::obstacle(state, &vm, observed(core, state, &vm))?;
            let mut value = serde_json::to_value(&obstacle).ok()?;
            if obstacle == wave::Obstacle::DaemonsNotDone {
                let behind = peers::undrained_members(core, state, &vm);
                value["daemons"] = behind.iter().map(ToString::to_string).collect();
            }
            Some(value)
        }),
        Kind::Job => JobName::new(text).ok().and_then(|job| {
            let obstacle = place::obstacle(state, &job)?;
            serde_json::to_value(obstacle).ok()
        }),
        _ => None,
    };
    obstacle.into_iter().collect()
}

/// What this daemon knows about a VM without a call to the platform.
fn observed(core: &Core, state: &State, vm: &VmName) -> Observation {
    let daemons_done = peers::undrained_members(core, state, vm).is_empty();
    Observation { daemons_done, ..Observation::default() }
}
