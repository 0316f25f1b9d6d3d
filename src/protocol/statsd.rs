//! Metrics as lines in statsd's text format: `NAME:VALUE|c` for counters, `NAME:VALUE|g` for gauges.
//!
//! The module owns the format only; the caller chooses names and values.

use std::fmt::Write;

/// Lines of metrics whose names have one prefix.
#[derive(Debug)]
pub struct MetricLines {
    prefix: &'static str,
    text: String,
}

impl MetricLines {
    /// Creates an empty list of lines.
    #[must_use]
    pub fn new(prefix: &'static str) -> MetricLines {
        MetricLines { prefix, text: String::new() }
    }

    /// Adds the value of a counter, counted since the start of the process.
    pub fn count(&mut self, names: &[&str], value: u64) {
        self.push_line(names, value, "c");
    }

    /// Adds the current value of a gauge.
    pub fn gauge(&mut self, names: &[&str], value: u64) {
        self.push_line(names, value, "g");
    }

    fn push_line(&mut self, names: &[&str], value: u64, type_code: &str) {
        self.text.push_str(self.prefix);
        for name in names {
            self.text.push('.');
            // Delimiters of the format must not occur in a name.
            let escaped = name.chars().map(|char| if ":|@#\n".contains(char) { '_' } else { char });
            self.text.extend(escaped);
        }
        let result = writeln!(self.text, ":{value}|{type_code}");
        debug_assert!(result.is_ok(), "writing to a string cannot fail");
    }

    /// Returns all lines.
    #[must_use]
    pub fn text(self) -> String {
        self.text
    }
}
