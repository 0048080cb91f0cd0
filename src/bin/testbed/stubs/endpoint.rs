//! The stub of an endpoint: it passes on each call, which whoever receives it answers.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Sender};

use super::http::{read_request, Request};

/// What stubs have seen the gateway do.
pub enum StubEvent {
    /// It has called an endpoint.
    Call(Call),
    /// It has notified discovery's agent of a final outcome, with this line.
    Notification(String),
}

/// A call in flight at an endpoint. One that is dropped unanswered is never answered.
pub struct Call {
    /// The number of the endpoint.
    pub endpoint: usize,
    pub path: String,
    /// The message's id.
    pub id: String,
    pub body: Vec<u8>,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The bytes of the response; none breaks the connection.
    answer: Sender<Option<Vec<u8>>>,
    /// The endpoint's side of the connection that it came on.
    pub connection: TcpStream,
}

impl Call {
    /// Responds without a body. Each of `headers` ends in a line break.
    pub fn answer(self, status: &str, headers: &str) {
        self.answer_raw(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes());
    }

    /// Responds with these bytes, whatever they are.
    pub fn answer_raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    /// Breaks the connection.
    pub fn reset(self) {
        let _ = self.answer.send(None);
    }
}

/// Serves one connection to an endpoint, until it ends or nobody receives what is seen any more.
pub fn serve_calls(endpoint: usize, stream: TcpStream, seen: &Sender<StubEvent>) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(Request { line, headers, body }) = read_request(&mut input) {
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = headers.iter().find(|(name, _)| name == "x-call-id").map(|(_, id)| id.clone());
        let id = id.unwrap_or_default();
        let (answer, answered) = channel();
        let Ok(connection) = output.try_clone() else { return };
        let call = Call { endpoint, path, id, body, headers, answer, connection };
        if seen.send(StubEvent::Call(call)).is_err() {
            return;
        }
        match answered.recv() {
            Ok(Some(bytes)) => drop(output.write_all(&bytes)),
            Ok(None) => drop(output.shutdown(Shutdown::Both)),
            // Never answered: the gateway closes the connection.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}
