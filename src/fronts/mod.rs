//! What is spoken to whom: the platform's protocol and the OpenSearch-style form to clients, calls to operators. Each
//! front sees a request through from its bytes to its one answer.

pub mod opensearch;
pub mod operators;
pub mod platform;

use crate::routing::Broker;
use crate::transport::connection_manager::ConnectionManager;
use crate::transport::{errors, socket};

/// All counts since the start, a line each: of queries and attempts, and of connections.
pub fn counts(broker: &Broker, gate: &ConnectionManager) -> String {
    let (queries, violations) =
        broker.with_core(|core| (core.counters.to_string(), core.violations().to_string()));
    let connections = gate.descriptor_pool().counters.borrow();
    let calls = format!(
        "calls_interrupted={} calls_repeated={}",
        socket::interrupted_calls(),
        errors::retried_calls()
    );
    format!("counters: {queries}\nconnections: {connections} {calls}\nviolations: {violations}")
}
