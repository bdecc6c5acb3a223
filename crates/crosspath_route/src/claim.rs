//! Claims on payment keys, kept in memory by the owner of their partition.
//!
//! An entry VM claims the key before it sends the payment to an upstream, and reports the outcome
//! afterwards. A key that is not in the table was never claimed from this owner. Whether a previous
//! owner may have seen it follows from the time in the key and the time since which this owner
//! knows every claim. A key is valid for a bounded time; after that its claim is evicted and the
//! key is refused.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crosspath_state::name::CallerName;
use crosspath_state::time::Wall;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, NotRun, Unknown};
use crate::key::Key;

/// SHA-256 digest of a request's service, method, path and body.
pub type Digest = String;

/// Limits on the table's size and on the age of keys.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of keys in the table.
    pub keys: usize,
    /// Maximum total size of the recorded answers, in bytes.
    pub answer_bytes: usize,
    /// Time for which a key is valid after its creation.
    pub retention: Duration,
    /// Maximum difference between two wall clocks.
    pub skew: Duration,
}

/// Identifier of one attempt to claim. A claim whose answer was lost is repeated with the same
/// nonce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// Request for a claim, as an entry VM sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Payment key to claim.
    pub key: Key,
    /// Caller that sent the payment.
    pub caller: CallerName,
    /// Digest of the payment, which detects a key that is reused for another request.
    pub digest: Digest,
}

/// Recorded answer of an upstream, replayed when the caller repeats the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status code.
    pub status: u16,
    /// Content type; none if the upstream sent none.
    pub content_type: Option<String>,
    /// Whole response body.
    pub body: Vec<u8>,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The upstream answered; its recorded answer.
    Answered(Recorded),
    /// The upstream answered, but the body is too large to be recorded.
    AnsweredLarge {
        /// HTTP status code.
        status: u16,
    },
    /// Whether the request was run is unknown.
    Unknown(Unknown),
    /// The request was certainly not run; the key may be claimed again.
    NotRun,
}

impl Outcome {
    /// Size of the recorded body in bytes.
    fn bytes(&self) -> usize {
        match self {
            Self::Answered(recorded) => recorded.body.len(),
            Self::AnsweredLarge { .. } | Self::Unknown(_) | Self::NotRun => 0,
        }
    }
}

/// Answer of the owner to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request may be sent: the key is not granted to anyone else.
    Granted,
    /// A request with this key was answered before; its recorded answer.
    Answered(Recorded),
    /// A request with this key was answered before; the body was too large to be recorded.
    AnsweredLarge {
        /// HTTP status code of that answer.
        status: u16,
    },
    /// The request must not be sent; the caller gets this answer.
    Final(Answer),
    /// This daemon does not own the key's partition, or cannot decide now.
    NotOwner,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Running,
    Ended(Outcome),
}

/// Entry of the table: a granted claim and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    request: Request,
    nonce: Nonce,
    due: Wall,
    phase: Phase,
}

impl Claim {
    fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Running => 0,
            Phase::Ended(outcome) => outcome.bytes(),
        }
    }
}

