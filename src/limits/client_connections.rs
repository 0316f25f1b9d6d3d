//! State of clients' connections: the deadline of each, and the order in which they are evicted.
//!
//! [`ClientConnections`] owns the state of each connection and the eviction order. Its callers report events of sockets
//! and close the connections that it evicts.
//!
//! A connection is *busy* while a query is open on it, and is then never evicted. All others are *evictable*, in this
//! order of reasons:
//!
//! 1. silent: the connection never sent a byte. No work is lost with it.
//! 2. slow: the request on it arrives below the minimum receive rate. Received bytes extend its deadline, so that a
//!    client gains nothing by sending a few bytes at a time.
//! 3. single request: the connection had one response and stays open. Few such clients send another request much
//!    later, and one that does only has to connect again.
//! 4. penalised: the last request on the connection was malformed or is not served by this process.
//! 5. idle: the connection has sent several requests. The one that exceeds its usual idle interval most goes first.
//!
//! For reasons 1 to 3, connections within their minimum residence are skipped. If sources can be distinguished, a
//! well-behaved connection of a source over its quota is evicted before those of other sources.

mod eviction;

pub use eviction::{EVICTION_REASONS, EvictionReason};

use self::eviction::{Connection, ConnectionState, EvictionRank};
use super::resource_pressure::ResourcePressure;
use crate::policy::Time;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Client of a connection, as far as it can be identified: a hash of its address, or of the caller name in its
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(pub u64);

/// Whether a request counts against its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestValidity {
    /// A request that this process serves, whatever its response.
    Valid,
    /// Malformed input, or a request that this process does not serve.
    Invalid,
}

/// Minimum receive rate of a request: 64 kB extend its deadline by one second.
const MIN_RECEIVE_BYTES_PER_SECOND: f64 = 64_000.0;
/// An idle connection is expected to be used again within this multiple of its usual idle interval.
const IDLE_INTERVAL_FACTOR: u32 = 4;
/// Upper limit of the time within which an idle connection is expected to be used again.
const MAX_EXPECTED_IDLE: Duration = Duration::from_secs(4);
/// Weight of the moving average of idle intervals: the last interval counts for one part in this number.
const IDLE_AVERAGE_INTERVALS: u32 = 4;
/// Maximum number of sources whose malformed input is remembered.
const MAX_PENALISED_SOURCES: usize = 1024;
/// Time for which a source of malformed input is remembered.
const PENALTY_TIME: Duration = Duration::from_secs(10);

/// Clients' connections with their eviction order.
#[derive(Debug, Default)]
pub struct ClientConnections {
    connections: HashMap<u64, Connection>,
    eviction_order: BTreeSet<EvictionRank>,
    eviction_order_by_source: HashMap<Source, BTreeSet<EvictionRank>>,
    open_by_source: HashMap<Source, usize>,
    /// Sources ordered by the number of their connections.
    sources_by_size: BTreeSet<(usize, Source)>,
    /// Time of the last malformed input of each source that sent any lately.
    penalised_sources: HashMap<Source, Time>,
    last_id: u64,
}

