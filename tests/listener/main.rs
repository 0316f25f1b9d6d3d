//! The listener on loopback sockets: responses, rejections and evictions of clients' connections, with few
//! descriptors and buffers, and during a shutdown.

mod clients;
mod flood;
mod server;

use clients::{exchange, read_response, send_request, wait_until, well_behaved};
use gatherer::limits::DescriptorClass;
use gatherer::service::lifecycle::LifecycleRequest;
use server::{ECONNABORTED, Server, run};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

#[test]
fn a_busy_connection_is_never_evicted_and_the_next_request_is_rejected() {
    // Guards against a new connection that ends a query in flight or waits without a response.
    run(async {
        let server = Server::start(64, 0).await;
        let mut busy = Vec::new();
        while server.free_descriptors() > 0 {
            let mut client = server.connect().await;
            send_request(&mut client, "/held").await;
            busy.push(client);
            let busy_count = || {
                server
                    .manager
                    .descriptor_pool()
                    .descriptors(|allocator| allocator.busy(DescriptorClass::Clients))
            };
            let rejected_count = || server.manager.descriptor_pool().counters.borrow().rejected_no_descriptor;
            let before = busy_count() + rejected_count() as usize;
            while busy_count() + rejected_count() as usize == before && server.free_descriptors() > 0 {
                tokio::task::yield_now().await;
            }
            if rejected_count() > 0 {
                break;
            }
        }
        let mut rejected = busy.pop().expect("one was rejected");
        let mut text = String::new();
        rejected.read_to_string(&mut text).await.expect("the read succeeds");
        assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: 1\r\n"), "{text}");
        // The guaranteed descriptors of the other classes can still be acquired.
        let (pool, mut others) = (server.manager.descriptor_pool(), Vec::new());
        for class in [DescriptorClass::Workers, DescriptorClass::Discovery, DescriptorClass::Files] {
            let floor = pool.descriptors(|allocator| allocator.budget().floors[class as usize]);
            for _ in 0..floor {
                let permit = pool.acquire(class).await;
                assert!(permit.try_mark_busy(), "{class}");
                others.push(permit);
            }
        }
        let mut late = server.connect().await;
        let mut text = String::new();
        late.read_to_string(&mut text).await.expect("the read succeeds");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(pool.counters.borrow().rejected, 1);
        server.held_requests.add_permits(busy.len());
        for client in &mut busy {
            assert!(read_response(client, "/held").await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
    });
}

#[test]
fn incomplete_requests_together_buffer_no_more_than_the_budget() {
    // Guards against memory exhaustion: many clients each send nearly a whole request of the allowed size,
    // never its end.
    run(async {
        let server = Server::with_buffer_limit(96, 0, 400 << 10).await;
        let mut incomplete = Vec::new();
        for _ in 0..40 {
            let mut client = server.connect().await;
            let body = vec![b'x'; 60_000];
            incomplete.push(spawn_local(async move {
                client.write_all(b"POST /half HTTP/1.1\r\nContent-Length: 60001\r\n\r\n").await?;
                client.write_all(&body).await?;
                let mut text = String::new();
                client.read_to_string(&mut text).await.map(|_| text)
            }));
        }
        let mut idle = None;
        for _ in 0..50 {
            assert!(well_behaved(server.address, &mut idle).await.starts_with("HTTP/1.1 200 OK\r\n"));
            tokio::task::yield_now().await;
        }
        let mut answered = 0;
        for client in incomplete {
            // A connection may be reset while its client still sends. The other clients get a 408 response.
            if let Ok(text) = client.await.expect("the client task ends") {
                answered += usize::from(text.starts_with("HTTP/1.1 408 "));
            }
        }
        let peak_bytes = server.manager.descriptor_pool().counters.borrow().peak_buffered_bytes;
        assert!(
            answered > 0 && peak_bytes > 100 << 10 && peak_bytes <= 400 << 10,
            "{answered} answered, {peak_bytes} bytes"
        );
    });
}

#[test]
fn an_incomplete_request_is_evicted_once_another_connection_needs_its_descriptor() {
    run(async {
        let server = Server::start(64, 0).await;
        let mut incomplete = server.connect().await;
        incomplete.write_all(b"POST /half HTTP/1.1\r\nX-Pad:").await.expect("the write succeeds");
        let mut others = Vec::new();
        let mut text = String::new();
        let closed = incomplete.read_to_string(&mut text);
        let connect_more = async {
            while server.manager.descriptor_pool().counters.borrow().evicted.iter().sum::<u64>() == 0 {
                others.push(server.connect().await);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            read = closed => { read.expect("the read succeeds"); }
            () = connect_more => {}
        }
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(server.manager.descriptor_pool().counters.borrow().evicted[1] > 0);
    });
}

#[test]
fn a_request_that_arrives_as_its_connection_is_evicted_is_served() {
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.connect().await;
        exchange(&mut client, "/a").await;
        // The eviction and the request both happen before the task of the connection runs again.
        server.manager.descriptor_pool().reclaim(DescriptorClass::Clients);
        send_request(&mut client, "/b").await;
        let cancelled_evictions = || server.manager.descriptor_pool().counters.borrow().eviction_cancelled;
        let text = read_response(&mut client, "/b").await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(cancelled_evictions() <= 1);
        assert_eq!(server.manager.descriptor_pool().counters.borrow().close_races, 0);
    });
}

#[test]
fn a_client_that_closes_after_sending_more_than_is_buffered_is_detected() {
    // Guards against a close that goes unnoticed behind unread bytes: while their requests wait, the clients
    // send more than is buffered and close.
    run(async {
        let server = Server::start(64, 0).await;
        let busy_count = || {
            server.manager.descriptor_pool().descriptors(|allocator| allocator.busy(DescriptorClass::Clients))
        };
        let mut closing = Vec::new();
        for _ in 0..4 {
            let mut client = server.connect().await;
            send_request(&mut client, "/held").await;
            closing.push(client);
        }
        wait_until("four requests are held", || busy_count() == 4).await;
        // All close in one burst, each after more than twice the bytes that are buffered.
        let burst = closing.into_iter().map(|mut client| {
            spawn_local(async move {
                client.write_all(&vec![b'x'; 600 << 10]).await.expect("the server reads the bytes");
            })
        });
        for close in burst.collect::<Vec<_>>() {
            close.await.expect("the client task ends");
        }
        wait_until("all four connections are closed", || server.manager.open_connections() == 0).await;
        // A client that stays gets its response, and its connection is closed since the further bytes were
        // discarded.
        let mut client = server.connect().await;
        send_request(&mut client, "/held").await;
        wait_until("the request is held", || busy_count() == 1).await;
        // More than the socket buffers hold, so most of it has been read when the write returns.
        client.write_all(&vec![b'x'; 24 << 20]).await.expect("the server reads the bytes");
        server.held_requests.add_permits(1);
        assert!(read_response(&mut client, "/held").await.contains("Connection: close\r\n"));
    });
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_read_and_not_answered() {
    // Closing a socket with unread bytes resets the connection, and the client may lose the last response.
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.connect().await;
        exchange(&mut client, "/a").await;
        server.manager.descriptor_pool().reclaim(DescriptorClass::Clients);
        let mut text = String::new();
        client.read_to_string(&mut text).await.expect("the server shuts down its write side first");
        send_request(&mut client, "/b").await;
        wait_until("the late request is read", || {
            server.manager.descriptor_pool().counters.borrow().close_races == 1
        })
        .await;
        client.read_to_string(&mut text).await.expect("no reset");
        assert_eq!(text, "");
        drop(client);
        wait_until("the connection is closed", || server.manager.open_connections() == 0).await;
        assert_eq!(server.manager.descriptor_pool().counters.borrow().eviction_cancelled, 0);
    });
}

