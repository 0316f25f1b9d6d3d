//! Runs instances of the decision module for the simulator: reads batches of events from standard input and
//! writes the actions of each batch to standard output. It exits with status 1 at the first malformed line.

mod codec;
mod error;
mod fields;
mod host;
#[cfg(test)]
mod tests;

use crate::error::AdapterError;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Size of the buffer in front of standard output.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match serve(&mut io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches until the input ends, and writes the reply to each batch.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    let mut reply = String::new();
    loop {
        line.clear();
        let read_bytes = input.read_until(b'\n', &mut line).map_err(AdapterError::Read)?;
        if read_bytes == 0 {
            return host.finish().map_err(|source| AdapterError::Line { line_number, source });
        }
        line_number += 1;
        if line.last() == Some(&b'\n') {
            line.pop();
        }
        let text =
            std::str::from_utf8(&line).map_err(|source| AdapterError::NotUtf8 { line_number, source })?;
        reply.clear();
        if host.read_line(text, &mut reply).map_err(|source| AdapterError::Line { line_number, source })? {
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(AdapterError::Write)?;
        }
    }
}
