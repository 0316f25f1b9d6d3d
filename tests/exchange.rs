//! One exchange with discovery or an index server, on loopback sockets: what is the end of an answer, and what is none.

use bytes::BytesMut;
use gatherer::protocol::http;
use gatherer::transport::http_client::{ExchangeError, exchange};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// What becomes of an exchange that is answered so, in these pieces, and then ended by a close or a reset.
fn answered(pieces: &'static [&'static str], by_reset: bool) -> Result<String, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_nodelay(true).expect("set");
        let _ = stream.read(&mut [0; 512]).expect("a request");
        for piece in pieces {
            stream.write_all(piece.as_bytes()).expect("written");
        }
        if by_reset {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let end = runtime.block_on(async {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("connected");
        let request = http::encode_request("GET", "/list", "x", None);
        exchange(&mut stream, &mut BytesMut::new(), &request, 100).await
    });
    server.join().expect("it ends");
    end.map(|response| String::from_utf8(response.body.to_vec()).expect("text"))
}

#[test]
fn an_answer_without_a_length_lasts_until_the_close_and_a_reset_is_no_end() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    assert_eq!(answered(&[HEAD, "{\"a\":", "1}"], false).expect("an answer"), "{\"a\":1}");
    for pieces in [&[HEAD, "{\"a\":1}"][..], &[HEAD], &["HTTP/1.1 200 O"]] {
        assert!(matches!(answered(pieces, true), Err(ExchangeError::NoResponse(_))), "{pieces:?}");
    }
    // Where there is a length, or chunks, only that is an end.
    const LONG: &str = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\":1}";
    const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n";
    for piece in [&[LONG][..], &[CHUNKS], &["HTTP/1.1 200 OK\r\nContent-"]] {
        assert!(matches!(answered(piece, false), Err(ExchangeError::NoResponse(_))), "{piece:?}");
    }
    // It is bounded as any other.
    const MUCH: &str =
        "1234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901";
    let much = answered(&[HEAD, MUCH, MUCH], false);
    assert!(matches!(much, Err(ExchangeError::Malformed(http::Malformed::BodyTooLong))), "{much:?}");
}
