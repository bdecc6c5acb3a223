//! What daemons ask each other: JSON over HTTP on the peers' address.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crosspath_border::operator::Config;
use crosspath_border::store::{Error, NewRecord};
use crosspath_http::body::{self, Body};
use crosspath_http::client::{Client, Error as CallError, Method};
use crosspath_http::server::{self, Limits, Stage};
use crosspath_job::JobId;
use crosspath_job::progress::State;
use crosspath_job::record::{Record, Requester};
use crosspath_quota::{Grant as QuotaGrant, Request as QuotaRequest};
use crosspath_schedule::report;
use http::{Request as HttpRequest, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::appender;
use crate::clock;
use crate::config_sync;
use crate::directory::{Cursor, Update};
use crate::evacuation::Evacuated;
use crate::map::PoolSlice;
use crate::node::Node;
use crate::pending::Outcome;
use crate::workers;

/// A peer is at most some ms away; one that does not answer within this is asked no longer.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(500);
/// For a new connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes of a question at most: some appended jobs.
const MAX_BODY: u64 = 2 * 1024 * 1024;
const PATH: &str = "/peer";

/// A question.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Request {
    /// State of a job.
    State {
        shard: u32,
        job: JobId,
        #[serde(rename = "asker")]
        requester: Requester,
    },
    /// Number of a queue's jobs that wait.
    #[serde(rename = "waiting")]
    QueuedJobs { shard: u32, queue: Arc<str> },
    /// VMs that are to become vacant, and how the pool is.
    Pool { shard: u32, vacate: BTreeSet<Arc<str>> },
    /// Append records for a daemon that the store turns away, or answers slowly.
    Append { shard: u32, records: Vec<(String, String)> },
    /// A record that a caller's request has just added to a shard, for its owner.
    #[serde(rename = "kept")]
    RecordStored { shard: u32, key: String, value: String },
    /// Parts of customers' maxima, of the fleet's owner.
    #[serde(rename = "parts")]
    Quota(QuotaRequest),
    /// What operators have written, for a daemon that knows a version of the configuration and that the store does
    /// not tell of anything newer.
    Config { known: Option<u64> },
    /// What has changed of the workers of slices since a cursor, of the daemon that reads the list.
    Workers {
        #[serde(rename = "units")]
        pool_slices: BTreeSet<PoolSlice>,
        cursor: Option<Cursor>,
    },
    /// How long ago the store answered.
    #[serde(rename = "store")]
    StoreStatus,
    /// Which life of the daemon this is.
    #[serde(rename = "life")]
    Incarnation,
    /// What the owner in an epoch knew of leases when it left the shard.
    #[serde(rename = "left")]
    Handover { shard: u32, epoch: u64 },
}

/// An answer.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// State of a job; none when the owner does not know it.
    State(Option<State>),
    /// Number of jobs.
    #[serde(rename = "waiting")]
    QueuedJobs(u64),
    /// A pool.
    Pool(report::Pool),
    /// Records were appended, but those with these keys: other customers' jobs have the identifiers.
    Appended { taken: Vec<String> },
    /// Parts of customers' maxima.
    #[serde(rename = "parts")]
    Quota(QuotaGrant),
    /// A newer configuration, none when there is none; what is evacuated; and how long ago the store told so.
    Config {
        newer: Option<Box<Config>>,
        evacuated: Evacuated,
        #[serde(rename = "heard_ms_ago")]
        confirmed_ms_ago: u64,
    },
    /// Workers.
    Workers(Update),
    /// The owner has heard.
    #[serde(rename = "heard")]
    Acknowledged,
    /// Records were not appended; whether that is sure.
    NotAppended {
        #[serde(rename = "surely")]
        certain: bool,
    },
    /// Records were taken back before they were sent: the store is slow.
    Unsent,
    /// Ms since the store last answered.
    #[serde(rename = "store")]
    StoreStatus { answered_ms_ago: u64 },
    /// The member text of this life.
    #[serde(rename = "life")]
    Incarnation { member: Arc<str> },
    /// Ms until what may run on each worker has surely lapsed.
    #[serde(rename = "left")]
    Handover(Vec<(Arc<str>, u64)>),
    /// The daemon does not own the shard now.
    NotOwner,
}

/// Connections to peers.
#[derive(Debug, Default)]
pub(crate) struct Peers(Mutex<HashMap<SocketAddr, Client>>);

impl Peers {
    fn client(&self, address: SocketAddr) -> Client {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address);
        let make = || Client::with_connect_timeout(address, CONNECT_TIMEOUT, TIMEOUT);
        client.or_insert_with(make).clone()
    }

    /// Asks a peer.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<Reply, CallError> {
        self.client(address).call_idempotent(Method::POST, PATH, Some(request)).await
    }

    /// Asks a peer to append: sent once, since the fate of one try is told.
    async fn call_once(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.client(address).call_within(Method::POST, PATH, Some(request), timeout).await
    }
}

