//! What happened since the last line: how queries and attempts ended, and how long queries took.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Latencies are held in microseconds, up to ten minutes, to two digits.
const LONGEST_US: u64 = 600_000_000;
const DIGITS: u8 = 2;

/// Every way a query can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Answered whole within its class's wanted time.
    WholeInTime,
    /// Answered whole, but later.
    WholeLate,
    /// Answered in part, and said so.
    Partial,
    /// Refused: the module did not expect to serve it in time, or could not.
    RefusedDeclined,
    /// Refused: as many queries and parts as may be were open.
    RefusedFull,
    /// Refused: the process is stopping.
    RefusedStopping,
    /// Failed: the module gave it up, and it may have run.
    FailedGivenUp,
    /// Failed: it ran past its time.
    FailedOverdue,
    /// Its client left first.
    Left,
}

/// All ends, in order.
pub const ENDS: [End; 9] = [
    End::WholeInTime,
    End::WholeLate,
    End::Partial,
    End::RefusedDeclined,
    End::RefusedFull,
    End::RefusedStopping,
    End::FailedGivenUp,
    End::FailedOverdue,
    End::Left,
];

/// Which queries a count is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seen {
    /// Their class, as a number of the start's list.
    pub class: usize,
    /// Their tenant, where they have one.
    pub tenant: Option<usize>,
}

/// The queries of one class and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Queries {
    /// Their class, as a number of the start's list.
    pub class: usize,
    /// Their tenant, where they have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<usize>,
    /// How many were taken.
    pub taken: u64,
    /// How many ended so.
    pub ends: BTreeMap<End, u64>,
    /// Time from taking to answering, of those answered: a histogram of microseconds in HdrHistogram's V2 form, in
    /// base64; absent where none was answered.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub latency: String,
}

/// The attempts at one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Attempts {
    /// How many ended so.
    pub ends: BTreeMap<String, u64>,
    /// Time that those took which ended with a value, in microseconds, in all.
    pub done_us: u64,
}

impl Attempts {
    /// Those that ended with a value.
    pub fn done(&self) -> u64 {
        self.ends.get(DONE).copied().unwrap_or(0)
    }
    /// All that ended.
    pub fn all(&self) -> u64 {
        self.ends.values().sum()
    }
    /// Takes in those of another line.
    pub fn join(&mut self, other: Attempts) {
        other.ends.into_iter().for_each(|(end, count)| *self.ends.entry(end).or_default() += count);
        self.done_us += other.done_us;
    }
}

/// The name of the end that brings a value.
pub const DONE: &str = "done";

/// What one line of figures tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Second {
    /// Queries, by class and tenant.
    pub queries: Vec<Queries>,
    /// Attempts that ended, by worker.
    pub attempts: BTreeMap<String, Attempts>,
    /// Queries open at its end.
    pub open: usize,
    /// Descriptors held at its end.
    pub descriptors: usize,
    /// Bytes buffered for peers at its end.
    pub buffered: usize,
    /// Clients' connections at its end.
    pub clients: usize,
}

struct Tally {
    taken: u64,
    ends: [u64; ENDS.len()],
    latency: Histogram<u64>,
}

/// A histogram that holds what a query may take.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts; a histogram that resizes itself is as good.
    Histogram::new_with_max(LONGEST_US, DIGITS)
        .unwrap_or_else(|_| Histogram::new(DIGITS).expect("two digits"))
}

/// Adds up what happens, until a line is made of it.
#[derive(Default)]
pub struct Figures {
    queries: BTreeMap<Seen, Tally>,
    attempts: BTreeMap<String, Attempts>,
}

impl Figures {
    fn tally(&mut self, seen: Seen) -> &mut Tally {
        let new = || Tally { taken: 0, ends: [0; ENDS.len()], latency: histogram() };
        self.queries.entry(seen).or_insert_with(new)
    }

    /// A query was taken.
    pub fn taken(&mut self, seen: Seen) {
        self.tally(seen).taken += 1;
    }

    /// A query ended, after so much time.
    pub fn ended(&mut self, seen: Seen, end: End, took: Duration) {
        let tally = self.tally(seen);
        tally.ends[end as usize] += 1;
        if matches!(end, End::WholeInTime | End::WholeLate | End::Partial) {
            tally.latency.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
    }

    /// An attempt at a worker ended so, after so much time.
    pub fn attempt(&mut self, worker: &str, end: &'static str, took: Duration) {
        if !self.attempts.contains_key(worker) {
            self.attempts.insert(worker.to_owned(), Attempts::default());
        }
        let Some(attempts) = self.attempts.get_mut(worker) else { return };
        *attempts.ends.entry(end.to_owned()).or_default() += 1;
        if end == DONE {
            attempts.done_us += u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        }
    }

    /// Makes a line of what happened, and starts anew. What all lines and the rest add up to is all that happened.
    pub fn take(&mut self) -> Second {
        let mut second = Second::default();
        for (Seen { class, tenant }, tally) in std::mem::take(&mut self.queries) {
            let counted = ENDS.iter().map(|end| (*end, tally.ends[*end as usize]));
            second.queries.push(Queries {
                class,
                tenant,
                taken: tally.taken,
                ends: counted.filter(|(_, count)| *count > 0).collect(),
                latency: if tally.latency.is_empty() { String::new() } else { write(&tally.latency) },
            });
        }
        second.attempts = std::mem::take(&mut self.attempts);
        second
    }
}

fn write(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    // Writing to memory fails only for a histogram of more counts than the form holds.
    match V2Serializer::new().serialize(histogram, &mut bytes) {
        Ok(_) => BASE64.encode(&bytes),
        Err(_) => String::new(),
    }
}

/// Reads a histogram back. Guards against one that was made to be enormous.
pub fn read(text: &str) -> Option<Histogram<u64>> {
    let bytes = BASE64.decode(text).ok()?;
    let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
    (histogram.high() <= 2 * LONGEST_US && histogram.sigfig() <= DIGITS).then_some(histogram)
}
