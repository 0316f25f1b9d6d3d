//! The orders in which servers sort values that they write as text: by bytes, or by what the text stands for.

use super::sort_value::Number;
use jiff::Timestamp;
use std::cmp::Ordering;
use std::net::{IpAddr, Ipv6Addr};

/// How a server sorts the values of a field that it writes as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextOrder {
    /// By the bytes of the text.
    Bytes,
    /// As addresses, of which IPv4 ones are mapped into IPv6.
    Address,
    /// As version numbers.
    Version,
    /// As points in time, written in the format that the search or the field asks for.
    Time,
    /// As numbers, written in the format that the search asks for.
    Number,
    /// In an order that the text does not show.
    Unknown,
}

impl TextOrder {
    /// Returns the order of a field of this type, by the type's name in the API.
    pub(super) fn of_field_type(name: &str) -> TextOrder {
        match name {
            "ip" => TextOrder::Address,
            "version" => TextOrder::Version,
            "date" | "date_nanos" => TextOrder::Time,
            "byte" | "short" | "integer" | "long" | "unsigned_long" | "half_float" | "float" | "double"
            | "scaled_float" => TextOrder::Number,
            // Keywords, text, and keys of collations, which are encoded in their order.
            _ => TextOrder::Bytes,
        }
    }

    /// Whether these texts of one key can be compared.
    pub(super) fn can_compare<'a>(self, mut texts: impl Iterator<Item = &'a str> + Clone) -> bool {
        match self {
            TextOrder::Bytes | TextOrder::Address | TextOrder::Version => true,
            TextOrder::Time => {
                let first = texts.next().map(Time::parse);
                first.is_none_or(|first| first.is_some_and(|first| texts.all(|text| first.is_like(text))))
            }
            TextOrder::Number => texts.all(|text| Number::parse(text).is_some()),
            TextOrder::Unknown => {
                let first = texts.next();
                texts.all(|text| Some(text) == first)
            }
        }
    }

    /// Compares two texts. The order is total.
    pub(super) fn compare(self, a: &str, b: &str) -> Ordering {
        match self {
            TextOrder::Bytes | TextOrder::Unknown => a.cmp(b),
            TextOrder::Address => compare_parsed(parse_address(a), parse_address(b)),
            TextOrder::Version => compare_parsed(Version::parse(a), Version::parse(b)).then_with(|| a.cmp(b)),
            TextOrder::Time => compare_parsed(Time::parse(a), Time::parse(b)),
            TextOrder::Number => match (Number::parse(a), Number::parse(b)) {
                (Some(a), Some(b)) => a.compare(b),
                (a, b) => a.is_none().cmp(&b.is_none()),
            },
        }
    }
}

/// Compares two values. One that is not valid is behind all others.
fn compare_parsed<T: Ord>(a: Option<T>, b: Option<T>) -> Ordering {
    match (a, b) {
        (Some(a), Some(b)) => a.cmp(&b),
        (a, b) => a.is_none().cmp(&b.is_none()),
    }
}

fn parse_address(text: &str) -> Option<Ipv6Addr> {
    Some(match text.parse().ok()? {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    })
}

/// A point in time as a server writes it. Times in different forms are not compared.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Time<'a> {
    /// A date and time with its offset from UTC.
    Instant(Timestamp),
    /// Seconds or milliseconds since the epoch.
    Count(i128),
    /// A date, or a date and time without an offset, as `YYYY-MM-DD...`: such texts of one length sort as their times.
    Local(&'a str),
}

impl<'a> Time<'a> {
    fn parse(text: &'a str) -> Option<Time<'a>> {
        if let Ok(instant) = text.parse() {
            return Some(Time::Instant(instant));
        }
        if let Ok(count) = text.parse() {
            return Some(Time::Count(count));
        }
        is_local_time(text).then_some(Time::Local(text))
    }

    /// Whether a text is a time in the same form.
    fn is_like(&self, text: &str) -> bool {
        match (self, Time::parse(text)) {
            (Time::Local(local), Some(Time::Local(other))) => local.len() == other.len(),
            (time, Some(other)) => std::mem::discriminant(time) == std::mem::discriminant(&other),
            (_, None) => false,
        }
    }
}

fn is_local_time(text: &str) -> bool {
    const DATE: &[u8] = b"0000-00-00";
    let Some((date, time)) = text.as_bytes().split_at_checked(DATE.len()) else { return false };
    let is_date = date.iter().zip(DATE).all(|(byte, pattern)| match pattern {
        b'0' => byte.is_ascii_digit(),
        separator => byte == separator,
    });
    let is_time = |byte: &u8| byte.is_ascii_digit() || matches!(byte, b'T' | b' ' | b':' | b'.');
    is_date && time.iter().all(is_time)
}

/// A version number: numbers, then perhaps a pre-release, which comes before its release.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Version<'a> {
    numbers: Vec<Digits<'a>>,
    pre_release: PreRelease<'a>,
}

/// Digits that are compared as a number of any length: by the count of digits first, without leading zeros.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Digits<'a>(usize, &'a str);

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum PreRelease<'a> {
    Identifiers(Vec<Identifier<'a>>),
    /// A release, which is behind all its pre-releases.
    None,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Identifier<'a> {
    Number(Digits<'a>),
    Text(&'a str),
}

impl<'a> Version<'a> {
    /// Reads a version; `None` if the text does not begin with numbers.
    fn parse(text: &'a str) -> Option<Version<'a>> {
        let without_build = text.split_once('+').map_or(text, |parts| parts.0);
        let (numbers, pre_release) = match without_build.split_once('-') {
            Some((numbers, pre_release)) => (numbers, Some(pre_release)),
            None => (without_build, None),
        };
        let numbers = numbers.split('.').map(Digits::parse).collect::<Option<_>>()?;
        let identifiers = pre_release.map(|text| text.split('.').map(Identifier::parse).collect());
        Some(Version { numbers, pre_release: identifiers.map_or(PreRelease::None, PreRelease::Identifiers) })
    }
}

impl<'a> Digits<'a> {
    fn parse(text: &'a str) -> Option<Digits<'a>> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        let significant = text.trim_start_matches('0');
        Some(Digits(significant.len(), significant))
    }
}

impl<'a> Identifier<'a> {
    fn parse(text: &'a str) -> Identifier<'a> {
        Digits::parse(text).map_or(Identifier::Text(text), Identifier::Number)
    }
}
