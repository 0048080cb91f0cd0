//! Reads the status of a response from its bytes as they arrive, before the HTTP library has parsed the whole head.

use std::io;

/// The length in bytes of a status line up to and including the space after the status: `HTTP/1.1 200 `.
const STATUS_END: usize = 13;
/// The maximum number of interim responses (1xx) before the response itself. The connection fails on a further one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Parses the status line of one response, and skips interim responses before it.
#[derive(Default)]
pub struct StatusLineReader {
    status: Option<u16>,
    /// The first [`STATUS_END`] bytes of the current line.
    line: Vec<u8>,
    /// Whether the current line belongs to the head of an interim response, which an empty line ends.
    is_in_interim_head: bool,
    interim_responses: u32,
}

impl StatusLineReader {
    /// Returns the status; None until it has been read, 0 if the response does not begin with a status line.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Parses further bytes of the response. Bytes after the status are ignored.
    ///
    /// # Errors
    /// More than [`MAX_INTERIM_RESPONSES`] interim responses precede the response.
    pub fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.status.is_some() {
                break;
            }
            if byte == b'\n' {
                self.end_line()?;
            } else if byte != b'\r' && self.line.len() < STATUS_END {
                self.line.push(byte);
                if !self.is_in_interim_head && self.line.len() == STATUS_END {
                    self.read_status(byte)?;
                }
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> io::Result<()> {
        if self.is_in_interim_head && self.line.is_empty() {
            self.is_in_interim_head = false;
        } else if !self.is_in_interim_head {
            // The line may end right after the status, without a space and a reason phrase.
            self.read_status(b' ')?;
        }
        self.line.clear();
        Ok(())
    }

    /// Parses the status of the current line. `terminator` is the byte after the status. The status of an interim
    /// response is skipped.
    fn read_status(&mut self, terminator: u8) -> io::Result<()> {
        match parse_status(&self.line).filter(|_| terminator == b' ') {
            Some(100..=199) => {
                self.is_in_interim_head = true;
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "too many interim responses"));
                }
            }
            Some(status) => self.status = Some(status),
            // The response does not begin with a status line, so that no later line is taken for one.
            None => self.status = Some(0),
        }
        Ok(())
    }
}

fn parse_status(line: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(line).ok()?;
    let rest = text.strip_prefix("HTTP/1.0 ").or(text.strip_prefix("HTTP/1.1 "))?;
    rest.get(..3)?.parse().ok()
}
