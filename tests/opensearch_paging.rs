//! Pages of the OpenSearch-style front in the order of its servers, which sort fields by their types.

mod common;

use common::process::{IndexServer, OpenSearchFront, hits_of, shard_of, shard_result};
use gatherer::protocol::http::Response;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::net::Ipv4Addr;

/// Documents of the index, and hits of a page.
const DOCUMENTS: usize = 100;
const PAGE: usize = 10;

/// The documents: their ids, and the addresses that they were signed from.
fn documents() -> Vec<(String, Ipv4Addr)> {
    let mut random = fastrand::Rng::with_seed(7);
    let address = |random: &mut fastrand::Rng| Ipv4Addr::new(127, 0, random.u8(..20), random.u8(1..));
    (0..DOCUMENTS).map(|number| (format!("d{number:03}"), address(&mut random))).collect()
}

/// The documents as a server with all of them sorts them by address.
fn sorted(mut documents: Vec<(String, Ipv4Addr)>, descending: bool) -> Vec<(String, Ipv4Addr)> {
    documents.sort_by_key(|(id, address)| (*address, id.clone()));
    if descending {
        documents.sort_by_key(|(_, address)| Reverse(*address));
    }
    documents
}

/// Starts a server that sorts by addresses, and reports this type of the field; status 404 without one. Documents are in
/// the shard that `shard_of_document` says.
fn start_server(field_type: Option<&'static str>, shard_of_document: fn(usize) -> usize) -> IndexServer {
    IndexServer::start(move |request| {
        if request.path.ends_with("/_field_caps") {
            assert_eq!(request.query, "fields=signed_from");
            return match field_type {
                Some(name) => {
                    let types = json!({"fields": {"signed_from": {name: {"type": name}}}});
                    Response::json(200, types.to_string())
                }
                None => Response::json(404, "{}"),
            };
        }
        let body: Value = serde_json::from_slice(&request.body).expect("JSON");
        let descending = body["sort"][0]["signed_from"] == "desc";
        let size = usize::try_from(body["size"].as_u64().expect("a size")).expect("a count");
        let all = documents().into_iter().enumerate();
        let own = all.filter(|(number, _)| shard_of_document(*number) == shard_of(request));
        let own = sorted(own.map(|(_, document)| document).collect(), descending);
        let hits: Vec<(String, String, Value)> = own
            .iter()
            .map(|(id, address)| (id.clone(), "{}".to_owned(), json!([address.to_string(), id])))
            .collect();
        let total = format!(r#""total":{{"value":{}"#, hits.len());
        let result = shard_result(&hits[..size.min(hits.len())]);
        let sent = format!(r#""total":{{"value":{}"#, size.min(hits.len()));
        Response::json(200, result.replace(&sent, &total))
    })
}

fn ids(hits: &[Value]) -> Vec<String> {
    hits.iter().map(|hit| hit["_id"].as_str().expect("an id").to_owned()).collect()
}

/// The ids on all pages, read by `from`.
fn read_pages(front: &OpenSearchFront, direction: &str) -> Vec<String> {
    let page = |from: usize| {
        let sort = json!([{"signed_from": direction}]);
        let body = json!({"from": from, "size": PAGE, "sort": sort});
        let response = front.request("/envelopes/_search", None, &body);
        assert_eq!(response.status, 200, "{}", String::from_utf8_lossy(&response.body));
        ids(&hits_of(&response))
    };
    (0..DOCUMENTS).step_by(PAGE).flat_map(page).collect()
}

/// The ids on all pages, read by a scroll.
fn scroll_pages(front: &OpenSearchFront, direction: &str) -> Vec<String> {
    let body = json!({"size": PAGE, "sort": [{"signed_from": direction}]});
    let mut response = front.request("/envelopes/_search?scroll=1m", None, &body);
    let mut all = Vec::new();
    loop {
        assert_eq!(response.status, 200, "{}", String::from_utf8_lossy(&response.body));
        let page = ids(&hits_of(&response));
        if page.is_empty() {
            return all;
        }
        all.extend(page);
        let found: Value = serde_json::from_slice(&response.body).expect("JSON");
        response = front.request("/_search/scroll", None, &json!({"scroll_id": found["_scroll_id"]}));
    }
}

const LIMITS: &str = "max_open = 12, window = 1000";

// Guards against addresses that are merged as texts: pages repeated documents and left others out.
#[test]
fn pages_by_address_are_those_of_one_server_with_all_documents() {
    for (name, shard_of_document) in
        [("one-shard", (|_| 1) as fn(usize) -> usize), ("two-shards", |number| number % 2)]
    {
        let server = start_server(Some("ip"), shard_of_document);
        let front = OpenSearchFront::start(name, LIMITS, &[&server]);
        for (direction, descending) in [("asc", false), ("desc", true)] {
            let expected: Vec<String> =
                sorted(documents(), descending).into_iter().map(|(id, _)| id).collect();
            assert_eq!(read_pages(&front, direction), expected, "{name}, {direction}");
            assert_eq!(scroll_pages(&front, direction), expected, "{name}, {direction}, scroll");
        }
    }
}

// A server that does not report types is taken to sort texts as texts. Where its hits show that it does not, the answer
// is an error in place of wrong pages; where one shard has all hits, its order needs no type.
#[test]
fn without_field_types_a_wrong_order_is_an_error() {
    let server = start_server(None, |number| number % 2);
    let front = OpenSearchFront::start("no-types", LIMITS, &[&server]);
    let body = json!({"size": DOCUMENTS, "sort": [{"signed_from": "asc"}]});
    let response = front.request("/envelopes/_search", None, &body);
    assert_eq!(response.status, 400);
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(text.contains("cannot sort by [signed_from]"), "{text}");

    let server = start_server(None, |_| 0);
    let front = OpenSearchFront::start("no-types-one-shard", LIMITS, &[&server]);
    let expected: Vec<String> = sorted(documents(), false).into_iter().map(|(id, _)| id).collect();
    assert_eq!(read_pages(&front, "asc"), expected);
}

#[test]
fn a_search_that_must_not_run_twice_is_answered_as_failed_where_its_order_cannot_be_merged() {
    let server = start_server(None, |number| number % 2);
    let front = OpenSearchFront::start("once-no-types", LIMITS, &[&server]);
    let body = json!({"size": DOCUMENTS, "sort": [{"signed_from": "asc"}]});
    let key = front.idempotency_key();
    let statuses = [0, 1].map(|_| front.request("/seals/_search", Some(&key), &body).status);
    assert_eq!((statuses, server.runs_of("seals")), ([500, 500], 2));
}
