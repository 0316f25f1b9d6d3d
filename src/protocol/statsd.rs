//! Figures as lines of statsd's plain form: `NAME:VALUE|c` for counts, `NAME:VALUE|g` for gauges.

use std::fmt::Write;

/// MetricLines of figures, each under one first name.
#[derive(Debug)]
pub struct MetricLines {
    first: &'static str,
    text: String,
}

impl MetricLines {
    /// No lines yet.
    pub fn new(first: &'static str) -> MetricLines {
        MetricLines { first, text: String::new() }
    }
    /// A count since the start.
    pub fn count(&mut self, names: &[&str], value: u64) {
        self.line(names, value, "c");
    }
    /// A value as it is now.
    pub fn gauge(&mut self, names: &[&str], value: u64) {
        self.line(names, value, "g");
    }
    fn line(&mut self, names: &[&str], value: u64, kind: &str) {
        self.text.push_str(self.first);
        for name in names {
            self.text.push('.');
            // Guards the form against names that hold its own signs.
            self.text.extend(name.chars().map(|sign| if ":|@#\n".contains(sign) { '_' } else { sign }));
        }
        let written = writeln!(self.text, ":{value}|{kind}");
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
    /// All lines.
    pub fn text(self) -> String {
        self.text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_have_statsd_s_form() {
        let mut lines = MetricLines::new("gatherer");
        lines.count(&["succeeded", "seal:rec|ord"], 812);
        lines.gauge(&["outstanding"], 14);
        assert_eq!(lines.text(), "gatherer.succeeded.seal_rec_ord:812|c\ngatherer.outstanding:14|g\n");
    }
}
