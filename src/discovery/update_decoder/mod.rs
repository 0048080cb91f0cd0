//! Splits the byte stream of an endpoint watch into updates.

use super::error::DiscoveryError;
use super::update::DiscoveryUpdate;

/// Longest update in bytes. The complete list of 65,536 endpoints has about 10 MiB.
pub const MAX_UPDATE_BYTES: usize = 16 << 20;

/// Decodes a stream of JSON objects, each of which ends at the end of a line. An object may be spread over several
/// lines, all but the first and the last of which are indented. Blank lines between objects are heartbeats.
#[derive(Default)]
pub struct UpdateDecoder {
    /// Bytes from the start of the first object that has not been decoded yet.
    buffer: Vec<u8>,
    /// Start of the newest line; where it is not zero, the buffer begins with lines of an unfinished object.
    line_start: usize,
    /// Up to here there is no end of the newest line; a long one arrives in many parts.
    searched: usize,
}

impl UpdateDecoder {
    /// Adds what has arrived. [`UpdateDecoder::next_update`] is then to be called until it has no more.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next update that has arrived in full; none until more bytes arrive.
    ///
    /// # Errors
    /// [`DiscoveryError::InvalidUpdate`] for what is no update, and [`DiscoveryError::UnterminatedUpdate`] for one that
    /// a blank line interrupts or that is longer than [`MAX_UPDATE_BYTES`]. The stream is of no use after that.
    pub fn next_update(&mut self) -> Result<Option<DiscoveryUpdate>, DiscoveryError> {
        while let Some(line_end) = self.find_line_end() {
            if let Some(update) = self.decode_through(line_end)? {
                return Ok(Some(update));
            }
        }
        if self.buffer.len() > MAX_UPDATE_BYTES {
            return Err(DiscoveryError::UnterminatedUpdate);
        }
        Ok(None)
    }

    /// The place of the next line feed.
    fn find_line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let line_end = found.map(|offset| self.searched + offset);
        self.searched = line_end.map_or(self.buffer.len(), |end| end + 1);
        line_end
    }

    /// Decodes the object that may end with the line ending here; none if it goes on, or if the line is a heartbeat.
    fn decode_through(&mut self, line_end: usize) -> Result<Option<DiscoveryUpdate>, DiscoveryError> {
        let line = &self.buffer[self.line_start..=line_end];
        let is_blank = line.trim_ascii().is_empty();
        let is_object_open = self.line_start > 0;
        if is_object_open && is_blank {
            return Err(DiscoveryError::UnterminatedUpdate);
        }
        // An indented line never ends an object: decoding is tried only where it may succeed.
        if is_object_open && line[0].is_ascii_whitespace() {
            self.line_start = line_end + 1;
            return Ok(None);
        }
        let mut update = None;
        if !is_blank {
            match serde_json::from_slice(&self.buffer[..=line_end]) {
                Ok(decoded) => update = Some(decoded),
                Err(error) if error.is_eof() => {
                    self.line_start = line_end + 1;
                    return Ok(None);
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.buffer.drain(..=line_end);
        self.line_start = 0;
        self.searched = 0;
        Ok(update)
    }
}

#[cfg(test)]
mod tests;
