//! Follows the discovery agent: the complete endpoint list once, where none is held, then one long poll after the other.
//!
//! It owns the connection to the agent and the revision that it has seen. Serving never waits for it, and what an update
//! means for a worker is decided in `routing`.

use super::connector::{Connector, Stream, connect_with_timeout};
use super::descriptor_pool::DescriptorPool;
use super::http_client;
use crate::limits::{Backoff, DescriptorClass};
use crate::protocol::discovery::{self, LongPoll};
use crate::protocol::http::{self, ReceivedResponse};
use crate::routing::{Broker, WorkerListUpdate};
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a response may take beyond the time-out of its long poll.
const LONG_POLL_SLACK: Duration = Duration::from_secs(1);
/// How long the response to a plain poll may take: many processes poll the agent at once, and it answers in turn.
const POLL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest endpoint list, in bytes.
const MAX_LIST_BYTES: usize = 4 * http::MAX_BODY_BYTES;

/// Applies each update of the agent to the broker, for as long as the process lives. `held_revision` is the revision of
/// the list that the broker has already, if the first poll is to ask only for what is newer.
pub async fn follow(
    connector: &dyn Connector,
    mut address: watch::Receiver<String>,
    held_revision: Option<u64>,
    broker: &Broker,
    descriptor_pool: &Rc<DescriptorPool>,
    mut backoff: Backoff,
) {
    let mut agent_address = address.borrow_and_update().clone();
    let mut revision = held_revision;
    let mut logged_reason = String::new();
    // A process with a list serves with it meanwhile, so its first poll may wait.
    let mut delay =
        if broker.with_core(|core| core.has_workers()) { backoff.initial_delay() } else { Duration::ZERO };
    loop {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            Ok(()) = address.changed() => address.mark_changed(),
        }
        delay = Duration::ZERO;
        let configured = address.borrow_and_update().clone();
        if configured != agent_address {
            // Another agent counts its own revisions, and changes between the two could be missed: it is polled for its
            // complete list.
            agent_address = configured;
            revision = None;
            logged_reason.clear();
            backoff.record_success();
        }
        // The class is guaranteed this descriptor, so the wait is short under any load.
        let _descriptor = descriptor_pool.acquire(DescriptorClass::Discovery).await;
        let PollFailure { reason, overloaded } = tokio::select! {
            biased;
            Ok(()) = address.changed() => continue,
            failure = poll_until_failure(connector, &agent_address, broker, &mut revision, &mut backoff) => failure,
        };
        // An agent that is down is logged once, not at each poll.
        if reason != logged_reason {
            log::warn!("discovery at {agent_address}: {reason}; serving goes on with the last list");
            logged_reason = reason;
        }
        backoff.set_callers(broker.with_core(|core| core.fleet_size()));
        // An overloaded agent never recovers while all processes poll it at a constant delay: the delay grows.
        delay = backoff.next_delay(overloaded);
    }
}

/// Why polling on a connection ended.
struct PollFailure {
    reason: String,
    /// The agent has more to do than it can: it answered with an error status.
    overloaded: bool,
}

impl PollFailure {
    fn new(reason: impl Into<String>) -> PollFailure {
        PollFailure { reason: reason.into(), overloaded: false }
    }
}

/// Polls on one connection until that fails; returns why it did.
async fn poll_until_failure(
    connector: &dyn Connector,
    address: &str,
    broker: &Broker,
    revision: &mut Option<u64>,
    backoff: &mut Backoff,
) -> PollFailure {
    let long_poll_timeout = backoff.long_poll_timeout();
    let mut stream = match connect_with_timeout(connector, address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => return PollFailure::new(format!("cannot connect: {error}")),
    };
    let mut buffer = BytesMut::new();
    loop {
        let response = match poll(&mut *stream, &mut buffer, address, *revision, long_poll_timeout).await {
            Ok(response) => response,
            Err(failure) => return failure,
        };
        match discovery::decode_endpoint_list(&response.body) {
            Ok(update) => {
                if !apply_update(&update, address, broker, revision, backoff) {
                    continue;
                }
            }
            Err(error) => return PollFailure::new(format!("unreadable list: {error}")),
        }
        if !response.keep_alive {
            return PollFailure::new("closed by the agent");
        }
    }
}

/// Sends one poll and reads its response: a long poll for what is newer than a revision, or a plain poll for the
/// complete list.
async fn poll(
    stream: &mut dyn Stream,
    buffer: &mut BytesMut,
    address: &str,
    revision: Option<u64>,
    long_poll_timeout: Duration,
) -> Result<ReceivedResponse, PollFailure> {
    let wait_ms = long_poll_timeout.as_millis() as u64;
    let long_poll = revision.map(|after_revision| LongPoll { after_revision, wait_ms });
    let request = http::encode_request("GET", &discovery::endpoint_list_target(long_poll), address, None);
    let exchange = http_client::exchange(stream, buffer, &request, MAX_LIST_BYTES);
    // An agent may stop answering: a change counts as notified up to 2 s after the end of a long poll, and up to 6 s
    // after a plain poll.
    let limit = if long_poll.is_some() { long_poll_timeout + LONG_POLL_SLACK } else { POLL_TIMEOUT };
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(response)) if response.status == 200 => Ok(response),
        Ok(Ok(response)) => {
            Err(PollFailure { reason: format!("status {}", response.status), overloaded: true })
        }
        Ok(Err(error)) => Err(PollFailure::new(error.to_string())),
        Err(_) => Err(PollFailure::new("no response in time")),
    }
}

/// Applies an update to the broker. False where it does not apply to the list that is held: the complete list is polled
/// next, on the same connection.
fn apply_update(
    update: &WorkerListUpdate,
    address: &str,
    broker: &Broker,
    revision: &mut Option<u64>,
    backoff: &mut Backoff,
) -> bool {
    if revision.is_none() || !broker.with_core(|core| core.has_discovery_list()) {
        let entries = if update.complete { "workers" } else { "changes" };
        log::info!(
            "discovery at {address}: list {} with {} {entries}",
            update.revision,
            update.workers.len()
        );
    }
    // An agent that counts from the beginning again: its changes do not apply to the list that is held here.
    if revision.is_some_and(|held| update.revision < held) && !update.complete {
        *revision = None;
        return false;
    }
    *revision = Some(update.revision);
    backoff.record_success();
    // A partial update without entries only says that the long poll is over.
    if update.complete || !update.workers.is_empty() {
        broker.apply_endpoint_update(update, false);
    }
    true
}
