//! The source that a client's connection is counted under.

use crate::limits::client_connections::Source;
use std::net::SocketAddr;

/// Hashes a client's IP address, and the name that it gives in its request if any, to a source.
pub(in crate::transport) fn source(address: SocketAddr, caller: Option<&str>) -> Source {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    match address {
        SocketAddr::V4(address) => hash.update(&address.ip().octets()),
        SocketAddr::V6(address) => hash.update(&address.ip().octets()),
    }
    hash.update(caller.unwrap_or_default().as_bytes());
    Source(hash.digest())
}
