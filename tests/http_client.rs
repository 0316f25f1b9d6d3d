//! One HTTP exchange with discovery or an index server, on loopback sockets: what ends a response, and what
//! does not.

use bytes::BytesMut;
use gatherer::protocol::http;
use gatherer::transport::http_client::{ExchangeError, exchange};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// How the server ends the connection.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// The result of an exchange whose response comes in these pieces, followed by a close or a reset.
fn exchange_with_server(
    pieces: &'static [&'static str],
    end: ConnectionEnd,
) -> Result<String, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_nodelay(true).expect("set");
        let _ = stream.read(&mut [0; 512]).expect("a request");
        for piece in pieces {
            stream.write_all(piece.as_bytes()).expect("written");
        }
        if end == ConnectionEnd::Reset {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let result = runtime.block_on(async {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
        let request = http::encode_request("GET", "/list", "x", None);
        exchange(&mut stream, &mut BytesMut::new(), &request, 100).await
    });
    server.join().expect("it ends");
    result.map(|response| String::from_utf8(response.body.to_vec()).expect("text"))
}

#[test]
fn a_response_without_a_length_ends_at_the_close_and_not_at_a_reset() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    assert_eq!(
        exchange_with_server(&[HEAD, "{\"a\":", "1}"], ConnectionEnd::Close).expect("an answer"),
        "{\"a\":1}"
    );
    for pieces in [&[HEAD, "{\"a\":1}"][..], &[HEAD], &["HTTP/1.1 200 O"]] {
        assert!(
            matches!(exchange_with_server(pieces, ConnectionEnd::Reset), Err(ExchangeError::NoResponse(_))),
            "{pieces:?}"
        );
    }
    // Where there is a length, or chunks, only that ends it.
    const INCOMPLETE_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\":1}";
    const INCOMPLETE_CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n";
    for pieces in [&[INCOMPLETE_BODY][..], &[INCOMPLETE_CHUNKS], &["HTTP/1.1 200 OK\r\nContent-"]] {
        assert!(
            matches!(exchange_with_server(pieces, ConnectionEnd::Close), Err(ExchangeError::NoResponse(_))),
            "{pieces:?}"
        );
    }
    // Its length is limited like any other's.
    const BODY_PIECE: &str =
        "1234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901";
    let too_long = exchange_with_server(&[HEAD, BODY_PIECE, BODY_PIECE], ConnectionEnd::Close);
    assert!(
        matches!(too_long, Err(ExchangeError::Malformed(http::MalformedMessage::BodyTooLong))),
        "{too_long:?}"
    );
}
