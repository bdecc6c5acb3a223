//! Calls between daemons: JSON over HTTP at the address for peers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::operator::Config;
use crosspath_border::store::{Error, NewRecord};
use crosspath_http::body::{self, Body, BodyError, Inbound};
use crosspath_http::client::{Client, Error as CallError, Method};
use crosspath_http::server::{self, Limits, Stage};
use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::{Record, Requester};
use crosspath_quota::{Grant as QuotaGrant, Request as QuotaRequest};
use crosspath_schedule::admission::{Refusal, Verdict};
use crosspath_schedule::domains::Down;
use crosspath_schedule::report;
use http::{Request as HttpRequest, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::appender;
use crate::clock;
use crate::config_sync::{self, PeerAssignments};
use crate::directory::{Cursor, Update};
use crate::evacuation::Evacuated;
use crate::map::PoolSlice;
use crate::node::Node;
use crate::paths::{Miss, Paths, Relayed};
use crate::pending::Outcome;
use crate::relay::{self, Call, Forward, Forwarded};
use crate::shard::Round;
use crate::workers;

/// Timeout of a call to a peer. The network takes at most some ms.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for establishing a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a request in bytes; the largest contain several jobs to append.
const MAX_BODY: u64 = 2 * 1024 * 1024;
const PATH: &str = "/peer";

/// What the configuration of a daemon that searches for a job says of the pool in which it searches.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Assigned {
    /// The queue is assigned to this pool, by the configuration of this version. An owner that knows
    /// of a later reassignment denies no job.
    Here(u64),
    /// The queue is assigned to another pool since the configuration of this version, and the job is
    /// about to be stored there. An owner that does not know of the reassignment denies no job.
    ElsewhereSince(u64),
}

/// Request to a daemon. Requests about a shard go to its owner, unless stated otherwise.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Request {
    /// Queries the state of a job.
    State {
        shard: u32,
        job: JobId,
        #[serde(rename = "asker")]
        requester: Requester,
        /// What the sender knows of the queue's pool; senders of earlier versions do not tell it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        assigned: Option<Assigned>,
        /// Whether a job that the owner is about to relocate counts as unknown.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        ignores_misplaced: bool,
    },
    /// Queries the number of a queue's jobs that are queued.
    #[serde(rename = "waiting")]
    QueuedJobs { shard: u32, queue: Arc<str> },
    /// Sets the VMs that are to become vacant, and queries the state of the pool.
    Pool {
        shard: u32,
        vacate: BTreeSet<Arc<str>>,
        /// VMs that are down; earlier versions skip it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        down: Option<Down>,
        /// Planning round that the request belongs to; earlier versions skip it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        round: Option<Round>,
    },
    /// Appends records for another daemon. Goes to the shard's owner, which batches the records of
    /// all daemons since the store may be slow, or to any daemon if the store refuses the sender.
    /// The owner refuses submissions only if the sender understands that, as `may_refuse` says.
    Append {
        shard: u32,
        records: Vec<(String, String)>,
        #[serde(default)]
        may_refuse: bool,
    },
    /// Notifies the owner of a record that a caller's request has just added to its shard.
    #[serde(rename = "kept")]
    RecordStored { shard: u32, key: String, value: String },
    /// Requests allotments of the customers' maxima from the owner of the fleet's shard.
    #[serde(rename = "parts")]
    Quota(QuotaRequest),
    /// Queries the content of the operators' log, for a daemon that cannot read it from the store.
    /// `known` is the version of its configuration. May go to any daemon.
    Config { known: Option<u64> },
    /// Queries the changes among the workers of some pool slices since a cursor. Goes to a daemon
    /// that reads the worker list.
    Workers {
        #[serde(rename = "units")]
        pool_slices: BTreeSet<PoolSlice>,
        cursor: Option<Cursor>,
    },
    /// Queries when the store last answered the daemon. May go to any daemon.
    #[serde(rename = "store")]
    StoreStatus,
    /// Queries the daemon's current incarnation. May go to any daemon.
    #[serde(rename = "life")]
    Incarnation,
    /// Queries the leases that the shard's owner in this epoch knew when it released the shard.
    /// Goes to that previous owner.
    #[serde(rename = "left")]
    Handover { shard: u32, epoch: u64 },
}

