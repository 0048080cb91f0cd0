//! Connections to discovery's agent: a request is not sent behind bytes that would be taken for its response.

use delivery_gateway::socket::RequestStream;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const REQUEST: &[u8] = b"POST /v1/notices HTTP/1.1\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// A second copy of an acknowledgement, which arrives while no request waits for one, would acknowledge the next
/// notifications, whatever becomes of them. The runtime may not have reported it when they are sent.
#[test]
fn a_request_is_not_sent_behind_unread_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut agent, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut connection = RequestStream::new(tokio::net::TcpStream::from_std(stream).unwrap());
        for _ in 0..2 {
            connection.write_all(REQUEST).await.unwrap();
            agent.read_exact(&mut [0; REQUEST.len()]).unwrap();
            agent.write_all(RESPONSE).unwrap();
            connection.read_exact(&mut [0; RESPONSE.len()]).await.unwrap();
        }
        agent.write_all(RESPONSE).unwrap();
        let sent = connection.write_all(REQUEST).await;
        assert_eq!(sent.unwrap_err().kind(), ErrorKind::InvalidData);
    });
}
