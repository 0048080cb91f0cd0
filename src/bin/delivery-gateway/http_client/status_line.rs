//! Reads the status of a response from its bytes as they arrive, before the HTTP library has the whole head.

use std::io;

/// Characters up to the one that ends the status: `HTTP/1.1 200` and a space.
const STATUS_END: usize = 13;
/// More interim responses (1xx) than this before the response itself break the connection.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Finds the status of one response.
#[derive(Default)]
pub struct StatusLineReader {
    status: Option<u16>,
    /// The start of the line that is being read.
    line: Vec<u8>,
    /// In the rest of an interim head, which an empty line ends.
    in_interim_head: bool,
    interim_responses: u32,
}

impl StatusLineReader {
    /// The status once its line has been read; 0 if that is no status line.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Reads further bytes. Those behind the status are ignored.
    ///
    /// # Errors
    /// There were too many interim responses.
    pub fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.status.is_some() {
                break;
            }
            if byte == b'\n' {
                self.end_line()?;
            } else if byte != b'\r' && self.line.len() < STATUS_END {
                self.line.push(byte);
                if !self.in_interim_head && self.line.len() == STATUS_END {
                    self.read_status(byte)?;
                }
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> io::Result<()> {
        if self.in_interim_head && self.line.is_empty() {
            self.in_interim_head = false;
        } else if !self.in_interim_head {
            // A line that ends right behind its status has one all the same.
            self.read_status(b' ')?;
        }
        self.line.clear();
        Ok(())
    }

    /// Reads the status of a line, which `terminator` follows; that of an interim response is skipped.
    fn read_status(&mut self, terminator: u8) -> io::Result<()> {
        match parse_status(&self.line).filter(|_| terminator == b' ') {
            Some(100..=199) => {
                self.in_interim_head = true;
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "too many interim responses"));
                }
            }
            Some(status) => self.status = Some(status),
            // No status line: nothing that follows can be one.
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
