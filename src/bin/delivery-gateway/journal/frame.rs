//! The format of a record on disk: its length and its CRC-32 checksum, each as four little-endian bytes, then its
//! postcard encoding.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, Read};

use super::error::JournalError;

/// The size of the length and the checksum before each record.
pub const HEADER_BYTES: usize = 8;
/// The maximum size of a record's encoding. A longer one is treated as damaged.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;
/// Marks the end of the records, in place of a header. A reader ignores everything after it.
pub const END_OF_RECORDS: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Encodes a record with its header.
///
/// # Errors
/// The record cannot be encoded, or exceeds [`MAX_PAYLOAD_BYTES`]. A reader would treat such a record as damaged, and
/// truncate it and all records after it.
pub fn encode_frame(record: &impl Serialize) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(JournalError::RecordTooLong { bytes: payload.len(), limit: MAX_PAYLOAD_BYTES });
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// A record that was read.
pub struct Frame<T> {
    pub record: T,
    /// The size of the record with its header.
    pub bytes: u64,
}

/// Reads the next record of a file that has `remaining` bytes left. None at the end of the file, at
/// [`END_OF_RECORDS`], or if the record is torn or damaged.
///
/// # Errors
/// The file cannot be read.
pub fn read_frame<T: DeserializeOwned>(file: &mut impl Read, remaining: u64) -> io::Result<Option<Frame<T>>> {
    let Some(remaining) = remaining.checked_sub(HEADER_BYTES as u64) else { return Ok(None) };
    let mut length = [0; 4];
    let mut checksum = [0; 4];
    file.read_exact(&mut length)?;
    file.read_exact(&mut checksum)?;
    let length = u32::from_le_bytes(length);
    if length == 0 || length as usize > MAX_PAYLOAD_BYTES || u64::from(length) > remaining {
        return Ok(None);
    }
    let mut payload = vec![0; length as usize];
    file.read_exact(&mut payload)?;
    if crc32fast::hash(&payload) != u32::from_le_bytes(checksum) {
        return Ok(None);
    }
    let bytes = HEADER_BYTES as u64 + u64::from(length);
    let record = postcard::from_bytes(&payload).ok();
    Ok(record.map(|record| Frame { record, bytes }))
}
