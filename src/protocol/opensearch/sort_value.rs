//! Sort values of hits: their kinds, and a total order over all of them.
//!
//! Index servers are not trusted to send values of one kind. The order is total for any JSON, because sorting with an
//! order that is not total may panic.

use serde_json::Value;
use std::cmp::Ordering;

/// Text in which servers write positive infinity, which JSON has no number for.
const INFINITY: &str = "Infinity";
/// Text in which servers write negative infinity.
const NEGATIVE_INFINITY: &str = "-Infinity";
/// Text in which servers write a floating-point value that is not a number.
const NOT_A_NUMBER: &str = "NaN";

/// The kind of the values that one sort key has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Bool,
    Number,
    Text,
}

impl Kind {
    /// Returns whether a value is of this kind. Texts for floating-point values without a JSON number are of the kind
    /// number as well.
    fn includes(self, value: &Value) -> bool {
        match value {
            Value::Null => true,
            Value::Bool(_) => self == Kind::Bool,
            Value::Number(_) => self == Kind::Number,
            Value::String(text) => {
                self == Kind::Text || (self == Kind::Number && special_float(text).is_some())
            }
            Value::Array(_) | Value::Object(_) => false,
        }
    }
}

/// Returns the floating-point value that a server writes as this text.
fn special_float(text: &str) -> Option<f64> {
    match text {
        INFINITY => Some(f64::INFINITY),
        NEGATIVE_INFINITY => Some(f64::NEG_INFINITY),
        NOT_A_NUMBER => Some(f64::NAN),
        _ => None,
    }
}

/// Returns whether the values of one sort key are of one kind; missing values are of any.
pub(super) fn are_of_one_kind<'a>(values: impl Iterator<Item = &'a Value> + Clone) -> bool {
    [Kind::Number, Kind::Text, Kind::Bool]
        .into_iter()
        .any(|kind| values.clone().all(|value| kind.includes(value)))
}

/// A number that is compared exactly: integers keep all their digits.
#[derive(Clone, Copy, Debug)]
enum Number {
    /// An integer of 64 bits, signed or unsigned.
    Integer(i128),
    Float(f64),
}

impl Number {
    fn new(number: &serde_json::Number) -> Number {
        let integer = number.as_i64().map(i128::from).or_else(|| number.as_u64().map(i128::from));
        match integer {
            Some(integer) => Number::Integer(integer),
            // JSON has no number that is not finite, and each of the others is an integer or a float.
            None => Number::Float(number.as_f64().unwrap_or(f64::NAN)),
        }
    }

    /// Compares by value. A float that is not a number is greater than all others.
    fn compare(self, other: Number) -> Ordering {
        match (self, other) {
            (Number::Integer(a), Number::Integer(b)) => a.cmp(&b),
            (Number::Integer(a), Number::Float(b)) => compare_integer_to_float(a, b),
            (Number::Float(a), Number::Integer(b)) => compare_integer_to_float(b, a).reverse(),
            (Number::Float(a), Number::Float(b)) => {
                a.partial_cmp(&b).unwrap_or_else(|| a.is_nan().cmp(&b.is_nan()))
            }
        }
    }
}

/// Compares an integer of 64 bits to a float exactly.
fn compare_integer_to_float(integer: i128, float: f64) -> Ordering {
    /// A bound over all integers of 64 bits.
    const INTEGER_BOUND: f64 = (1_u128 << 65) as f64;
    if float.is_nan() || float >= INTEGER_BOUND {
        return Ordering::Less;
    }
    if float <= -INTEGER_BOUND {
        return Ordering::Greater;
    }
    let whole = float.trunc();
    integer.cmp(&(whole as i128)).then_with(|| whole.partial_cmp(&float).unwrap_or(Ordering::Equal))
}

/// A sort value that is present. Values of different kinds, which sound servers do not send for one key, are in the
/// order of the variants.
#[derive(Clone, Debug)]
enum Present {
    Bool(bool),
    Number(Number),
    Text(String),
}

impl Present {
    fn compare(&self, other: &Present) -> Ordering {
        let rank = |value: &Present| match value {
            Present::Bool(_) => 0,
            Present::Number(_) => 1,
            Present::Text(_) => 2,
        };
        match (self, other) {
            (Present::Bool(a), Present::Bool(b)) => a.cmp(b),
            (Present::Number(a), Present::Number(b)) => a.compare(*b),
            (Present::Text(a), Present::Text(b)) => a.cmp(b),
            _ => rank(self).cmp(&rank(other)),
        }
    }
}

/// A sort value of a hit.
#[derive(Clone, Debug)]
pub(super) struct SortValue(Option<Present>);

impl SortValue {
    /// Reads a value of a key that has numbers if `is_numeric` is set. What is no sort value counts as missing.
    pub(super) fn new(value: &Value, is_numeric: bool) -> SortValue {
        SortValue(match value {
            Value::Null | Value::Array(_) | Value::Object(_) => None,
            Value::Bool(value) => Some(Present::Bool(*value)),
            Value::Number(number) => Some(Present::Number(Number::new(number))),
            Value::String(text) => Some(match special_float(text).filter(|_| is_numeric) {
                Some(float) => Present::Number(Number::Float(float)),
                None => Present::Text(text.clone()),
            }),
        })
    }

    /// Compares two values of a key. Missing ones come first or last, whatever the direction.
    pub(super) fn compare(&self, other: &SortValue, descending: bool, missing_first: bool) -> Ordering {
        let missing_order = if missing_first { Ordering::Less } else { Ordering::Greater };
        match (&self.0, &other.0) {
            (None, None) => Ordering::Equal,
            (None, Some(_)) => missing_order,
            (Some(_), None) => missing_order.reverse(),
            (Some(a), Some(b)) if descending => a.compare(b).reverse(),
            (Some(a), Some(b)) => a.compare(b),
        }
    }
}