#[test]
fn connections_made_before_accepting_ends_get_a_response() {
    // Guards the case in which, after a pause of the process, connections are in the backlog and accepting is
    // to end.
    run(async {
        let server = Server::start(256, 0).await;
        server.manager.apply_lifecycle(LifecycleRequest::Stop).expect("the stop is accepted");
        let connect = |_| {
            let mut client = std::net::TcpStream::connect(server.address).expect("the connect succeeds");
            std::io::Write::write_all(&mut client, b"GET /late HTTP/1.1\r\n\r\n")
                .expect("the write succeeds");
            client
        };
        let clients: Vec<_> = (0..60).map(connect).collect();
        // The only thread sleeps until after the end of the grace period, so that both are due when it
        // continues.
        std::thread::sleep(gatherer::service::lifecycle::GRACE_PERIOD + Duration::from_millis(50));
        for client in clients {
            client.set_nonblocking(true).expect("non-blocking mode is set");
            let mut client = TcpStream::from_std(client).expect("the runtime registers the stream");
            let text =
                tokio::time::timeout(Duration::from_secs(20), read_response(&mut client, "/late")).await;
            assert!(text.expect("a response").contains("Connection: close\r\n"));
        }
        server.accepting.await.expect("the accept task ends");
    });
}

#[test]
fn an_accept_error_other_than_out_of_descriptors_delays_no_client() {
    run(async {
        let server = Server::with_accept_errors(64, 40, ECONNABORTED, 4 << 20).await;
        let started_at = std::time::Instant::now();
        let mut client = server.connect().await;
        assert!(exchange(&mut client, "/a").await.starts_with("HTTP/1.1 200 OK\r\n"));
        let (elapsed, counters) =
            (started_at.elapsed(), server.manager.descriptor_pool().counters.borrow().clone());
        // The listener fails one more accept after the connection.
        assert_eq!((counters.accept_failed, counters.evicted_early), (41, 0), "{counters}");
        assert!(elapsed < Duration::from_millis(400), "40 failures took {elapsed:?}");
    });
}

