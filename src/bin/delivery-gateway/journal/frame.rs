//! The form of records on disk: length and checksum before each, and long lists in pieces.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate};
use postcard::ser_flavors::Size;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, Read};

use super::record::Record;
use super::JournalError;

/// Length and checksum before each record.
pub const FRAME: usize = 8;
/// A longer record is damage.
const LONGEST: usize = 4 << 20;
/// What may have any number of entries is written in records of about this size.
const PIECE: usize = 1 << 20;

/// Cuts a list into runs that stay well below the longest record; an entry that is longer makes a run of its own.
pub fn pieces<'a, T: Serialize + 'a>(
    list: impl IntoIterator<Item = &'a T>,
) -> postcard::Result<Vec<Vec<&'a T>>> {
    let (mut runs, mut run, mut size) = (Vec::new(), Vec::new(), 0);
    for entry in list {
        let more = postcard::serialize_with_flavor(entry, Size::default())?;
        if size + more > PIECE && !run.is_empty() {
            runs.push(std::mem::take(&mut run));
            size = 0;
        }
        size += more;
        run.push(entry);
    }
    if !run.is_empty() {
        runs.push(run);
    }
    Ok(runs)
}

/// The records that hold an update: one if it fits, or parts. Each is made as it is asked for, so that there is no
/// second copy of a long list.
pub fn list_records<'a>(
    rev: u64,
    all: bool,
    targets: impl IntoIterator<Item = &'a DiscoveredEndpoint>,
) -> postcard::Result<impl Iterator<Item = Record> + 'a> {
    let mut runs = pieces(targets)?;
    if runs.is_empty() {
        runs.push(Vec::new());
    }
    let of = runs.len() as u32;
    Ok((0..of).zip(runs).map(move |(place, run)| {
        let update = DiscoveryUpdate {
            revision: rev,
            is_snapshot: all && place == 0,
            endpoints: run.into_iter().cloned().collect(),
        };
        if of == 1 {
            Record::Endpoints(update)
        } else {
            Record::EndpointsPart { index: place, count: of, update }
        }
    }))
}

pub fn frame(record: &impl Serialize) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record)?;
    if payload.len() > LONGEST {
        // It would be taken for damage, and cut off what comes after it.
        return Err(JournalError::RecordTooLong);
    }
    let mut out = Vec::with_capacity(FRAME + payload.len());
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
    Ok(out)
}

/// The next record and its length, of a file that goes on for `left` bytes; none at the end or where it is
/// damaged.
pub fn read_frame<T: DeserializeOwned>(file: &mut impl Read, left: u64) -> io::Result<Option<(T, u64)>> {
    let Some(left) = left.checked_sub(FRAME as u64) else { return Ok(None) };
    let (mut length, mut sum) = ([0; 4], [0; 4]);
    file.read_exact(&mut length)?;
    file.read_exact(&mut sum)?;
    let length = u32::from_le_bytes(length);
    if length == 0 || length as usize > LONGEST || u64::from(length) > left {
        return Ok(None);
    }
    let mut payload = vec![0; length as usize];
    file.read_exact(&mut payload)?;
    if crc32fast::hash(&payload) != u32::from_le_bytes(sum) {
        return Ok(None);
    }
    let record = postcard::from_bytes(&payload).ok();
    Ok(record.map(|record| (record, FRAME as u64 + u64::from(length))))
}