/// Reply to a [`Request`]. [`Reply::NotOwner`] takes the place of the requested data if the daemon
/// cannot provide it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// State of the job; `None` if the owner does not know it.
    State(Option<State>),
    /// The owner has not read that the queue was reassigned, and may store the job later.
    NotReassigned,
    /// Number of the queue's jobs that are queued in the shard.
    #[serde(rename = "waiting")]
    QueuedJobs(u64),
    /// State of the pool slice that the shard manages.
    Pool(report::Pool),
    /// The records were appended, except those with the keys `taken`: their identifiers belong to
    /// jobs of other customers. The jobs with the keys in `refused` were refused and not appended.
    Appended {
        taken: Vec<String>,
        #[serde(default)]
        refused: Vec<(String, Refusal)>,
    },
    /// Allotments of the customers' maxima.
    #[serde(rename = "parts")]
    Quota(QuotaGrant),
    /// Configuration, if there is a newer one than the requester's; evacuated data centres; time in
    /// ms since these were last read from the store; and the pools of queues.
    Config {
        newer: Option<Box<Config>>,
        evacuated: Evacuated,
        #[serde(rename = "heard_ms_ago")]
        confirmed_ms_ago: u64,
        /// Assignments of queues to pools; earlier versions send and read none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        assignments: Option<PeerAssignments>,
    },
    /// Changes among the workers since the cursor.
    Workers(Update),
    /// The owner has received the notification.
    #[serde(rename = "heard")]
    Acknowledged,
    /// The append is not confirmed. `certain` says that the records are certainly not stored.
    NotAppended {
        #[serde(rename = "surely")]
        certain: bool,
    },
    /// The records were withdrawn before they were sent, since the store is slow.
    Unsent,
    /// Time in ms since the store last answered the daemon.
    #[serde(rename = "store")]
    StoreStatus { answered_ms_ago: u64 },
    /// Member text of the daemon, which identifies its current incarnation.
    #[serde(rename = "life")]
    Incarnation { member: Arc<str> },
    /// By worker incarnation, the time in ms after which everything that may run on it has expired.
    #[serde(rename = "left")]
    Handover(Vec<(Arc<str>, u64)>),
    /// The daemon cannot answer: it does not own the shard, or does not have the requested data.
    NotOwner,
}

/// Calls to the peers, directly or by a relay, with an HTTP client for each address.
#[derive(Debug)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, Client>>,
    paths: Paths,
    /// Time of the last answer of a peer or a worker, in ms of the daemon's clock.
    answered_at_ms: AtomicU64,
}

impl Peers {
    pub(crate) fn new(paths: Paths) -> Self {
        Self { clients: Mutex::default(), paths, answered_at_ms: AtomicU64::new(0) }
    }

    pub(crate) fn paths(&self) -> &Paths {
        &self.paths
    }

    /// Time of the last answer of a peer or a worker, by any path.
    pub(crate) fn answered_at(&self) -> Duration {
        Duration::from_millis(self.answered_at_ms.load(Ordering::Relaxed))
    }

    /// Records that a peer or a worker has answered.
    pub(crate) fn record_answer(&self) {
        let now_ms = clock::as_ms(clock::now());
        self.answered_at_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Records the answer, if the call has one.
    fn observe<T>(&self, reply: Result<T, CallError>) -> Result<T, CallError> {
        if !matches!(reply, Err(CallError::NotSent { .. } | CallError::NoAnswer { .. })) {
            self.record_answer();
        }
        reply
    }

    fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        let make = || Client::with_connect_timeout(address, CONNECT_TIMEOUT, TIMEOUT);
        client.or_insert_with(make).clone()
    }

