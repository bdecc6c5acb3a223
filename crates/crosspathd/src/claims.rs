//! Claims on payment keys: at their owner, and at the entry VM that asks.

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
/// How long a claim is tried; the caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Decides on a key of a partition that this daemon owns.
pub(crate) fn claim_locally(core: &Core, claim: &Claim) -> Verdict {
    let state = core.state();
    let owned = state.owner(claim.request.key.partition());
    let owned = owned.filter(|own| own.owner == core.settings.name);
    let Some(ownership) = owned else {
        return Verdict::NotOwner;
    };
    let mut claims = core.claims();
    // The lease is read under the lock: a handover takes the lock to freeze the partition first.
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

/// What an entry VM does with a request that carries a key.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Send it.
    Granted,
    /// It was answered before.
    Recorded(Verdict),
    /// Do not send it; answer this.
    Final(Final),
}

/// Claims a key with its owner. While the owner cannot be asked, or changes, the claim is made
/// again for a short time.
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
            // An earlier request with this key may have been run: "not run" would be a guess.
            return Decision::Final(Final::unknown(Unknown::KeyNotAsked));
        }
    }
}

/// What the owner says; none when it gives no answer.
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

/// Tells the owner how a claimed request ended. When the owner cannot be told, its claim keeps the
/// key from being run again.
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

/// What is known of a key.
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
