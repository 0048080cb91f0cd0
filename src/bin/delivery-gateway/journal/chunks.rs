//! Splits long lists into records that stay well below the maximum record size.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate};
use postcard::ser_flavors::Size;
use serde::Serialize;

use super::record::Record;

/// The approximate size of each record of a list.
const CHUNK_BYTES: usize = 1 << 20;

/// Returns the size of an entry of a list in a record, in bytes.
///
/// # Errors
/// The entry cannot be encoded.
pub fn encoded_bytes(entry: &impl Serialize) -> postcard::Result<usize> {
    postcard::serialize_with_flavor(entry, Size::default())
}

/// Splits a list into chunks of at most [`CHUNK_BYTES`]. An entry longer than that gets a chunk of its own.
pub fn chunks<'a, T: Serialize + 'a>(
    list: impl IntoIterator<Item = &'a T>,
) -> postcard::Result<Vec<Vec<&'a T>>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut chunk_bytes = 0;
    for entry in list {
        let entry_bytes = encoded_bytes(entry)?;
        if chunk_bytes + entry_bytes > CHUNK_BYTES && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
        chunk_bytes += entry_bytes;
        chunk.push(entry);
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    Ok(chunks)
}

/// Returns the records of an endpoint update: one if it fits, otherwise its parts. The iterator creates each record
/// when it is requested, so that a long list is not copied as a whole.
pub fn endpoint_records<'a>(
    revision: u64,
    is_snapshot: bool,
    endpoints: impl IntoIterator<Item = &'a DiscoveredEndpoint>,
) -> postcard::Result<impl Iterator<Item = Record> + 'a> {
    let mut chunks = chunks(endpoints)?;
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let count = chunks.len() as u32;
    Ok((0..count).zip(chunks).map(move |(index, chunk)| {
        let update = DiscoveryUpdate {
            revision,
            // Only the first part replaces the previous list.
            is_snapshot: is_snapshot && index == 0,
            endpoints: chunk.into_iter().cloned().collect(),
        };
        if count == 1 {
            Record::Endpoints(update)
        } else {
            Record::EndpointsPart { index, count, update }
        }
    }))
}

/// Returns the records of all destinations that have been listed.
pub fn destination_records<'a>(
    destinations: impl IntoIterator<Item = &'a u32>,
) -> postcard::Result<impl Iterator<Item = Record> + 'a> {
    let chunks = chunks(destinations)?;
    Ok(chunks.into_iter().map(|chunk| Record::Destinations(chunk.into_iter().copied().collect())))
}