    /// Calls a peer. The call is hedged, so the peer may receive it several times.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, CallError> {
        let Some(to) = self.paths.peer(address) else {
            return self.call_directly(address, request).await;
        };
        let direct = |_| async { attempt(self.call_directly(address, request).await) };
        let relayed = |relay, timeout| self.call_by_relay(relay, address, request, false, timeout);
        peer_reply(address, self.paths.call_idempotent(&to, TIMEOUT, direct, relayed).await)
    }

    /// Calls a peer without hedging, for an append: the reply must describe the only attempt.
    async fn call_once(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let Some(to) = self.paths.peer(address) else {
            return self.call_once_directly(address, request, timeout).await;
        };
        let direct = async { attempt(self.call_once_directly(address, request, timeout).await) };
        let relayed = |relay, timeout| self.call_by_relay(relay, address, request, true, timeout);
        peer_reply(address, self.paths.call_once(&to, timeout, direct, relayed).await)
    }

    /// As [`Self::call`], by no relay.
    pub(crate) async fn call_directly(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, CallError> {
        let client = self.client(address);
        self.observe(client.call_idempotent(Method::POST, PATH, Some(request)).await)
    }

    /// As [`Self::call_once`], by no relay.
    pub(crate) async fn call_once_directly(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let client = self.client(address);
        self.observe(client.call_within(Method::POST, PATH, Some(request), timeout).await)
    }

    /// Has a peer make a call, once.
    pub(crate) async fn forward(
        &self,
        relay: SocketAddr,
        call: Call<&Request>,
        timeout: Duration,
    ) -> Result<Forwarded, CallError> {
        let timeout_ms = clock::as_ms(timeout);
        let forward = Forward { timeout_ms, call };
        let client = self.client(relay);
        self.observe(client.call_within(Method::POST, relay::PATH, Some(&forward), timeout).await)
    }

    async fn call_by_relay(
        &self,
        relay: SocketAddr,
        address: SocketAddr,
        request: &Request,
        once: bool,
        timeout: Duration,
    ) -> Relayed<Result<Reply, CallError>> {
        let reply = self.forward(relay, Call::Peer { address, once, request }, timeout).await;
        relay::outcome(reply, |reply| match reply {
            Forwarded::Peer(reply) => Some(Ok(reply)),
            Forwarded::PeerRejected { status } => {
                let status = StatusCode::from_u16(status).ok()?;
                Some(Err(CallError::Status { address, status, body: String::new() }))
            }
            _ => None,
        })
    }
}

/// Separates replies of the peer, which may be errors, from calls without one.
fn attempt(reply: Result<Reply, CallError>) -> Result<Result<Reply, CallError>, Miss> {
    match reply {
        Err(CallError::NotSent { .. }) => Err(Miss::NotReached),
        Err(CallError::NoAnswer { .. }) => Err(Miss::NoAnswer),
        reply => Ok(reply),
    }
}

fn peer_reply(
    address: SocketAddr,
    result: Result<Result<Reply, CallError>, Miss>,
) -> Result<Reply, CallError> {
    result.unwrap_or_else(|miss| match miss {
        Miss::NotReached => Err(CallError::NotSent { address }),
        Miss::NoAnswer => Err(CallError::NoAnswer { address }),
    })
}

/// Reason why a relayed append is not confirmed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The peer withdrew the records before they were sent, since the store is slow. It is slow for
    /// other daemons too.
    Unsent,
    /// The peer sent the records, and the outcome is unknown.
    Unanswered,
    /// The peer could not append the records or be reached, or did not reply.
    /// [`Error::had_no_effect`] tells whether the records may be stored.
    Failed(Error),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent => Self::NotReached,
            Failure::Unanswered => Self::NoAnswer,
            Failure::Failed(error) => error,
        }
    }
}

/// Records of a confirmed append that the owner did not append, by their keys.
#[derive(Debug, Clone, Default)]
pub(crate) struct Declined {
    /// Records whose identifiers belong to jobs of other customers.
    pub(crate) taken: Vec<String>,
    /// Jobs that were refused.
    pub(crate) refused: Vec<(String, Refusal)>,
}

/// Appends records through a peer, which has to reply within `timeout`. Returns the records that
/// were declined; none are refused unless `may_refuse` is set.
pub(crate) async fn relay_append(
    node: &Node,
    peer: SocketAddr,
    shard: u32,
    records: &[NewRecord],
    may_refuse: bool,
    timeout: Duration,
) -> Result<Declined, Failure> {
    let encode = |record: &NewRecord| {
        (record.key.clone(), String::from_utf8_lossy(&record.value).into_owned())
    };
    let records = records.iter().map(encode).collect();
    let request = Request::Append { shard, records, may_refuse };
    match node.peers.call_once(peer, &request, timeout).await {
        Ok(Reply::Appended { taken, refused }) => Ok(Declined { taken, refused }),
        Ok(Reply::NotAppended { certain: true }) | Err(CallError::NotSent { .. }) => {
            Err(Failure::Failed(Error::NotReached))
        }
        // A peer answers so only before it has read the request.
        Err(CallError::Status { status: StatusCode::SERVICE_UNAVAILABLE, .. }) => {
            Err(Failure::Failed(Error::NotReached))
        }
        Ok(Reply::Unsent) => Err(Failure::Unsent),
        Ok(Reply::NotAppended { certain: false }) => Err(Failure::Unanswered),
        _ => Err(Failure::Failed(Error::NoAnswer)),
    }
}

