//! Sort values of hits: their kinds, and a total order over all of them.
//!
//! Index servers are not trusted to send values of one kind. The order is total for any JSON, because sorting with an
//! order that is not total may panic.

use std::borrow::Cow;
use std::cmp::Ordering;

/// Text in which servers write positive infinity, which JSON has no number for.
const INFINITY: &str = "Infinity";
/// Text in which servers write negative infinity.
const NEGATIVE_INFINITY: &str = "-Infinity";
/// Text in which servers write a floating-point value that is not a number.
const NOT_A_NUMBER: &str = "NaN";

/// A number that is compared exactly: integers keep all their digits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Number {
    Integer(i128),
    Float(f64),
}

impl Number {
    /// Reads a JSON number.
    pub(super) fn parse(text: &str) -> Option<Number> {
        let integer = text.parse().map(Number::Integer).ok();
        integer.or_else(|| text.parse().map(Number::Float).ok())
    }

    /// Compares by value. A float that is not a number is greater than all others, and zero greater than negative zero.
    pub(super) fn compare(self, other: Number) -> Ordering {
        match (self, other) {
            (Number::Integer(a), Number::Integer(b)) => a.cmp(&b),
            (Number::Integer(a), Number::Float(b)) => compare_integer_to_float(a, b),
            (Number::Float(a), Number::Integer(b)) => compare_integer_to_float(b, a).reverse(),
            (Number::Float(a), Number::Float(b)) => {
                let order = a.partial_cmp(&b).unwrap_or_else(|| a.is_nan().cmp(&b.is_nan()));
                order.then_with(|| b.is_sign_negative().cmp(&a.is_sign_negative()))
            }
        }
    }
}

/// Compares an integer to a float exactly.
fn compare_integer_to_float(integer: i128, float: f64) -> Ordering {
    /// The least float over all integers of 128 bits.
    const INTEGER_BOUND: f64 = -(i128::MIN as f64);
    if float.is_nan() || float >= INTEGER_BOUND {
        return Ordering::Less;
    }
    if float < -INTEGER_BOUND {
        return Ordering::Greater;
    }
    let whole = float.trunc();
    integer.cmp(&(whole as i128)).then_with(|| whole.partial_cmp(&float).unwrap_or(Ordering::Equal))
}

/// A sort value of a hit.
#[derive(Clone, Debug)]
pub(super) enum SortValue<'a> {
    /// The document has no value.
    Missing,
    /// A boolean.
    Bool(bool),
    /// A number.
    Number(Number),
    /// A text, which may stand for a floating-point value that JSON has no number for.
    Text(Cow<'a, str>),
}

impl<'a> SortValue<'a> {
    /// Reads a sort value from its JSON text; `None` if it is an array, an object or invalid.
    pub(super) fn parse(json: &'a str) -> Option<SortValue<'a>> {
        match json.as_bytes().first()? {
            b'n' => Some(SortValue::Missing),
            b't' => Some(SortValue::Bool(true)),
            b'f' => Some(SortValue::Bool(false)),
            b'"' => {
                let unescaped = json.strip_prefix('"')?.strip_suffix('"')?;
                if unescaped.contains('\\') {
                    return Some(SortValue::Text(serde_json::from_str::<String>(json).ok()?.into()));
                }
                Some(SortValue::Text(unescaped.into()))
            }
            b'-' | b'0'..=b'9' => Number::parse(json).map(SortValue::Number),
            _ => None,
        }
    }

    /// The number that a value of a numeric key is.
    fn as_number(&self) -> Option<Number> {
        match self {
            SortValue::Number(number) => Some(*number),
            SortValue::Text(text) => special_float(text).map(Number::Float),
            SortValue::Missing | SortValue::Bool(_) => None,
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

/// The kind of the values of one sort key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// No hit has a value.
    AllMissing,
    /// All values are booleans.
    Bool,
    /// All values are numbers, or texts for floating-point values that JSON has no number for.
    Number,
    /// All values are texts.
    Text,
}

impl Kind {
    /// Returns the kind of values of one key, of which missing ones are of any; `None` if they are of several.
    pub(super) fn of<'a, 'v: 'a>(values: impl Iterator<Item = &'a SortValue<'v>> + Clone) -> Option<Kind> {
        let mut present = values.filter(|value| !matches!(value, SortValue::Missing));
        let all = present.clone();
        let Some(first) = present.next() else { return Some(Kind::AllMissing) };
        if all.clone().all(|value| matches!(value, SortValue::Text(_))) {
            return Some(Kind::Text);
        }
        if all.clone().all(|value| value.as_number().is_some()) {
            return Some(Kind::Number);
        }
        let all_bool =
            matches!(first, SortValue::Bool(_)) && present.all(|value| matches!(value, SortValue::Bool(_)));
        all_bool.then_some(Kind::Bool)
    }
}

impl SortValue<'_> {
    /// Compares two values that are present, of a key of this kind. Values of other kinds, which sound servers do not
    /// send, are ordered by their kinds: the order is total.
    pub(super) fn compare_present(&self, other: &SortValue<'_>, kind: Kind) -> Ordering {
        let number = |value: &SortValue<'_>| if kind == Kind::Text { None } else { value.as_number() };
        match (self, other) {
            (SortValue::Bool(a), SortValue::Bool(b)) => a.cmp(b),
            (a, b) => match (number(a), number(b)) {
                (Some(a), Some(b)) => a.compare(b),
                (a_number, b_number) => {
                    let rank = |value: &SortValue<'_>, number: Option<Number>| match value {
                        SortValue::Missing | SortValue::Bool(_) => 0,
                        _ if number.is_some() => 1,
                        SortValue::Number(_) | SortValue::Text(_) => 2,
                    };
                    rank(a, a_number).cmp(&rank(b, b_number)).then_with(|| a.text().cmp(&b.text()))
                }
            },
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            SortValue::Text(text) => Some(text),
            SortValue::Missing | SortValue::Bool(_) | SortValue::Number(_) => None,
        }
    }
}
