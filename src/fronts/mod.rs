//! The HTTP fronts: the platform's query protocol and the OpenSearch-style API for clients, and the operators' API.
//!
//! A front turns each parsed request into one response. It does not read or write streams, and does not choose workers.

pub mod opensearch;
pub mod operators;
pub mod platform;

use crate::routing::Broker;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::{errors, socket};

/// Formats the counters since the start of the process as three lines: queries and attempts, connections and retried
/// system calls, and violated invariants.
pub fn counters_text(broker: &Broker, connections: &ConnectionManager) -> String {
    let (queries, violations) =
        broker.with_core(|core| (core.counters.to_string(), core.violations().to_string()));
    let connection_counters = connections.descriptor_pool().counters.borrow();
    let retried = format!(
        "calls_interrupted={} calls_repeated={}",
        socket::interrupted_calls(),
        errors::retried_calls()
    );
    let delays = connections.descriptor_pool().scheduler().delay_counters();
    let unread = connection_counters.rejected_unread;
    format!(
        "counters: {queries}\nconnections: {connection_counters} {retried} {delays} unread={unread}\nviolations: {violations}"
    )
}
