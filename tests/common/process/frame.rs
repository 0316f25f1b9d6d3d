//! Frames of the worker protocol and of the members' table exchange: a length of four bytes, then that many
//! bytes.

use std::io::{Read, Write};

/// Reads the next frame, without its length.
pub fn read_frame(stream: &mut impl Read) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Writes a frame at once.
pub fn write_frame(stream: &mut impl Write, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(&[&(bytes.len() as u32).to_le_bytes()[..], bytes].concat())
}