/// Claims on the keys of the partitions that a daemon owns.
#[derive(Debug)]
pub struct Table {
    bounds: Bounds,
    claims: BTreeMap<Key, Claim>,
    eviction_order: VecDeque<Key>,
    answer_bytes: usize,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, claims: BTreeMap::new(), eviction_order: VecDeque::new(), answer_bytes: 0 }
    }

    /// Claims a key at `now` for a request that ends within `remaining`. The owner knows every
    /// claim on keys that were created after `complete_since`.
    pub fn claim(
        &mut self,
        request: &Request,
        nonce: Nonce,
        remaining: Duration,
        complete_since: Wall,
        now: Wall,
    ) -> Verdict {
        self.evict_expired(now);
        if let Some(claim) = self.claims.get(&request.key) {
            let again = claim.nonce == nonce && claim.request == *request;
            if again && claim.phase == Phase::Running {
                return Verdict::Granted;
            }
            return verdict_on_repeat(claim, request, now);
        }
        if let Some(answer) = self.refusal(request.key, complete_since, now) {
            return Verdict::Final(answer);
        }
        let due = now.after(remaining);
        let claim = Claim { request: request.clone(), nonce, due, phase: Phase::Running };
        self.insert(request.key, claim);
        Verdict::Granted
    }

    fn refusal(&self, key: Key, complete_since: Wall, now: Wall) -> Option<Answer> {
        let Bounds { keys, retention, skew, .. } = self.bounds;
        let created = key.created();
        match () {
            () if now > created.after(retention) => Some(Answer::Unknown(Unknown::KeyExpired)),
            // Twice the skew: the time in the key and the time of the takeover come from two
            // clocks, and the previous owner accepted keys up to one skew ahead of its own clock.
            () if created <= complete_since.after(skew * 2) => {
                Some(Answer::Unknown(Unknown::KeyBeforeOwner))
            }
            // No owner can have granted a key that gets here, so "not run" is certain.
            () if created > now.after(skew) => Some(Answer::NotRun(NotRun::KeyFromFuture)),
            () if self.claims.len() >= keys => Some(Answer::NotRun(NotRun::KeysFull)),
            () => None,
        }
    }

    /// Records the outcome of a claimed request. The first outcome counts; later ones are ignored.
    pub fn settle(&mut self, request: &Request, outcome: Outcome) {
        let Some(claim) = self.claims.get_mut(&request.key) else {
            return;
        };
        if claim.request != *request || claim.phase != Phase::Running {
            return;
        }
        if outcome == Outcome::NotRun {
            self.claims.remove(&request.key);
            return;
        }
        let bytes = outcome.bytes();
        let outcome = match outcome {
            Outcome::Answered(recorded) if self.answer_bytes + bytes > self.bounds.answer_bytes => {
                Outcome::AnsweredLarge { status: recorded.status }
            }
            outcome => outcome,
        };
        self.answer_bytes += outcome.bytes();
        claim.phase = Phase::Ended(outcome);
    }

    /// Current state of a key that `caller` claimed; none if there is no such claim.
    #[must_use]
    pub fn look_up(&self, key: Key, caller: &CallerName, now: Wall) -> Option<Verdict> {
        let claim = self.claims.get(&key)?;
        (claim.request.caller == *caller).then(|| current_verdict(claim, now))
    }

    /// Copies of the claims whose keys satisfy `matches`, for the handover to another owner.
    #[must_use]
    pub fn claims_where(&self, matches: impl Fn(&Key) -> bool) -> Vec<Claim> {
        let claims = self.claims.iter().filter(|(key, _)| matches(key));
        claims.map(|(_, claim)| claim.clone()).collect()
    }

    /// Adds claims handed over by another owner. Claims already in the table are not replaced.
    pub fn take_over(&mut self, claims: Vec<Claim>) {
        for claim in claims {
            let key = claim.request.key;
            if !self.claims.contains_key(&key) {
                self.insert(key, claim);
            }
        }
    }

    /// Removes every claim, as when the daemon's ownership has ended.
    pub fn clear(&mut self) {
        self.claims.clear();
        self.eviction_order.clear();
        self.answer_bytes = 0;
    }

    /// Number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn insert(&mut self, key: Key, claim: Claim) {
        self.answer_bytes += claim.answer_bytes();
        self.claims.insert(key, claim);
        self.eviction_order.push_back(key);
    }

    /// Evicts keys that are old enough to be refused in any case. The keys are in order of their
    /// claims, which is roughly that of their creation; a key that is out of order stays until
    /// those before it are evicted.
    fn evict_expired(&mut self, now: Wall) {
        let kept_for = self.bounds.retention + self.bounds.skew;
        while let Some(key) = self.eviction_order.front() {
            if now <= key.created().after(kept_for) {
                return;
            }
            let evicted = self.claims.remove(key);
            self.answer_bytes -= evicted.map_or(0, |evicted| evicted.answer_bytes());
            self.eviction_order.pop_front();
        }
    }
}

fn verdict_on_repeat(claim: &Claim, request: &Request, now: Wall) -> Verdict {
    let same_caller = claim.request.caller == request.caller;
    if !same_caller || claim.request.digest != request.digest {
        return Verdict::Final(Answer::KeyMismatch);
    }
    current_verdict(claim, now)
}

fn current_verdict(claim: &Claim, now: Wall) -> Verdict {
    match &claim.phase {
        Phase::Running if now > claim.due => Verdict::Final(Answer::Unknown(Unknown::OutcomeLost)),
        Phase::Running => Verdict::Final(Answer::Unknown(Unknown::InProgress)),
        Phase::Ended(Outcome::Answered(recorded)) => Verdict::Answered(recorded.clone()),
        Phase::Ended(Outcome::AnsweredLarge { status }) => {
            Verdict::AnsweredLarge { status: *status }
        }
        Phase::Ended(Outcome::Unknown(reason)) => Verdict::Final(Answer::Unknown(*reason)),
        Phase::Ended(Outcome::NotRun) => Verdict::Final(Answer::Unknown(Unknown::OutcomeLost)),
    }
}
