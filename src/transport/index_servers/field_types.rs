//! Asks an index server for the types of fields.
//!
//! Which server is asked is no choice made here: it is the one that the decision module chose for the latest search of the
//! index, and that answered it. There is one attempt, whose failure is not reported as the failure of a search.

use super::IndexServers;
use crate::protocol::http;
use crate::protocol::opensearch::{self, FieldTypes};
use crate::transport::descriptor_pool::BufferReservation;
use crate::transport::http_client;
use bytes::BytesMut;
use std::pin::Pin;
use std::time::Duration;

/// Resolves to the types of fields; `None` if no server reports them.
pub type FieldTypesFuture<'a> = Pin<Box<dyn Future<Output = Option<FieldTypes>> + 'a>>;

/// Reports the types of the fields of indexes: index servers, or a test double.
pub trait FieldTypeSource {
    /// Returns the types of these fields of an index within the time limit.
    fn field_types<'a>(
        &'a self,
        index: &'a str,
        fields: &'a [String],
        time_limit: Duration,
    ) -> FieldTypesFuture<'a>;
}

impl FieldTypeSource for IndexServers {
    fn field_types<'a>(
        &'a self,
        index: &'a str,
        fields: &'a [String],
        time_limit: Duration,
    ) -> FieldTypesFuture<'a> {
        Box::pin(async move {
            let asked = self.ask_field_types(index, fields, time_limit);
            let types = tokio::time::timeout(time_limit, asked).await.unwrap_or(None);
            if types.is_none() {
                let fields = fields.join(", ");
                log::warn!("index {index}: no server reports the types of the sorted fields [{fields}]");
            }
            types
        })
    }
}

impl IndexServers {
    async fn ask_field_types(
        &self,
        index: &str,
        fields: &[String],
        time_limit: Duration,
    ) -> Option<FieldTypes> {
        let worker = self.0.last_responders.borrow().get(index).copied()?;
        let server = self.0.servers.borrow().get(&worker).cloned()?;
        // The semaphore is never closed, so acquiring a permit cannot fail.
        let _search_permit = server.search_permits.acquire().await.ok()?;
        let mut connection = self.take_or_connect(worker, &server, false, time_limit).await.ok()?;
        // The server may have been removed while the connection was opened.
        if !server.accepts_searches.get() {
            return None;
        }
        let target = opensearch::field_capabilities_target(index, fields);
        let request = http::encode_request("GET", &target, &server.address, None);
        let reservation = BufferReservation::new(&self.0.descriptor_pool);
        reservation.set(request.len() + http::MAX_BODY_BYTES);
        let (stream, mut buffer) = (&mut *connection.stream, BytesMut::new());
        let response = http_client::exchange(stream, &mut buffer, &request, http::MAX_BODY_BYTES).await;
        let response = response
            .inspect_err(|error| log::warn!("index server at {}: field types: {error}", server.address))
            .ok()?;
        if response.keep_alive && buffer.is_empty() {
            self.keep_idle(&server, connection);
        }
        if response.status != 200 {
            log::warn!("index server at {}: field types: status={}", server.address, response.status);
            return None;
        }
        FieldTypes::parse(&response.body, fields)
    }
}
