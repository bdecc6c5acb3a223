//! Claims on payment keys: at their owner, and at the entry VM that asks.

use std::time::Duration;

use crosspath_peer::{Claim, LookUp, Settle};
use crosspath_route::answer::{Answer, Final, Unknown};
use crosspath_route::claim::{Outcome, Request, Verdict};
use crosspath_route::key::Key;
use crosspath_state::name::{CallerName, DaemonName};

use crate::clock;
use crate::core::Core;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const SETTLE_TRIES: u32 = 3;

/// Decides on a key of a partition that this daemon owns.
pub(crate) fn claim_here(core: &Core, claim: &Claim) -> Verdict {
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
    claims.claim(&claim.request, left, ownership.since, clock::wall())
}

pub(crate) fn settle_here(core: &Core, settle: Settle) {
    core.claims().settle(&settle.request, settle.outcome);
}

pub(crate) fn look_up_here(core: &Core, look_up: &LookUp) -> Option<Verdict> {
    core.claims().look_up(look_up.key, &look_up.caller, clock::wall())
}

fn owner(core: &Core, key: Key) -> Option<DaemonName> {
    core.state().owner(key.partition()).map(|own| own.owner.clone())
}

/// What an entry VM does with a request that carries a key.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// Send it.
    Granted,
    /// It was answered before.
    Recorded(Verdict),
    /// Do not send it; answer this.
    Final(Final),
}

/// Claims a key with its owner.
pub(crate) async fn claim(core: &Core, request: &Request, left: Duration) -> Claimed {
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let claim = Claim { request: request.clone(), left_ms };
    // An earlier request with this key may have been run, so "not run" would be a guess.
    let away = Final::unknown(Unknown::KeyNotAsked);
    let Some(owner) = owner(core, request.key) else {
        return Claimed::Final(away);
    };
    let verdict = if owner == core.settings.name {
        claim_here(core, &claim)
    } else {
        let Some(link) = core.links.get(&owner) else {
            return Claimed::Final(away);
        };
        match tokio::time::timeout(left, link.claim(claim)).await {
            Ok(Ok(verdict)) => verdict,
            // The claim may stand, and then keeps the key from being run; nothing was sent.
            Ok(Err(_)) | Err(_) => return Claimed::Final(away),
        }
    };
    match verdict {
        Verdict::Granted => Claimed::Granted,
        Verdict::Answered(_) | Verdict::AnsweredLarge { .. } => Claimed::Recorded(verdict),
        Verdict::NotOwner => Claimed::Final(away),
        Verdict::Final(answer) => Claimed::Final(with_retry(answer)),
    }
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
    for _ in 0..SETTLE_TRIES {
        let Some(owner) = owner(core, request.key) else {
            return;
        };
        if owner == core.settings.name {
            return settle_here(core, settle);
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
    let unheard = || Some(Verdict::Final(Answer::Unknown(Unknown::KeyNotAsked)));
    let Some(owner) = owner(core, key) else {
        return unheard();
    };
    if owner == core.settings.name {
        return look_up_here(core, &look_up);
    }
    let Some(link) = core.links.get(&owner) else {
        return unheard();
    };
    link.look_up(look_up).await.unwrap_or_else(|_| unheard())
}