impl ClientConnections {
    /// Returns the number of connections, including busy and closing ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }
    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
    /// Returns whether any connection is evictable.
    #[must_use]
    pub fn has_evictable(&self) -> bool {
        !self.eviction_order.is_empty()
    }
    /// Returns whether a query is open on this connection.
    #[must_use]
    pub fn is_busy(&self, id: u64) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.state == ConnectionState::Busy)
    }
    /// Returns whether this connection is neither busy nor about to be closed.
    #[must_use]
    pub fn is_evictable(&self, id: u64) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| matches!(connection.state, ConnectionState::Evictable(_)))
    }
    /// Returns the number of connections of a source.
    #[must_use]
    pub fn open_from(&self, source: Source) -> usize {
        self.open_by_source.get(&source).copied().unwrap_or(0)
    }

    /// Adds an accepted connection and returns its id.
    pub fn accept(&mut self, now: Time, source: Source) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        // A source that reconnects at once after its malformed input was rejected keeps its penalty. If all connections
        // come from one address, clients cannot be distinguished, and none is penalised for another's input.
        let penalised = self.penalised_sources.get(&source).is_some_and(|at| now.since(*at) < PENALTY_TIME)
            && self.open_by_source.keys().any(|other| *other != source);
        let state = ConnectionState::Evictable(EvictionReason::Silent);
        let connection = Connection {
            source,
            state,
            state_since: now,
            counted_from: now,
            request_bytes: 0,
            responses: 0,
            usual_idle: Duration::ZERO,
            penalised,
        };
        self.add_to_source(source);
        self.connections.insert(id, connection);
        self.set_state(id, state, now, now);
        id
    }

    /// Increments the number of a source's connections.
    fn add_to_source(&mut self, source: Source) {
        let before = self.open_from(source);
        self.set_source_count(source, before, before + 1);
    }

    /// Decrements the number of a source's connections.
    fn remove_from_source(&mut self, source: Source) {
        let before = self.open_from(source);
        self.set_source_count(source, before, before - 1);
    }

    /// Sets the number of a source's connections, which was `before`. A source without connections is removed.
    fn set_source_count(&mut self, source: Source, before: usize, after: usize) {
        self.sources_by_size.remove(&(before, source));
        if after > 0 {
            self.open_by_source.insert(source, after);
            self.sources_by_size.insert((after, source));
        } else {
            self.open_by_source.remove(&source);
        }
    }

    /// Moves a connection to another state, and to its new position in the eviction order.
    fn set_state(&mut self, id: u64, state: ConnectionState, state_since: Time, counted_from: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let source_order = self.eviction_order_by_source.entry(connection.source).or_default();
        if let Some(rank) = connection.rank(id) {
            self.eviction_order.remove(&rank);
            source_order.remove(&rank);
        }
        connection.state = state;
        connection.state_since = state_since;
        connection.counted_from = counted_from;
        if let Some(rank) = connection.rank(id) {
            self.eviction_order.insert(rank);
            source_order.insert(rank);
        }
        if source_order.is_empty() {
            self.eviction_order_by_source.remove(&connection.source);
        }
    }

    /// Records received bytes of an incomplete request. A connection that is about to be closed becomes evictable
    /// again.
    pub fn receive_bytes(&mut self, now: Time, id: u64, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_receiving = connection.state == ConnectionState::Evictable(EvictionReason::Slow);
        if connection.state == ConnectionState::Busy {
            return;
        }
        if !is_receiving && connection.responses > 0 {
            let idle = now.since(connection.state_since);
            let previous_average = if connection.responses == 1 { idle } else { connection.usual_idle };
            connection.usual_idle =
                (previous_average * (IDLE_AVERAGE_INTERVALS - 1) + idle) / IDLE_AVERAGE_INTERVALS;
        }
        connection.request_bytes = if is_receiving { connection.request_bytes + bytes } else { bytes };
        // The deadline of the first request counts from the accept, so that a client gains no time by sending its first
        // byte late.
        let began_at = if is_receiving || connection.responses == 0 { connection.state_since } else { now };
        let extension =
            Duration::from_secs_f64(connection.request_bytes as f64 / MIN_RECEIVE_BYTES_PER_SECOND);
        let state = ConnectionState::Evictable(EvictionReason::Slow);
        self.set_state(id, state, began_at, began_at.after(extension));
    }

    /// Records that a request is complete; the connection is busy from now on.
    pub fn start_query(&mut self, now: Time, id: u64) {
        self.set_state(id, ConnectionState::Busy, now, now);
    }

    /// Records that the response to a request was sent; the connection is evictable from now on.
    pub fn finish_query(&mut self, now: Time, id: u64, validity: RequestValidity) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.responses = connection.responses.saturating_add(1);
        connection.request_bytes = 0;
        connection.penalised = validity == RequestValidity::Invalid;
        let (responses, source) = (connection.responses, connection.source);
        let expected_idle = (connection.usual_idle * IDLE_INTERVAL_FACTOR).min(MAX_EXPECTED_IDLE);
        let (reason, counted_from) = match validity {
            RequestValidity::Invalid => {
                self.penalise(now, source);
                (EvictionReason::Penalised, now)
            }
            RequestValidity::Valid if responses == 1 => (EvictionReason::SingleRequest, now),
            RequestValidity::Valid => (EvictionReason::Idle, now.after(expected_idle)),
        };
        self.set_state(id, ConnectionState::Evictable(reason), now, counted_from);
    }

    /// Records malformed input; the connection gets an error response and is closed.
    pub fn reject_malformed(&mut self, now: Time, id: u64) {
        let Some(connection) = self.connections.get(&id) else { return };
        let source = connection.source;
        self.penalise(now, source);
        self.set_state(id, ConnectionState::Closing, now, now);
    }

    fn penalise(&mut self, now: Time, source: Source) {
        if self.penalised_sources.len() >= MAX_PENALISED_SOURCES {
            self.penalised_sources.retain(|_, at| now.since(*at) < PENALTY_TIME);
        }
        // The limit bounds the memory that a flood from many addresses can use.
        if self.penalised_sources.len() < MAX_PENALISED_SOURCES {
            self.penalised_sources.insert(source, now);
        }
    }

    /// Assigns a connection to another source, because a request on it names its caller.
    pub fn set_source(&mut self, id: u64, source: Source) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (old_source, state) = (connection.source, connection.state);
        let (state_since, counted_from) = (connection.state_since, connection.counted_from);
        if old_source == source {
            return;
        }
        // Leaving the evictable state removes the connection from the old source's order; the last call adds it to the
        // new one's.
        self.set_state(id, ConnectionState::Closing, state_since, counted_from);
        self.remove_from_source(old_source);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.source = source;
        }
        self.add_to_source(source);
        self.set_state(id, state, state_since, counted_from);
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.get(&id) else { return };
        let source = connection.source;
        self.set_state(id, ConnectionState::Closing, connection.state_since, connection.counted_from);
        self.connections.remove(&id);
        self.remove_from_source(source);
    }

    /// Evicts all connections whose deadline under this pressure has passed, and returns them with their reasons.
    #[must_use]
    pub fn evict_expired(&mut self, now: Time, pressure: ResourcePressure) -> Vec<(u64, EvictionReason)> {
        let is_expired = |rank: &&EvictionRank| {
            let connection = self.connections.get(&rank.id);
            connection
                .and_then(|connection| connection.deadline(pressure))
                .is_some_and(|deadline| deadline <= now)
        };
        let expired: Vec<(u64, EvictionReason)> =
            self.eviction_order.iter().filter(is_expired).map(|rank| (rank.id, rank.reason)).collect();
        for (id, _) in &expired {
            self.set_state(*id, ConnectionState::Closing, now, now);
        }
        expired
    }

    /// Returns the earliest deadline of all connections under this pressure.
    #[must_use]
    pub fn next_deadline(&self, pressure: ResourcePressure) -> Option<Time> {
        self.eviction_order.iter().filter_map(|rank| self.connections.get(&rank.id)?.deadline(pressure)).min()
    }

    /// Evicts the first connection of the eviction order, because its descriptor is needed for another connection.
    #[must_use]
    pub fn evict(&mut self, now: Time) -> Option<(u64, EvictionReason)> {
        let (rank, reason) = self.next_to_evict(now)?;
        self.set_state(rank.id, ConnectionState::Closing, now, now);
        Some((rank.id, reason))
    }

    /// Evicts like [`ClientConnections::evict`], but only a connection that is past its minimum residence. Used if
    /// nobody waits for the descriptor, so that a new connection is not closed while its first request may be on its
    /// way.
    #[must_use]
    pub fn evict_past_min_residence(&mut self, now: Time) -> Option<(u64, EvictionReason)> {
        let (first, _) = self.next_to_evict(now)?;
        if first.is_past_min_residence(now) { self.evict(now) } else { None }
    }

    fn next_to_evict(&self, now: Time) -> Option<(EvictionRank, EvictionReason)> {
        for reason in [
            EvictionReason::Silent,
            EvictionReason::Slow,
            EvictionReason::SingleRequest,
            EvictionReason::Penalised,
        ] {
            let lowest_rank = EvictionRank { reason, counted_from: Time(0), id: 0 };
            let first =
                self.eviction_order.range(lowest_rank..).next().filter(|first| first.reason == reason);
            if let Some(rank) = first
                && rank.is_past_min_residence(now)
            {
                return Some((*rank, reason));
            }
        }
        // The remaining connections are well-behaved. This protects sources with few connections from one that opens
        // many.
        if let Some((connection_count, source)) = self.sources_by_size.last()
            && connection_count * self.open_by_source.len() > self.connections.len()
            && let Some(rank) = self.eviction_order_by_source.get(source).and_then(BTreeSet::first)
        {
            return Some((*rank, EvictionReason::OverQuota));
        }
        // This protects clients with several requests from a flood so fast that all of its connections are new. New
        // connections are evicted first, because a client with a request to send has sent it by the time that its
        // connection is considered. Connections that are idle for too long are evicted at their deadline anyway.
        self.eviction_order.first().map(|rank| (*rank, rank.reason))
    }
}
