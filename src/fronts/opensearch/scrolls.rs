//! Scrolls: the pages of results that are stored for their clients.
//!
//! A search for a scroll holds a [`ScrollReservation`] from before any of it runs until its result is stored.

use super::OpenSearchFront;
use super::search::page_response;
use crate::policy::Idempotency;
use crate::protocol::http::{Request, Response};
use crate::protocol::opensearch::{self, HitList, JsonObject, MergedResult, PageInfo, SearchError};
use crate::routing::Clock;
use crate::routing::scroll_contexts::{
    Reservation, ReserveError, ScrollContexts, ScrollLimitReached, ScrollLimits,
};
use crate::transport::index_servers::MAX_RESULT_BYTES;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Largest number of results stored for scrolling.
const MAX_SCROLLS: usize = 256;
/// Largest total size of the results stored for scrolling, in bytes.
const MAX_SCROLL_BYTES: usize = 32 << 20;
/// Share of the memory of results that results stored for scrolling may take beside it, as a divisor.
const SCROLL_DIVISOR: usize = 2;
/// Longest time for which a result is stored for scrolling.
const MAX_SCROLL_LIFETIME: Duration = Duration::from_secs(300);

/// A merged result that is stored so that clients can request its further pages.
pub(super) struct ScrollResult {
    pub(super) merged: MergedResult,
    /// Hits per page.
    pub(super) size: usize,
    /// Number of shards that were searched.
    pub(super) shards: usize,
}

/// The stored results, and the capacity that searches have reserved for theirs.
pub(super) struct Scrolls {
    clock: Clock,
    contexts: RefCell<ScrollContexts<ScrollResult>>,
    /// Notified when capacity is given back.
    released: Notify,
}

/// Capacity for the result of one search, given back when dropped.
pub(super) struct ScrollReservation {
    scrolls: Rc<Scrolls>,
    reservation: Option<Reservation>,
}

impl Drop for ScrollReservation {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.scrolls.contexts.borrow_mut().release(reservation);
        }
        self.scrolls.released.notify_waiters();
    }
}

impl Scrolls {
    /// Creates an empty store beside a memory of results of `result_bytes`. `keeps_part` is whether a part of it is kept
    /// for searches that must not run twice.
    pub(super) fn new(
        clock: Clock,
        random: fastrand::Rng,
        result_bytes: usize,
        keeps_part: bool,
    ) -> Rc<Scrolls> {
        let limits = ScrollLimits {
            max_contexts: MAX_SCROLLS,
            max_bytes: MAX_SCROLL_BYTES.min(result_bytes / SCROLL_DIVISOR),
            keeps_part,
        };
        let contexts = RefCell::new(ScrollContexts::new(random, limits));
        Rc::new(Scrolls { clock, contexts, released: Notify::new() })
    }

    /// Reserves capacity for the result of a search of `shards` shards with at most `window` hits each. Waits up to
    /// `time_limit` for capacity that other searches have only reserved; `None` if there is none.
    pub(super) async fn reserve(
        self: &Rc<Self>,
        idempotency: Idempotency,
        shards: usize,
        window: usize,
        time_limit: Duration,
    ) -> Option<ScrollReservation> {
        let max_result_bytes = HitList::max_held_bytes(shards * window, shards * MAX_RESULT_BYTES);
        let reserve = async {
            loop {
                let released = self.released.notified();
                let reserved =
                    self.contexts.borrow_mut().reserve(self.clock.now(), idempotency, max_result_bytes);
                match reserved {
                    Ok(reservation) => {
                        return Some(ScrollReservation {
                            scrolls: self.clone(),
                            reservation: Some(reservation),
                        });
                    }
                    Err(ReserveError::Full) => return None,
                    Err(ReserveError::Reserved) => released.await,
                }
            }
        };
        tokio::time::timeout(time_limit, reserve).await.unwrap_or(None)
    }

