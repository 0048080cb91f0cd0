//! A minimal HTTP/1.1 server for the stubs: requests with `Content-Length`, one thread per connection.

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// A request with its complete body.
pub struct Request {
    /// Method, path and version.
    pub line: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Reads the next request of a connection; returns `None` if the connection ends first or its head is not UTF-8.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let text = read_line(stream)?;
        let Some((name, value)) = text.trim_end().split_once(": ") else { break };
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Request { line, headers, body })
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    Some(line)
}

/// Accepts connections on a background thread, and calls `handler` for each on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}