#[test]
fn a_failing_accept_evicts_no_connection_whose_first_request_may_be_in_transit() {
    // Descriptors are exhausted outside the budget: each accept that succeeds is followed by one that fails.
    run(async {
        let server = Server::start(64, 1).await;
        let failed_accepts = || server.manager.descriptor_pool().counters.borrow().accept_failed;
        let mut client = server.connect().await;
        wait_until("the connection is accepted and the next accept has failed", || failed_accepts() == 2)
            .await;
        // The request is sent some time after the connection, as on a loaded machine.
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(exchange(&mut client, "/a").await.starts_with("HTTP/1.1 200 OK\r\n"));
        // Once idle past its minimum residence, the connection is evicted when another accept
        // fails.
        tokio::time::sleep(Duration::from_millis(110)).await;
        let mut next = server.connect().await;
        assert!(exchange(&mut next, "/b").await.starts_with("HTTP/1.1 200 OK\r\n"));
        let mut rest = String::new();
        client.read_to_string(&mut rest).await.expect("an orderly end");
        assert_eq!(rest, "");
        assert_eq!(server.manager.descriptor_pool().counters.borrow().evicted_early, 1);
    });
}

#[test]
fn a_new_connection_that_is_evicted_gets_a_rejection_for_its_first_request() {
    // The first request may be in transit: it would be lost in a close without a response.
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.connect().await;
        let mut received = Vec::new();
        // The client sends nothing until its connection is evicted, and its first request then.
        assert!(
            client.read_buf(&mut received).await.expect("the read succeeds") > 0,
            "closed without a response"
        );
        send_request(&mut client, "/a").await;
        client.read_to_end(&mut received).await.expect("no reset");
        let received = String::from_utf8(received).expect("valid UTF-8");
        assert!(
            received.starts_with("HTTP/1.1 503 ") && received.contains("Connection: close\r\n"),
            "{received:?}"
        );
    });
}

// Guards against a request that is read and never answered because the task that serves it panics: one answer, and the
// connection goes on.
#[test]
fn a_request_on_which_the_front_panics_is_answered_as_failed() {
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.connect().await;
        send_request(&mut client, "/panics").await;
        let response = read_response(&mut client, "/failed").await;
        assert!(response.starts_with("HTTP/1.1 500 "), "{response}");
        assert_eq!(server.manager.descriptor_pool().counters.borrow().front_panicked, 1);
        assert!(exchange(&mut client, "/next").await.starts_with("HTTP/1.1 200 "));
    });
}
