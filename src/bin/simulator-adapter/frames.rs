//! Reads frames from a byte stream. A frame is a length of four bytes, big-endian, and a body of that length.

use std::io::{self, ErrorKind, Read};
use thiserror::Error;

/// Why a frame cannot be read. No further frame can be read from the stream after that.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The stream ends within the length.
    #[error("input ends after {have} of 4 bytes of a frame's length")]
    TruncatedLength { have: usize },
    /// The stream ends within the body.
    #[error("input ends after {have} of {length} bytes of a frame")]
    Truncated { have: u64, length: u64 },
    /// Reading fails before or within the length.
    #[error("cannot read a frame's length: {0}")]
    Length(io::Error),
    /// Reading fails within the body.
    #[error("cannot read a frame: {0}")]
    Body(io::Error),
}

/// Reads the body of one frame. Returns None if the stream ends before the frame.
///
/// # Errors
/// See [`FrameError`].
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let Some(length) = read_length(input)? else { return Ok(None) };
    // The buffer grows with the bytes that arrive, so that a wrong length causes no large allocation.
    let mut body = Vec::new();
    input.take(length).read_to_end(&mut body).map_err(FrameError::Body)?;
    let have = body.len() as u64;
    if have < length {
        return Err(FrameError::Truncated { have, length });
    }
    Ok(Some(body))
}

fn read_length(input: &mut impl Read) -> Result<Option<u64>, FrameError> {
    let mut length = [0; 4];
    let mut have = 0;
    while have < length.len() {
        match input.read(&mut length[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => return Err(FrameError::TruncatedLength { have }),
            Ok(count) => have += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(FrameError::Length(error)),
        }
    }
    Ok(Some(u64::from(u32::from_be_bytes(length))))
}