    /// Stores a result in place of its reservation. Returns the id of its context, and the result.
    pub(super) fn store(
        &self,
        mut reservation: ScrollReservation,
        owner: &str,
        lifetime: Duration,
        result: ScrollResult,
    ) -> Result<(String, Rc<ScrollResult>), ScrollLimitReached> {
        let reservation = reservation.reservation.take().ok_or(ScrollLimitReached)?;
        let (lifetime, size) = (lifetime.min(MAX_SCROLL_LIFETIME), result.merged.hits.held_bytes());
        self.contexts.borrow_mut().create(self.clock.now(), reservation, owner, lifetime, result, size)
    }

    fn get(&self, id: &str, owner: &str, lifetime: Option<Duration>) -> Option<Rc<ScrollResult>> {
        self.contexts.borrow_mut().get(self.clock.now(), id, owner, lifetime)
    }

    fn clear(&self, id: &str, owner: &str) -> bool {
        let cleared = self.contexts.borrow_mut().clear(self.clock.now(), id, owner);
        self.released.notify_waiters();
        cleared
    }
}

impl OpenSearchFront {
    /// Returns a further page. A scroll id contains the offset of its page, so that a retry returns the same page.
    pub(super) fn scroll(&self, request: &Request) -> Result<Response, SearchError> {
        let (owner, _) = self.identify_caller(request)?;
        if self.is_memory_full() {
            return Ok(self.capacity_rejection());
        }
        let body = JsonObject::parse(&request.body)?;
        let id = body
            .get::<String>("scroll_id")
            .ok_or_else(|| SearchError::illegal_argument("scroll_id is missing"))?;
        let lifetime = match body.contains("scroll").then(|| body.get::<String>("scroll")) {
            Some(text) => {
                let lifetime = text.and_then(|text| opensearch::parse_duration(&text));
                let invalid = || SearchError::illegal_argument("failed to parse [scroll]");
                Some(lifetime.ok_or_else(invalid)?.min(MAX_SCROLL_LIFETIME))
            }
            None => None,
        };
        let missing = || context_missing(&id);
        let (context_id, offset) = id.rsplit_once('-').ok_or_else(missing)?;
        let offset: usize = offset.parse().map_err(|_| missing())?;
        let scroll = self.scrolls.get(context_id, &owner, lifetime).ok_or_else(missing)?;
        let end = offset.saturating_add(scroll.size).min(scroll.merged.hits.len());
        if offset > end {
            return Err(missing());
        }
        let info = PageInfo {
            took: Duration::ZERO,
            shards: scroll.shards,
            scroll_id: Some(format!("{context_id}-{end}")),
        };
        page_response(&scroll.merged, offset..end, &info)
    }

    /// Drops the stored results of the given scroll ids.
    pub(super) fn clear_scroll(&self, request: &Request) -> Result<Response, SearchError> {
        let (owner, _) = self.identify_caller(request)?;
        let body = JsonObject::parse(&request.body)?;
        let ids = match (body.get::<String>("scroll_id"), body.get::<Vec<Value>>("scroll_id")) {
            (Some(id), _) => vec![id],
            (None, Some(ids)) => ids.iter().filter_map(Value::as_str).map(str::to_owned).collect(),
            (None, None) => return Err(SearchError::illegal_argument("scroll_id is missing")),
        };
        let context_ids = ids.iter().map(|id| id.rsplit_once('-').map_or(id.as_str(), |id| id.0));
        let freed = context_ids.filter(|context_id| self.scrolls.clear(context_id, &owner)).count();
        let status = if freed > 0 { 200 } else { 404 };
        Ok(Response::json(status, json!({"succeeded": true, "num_freed": freed}).to_string()))
    }
}

/// The error for a scroll id whose result is not stored, or not for this caller.
fn context_missing(id: &str) -> SearchError {
    let reason = format!("no search context found for id [{id}]");
    SearchError::new(404, "search_context_missing_exception", reason)
}