/// Why a peer has not appended.
#[derive(Debug)]
pub(crate) enum Failure {
    /// It has taken the records back before they were sent: the store is slow, for others too.
    Unsent,
    /// It has sent them, and has no answer yet.
    Unanswered,
    /// It could not, or it is not known whether it has.
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

/// Appends through a peer, who may take until `timeout` for it.
pub(crate) async fn relay_append(
    node: &Node,
    peer: SocketAddr,
    shard: u32,
    records: &[NewRecord],
    timeout: Duration,
) -> Result<Vec<String>, Failure> {
    let encode = |record: &NewRecord| {
        (record.key.clone(), String::from_utf8_lossy(&record.value).into_owned())
    };
    let records = records.iter().map(encode).collect();
    match node.peers.call_once(peer, &Request::Append { shard, records }, timeout).await {
        Ok(Reply::Appended { taken }) => Ok(taken),
        Ok(Reply::NotAppended { certain: true }) | Err(CallError::NotSent { .. }) => {
            Err(Failure::Failed(Error::NotReached))
        }
        Ok(Reply::Unsent) => Err(Failure::Unsent),
        Ok(Reply::NotAppended { certain: false }) => Err(Failure::Unanswered),
        _ => Err(Failure::Failed(Error::NoAnswer)),
    }
}

/// Serves peers until the stop says so.
pub(crate) async fn serve(listener: TcpListener, stop: watch::Receiver<Stage>, node: Arc<Node>) {
    server::serve(listener, Limits::default(), stop, move |request, _| {
        let node = Arc::clone(&node);
        async move { handle_request(&node, request).await }
    })
    .await;
}

async fn handle_request(node: &Arc<Node>, request: HttpRequest<Incoming>) -> Response<Body> {
    let payload = match body::read(request.into_body(), MAX_BODY, TIMEOUT).await {
        Ok(payload) => payload,
        Err(error) => {
            log::warn!("event=peer_question_unread error=\"{error}\"");
            return body::json(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    match serde_json::from_slice::<Request>(&payload) {
        Ok(request) => body::json(StatusCode::OK, &handle(node, request).await),
        Err(error) => {
            log::warn!("event=peer_question_unreadable error=\"{error}\"");
            body::json(StatusCode::BAD_REQUEST, &error.to_string())
        }
    }
}

/// Answers a question, of a peer or of this daemon itself.
pub(crate) async fn handle(node: &Arc<Node>, request: Request) -> Reply {
    match request {
        Request::State { shard, job, requester } => {
            let owned = node.owned();
            let state = owned.get(&shard).and_then(|handle| handle.state(job, &requester));
            state.map_or(Reply::NotOwner, Reply::State)
        }
        Request::QueuedJobs { shard, queue } => {
            let owned = node.owned();
            let queued = owned.get(&shard).and_then(|handle| handle.queued_jobs(&queue));
            queued.map_or(Reply::NotOwner, Reply::QueuedJobs)
        }
        Request::Pool { shard, vacate } => {
            let owned = node.owned();
            let pool = owned.get(&shard).and_then(|handle| handle.report(vacate));
            pool.map_or(Reply::NotOwner, Reply::Pool)
        }
        Request::Append { shard, records } => handle_append(node, shard, records).await,
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
            Reply::StoreStatus {
                answered_ms_ago: u64::try_from(answered_ago.as_millis()).unwrap_or(u64::MAX),
            }
        }
    }
}

/// What this daemon knew of leases when it left a shard.
fn handover_reply(node: &Node, shard: u32, epoch: u64) -> Reply {
    let now = clock::now();
    let Some(handover) = node.handover(shard, epoch) else { return Reply::NotOwner };
    let remaining_ms = |expiry: Duration| {
        u64::try_from(expiry.saturating_sub(now).as_millis()).unwrap_or(u64::MAX)
    };
    let remaining =
        handover.expiries.into_iter().map(|(worker, expiry)| (worker, remaining_ms(expiry)));
    Reply::Handover(remaining.collect())
}

async fn handle_append(node: &Arc<Node>, shard: u32, records: Vec<(String, String)>) -> Reply {
    let to_record = |(key, value): (String, String)| NewRecord { key, value: value.into() };
    let (taken, records): (Vec<_>, Vec<_>) = records
        .into_iter()
        .map(to_record)
        .partition(|record| is_taken_locally(node, shard, record));
    let taken: Vec<_> = taken.into_iter().map(|record| record.key).collect();
    if records.is_empty() {
        return Reply::Appended { taken };
    }
    let outcome = if node.owned().contains_key(&shard) {
        appender::append_as_owner(node, shard, records).await
    } else {
        let appended = node.append(shard, &records).await;
        appended.map_or_else(appender::outcome_of, |()| Outcome::Kept)
    };
    match outcome {
        Outcome::Kept | Outcome::Taken => Reply::Appended { taken },
        Outcome::NotKept => Reply::NotAppended { certain: true },
        Outcome::Unsent => Reply::Unsent,
        Outcome::Unknown => Reply::NotAppended { certain: false },
    }
}

/// Whether this daemon owns the shard and knows that another customer's job has the record's identifier.
pub(crate) fn is_taken_locally(node: &Node, shard: u32, record: &NewRecord) -> bool {
    let owned = node.owned();
    let Some(handle) = owned.get(&shard) else { return false };
    let record = Record::decode(&record.key, &record.value);
    record.is_ok_and(|record| handle.is_taken(&record))
}

/// Passes a record that is kept on to the shard's owner; whether this daemon is that.
fn notify_local_owner(node: &Node, shard: u32, key: &str, value: &[u8]) -> bool {
    let owned = node.owned();
    let Some(handle) = owned.get(&shard) else { return false };
    match Record::decode(key, value) {
        Ok(record) => handle.notify(record),
        Err(error) => log::warn!("event=record_unreadable error=\"{error}\""),
    }
    true
}

/// Tells a shard's owner of a record that is kept. The owner reads it in the log anyway, a little
/// later, so nothing depends on this.
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

/// Asks the holder of a shard, which may be this daemon.
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
