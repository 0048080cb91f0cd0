//! Clients of a gateway.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's connection to a gateway.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects; reads then time out after `read_timeout`.
    ///
    /// # Errors
    /// The connection does not come up.
    pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Sends some bytes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// The next line, without its end; an empty one at the end of the connection.
    ///
    /// # Errors
    /// There is none in time, or the connection is broken.
    pub fn try_read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }
}

/// A command as it stands on the wire, in RESP2.
pub fn encode_command<W: AsRef<[u8]>>(words: &[W]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words.iter().map(AsRef::as_ref) {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}