/// Serves the calls of peers until `stop` says to end.
pub(crate) async fn serve(
    listener: TcpListener,
    limits: Limits,
    stop: watch::Receiver<Stage>,
    node: Arc<Node>,
) {
    server::serve(listener, limits, stop, move |request, _| {
        let node = Arc::clone(&node);
        async move { handle_request(&node, request).await }
    })
    .await;
}

async fn handle_request(node: &Arc<Node>, request: HttpRequest<Inbound>) -> Response<Body> {
    let is_relayed = node.peers.paths().is_enabled() && request.uri().path() == relay::PATH;
    let payload = match body::read(request.into_body(), MAX_BODY, TIMEOUT).await {
        Ok(payload) => payload,
        Err(error @ BodyError::NoRoom { .. }) => {
            return body::json(StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
        }
        Err(error) => {
            log::warn!("event=peer_question_unread error=\"{error}\"");
            return body::json(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let error = if is_relayed {
        match serde_json::from_slice(&payload) {
            Ok(forward) => {
                return body::json(StatusCode::OK, &node.relay.handle(&node.peers, forward).await);
            }
            Err(error) => error,
        }
    } else {
        match serde_json::from_slice(&payload) {
            Ok(request) => return body::json(StatusCode::OK, &handle(node, request).await),
            Err(error) => error,
        }
    };
    log::warn!("event=peer_question_unreadable error=\"{error}\"");
    body::json(StatusCode::BAD_REQUEST, &error.to_string())
}

/// Handles a request of a peer, or of this daemon to itself.
pub(crate) async fn handle(node: &Arc<Node>, request: Request) -> Reply {
    match request {
        Request::State { shard, job, requester, assigned, ignores_misplaced } => {
            let owned = node.owned();
            let Some(handle) = owned.get(&shard) else { return Reply::NotOwner };
            handle.find(job, &requester, assigned, ignores_misplaced)
        }
        Request::QueuedJobs { shard, queue } => {
            let owned = node.owned();
            let queued = owned.get(&shard).and_then(|handle| handle.queued_jobs(&queue));
            queued.map_or(Reply::NotOwner, Reply::QueuedJobs)
        }
        Request::Pool { shard, vacate, down, round } => {
            let owned = node.owned();
            let pool = owned.get(&shard).and_then(|handle| handle.report(vacate, down, round));
            pool.map_or(Reply::NotOwner, Reply::Pool)
        }
        Request::Append { shard, records, may_refuse } => {
            handle_append(node, shard, records, may_refuse).await
        }
        Request::RecordStored { shard, key, value } => {
            if notify_local_owner(node, shard, &key, value.as_bytes()) {
                Reply::Acknowledged
            } else {
                Reply::NotOwner
            }
        }
        Request::Handover { shard, epoch } => handover_reply(node, shard, epoch),
        Request::Quota(request) => {
            node.grant_quota(clock::now(), &request).map_or(Reply::NotOwner, Reply::Quota)
        }
        Request::Workers { pool_slices, cursor } => {
            workers::answer(node, &pool_slices, cursor.as_ref())
        }
        Request::Config { known } => config_sync::reply(node, known),
        Request::Incarnation => Reply::Incarnation { member: Arc::clone(&node.member) },
        Request::StoreStatus => {
            let answered_ago =
                clock::now().saturating_sub(node.member_status().reachability.last_answer());
            Reply::StoreStatus { answered_ms_ago: clock::as_ms(answered_ago) }
        }
    }
}

/// Leases that this daemon knew when it released a shard.
fn handover_reply(node: &Node, shard: u32, epoch: u64) -> Reply {
    let now = clock::now();
    let Some(handover) = node.handover(shard, epoch) else { return Reply::NotOwner };
    let remaining_ms = |expiry: Duration| clock::as_ms(expiry.saturating_sub(now));
    let remaining =
        handover.expiries.into_iter().map(|(worker, expiry)| (worker, remaining_ms(expiry)));
    Reply::Handover(remaining.collect())
}

async fn handle_append(
    node: &Arc<Node>,
    shard: u32,
    records: Vec<(String, String)>,
    may_refuse: bool,
) -> Reply {
    let to_record = |(key, value): (String, String)| NewRecord { key, value: value.into() };
    let (taken, records): (Vec<_>, Vec<_>) = records
        .into_iter()
        .map(to_record)
        .partition(|record| is_taken_locally(node, shard, record));
    let mut taken: Vec<_> = taken.into_iter().map(|record| record.key).collect();
    let (records, refused) =
        if may_refuse { admit_locally(node, shard, records) } else { (records, Vec::new()) };
    if records.is_empty() {
        return Reply::Appended { taken, refused };
    }
    let outcome = if node.owned().contains_key(&shard) {
        let (outcome, found_taken) = appender::append_as_owner(node, shard, records).await;
        taken.extend(found_taken);
        outcome
    } else {
        let appended = node.append(shard, &records).await;
        appended.map_or_else(appender::outcome_of, |()| Outcome::Kept)
    };
    match outcome {
        Outcome::Kept | Outcome::Taken => Reply::Appended { taken, refused },
        Outcome::NotKept | Outcome::Refused(_) => Reply::NotAppended { certain: true },
        Outcome::Unsent => Reply::Unsent,
        Outcome::Unknown => Reply::NotAppended { certain: false },
    }
}

/// Separates the records that are to be appended from those that this daemon refuses as the shard's
/// owner.
fn admit_locally(
    node: &Node,
    shard: u32,
    records: Vec<NewRecord>,
) -> (Vec<NewRecord>, Vec<(String, Refusal)>) {
    let mut admitted = Vec::new();
    let mut refused = Vec::new();
    for record in records {
        match refuse_locally(node, shard, &record) {
            Some(refusal) => refused.push((record.key, refusal)),
            None => admitted.push(record),
        }
    }
    (admitted, refused)
}

/// Refusal of a job that is about to be stored, if this daemon owns the shard and refuses it. While
/// the store does not answer, the owner may not know of jobs that are stored, and refuses none.
pub(crate) fn refuse_locally(node: &Node, shard: u32, record: &NewRecord) -> Option<Refusal> {
    let settings = node.settings.admission;
    if !settings.by_customer && !settings.reject_hopeless {
        return None;
    }
    let now = clock::now();
    if node.store_down_for(now).is_some() || node.is_store_silent(now) {
        return None;
    }
    let Ok(Record::Accepted(job, accepted)) = Record::decode(&record.key, &record.value) else {
        return None;
    };
    match node.owned().get(&shard)?.admit(job, &accepted) {
        Verdict::Admit => None,
        Verdict::Refuse(refusal) => Some(refusal),
    }
}

/// Whether this daemon owns the shard and knows that the record's identifier belongs to a job of
/// another customer.
pub(crate) fn is_taken_locally(node: &Node, shard: u32, record: &NewRecord) -> bool {
    let owned = node.owned();
    let Some(handle) = owned.get(&shard) else { return false };
    let record = Record::decode(&record.key, &record.value);
    record.is_ok_and(|record| handle.is_taken(&record))
}

/// Passes a stored record to the shard's scheduler if this daemon owns the shard. Returns whether
/// it does.
fn notify_local_owner(node: &Node, shard: u32, key: &str, value: &[u8]) -> bool {
    let owned = node.owned();
    let Some(handle) = owned.get(&shard) else { return false };
    match Record::decode(key, value) {
        Ok(record) => handle.notify(record),
        Err(error) => log::warn!("event=record_unreadable error=\"{error}\""),
    }
    true
}

/// Notifies a shard's owner of a stored record. Best effort: the owner reads the record in the log
/// anyway, a little later.
pub(crate) async fn notify_stored(node: &Arc<Node>, shard: u32, record: &NewRecord) {
    if notify_local_owner(node, shard, &record.key, &record.value) {
        return;
    }
    let value = String::from_utf8_lossy(&record.value).into_owned();
    let request = Request::RecordStored { shard, key: record.key.clone(), value };
    if call_holder(node, shard, request).await.is_none() {
        log::info!("event=owner_not_told shard={shard} key={}", record.key);
    }
}

/// Sends a request to the holder of a shard, which may be this daemon. `None` if the holder is
/// unknown or did not reply. If the holder may have changed, triggers a read of the holders.
pub(crate) async fn call_holder(node: &Arc<Node>, shard: u32, request: Request) -> Option<Reply> {
    if node.owned().contains_key(&shard) {
        return Some(handle(node, request).await);
    }
    let Some(address) = node.holder(shard) else {
        node.holders_stale.notify_one();
        return None;
    };
    let reply = node.peers.call(address, &request).await.inspect_err(|error| {
        log::info!("event=holder_silent shard={shard} peer={address} error=\"{error}\"");
    });
    if matches!(reply, Err(_) | Ok(Reply::NotOwner)) {
        node.holders_stale.notify_one();
    }
    reply.ok()
}
