//! Follows discovery: the whole list once, where no list is held, then one watch after the other.

use super::connector::{Connector, connect_with_timeout};
use super::descriptor_pool::DescriptorPool;
use super::http_client;
use crate::limits::{Backoff, DescriptorClass};
use crate::protocol::{discovery, http};
use crate::routing::Broker;
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long past its wait an answer may take.
const SLACK: Duration = Duration::from_secs(1);
/// How long an answer may take to a call that does not wait: many ask discovery at once, and it answers in turn.
const ANSWER: Duration = Duration::from_secs(4);
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(500);

/// Tells the broker whatever discovery says, for as long as the process lives. Serving never waits for it. `held` is the
/// revision of the list that the broker has already, if the first call is to ask for what is newer alone.
pub async fn follow(
    dial: &dyn Connector,
    mut address: watch::Receiver<String>,
    held: Option<u64>,
    broker: &Broker,
    places: &Rc<DescriptorPool>,
    mut backoff: Backoff,
) {
    let (mut at, mut said) = (address.borrow_and_update().clone(), String::new());
    let mut revision = held;
    // Where there is a list, it serves meanwhile.
    let mut pause =
        if broker.with_core(|core| core.has_workers()) { backoff.initial_delay() } else { Duration::ZERO };
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Ok(()) = address.changed() => address.mark_changed(),
        }
        pause = Duration::ZERO;
        let next = address.borrow_and_update().clone();
        if next != at {
            // Guards against changes missed between the two: another agent is asked for its whole list.
            (at, revision, said) = (next, None, String::new());
            backoff.record_success();
        }
        // Its floor holds it: it never has to wait for long, whatever the crowd.
        let _place = places.acquire(DescriptorClass::Discovery).await;
        let (error, overbooked) = tokio::select! {
            biased;
            Ok(()) = address.changed() => continue,
            fault = session(dial, &at, broker, &mut revision, &mut backoff) => fault,
        };
        // An agent that is down is told of once, not at each try.
        if error != said {
            log::warn!("discovery at {at}: {error}; serving goes on with the last list");
            said = error;
        }
        backoff.set_callers(broker.with_core(|core| core.fleet_size()));
        // Guards against keeping an overbooked discovery so: a constant pause of all gatherers never let it recover.
        pause = backoff.next_delay(overbooked);
    }
}

/// Watches on one connection until that fails; says why, and whether discovery has more to do than it bears.
async fn session(
    dial: &dyn Connector,
    address: &str,
    broker: &Broker,
    revision: &mut Option<u64>,
    backoff: &mut Backoff,
) -> (String, bool) {
    let wait = backoff.long_poll_timeout();
    let mut stream = match connect_with_timeout(dial, address, CONNECT).await {
        Ok(stream) => stream,
        Err(error) => return (format!("cannot connect: {error}"), false),
    };
    let mut buffer = BytesMut::new();
    loop {
        let watch = revision.map(|revision| (revision, wait.as_millis() as u64));
        let request = http::encode_request("GET", &discovery::endpoint_list_target(watch), address, None);
        let exchange = http_client::exchange(&mut *stream, &mut buffer, &request, 4 * http::MAX_BODY_BYTES);
        // Guards against a watch that has fallen silent: what it misses counts as told 2 s after its wait is over, and 6 s
        // after a call that does not wait.
        let longest = if watch.is_some() { wait + SLACK } else { ANSWER };
        let response = match tokio::time::timeout(longest, exchange).await {
            Ok(Ok(response)) if response.status == 200 => response,
            Ok(Ok(response)) => return (format!("status {}", response.status), true),
            Ok(Err(error)) => return (error.to_string(), false),
            Err(_) => return ("silent".to_owned(), false),
        };
        match discovery::decode_endpoint_list(&response.body) {
            Ok(listing) => {
                if revision.is_none() || !broker.with_core(|core| core.has_discovery_list()) {
                    let what = if listing.complete { "workers" } else { "changes" };
                    log::info!(
                        "discovery at {address}: list {} with {} {what}",
                        listing.revision,
                        listing.workers.len()
                    );
                }
                // Guards against a discovery that counts anew: its changes are not changes of the list held here.
                if revision.is_some_and(|held| listing.revision < held) && !listing.complete {
                    *revision = None;
                    continue;
                }
                *revision = Some(listing.revision);
                backoff.record_success();
                // A list without entries says only that the wait is over, unless it is the whole list.
                if listing.complete || !listing.workers.is_empty() {
                    broker.apply_endpoint_update(&listing, false);
                }
            }
            Err(error) => return (format!("unreadable list: {error}"), false),
        }
        if !response.keep_alive {
            return ("closed by the agent".to_owned(), false);
        }
    }
}
