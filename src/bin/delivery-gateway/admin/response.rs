//! The responses of the admin endpoint.

/// A response to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The gateway is ready, or the operation is done.
    Done,
    /// The request is not valid HTTP/1.1, or ended early.
    MalformedRequest,
    /// The query does not have exactly one `id`, which the operation requires.
    IdRequired,
    UnknownPath,
    /// No endpoint in the list has the id, and none that is disabled.
    UnknownEndpoint,
    MethodNotAllowed,
    /// The request was not complete in time, or its connection was evicted.
    RequestTimeout,
    RequestTooLong,
    /// The operation could not be written to the journal, and had no effect: it would be lost at a restart.
    NotRecorded,
    /// The gateway is not serving, or did not complete the operation in time.
    NotReady,
}

impl AdminResponse {
    /// Returns the status code and the reason phrase.
    fn status(self) -> &'static str {
        match self {
            AdminResponse::Done => "200 OK",
            AdminResponse::MalformedRequest | AdminResponse::IdRequired => "400 Bad Request",
            AdminResponse::UnknownPath | AdminResponse::UnknownEndpoint => "404 Not Found",
            AdminResponse::MethodNotAllowed => "405 Method Not Allowed",
            AdminResponse::RequestTimeout => "408 Request Timeout",
            AdminResponse::RequestTooLong => "431 Request Header Fields Too Large",
            AdminResponse::NotRecorded => "500 Internal Server Error",
            AdminResponse::NotReady => "503 Service Unavailable",
        }
    }

    /// Returns the body without its line end.
    fn text(self) -> &'static str {
        match self {
            AdminResponse::Done => "yes",
            AdminResponse::MalformedRequest => "not a proper call",
            AdminResponse::IdRequired => "one id is needed",
            AdminResponse::UnknownPath => "no such path",
            AdminResponse::UnknownEndpoint => "nobody has that id",
            AdminResponse::MethodNotAllowed => "not with this method",
            AdminResponse::RequestTimeout => "the call did not come to its end",
            AdminResponse::RequestTooLong => "the call is too long",
            AdminResponse::NotRecorded => "it could not be written down",
            AdminResponse::NotReady => "not ready",
        }
    }

    /// Encodes the whole HTTP response.
    pub fn encode(self) -> String {
        let (status, text) = (self.status(), self.text());
        let length = text.len() + 1;
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n");
        format!("{head}Connection: close\r\n\r\n{text}\n")
    }
}
