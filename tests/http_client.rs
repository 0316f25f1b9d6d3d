//! The end of a response in an HTTP exchange with discovery or an index server, over loopback sockets.

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

/// Returns the body of the response in an exchange where the server sends these pieces and ends the
/// connection.
fn exchange_with_server(
    pieces: &'static [&'static str],
    end: ConnectionEnd,
) -> Result<String, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        stream.set_nodelay(true).expect("the option is set");
        let _ = stream.read(&mut [0; 512]).expect("the client sends a request");
        for piece in pieces {
            stream.write_all(piece.as_bytes()).expect("the piece is written");
        }
        if end == ConnectionEnd::Reset {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("the option is set");
        }
    });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let result = runtime.block_on(async {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("the server accepts");
        let request = http::encode_request("GET", "/list", "x", None);
        exchange(&mut stream, &mut BytesMut::new(), &request, 100).await
    });
    server.join().expect("the server thread ends");
    result.map(|response| String::from_utf8(response.body.to_vec()).expect("the body is UTF-8"))
}

#[test]
fn a_response_without_a_length_ends_at_the_close_and_not_at_a_reset() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    assert_eq!(
        exchange_with_server(&[HEAD, "{\"a\":", "1}"], ConnectionEnd::Close).expect("a response"),
        "{\"a\":1}"
    );
    for pieces in [&[HEAD, "{\"a\":1}"][..], &[HEAD], &["HTTP/1.1 200 O"]] {
        assert!(
            matches!(exchange_with_server(pieces, ConnectionEnd::Reset), Err(ExchangeError::NoResponse(_))),
            "{pieces:?}"
        );
    }
    // A close does not complete a body that is shorter than its length, a chunked body without its last chunk,
    // or a header.
    const INCOMPLETE_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\":1}";
    const INCOMPLETE_CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n";
    for pieces in [&[INCOMPLETE_BODY][..], &[INCOMPLETE_CHUNKS], &["HTTP/1.1 200 OK\r\nContent-"]] {
        assert!(
            matches!(exchange_with_server(pieces, ConnectionEnd::Close), Err(ExchangeError::NoResponse(_))),
            "{pieces:?}"
        );
    }
    // The limit of 100 bytes holds for a body without a length, too.
    const BODY_PIECE: &str =
        "1234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901";
    let too_long = exchange_with_server(&[HEAD, BODY_PIECE, BODY_PIECE], ConnectionEnd::Close);
    assert!(
        matches!(too_long, Err(ExchangeError::Malformed(http::MalformedMessage::BodyTooLong))),
        "{too_long:?}"
    );
}
