//! A client's connection to a gateway, and the encoding of RESP2 commands.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's connection to a gateway.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a gateway. Each read fails after `read_timeout` without data.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Sends all of `bytes`.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads the next line and returns it without trailing white space. At the end of the connection returns what has
    /// arrived of it, possibly nothing.
    ///
    /// # Errors
    /// Returns an error if no line arrives before the read timeout, or if the connection is broken.
    pub fn try_read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        Ok(line.trim_end().to_owned())
    }
}

/// Encodes a command as a RESP2 array of bulk strings.
pub fn encode_command<W: AsRef<[u8]>>(words: &[W]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words.iter().map(AsRef::as_ref) {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}
