//! Claims on payment keys: on the owner's side, and on the side of the entry VM that requests them.

use std::time::Duration;

use crosspath_peer::{Claim, LookUp, Settle};
use crosspath_route::answer::{Answer, Final, Unknown};
use crosspath_route::claim::{Nonce, Outcome, Request, Verdict};
use crosspath_route::key::Key;
use crosspath_state::name::{CallerName, DaemonName};
use tokio::time::Instant;

use crate::clock;
use crate::core::Core;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const SETTLE_ATTEMPTS: u32 = 3;
/// How long a claim is retried. The caller waits during this time.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Decides on a claim; the key's partition must be owned by this daemon.
pub(crate) fn claim_locally(core: &Core, claim: &Claim) -> Verdict {
    let state = core.state();
    let owned = state.owner(claim.request.key.partition());
    let owned = owned.filter(|own| own.owner == core.settings.name);
    let Some(ownership) = owned else {
        return Verdict::NotOwner;
    };
    let mut claims = core.claims();
    // Checked while the claims are locked: a handover freezes the partition before it locks the
    // claims to copy them, so no claim is granted after they were copied.
    if !core.may_decide(claim.request.key.partition()) {
        return Verdict::NotOwner;
    }
    let left = Duration::from_millis(claim.left_ms);
    claims.claim(&claim.request, claim.nonce, left, ownership.since, clock::wall())
}

pub(crate) fn settle_locally(core: &Core, settle: Settle) {
    core.claims().settle(&settle.request, settle.outcome);
}

pub(crate) fn look_up_locally(core: &Core, look_up: &LookUp) -> Option<Verdict> {
    core.claims().look_up(look_up.key, &look_up.caller, clock::wall())
}

fn owner(core: &Core, key: Key) -> Option<DaemonName> {
    core.state().owner(key.partition()).map(|own| own.owner.clone())
}

/// How an entry VM proceeds with a request that carries a key.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The request may be sent to an upstream.
    Granted,
    /// An earlier request with this key was answered; its recorded answer is returned.
    Recorded(Verdict),
    /// The request must not be sent; the caller gets this answer.
    Final(Final),
}

/// Claims a key at its owner. If the owner cannot be reached or has changed, the claim is retried
/// until [`CLAIM_TIMEOUT`] or the time `left` for the request has passed.
pub(crate) async fn claim(core: &Core, request: &Request, left: Duration) -> Decision {
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let nonce = Nonce(rand::random());
    let claim = Claim { request: request.clone(), nonce, left_ms };
    let deadline = Instant::now() + left.min(CLAIM_TIMEOUT);
    loop {
        let mut states = core.state.subscribe();
        states.borrow_and_update();
        match request_claim(core, &claim, deadline).await {
            Some(Verdict::Granted) => return Decision::Granted,
            Some(verdict @ (Verdict::Answered(_) | Verdict::AnsweredLarge { .. })) => {
                return Decision::Recorded(verdict);
            }
            Some(Verdict::Final(answer)) => return Decision::Final(with_retry(answer)),
            Some(Verdict::NotOwner) | None => {}
        }
        let retry = tokio::time::sleep(RETRY_INTERVAL);
        tokio::select! {
            _ = states.changed() => {}
            () = retry => {}
        }
        if Instant::now() >= deadline {
            // An earlier request with this key may have run, so "not run" could be wrong.
            return Decision::Final(Final::unknown(Unknown::KeyNotAsked));
        }
    }
}

/// Requests the owner's verdict; `None` if there is no owner or it does not answer.
async fn request_claim(core: &Core, claim: &Claim, deadline: Instant) -> Option<Verdict> {
    let owner = owner(core, claim.request.key)?;
    if owner == core.settings.name {
        return Some(claim_locally(core, claim));
    }
    let link = core.links.get(&owner)?;
    let answer = tokio::time::timeout_at(deadline, link.claim(claim.clone())).await;
    answer.ok()?.ok()
}

fn with_retry(answer: Answer) -> Final {
    match answer {
        Answer::NotRun(reason) => Final::not_run(reason, RETRY_AFTER),
        Answer::Unknown(reason) => Final::unknown(reason),
        Answer::KeyMismatch => Final { answer, retry_after: None },
    }
}

/// Reports the outcome of a claimed request to the key's owner. If the owner cannot be reached, its
/// claim still keeps a request with this key from being run again.
pub(crate) async fn settle(core: &Core, request: &Request, outcome: Outcome) {
    let settle = Settle { request: request.clone(), outcome };
    for _ in 0..SETTLE_ATTEMPTS {
        let Some(owner) = owner(core, request.key) else {
            return;
        };
        if owner == core.settings.name {
            return settle_locally(core, settle);
        }
        let Some(link) = core.links.get(&owner) else {
            return;
        };
        if link.settle(settle.clone()).await.is_ok() {
            return;
        }
    }
    log::warn!("event=outcome_not_recorded key={}", request.key);
}

/// Looks up a key at its owner; `None` if the owner has no record of it.
pub(crate) async fn look_up(core: &Core, key: Key, caller: &CallerName) -> Option<Verdict> {
    let look_up = LookUp { key, caller: caller.clone() };
    let unavailable = || Some(Verdict::Final(Answer::Unknown(Unknown::KeyNotAsked)));
    let Some(owner) = owner(core, key) else {
        return unavailable();
    };
    if owner == core.settings.name {
        return look_up_locally(core, &look_up);
    }
    let Some(link) = core.links.get(&owner) else {
        return unavailable();
    };
    link.look_up(look_up).await.unwrap_or_else(|_| unavailable())
}
