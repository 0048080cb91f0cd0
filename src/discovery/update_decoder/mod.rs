//! Splits the byte stream of an endpoint watch into updates.

use super::error::DiscoveryError;
use super::update::DiscoveryUpdate;

/// The maximum length of an update. The complete list of 65,536 endpoints has about 10 MiB.
pub const MAX_UPDATE_BYTES: usize = 16 << 20;

/// Decodes a stream of JSON objects, each of which ends at the end of a line. An object may span several lines, all but
/// the first and the last of which are indented. Blank lines between objects are heartbeats.
#[derive(Default)]
pub struct UpdateDecoder {
    /// The bytes from the start of the first object that has not been decoded yet.
    buffer: Vec<u8>,
    /// The offset of the last line. If it is not 0, the buffer begins with lines of an incomplete object.
    line_start: usize,
    /// The offset up to which no end of the last line was found. It avoids searching the start of a long line again,
    /// since such a line arrives in many parts.
    searched: usize,
}

impl UpdateDecoder {
    /// Adds bytes that have arrived. The caller then calls [`UpdateDecoder::next_update`] until it returns None.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next update that has arrived in full; None until more bytes arrive.
    ///
    /// # Errors
    /// [`DiscoveryError::InvalidUpdate`] if the bytes are not a valid update, and
    /// [`DiscoveryError::UnterminatedUpdate`] if an update contains a blank line or is longer than
    /// [`MAX_UPDATE_BYTES`]. Nothing further can be decoded from the stream after an error.
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

    /// Returns the offset of the next line feed; None if it has not arrived yet.
    fn find_line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let line_end = found.map(|offset| self.searched + offset);
        self.searched = line_end.map_or(self.buffer.len(), |end| end + 1);
        line_end
    }

    /// Decodes the object that may end at this line feed; None if the object continues, or if the line is a heartbeat.
    fn decode_through(&mut self, line_end: usize) -> Result<Option<DiscoveryUpdate>, DiscoveryError> {
        let line = &self.buffer[self.line_start..=line_end];
        let is_blank = line.trim_ascii().is_empty();
        let is_object_open = self.line_start > 0;
        if is_object_open && is_blank {
            return Err(DiscoveryError::UnterminatedUpdate);
        }
        // An indented line never ends an object, so decoding is not attempted there.
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
