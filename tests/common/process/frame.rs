//! Blocking reads and writes of the frames that the worker protocol and the members' table exchange use: a
//! length of four bytes, little-endian, then that many bytes.

use std::io::{Read, Write};

/// Reads the next frame; returns its bytes after the length.
pub fn read_frame(stream: &mut impl Read) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Writes the length and the bytes of a frame in one call.
pub fn write_frame(stream: &mut impl Write, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(&[&(bytes.len() as u32).to_le_bytes()[..], bytes].concat())
}
