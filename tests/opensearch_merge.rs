//! The merge of the results of index servers that are not trusted: which results are accepted, and the order of the hits.

use bytes::BytesMut;
use gatherer::protocol::http;
use gatherer::protocol::opensearch::{PageInfo, Search, check_result, merge_results};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::time::Duration;

/// Parses a search with this `sort`, for all hits of a window of 1000.
fn search(sort: &Value) -> Search {
    let body = json!({"sort": sort, "size": 1000}).to_string();
    let head = format!("POST /envelopes/_search HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = BytesMut::from(format!("{head}{body}").as_bytes());
    let request = http::take_request(&mut bytes).expect("a valid request").expect("a complete request");
    Search::parse(&request, 1000).expect("a valid search")
}

/// The result of a shard whose hits have these sort values and their numbers as ids.
fn result(rows: &[Value]) -> Vec<u8> {
    let hits = rows.iter().enumerate().map(|(id, sort)| json!({"_id": id.to_string(), "sort": sort}));
    let hits: Vec<Value> = hits.collect();
    let total = json!({"value": hits.len(), "relation": "eq"});
    let shards = json!({"total": 1, "successful": 1, "skipped": 0, "failed": 0});
    json!({"timed_out": false, "_shards": shards, "hits": {"total": total, "max_score": null, "hits": hits}})
        .to_string()
        .into_bytes()
}

/// The first sort values of the hits in their merged order.
fn merged(sort: &Value, results: &[Vec<u8>]) -> Vec<Value> {
    let shards = results.iter().enumerate().map(|(shard, body)| (shard as u32, &body[..]));
    let hits = merge_results(&search(sort), shards).hits;
    let text = hits.page(0..hits.len()).expect("all hits");
    let hits: Vec<Value> = serde_json::from_str(&format!("[{text}]")).expect("hits are valid JSON");
    hits.into_iter().map(|hit| hit["sort"][0].clone()).collect()
}

// Guards against an answer of which a part is noise that counts as served.
#[test]
fn a_result_whose_sort_values_are_not_of_one_kind_is_rejected() {
    let spoilt = [
        json!([[1, "a"], ["9f3c", "b"]]),
        json!([[1, "a"], [true, "b"]]),
        json!([["x", "a"], [false, "b"]]),
        json!([["Infinity", "a"], ["x", "b"], [2, "c"]]),
        json!([[[1], "a"]]),
        json!([[{"n": 1}, "a"]]),
        json!([[1, "a"], [2]]),
        json!([[1, "a"], null]),
    ];
    for rows in spoilt {
        assert!(check_result(&result(rows.as_array().expect("rows"))).is_err(), "{rows}");
    }
}

// Guards against a check that rejects what sound servers send, which would lose their answers.
#[test]
fn a_result_with_missing_infinite_and_differently_written_values_is_accepted() {
    let sound = [
        json!([]),
        json!([[1, "a"], [2.5, "b"], [null, "c"], [-3, "d"], [u64::MAX, "e"], [1e300, "f"]]),
        json!([["-Infinity", "a"], [0.5, "b"], ["Infinity", "c"], ["NaN", "d"]]),
        json!([["Infinity", "a"], ["Infinity", "b"]]),
        json!([["Infinity", "a"], ["Inertia", "b"], [null, "c"]]),
        json!([[true, "a"], [null, "b"], [false, "c"]]),
        json!([[null, null], [null, null]]),
    ];
    for rows in sound {
        assert!(check_result(&result(rows.as_array().expect("rows"))).is_ok(), "{rows}");
    }
}

/// A result without hits and with these members in place of its own.
fn result_with(members: &Value) -> Vec<u8> {
    let mut result: Value = serde_json::from_slice(&result(&[])).expect("JSON");
    for (name, member) in members.as_object().expect("members") {
        if member == "absent" {
            result.as_object_mut().expect("a result").remove(name);
        } else {
            result[name] = member.clone();
        }
    }
    result.to_string().into_bytes()
}

// Guards against a result that lacks documents and counts as complete: a server that has not been allocated its shard
// answers so, and faster than all others.
#[test]
fn a_result_that_does_not_say_that_its_one_shard_was_searched_is_rejected() {
    let counts = |total: u64, successful: u64, failed: u64| json!({"total": total, "successful": successful, "skipped": 0, "failed": failed});
    let incomplete = [
        json!({"_shards": counts(1, 0, 0)}),
        json!({"_shards": counts(1, 0, 1)}),
        json!({"_shards": counts(1, 1, 1)}),
        json!({"_shards": counts(0, 0, 0)}),
        json!({"_shards": counts(2, 1, 0)}),
        json!({"_shards": counts(2, 2, 0)}),
        json!({"_shards": counts(1, 2, 0)}),
        json!({"_shards": {"total": 1, "successful": 1, "skipped": 2, "failed": 0}}),
        json!({"_shards": {"total": 1, "successful": 1, "failed": 0, "failures": [{"shard": 0}]}}),
        json!({"_shards": {"failed": 0}}),
        json!({"_shards": {"total": 1, "successful": 1}}),
        json!({"_shards": "absent"}),
        json!({"timed_out": true}),
        json!({"timed_out": "absent"}),
        json!({"terminated_early": true}),
        json!({"hits": "absent"}),
        json!({"hits": {"total": {"value": 0, "relation": "eq"}, "hits": [{"_id": "a", "sort": [1]}]}}),
        json!({"hits": {"total": {"value": 0, "relation": "about"}, "hits": []}}),
    ];
    for members in incomplete {
        assert!(check_result(&result_with(&members)).is_err(), "{members}");
    }
}

// Guards against a check that rejects what sound servers of other versions and settings send.
#[test]
fn a_complete_result_is_accepted_whatever_else_it_says() {
    let complete = [
        json!({}),
        json!({"_shards": {"total": 1, "successful": 1, "failed": 0}}),
        json!({"_shards": {"total": 1, "successful": 1, "skipped": 1, "failed": 0, "failures": []}}),
        json!({"terminated_early": false, "num_reduce_phases": 1, "took": 0, "profile": {}}),
        json!({"terminated_early": null, "took": "absent"}),
        json!({"hits": {"max_score": null, "hits": [{"_id": "a", "sort": [1]}]}}),
        json!({"hits": {"total": {"value": 10_000, "relation": "gte"}, "max_score": 1.5, "hits": []}}),
        json!({"hits": {"total": {"value": 0, "relation": "gte"}, "hits": [{"_id": "a", "sort": [1]}]}}),
    ];
    for members in complete {
        let checked = check_result(&result_with(&members));
        assert!(checked.is_ok(), "{members}: {checked:?}");
    }
}

#[test]
fn numbers_are_merged_by_their_exact_value_and_infinities_at_the_ends() {
    // 2^53 and 2^53 + 1 are the same as floats.
    let (two_to_53, next) = (json!(9_007_199_254_740_992_u64), json!(9_007_199_254_740_993_u64));
    let ascending = [
        json!("-Infinity"),
        json!(-1e300),
        json!(i64::MIN),
        json!(-0.5),
        json!(0),
        json!(0.5),
        two_to_53,
        next,
        json!(i64::MAX),
        json!(u64::MAX),
        json!(1e300),
        json!("Infinity"),
        Value::Null,
    ];
    let shards = |parity: usize| {
        let rows = ascending.iter().enumerate().filter(|(index, _)| index % 2 == parity);
        result(&rows.map(|(index, value)| json!([value, index.to_string()])).collect::<Vec<_>>())
    };
    let results = [shards(1), shards(0)];
    assert_eq!(merged(&json!([{"price": "asc"}]), &results), ascending);
    let mut descending: Vec<Value> = ascending[..12].iter().rev().cloned().collect();
    descending.push(Value::Null);
    assert_eq!(merged(&json!([{"price": "desc"}]), &results), descending, "missing values are last");
}

#[test]
fn the_text_infinity_is_a_text_among_texts() {
    let results =
        [result(&[json!(["Inertia", "a"]), json!(["Ink", "b"])]), result(&[json!(["Infinity", "c"])])];
    assert_eq!(merged(&json!([{"name": "asc"}]), &results), ["Inertia", "Infinity", "Ink"]);
}

#[test]
fn totals_at_their_extremes_are_merged_without_overflow() {
    let empty = String::from_utf8(result(&[])).expect("text");
    let huge = empty.replace(r#""value":0"#, &format!(r#""value":{}"#, u64::MAX));
    let results = [huge.as_bytes(), huge.as_bytes()];
    let merged =
        merge_results(&search(&json!([])), results.into_iter().zip(0..).map(|(body, shard)| (shard, body)));
    let info = PageInfo { took: Duration::ZERO, shards: 2, scroll_id: None };
    let page: Value = serde_json::from_str(&merged.page(0..0, &info).expect("a page")).expect("valid JSON");
    assert_eq!(page["hits"]["total"]["value"], json!(u64::MAX));
}

/// Any sort value that JSON can express.
fn any_sort_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (-4_i64..4).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-f0-9]{0,3}".prop_map(Value::from),
        prop_oneof![Just("Infinity"), Just("-Infinity"), Just("NaN")].prop_map(Value::from),
        Just(json!([1])),
        Just(json!({"n": 1})),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against an order that is not total: sorting panics on it, and the search is never answered. Each result is
    // of one hit, so that none is rejected for mixed kinds and all kinds meet in the merge.
    #[test]
    fn any_mix_of_sort_values_is_merged(
        values in vec(any_sort_value(), 2..120),
        direction in prop_oneof![Just("asc"), Just("desc")],
        missing in prop_oneof![Just("_first"), Just("_last")],
    ) {
        let results: Vec<Vec<u8>> =
            values.iter().enumerate().map(|(id, value)| result(&[json!([value, id.to_string()])])).collect();
        let accepted = results.iter().filter(|body| check_result(body).is_ok()).count();
        let sort = json!([{"price": {"order": direction, "missing": missing}}]);
        let order = merged(&sort, &results);
        prop_assert_eq!(order.len(), accepted);
        // Any other order of the shards gives the same order of the values, except among equal ones.
        let reversed: Vec<Vec<u8>> = results.iter().rev().cloned().collect();
        let again = merged(&sort, &reversed);
        let unequal = order.iter().zip(&again).filter(|(a, b)| a != b);
        for (a, b) in unequal {
            prop_assert_eq!(a.as_f64(), b.as_f64(), "{} and {} are not equal", a, b);
        }
    }
}
