//! The stub of an endpoint: it passes each call on through a channel, and the receiver of the call responds to it.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Sender};

use super::http::{read_request, Request};

/// A request of the gateway that a stub has received.
pub enum StubEvent {
    /// A call to an endpoint.
    Call(Call),
    /// One line of an outcome notification to discovery's agent.
    Notification(String),
}

/// A call in flight at an endpoint. A call that is dropped gets no response; its connection stays open until the
/// gateway closes it.
pub struct Call {
    /// The number that was given to [`serve_calls`].
    pub endpoint: usize,
    pub path: String,
    /// The message's id from `X-Call-Id`; empty if the header is absent.
    pub id: String,
    pub body: Vec<u8>,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Takes the bytes of the response; `None` closes the connection instead.
    answer: Sender<Option<Vec<u8>>>,
    /// The endpoint's side of the connection that carries the call.
    pub connection: TcpStream,
}

impl Call {
    /// Responds with an empty body. Each line of `headers` has to end with `\r\n`.
    pub fn answer(self, status: &str, headers: &str) {
        self.answer_raw(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes());
    }

    /// Responds with these bytes, which need not be valid HTTP.
    pub fn answer_raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    /// Closes the connection without a response.
    pub fn reset(self) {
        let _ = self.answer.send(None);
    }
}

/// Serves one connection to an endpoint, until the connection ends or the receiver of `events` is dropped.
pub fn serve_calls(endpoint: usize, stream: TcpStream, events: &Sender<StubEvent>) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(Request { line, headers, body }) = read_request(&mut input) {
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = headers.iter().find(|(name, _)| name == "x-call-id").map(|(_, id)| id.clone());
        let id = id.unwrap_or_default();
        let (answer, answered) = channel();
        let Ok(connection) = output.try_clone() else { return };
        let call = Call { endpoint, path, id, body, headers, answer, connection };
        if events.send(StubEvent::Call(call)).is_err() {
            return;
        }
        match answered.recv() {
            Ok(Some(bytes)) => drop(output.write_all(&bytes)),
            Ok(None) => drop(output.shutdown(Shutdown::Both)),
            // The call was dropped without a response: wait until the gateway closes the connection.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}
