//! Metrics as lines of statsd's plain form: `NAME:VALUE|c` for counts, `NAME:VALUE|g` for gauges.
//!
//! It owns the form alone: what is counted, and under which names, the caller says.

use std::fmt::Write;

/// Lines of metrics, all under one prefix.
#[derive(Debug)]
pub struct MetricLines {
    prefix: &'static str,
    text: String,
}

impl MetricLines {
    /// No lines yet.
    #[must_use]
    pub fn new(prefix: &'static str) -> MetricLines {
        MetricLines { prefix, text: String::new() }
    }

    /// Adds a count since the start.
    pub fn count(&mut self, names: &[&str], value: u64) {
        self.push_line(names, value, "c");
    }

    /// Adds a value as it is now.
    pub fn gauge(&mut self, names: &[&str], value: u64) {
        self.push_line(names, value, "g");
    }

    fn push_line(&mut self, names: &[&str], value: u64, type_code: &str) {
        self.text.push_str(self.prefix);
        for name in names {
            self.text.push('.');
            // Names that hold the form's own delimiters must not break it.
            let escaped = name.chars().map(|char| if ":|@#\n".contains(char) { '_' } else { char });
            self.text.extend(escaped);
        }
        let result = writeln!(self.text, ":{value}|{type_code}");
        debug_assert!(result.is_ok(), "writing to a string cannot fail");
    }

    /// All lines.
    #[must_use]
    pub fn text(self) -> String {
        self.text
    }
}
