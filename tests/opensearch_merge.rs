//! The merge of the results of index servers that are not trusted: which results are accepted, and the order of the hits.

use bytes::BytesMut;
use gatherer::protocol::http;
use gatherer::protocol::opensearch::{
    FieldTypes, MergeError, MergedResult, PageInfo, Search, TextOrder, check_result,
    field_capabilities_target, merge_results,
};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::time::Duration;

/// Parses a search with this `sort`, for all hits of a window of 1000.
fn search(sort: &Value) -> Search {
    search_of(&json!({"sort": sort, "size": 1000}))
}

/// Parses a search with this body, in a window of 1000.
fn search_of(body: &Value) -> Search {
    let body = body.to_string();
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

/// Merges results, with fields that servers report to be of this type.
fn merge(search: &Search, results: &[Vec<u8>], field_type: &str) -> Result<MergedResult, MergeError> {
    let fields = ["price", "name", "day", "field"].map(str::to_owned);
    let types = fields.iter().map(|field| (field.clone(), json!({field_type: {"type": field_type}})));
    let reported = json!({"fields": types.collect::<serde_json::Map<_, _>>()}).to_string();
    let types = FieldTypes::parse(reported.as_bytes(), &fields).expect("a valid response");
    let shards = results.iter().enumerate().map(|(shard, body)| (shard as u32, &body[..]));
    merge_results(search, shards, &types)
}

/// The hits of a merged result.
fn hits(merged: &MergedResult) -> Vec<Value> {
    let text = merged.hits.page(0..merged.hits.len()).expect("all hits");
    serde_json::from_str(&format!("[{text}]")).expect("hits are valid JSON")
}

/// The first sort values of the hits of keyword fields in their merged order.
fn merged(sort: &Value, results: &[Vec<u8>]) -> Vec<Value> {
    let merged = merge(&search(sort), results, "keyword").expect("an order that can be merged");
    hits(&merged).into_iter().map(|hit| hit["sort"][0].clone()).collect()
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
    let mut descending: Vec<Value> = ascending[..12].iter().rev().cloned().collect();
    descending.push(Value::Null);
    // Each shard sends every second value in the order of the search, as servers do.
    let shard = |values: &[Value], parity: usize| {
        let rows = values.iter().enumerate().filter(|(index, _)| index % 2 == parity);
        result(&rows.map(|(index, value)| json!([value, index.to_string()])).collect::<Vec<_>>())
    };
    for (direction, values) in [("asc", &ascending[..]), ("desc", &descending)] {
        let results = [shard(values, 1), shard(values, 0)];
        let order = merged(&json!([{"price": direction}]), &results);
        assert_eq!(order, values, "{direction}: missing values are last");
    }
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
    let results = [huge.clone().into_bytes(), huge.into_bytes()];
    let merged = merge(&search(&json!([])), &results, "keyword").expect("no hits to merge");
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
    // of one hit, so that none is rejected for mixed kinds and all kinds meet in the merge. Kinds that cannot be compared
    // are an error, and never an order without a meaning.
    #[test]
    fn any_mix_of_sort_values_is_merged_or_rejected(
        values in vec(any_sort_value(), 2..120),
        direction in prop_oneof![Just("asc"), Just("desc")],
        missing in prop_oneof![Just("_first"), Just("_last")],
        texts_alone in any::<bool>(),
    ) {
        let values: Vec<Value> =
            values.into_iter().filter(|value| !texts_alone || value.is_string() || value.is_null()).collect();
        let results: Vec<Vec<u8>> =
            values.iter().enumerate().map(|(id, value)| result(&[json!([value, id.to_string()])])).collect();
        let accepted: Vec<&Value> =
            values.iter().filter(|value| check_result(&result(&[json!([value, "a"])])).is_ok()).collect();
        let sort = json!([{"price": {"order": direction, "missing": missing}}]);
        let merge = |results: &[Vec<u8>]| merge(&search(&sort), results, "keyword");
        let is_of_one_kind = check_result(&result(&accepted.iter().map(|value| json!([value, "a"])).collect::<Vec<_>>())).is_ok();
        let merged = merge(&results);
        prop_assert_eq!(merged.is_ok(), is_of_one_kind || accepted.len() < 2, "{:?}", merged);
        let Ok(merged) = merged else { return Ok(()) };
        let first_values = |merged: &MergedResult| hits(merged).iter().map(|hit| hit["sort"][0].clone()).collect::<Vec<_>>();
        let order = first_values(&merged);
        prop_assert_eq!(order.len(), accepted.len());
        // Any other order of the shards gives the same order of the values, except among equal ones.
        let reversed: Vec<Vec<u8>> = results.iter().rev().cloned().collect();
        let again = first_values(&merge(&reversed).expect("the same values"));
        let unequal = order.iter().zip(&again).filter(|(a, b)| a != b);
        for (a, b) in unequal {
            prop_assert_eq!(a.as_f64(), b.as_f64(), "{} and {} are not equal", a, b);
        }
    }
}

/// The rows of hits with these values and their positions as ids, in this order.
fn rows(values: &[&str]) -> Vec<Value> {
    values.iter().enumerate().map(|(id, value)| json!([value, format!("{id:03}")])).collect()
}

/// Distributes rows over shards, each with the rows of its own in their order.
fn shards_of(rows: &[Value], shards: usize) -> Vec<Vec<u8>> {
    let of_shard = |shard| rows.iter().skip(shard).step_by(shards).cloned().collect::<Vec<_>>();
    (0..shards).map(|shard| result(&of_shard(shard))).collect()
}

/// Texts of each type in the order of its servers.
fn ordered_texts() -> [(&'static str, Vec<&'static str>); 7] {
    [
        ("keyword", vec!["", "10.0.0.1", "9.0.0.1", "Zug", "aß", "z", "é", "\u{1f600}"]),
        (
            "ip",
            vec![
                "::1",
                "2.0.0.1",
                "9.0.0.1",
                "10.0.0.1",
                "10.0.0.2",
                "127.0.0.9",
                "127.0.0.10",
                "2001:db8::1",
                "fe80::",
            ],
        ),
        ("version", vec!["1.9.0", "1.10.0-alpha.2", "1.10.0-alpha.11", "1.10.0", "9.2.0", "10.1.0", "none"]),
        (
            "date",
            vec![
                "2024-12-31T23:59:59.999Z",
                "2025-01-01T00:00:00.000+00:00",
                "2025-01-01T00:30:00.000Z",
                "2025-01-01T00:15:00.000-01:00",
            ],
        ),
        (
            "date_nanos",
            vec!["2025-01-01T00:00:00Z", "2025-01-01T00:00:00.000000001Z", "2025-01-01T00:00:00.1Z"],
        ),
        ("date", vec!["2024-12-31", "2025-01-01", "2025-01-02"]),
        ("long", vec!["-3", "9", "10", "18446744073709551615"]),
    ]
}

// Guards against texts that are compared as texts whatever their field is: pages repeat documents and leave others out.
#[test]
fn texts_of_each_type_are_merged_in_the_order_of_their_servers() {
    for (field_type, ascending) in ordered_texts() {
        let descending: Vec<&str> = ascending.iter().rev().copied().collect();
        for (direction, values) in [("asc", &ascending), ("desc", &descending)] {
            for shards in 1..=6 {
                let results = shards_of(&rows(values), shards);
                let search = search(&json!([{"field": direction}]));
                let merged = merge(&search, &results, field_type).expect("an order that can be merged");
                let order: Vec<Value> = hits(&merged).iter().map(|hit| hit["sort"][0].clone()).collect();
                assert_eq!(order, *values, "{field_type}, {direction}, {shards} shards");
            }
        }
    }
}

#[test]
fn a_single_shards_order_is_kept_whatever_its_values_are() {
    let orders = [json!(["b", "a", "c"]), json!([3, 1, 2]), json!([null, "x", null]), json!(["é", "f", "E"])];
    for values in orders {
        let rows: Vec<Value> =
            values.as_array().expect("values").iter().map(|value| json!([value, "id"])).collect();
        let results = [result(&[]), result(&rows), result(&[])];
        let merged = merge(&search(&json!(["field"])), &results, "date").expect("nothing to compare");
        let order: Vec<Value> = hits(&merged).iter().map(|hit| hit["sort"][0].clone()).collect();
        assert_eq!(json!(order), values);
    }
}

// Guards against wrong pages in place of an error.
#[test]
fn an_order_that_cannot_be_merged_is_an_error() {
    let results = |first: &[&str], second: &[&str]| [result(&rows(first)), result(&rows(second))];
    let search = search(&json!(["field"]));
    let error = |results: &[Vec<u8>], field_type| merge(&search, results, field_type).expect_err("an error");
    let formatted = results(&["31/12/2024"], &["01/01/2025"]);
    assert_eq!(error(&formatted, "date"), MergeError::NotComparable("field".to_owned()));
    let unsorted = results(&["b", "a"], &["c"]);
    assert_eq!(error(&unsorted, "keyword"), MergeError::UnknownOrder("field".to_owned()));
    let mixed = [result(&[json!([1, "a"])]), result(&[json!(["x", "b"])])];
    assert_eq!(error(&mixed, "keyword"), MergeError::NotComparable("field".to_owned()));
    let unknown = merge_results(
        &search,
        [(0, &unsorted[0][..]), (1, &unsorted[1][..])].into_iter(),
        &FieldTypes::default(),
    );
    assert_eq!(unknown.expect_err("an error"), MergeError::UnknownFieldTypes(vec!["field".to_owned()]));
}

// Guards against a check of the order that sound servers fail, which would lose their answers.
#[test]
fn ties_zeros_infinities_and_scores_of_32_bits_are_merged() {
    let sorted = [
        json!([{"price": "asc"}]),
        json!([[-0.0, "b"], [0.0, "a"], ["Infinity", "c"], ["NaN", "d"]]),
        json!(["_score"]),
        json!([[1.1, "b"], [0.1, "a"], [0.1, "b"], [0.099_999_994, "a"]]),
        json!([{"name": {"order": "asc", "missing": "m"}}]),
        json!([["l", "a"], [null, "b"], ["n", "a"]]),
        json!([{"price": {"order": "asc", "missing": 5}}]),
        json!([[4, "a"], [null, "b"], [6, "a"]]),
        json!([{"name": {"order": "desc", "missing": "_first"}}]),
        json!([[null, "a"], ["n", "b"], ["n", "c"]]),
    ];
    for pair in sorted.chunks(2) {
        let rows = pair[1].as_array().expect("rows");
        for shards in 1..=3 {
            let merged =
                merge(&search(&pair[0]), &shards_of(rows, shards), "keyword").expect("a sound order");
            let order: Vec<Value> = hits(&merged).iter().map(|hit| hit["sort"][0].clone()).collect();
            let expected: Vec<Value> = rows.iter().map(|row| row[0].clone()).collect();
            assert_eq!(order, expected, "{} over {shards} shards", pair[0]);
        }
    }
}

// Guards against pages that depend on how many hits a shard was asked for.
#[test]
fn pages_neither_repeat_nor_leave_out_hits_in_any_order_of_the_servers() {
    let mut random = fastrand::Rng::with_seed(57);
    let shards: Vec<Vec<Value>> = (0..3)
        .map(|shard| (0..40).map(|number| json!([random.u8(..), format!("{shard}-{number}")])).collect())
        .collect();
    let mut seen = Vec::new();
    for from in (0..120).step_by(10) {
        let body = json!({"sort": ["price", "_id"], "from": from, "size": 10});
        let results: Vec<Vec<u8>> = shards.iter().map(|rows| result(&rows[..(from + 10).min(40)])).collect();
        let merged = merge(&search_of(&body), &results, "keyword").expect("numbers are not checked");
        assert_eq!(merged.hits.len(), 10);
        seen.extend(hits(&merged).iter().map(|hit| hit["sort"][1].to_string()));
    }
    let count = seen.len();
    seen.sort();
    seen.dedup();
    assert_eq!((count, seen.len()), (120, 120));
}

#[test]
fn field_types_are_read_from_the_response_of_a_server() {
    let fields = ["address", "mixed", "unmapped"].map(str::to_owned);
    let response = json!({"indices": ["envelopes"], "fields": {
        "address": {"ip": {"type": "ip", "searchable": true, "aggregatable": true}},
        "mixed": {"keyword": {"type": "keyword"}, "long": {"type": "long"}},
    }});
    let types = FieldTypes::parse(response.to_string().as_bytes(), &fields).expect("a valid response");
    let orders = fields.each_ref().map(|field| types.text_order(field));
    assert_eq!(orders, [Some(TextOrder::Address), Some(TextOrder::Unknown), Some(TextOrder::Bytes)]);
    assert_eq!(FieldTypes::parse(br#"{"error": {}}"#, &fields), None);
    assert_eq!(
        field_capabilities_target("envelopes", &["a.b".to_owned(), "c&d".to_owned()]),
        "/envelopes/_field_caps?fields=a.b%2Cc%26d"
    );
}
