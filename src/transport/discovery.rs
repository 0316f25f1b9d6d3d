//! The client of the discovery agent: gets the complete endpoint list once, where none is held, then watches it by long
//! polls.
//!
//! Owns the connection to the agent and the revision of the list that is held. Queries are served from the last list
//! meanwhile; the effect of an update on workers is decided in `routing`.

use super::connector::{Connector, Stream, connect_with_timeout};
use super::descriptor_pool::DescriptorPool;
use super::http_client;
use crate::limits::{Backoff, DescriptorClass};
use crate::protocol::discovery::{self, LongPoll};
use crate::protocol::http::{self, ReceivedResponse};
use crate::routing::{Broker, ListOrigin, WorkerListUpdate};
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the response to a long poll may take beyond the wait that the poll asks for.
const LONG_POLL_SLACK: Duration = Duration::from_secs(1);
/// How long the response to a plain poll may take. Many processes poll the agent at once, and it answers one by one.
const POLL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long connecting to the agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of an endpoint list, in bytes.
const MAX_LIST_BYTES: usize = 4 * http::MAX_BODY_BYTES;

/// Polls the agent and applies each update to the broker, until the process ends. `held_revision` is the revision of
/// the list that the broker already has; without it, the first poll asks for the complete list.
pub async fn watch_endpoints(
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
    // A process that has a list can serve, so its first poll may be delayed.
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
            // Revisions of one agent mean nothing to another, and changes could be missed: the complete list is polled.
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
        // Repeated failures for the same reason are logged once.
        if reason != logged_reason {
            log::warn!("discovery at {agent_address}: {reason}; keeping the last endpoint list");
            logged_reason = reason;
        }
        backoff.set_callers(broker.with_core(|core| core.fleet_size()));
        // An overloaded agent cannot recover while all processes poll it at a constant delay, so the delay grows.
        delay = backoff.next_delay(overloaded);
    }
}

/// Why polling on a connection ended.
struct PollFailure {
    reason: String,
    /// Whether the agent answered with an error status, which is taken as overload.
    overloaded: bool,
}

impl PollFailure {
    fn new(reason: impl Into<String>) -> PollFailure {
        PollFailure { reason: reason.into(), overloaded: false }
    }
}

/// Polls on one connection until a poll fails or the agent closes the connection; returns why polling ended.
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
            Err(error) => return PollFailure::new(format!("invalid endpoint list: {error}")),
        }
        if !response.keep_alive {
            return PollFailure::new("the agent closed the connection");
        }
    }
}

/// Sends one poll and reads its response: a long poll for changes after `revision`, or without one a plain poll for the
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
    // The agent may stop answering. By the protocol, a change counts as notified 2 s after the end of a long poll, or
    // 6 s after a plain poll; the limits leave time for another poll before that.
    let limit = if long_poll.is_some() { long_poll_timeout + LONG_POLL_SLACK } else { POLL_TIMEOUT };
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(response)) if response.status == 200 => Ok(response),
        Ok(Ok(response)) => Err(PollFailure {
            reason: format!("poll failed: response status {}", response.status),
            overloaded: true,
        }),
        Ok(Err(error)) => Err(PollFailure::new(format!("poll failed: {error}"))),
        Err(_) => Err(PollFailure::new("poll failed: no response before the time-out")),
    }
}

/// Applies an update to the broker. Returns false where the update does not apply to the list that is held; the caller
/// then polls for the complete list on the same connection.
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
    // The agent has restarted its revisions, so its changes do not apply to the list that is held.
    if revision.is_some_and(|held| update.revision < held) && !update.complete {
        *revision = None;
        return false;
    }
    *revision = Some(update.revision);
    backoff.record_success();
    // A partial update without entries only ends the long poll.
    if update.complete || !update.workers.is_empty() {
        broker.apply_endpoint_update(update, ListOrigin::Discovery);
    }
    true
}
