//! The listener on loopback sockets, under many times more connections than descriptors: well-behaved clients lose nothing.

use gatherer::limits::{DescriptorBudget, DescriptorClass};
use gatherer::protocol::http::{MalformedMessage, Request, Response};
use gatherer::routing::Invariant;
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use gatherer::transport::listener::{Accept, AcceptFuture, Front, accept_connections};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Responds with the request's path. `/held` waits for a permit of the test.
struct Echo {
    held: Rc<Semaphore>,
}

impl Front for Echo {
    async fn respond(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/held" => drop(self.held.acquire().await),
            "/malformed" => return Response::text(400, "malformed"),
            _ => {}
        }
        Response::text(200, request.path)
    }
    fn malformed(&self, error: MalformedMessage) -> Response {
        Response::text(error.status(), error.to_string())
    }
    fn overloaded(&self, _: Option<&Request>) -> Response {
        Response::text(503, "overloaded").with_header("Retry-After", "1")
    }
    fn caller<'a>(&self, request: &'a Request) -> Option<&'a str> {
        request.headers.get("X-Caller")
    }
    fn label<'a>(&self, _: &'a Request) -> Option<&'a str> {
        None
    }
    fn on_invariant_violated(&self, invariant: Invariant, concerns: &str) {
        eprintln!("{}: {concerns}", invariant.name());
    }
}

/// Too many open files.
const EMFILE: i32 = 24;
/// The connection was reset before it was accepted.
const ECONNABORTED: i32 = 103;

/// How long one attempt to connect blocks the thread while the backlog is full. With room in it, none blocks at all.
const CONNECT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection manager and a listener that admits connections to it.
struct Server {
    manager: Rc<ConnectionManager>,
    address: SocketAddr,
    held: Rc<Semaphore>,
    accepting: JoinHandle<()>,
}

/// Fails a number of accepts with an error of the system before it accepts a connection; one more before each further one.
struct FailingListener {
    listener: TcpListener,
    failures_left: Cell<u32>,
    errno: i32,
}

impl Accept for FailingListener {
    fn accept(&self) -> AcceptFuture<'_> {
        Box::pin(async move {
            if self.failures_left.get() > 0 {
                self.failures_left.set(self.failures_left.get() - 1);
                return Err(io::Error::from_raw_os_error(self.errno));
            }
            let accepted = Accept::accept(&self.listener).await;
            self.failures_left.set(1);
            accepted
        })
    }
}

impl Server {
    async fn start(descriptors: usize, failures: u32) -> Server {
        Server::with_buffer_limit(descriptors, failures, 4 << 20).await
    }
    async fn with_buffer_limit(descriptors: usize, failures: u32, max_buffered_bytes: usize) -> Server {
        Server::with_accept_errors(descriptors, failures, EMFILE, max_buffered_bytes).await
    }
    async fn with_accept_errors(
        descriptors: usize,
        failures: u32,
        errno: i32,
        max_buffered_bytes: usize,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let descriptor_pool = DescriptorPool::new(
            DescriptorBudget::new(descriptors, 16, 0).expect("enough"),
            max_buffered_bytes,
        );
        let (manager, held) = (ConnectionManager::new(descriptor_pool), Rc::new(Semaphore::new(0)));
        let front = Rc::new(Echo { held: held.clone() });
        let accepting = if failures > 0 {
            spawn_local(accept_connections(
                FailingListener { listener, failures_left: Cell::new(failures), errno },
                front,
                manager.clone(),
            ))
        } else {
            spawn_local(accept_connections(listener, front, manager.clone()))
        };
        let evicting = manager.clone();
        spawn_local(async move { evicting.run_evictions().await });
        let timed = manager.clone();
        spawn_local(async move { timed.run_lifecycle_timers().await });
        Server { manager, address, held, accepting }
    }
    fn free(&self) -> usize {
        self.manager.descriptor_pool().descriptors(|all| all.free())
    }
    async fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connected")
    }
}

async fn send_request(stream: &mut TcpStream, path: &str) {
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await.expect("written");
}

async fn read_response(stream: &mut TcpStream, path: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(format!("{path}\n").as_bytes()) {
        let count = stream.read_buf(&mut text).await.expect("readable");
        assert!(count > 0, "the connection ended after {:?}", String::from_utf8_lossy(&text));
    }
    String::from_utf8(text).expect("text")
}

async fn exchange(stream: &mut TcpStream, path: &str) -> String {
    send_request(stream, path).await;
    read_response(stream, path).await
}

/// A well-behaved client: where its idle connection was closed, it sends its request once more on a new one.
async fn well_behaved(address: SocketAddr, idle: &mut Option<TcpStream>) -> String {
    if let Some(stream) = idle {
        let mut text = Vec::new();
        if stream.write_all(b"GET /well-behaved HTTP/1.1\r\n\r\n").await.is_ok() {
            while !text.ends_with(b"/well-behaved\n") && matches!(stream.read_buf(&mut text).await, Ok(1..)) {
            }
        }
        if !text.is_empty() {
            return String::from_utf8(text).expect("text");
        }
    }
    let stream = idle.insert(connect_and_send(address, b"GET /well-behaved HTTP/1.1\r\n\r\n").await);
    read_response(stream, "/well-behaved").await
}

/// Connects and sends a request at once, before the server has a turn: clients and server share a thread, and a client that
/// waited for its turn between the two would send its request as late as the thread is busy. While the backlog is full, it
/// tries again.
async fn connect_and_send(address: SocketAddr, request: &[u8]) -> TcpStream {
    loop {
        let mut stream = match std::net::TcpStream::connect_timeout(&address, CONNECT_ATTEMPT_TIMEOUT) {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                tokio::time::sleep(CONNECT_ATTEMPT_TIMEOUT).await;
                continue;
            }
            Err(error) => panic!("no connection: {error}"),
        };
        std::io::Write::write_all(&mut stream, request).expect("written");
        stream.set_nonblocking(true).expect("set");
        return TcpStream::from_std(stream).expect("a stream");
    }
}

/// A client that misbehaves in one of several ways, and reconnects at once whenever it is closed.
async fn misbehaving(address: SocketAddr, number: usize) {
    loop {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let bytes: &[u8] = match number % 5 {
            0 => b"",
            1 => b"GET /half HTTP/1.1\r\nX-Pad:",
            2 => b"GET /once HTTP/1.1\r\n\r\n",
            3 => b"\0\0 malformed \r\n\r\n",
            _ => b"GET /malformed HTTP/1.1\r\n\r\n",
        };
        let mut discarded = [0; 512];
        // It may be closed at any point, which is what it provokes.
        if stream.write_all(bytes).await.is_ok() {
            while matches!(stream.read(&mut discarded).await, Ok(1..)) {
                if number.is_multiple_of(10) && stream.write_all(b"a").await.is_err() {
                    break;
                }
            }
        }
    }
}

fn run(main: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, main);
}

/// Acquires all descriptors that workers are guaranteed, busy, as queries of many parts do.
fn fill_guaranteed_worker_descriptors(pool: &Rc<DescriptorPool>) -> Vec<DescriptorPermit> {
    let floor = pool.descriptors(|all| all.budget().floors[DescriptorClass::Workers as usize]);
    let held: Vec<DescriptorPermit> = (0..floor)
        .map(|_| pool.try_acquire(DescriptorClass::Workers).expect("a guaranteed descriptor"))
        .collect();
    assert!(held.iter().all(DescriptorPermit::try_mark_busy));
    held
}

async fn well_behaved_clients_lose_nothing(
    descriptors: usize,
    failures: u32,
    workers_busy: bool,
    min_admitted: u64,
) {
    let server = Server::start(descriptors, failures).await;
    let worker_descriptors =
        workers_busy.then(|| fill_guaranteed_worker_descriptors(server.manager.descriptor_pool()));
    let misbehaving_clients: Vec<_> =
        (0..10 * descriptors).map(|number| spawn_local(misbehaving(server.address, number))).collect();
    // Well-behaved clients keep their connections; one that is closed between two requests reconnects.
    let mut clients = [None, None, None, None];
    let admitted = || server.manager.descriptor_pool().counters.borrow().admitted;
    let mut rounds = 0;
    while rounds < 10 || admitted() < min_admitted {
        for client in &mut clients {
            assert!(well_behaved(server.address, client).await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
        rounds += 1;
        assert!(server.free() <= server.manager.descriptor_pool().descriptors(|all| all.budget().usable));
        tokio::task::yield_now().await;
    }
    let counters = server.manager.descriptor_pool().counters.borrow().clone();
    assert!(counters.peak_descriptors <= descriptors - 16, "{counters}");
    assert!(counters.evicted_early > 0 && counters.total_evicted() > 0, "{counters}");
    assert_eq!((counters.rejected, counters.rejected_no_descriptor), (0, 0), "{counters}");
    assert_eq!(counters.accept_failed > 0, failures > 0, "{counters}");
    let mut last = server.client().await;
    send_request(&mut last, "/held").await;
    while server.manager.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients)) == 0 {
        tokio::task::yield_now().await;
    }
    // After SIGTERM well-behaved clients still get their responses, and the process ends under load.
    server.manager.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
    assert!(well_behaved(server.address, &mut clients[0]).await.starts_with("HTTP/1.1 200 OK\r\n"));
    server.manager.wait_for_closing().await;
    server.held.add_permits(1);
    assert!(read_response(&mut last, "/held").await.contains("Connection: close\r\n"));
    misbehaving_clients.iter().for_each(JoinHandle::abort);
    server.accepting.await.expect("accepting ends");
    while server.manager.open_connections() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(worker_descriptors);
}

#[test]
fn well_behaved_clients_lose_nothing_among_ten_times_as_many_connections_as_descriptors() {
    run(well_behaved_clients_lose_nothing(96, 0, false, 2000));
}

#[test]
fn well_behaved_clients_lose_nothing_while_workers_use_all_guaranteed_descriptors() {
    run(well_behaved_clients_lose_nothing(96, 0, true, 600));
}

#[test]
fn well_behaved_clients_lose_nothing_while_accepts_fail_for_want_of_descriptors() {
    run(well_behaved_clients_lose_nothing(64, 1, false, 80));
}

#[test]
fn a_busy_connection_is_never_evicted_and_the_next_request_is_rejected() {
    // A new connection may neither end a query in flight nor wait without an answer.
    run(async {
        let server = Server::start(64, 0).await;
        let mut busy = Vec::new();
        while server.free() > 0 {
            let mut client = server.client().await;
            send_request(&mut client, "/held").await;
            busy.push(client);
            let busy_count =
                || server.manager.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients));
            let rejected_count = || server.manager.descriptor_pool().counters.borrow().rejected_no_descriptor;
            let before = busy_count() + rejected_count() as usize;
            while busy_count() + rejected_count() as usize == before && server.free() > 0 {
                tokio::task::yield_now().await;
            }
            if rejected_count() > 0 {
                break;
            }
        }
        let mut rejected = busy.pop().expect("one was rejected");
        let mut text = String::new();
        rejected.read_to_string(&mut text).await.expect("readable");
        assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: 1\r\n"), "{text}");
        // What the other classes are guaranteed can still be acquired.
        let (pool, mut others) = (server.manager.descriptor_pool(), Vec::new());
        for class in [DescriptorClass::Workers, DescriptorClass::Discovery, DescriptorClass::Files] {
            let floor = pool.descriptors(|all| all.budget().floors[class as usize]);
            for _ in 0..floor {
                let permit = pool.acquire(class).await;
                assert!(permit.try_mark_busy(), "{class}");
                others.push(permit);
            }
        }
        let mut late = server.client().await;
        let mut text = String::new();
        late.read_to_string(&mut text).await.expect("readable");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(pool.counters.borrow().rejected, 1);
        server.held.add_permits(busy.len());
        for client in &mut busy {
            assert!(read_response(client, "/held").await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
    });
}

#[test]
fn incomplete_requests_together_buffer_no_more_than_the_budget() {
    // Many clients each send as much of a request as one may, and never its end.
    run(async {
        let server = Server::with_buffer_limit(96, 0, 400 << 10).await;
        let mut incomplete = Vec::new();
        for _ in 0..40 {
            let mut half = server.client().await;
            let body = vec![b'x'; 60_000];
            incomplete.push(spawn_local(async move {
                half.write_all(b"POST /half HTTP/1.1\r\nContent-Length: 60001\r\n\r\n").await?;
                half.write_all(&body).await?;
                let mut text = String::new();
                half.read_to_string(&mut text).await.map(|_| text)
            }));
        }
        let mut idle = None;
        for _ in 0..50 {
            assert!(well_behaved(server.address, &mut idle).await.starts_with("HTTP/1.1 200 OK\r\n"));
            tokio::task::yield_now().await;
        }
        let mut answered = 0;
        for half in incomplete {
            // A connection may be reset while its client still sends; the others get a response that says why.
            if let Ok(text) = half.await.expect("its task ends") {
                answered += usize::from(text.starts_with("HTTP/1.1 408 "));
            }
        }
        let most = server.manager.descriptor_pool().counters.borrow().peak_buffered_bytes;
        assert!(answered > 0 && most > 100 << 10 && most <= 400 << 10, "{answered} answered, {most} bytes");
    });
}

#[test]
fn an_incomplete_request_is_evicted_once_another_connection_needs_its_descriptor() {
    run(async {
        let server = Server::start(64, 0).await;
        let mut half = server.client().await;
        half.write_all(b"POST /half HTTP/1.1\r\nX-Pad:").await.expect("written");
        let mut others = Vec::new();
        let mut text = String::new();
        let closed = half.read_to_string(&mut text);
        let more = async {
            while server.manager.descriptor_pool().counters.borrow().evicted.iter().sum::<u64>() == 0 {
                others.push(server.client().await);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            read = closed => { read.expect("readable"); }
            () = more => {}
        }
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(server.manager.descriptor_pool().counters.borrow().evicted[1] > 0);
    });
}

#[test]
fn a_request_that_arrives_as_its_connection_is_evicted_is_served() {
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.client().await;
        exchange(&mut client, "/a").await;
        // Both happen before the connection's task runs again.
        server.manager.descriptor_pool().reclaim(DescriptorClass::Clients);
        send_request(&mut client, "/b").await;
        let cancelled_evictions = || server.manager.descriptor_pool().counters.borrow().eviction_cancelled;
        let text = read_response(&mut client, "/b").await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(cancelled_evictions() <= 1);
        assert_eq!(server.manager.descriptor_pool().counters.borrow().close_races, 0);
    });
}

/// Waits until a condition holds, and fails the test after 20 s.
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let all = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), all)
        .await
        .unwrap_or_else(|_| panic!("waited in vain: {what}"));
}

#[test]
fn a_client_that_closes_behind_unread_bytes_is_noticed() {
    // The request waits for its first attempt; its client sends more than is buffered ahead, and closes.
    run(async {
        let server = Server::start(64, 0).await;
        let busy_count =
            || server.manager.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients));
        let mut closing = Vec::new();
        for _ in 0..4 {
            let mut client = server.client().await;
            send_request(&mut client, "/held").await;
            closing.push(client);
        }
        wait_until("four are held", || busy_count() == 4).await;
        // All close in one burst, each behind more than twice what may be sent ahead.
        let burst = closing.into_iter().map(|mut client| {
            spawn_local(async move {
                client.write_all(&vec![b'x'; 600 << 10]).await.expect("it is read");
            })
        });
        for gone in burst.collect::<Vec<_>>() {
            gone.await.expect("it ends");
        }
        wait_until("they are gone", || server.manager.open_connections() == 0).await;
        // A client that stays gets its response and the end of its connection: what it sent ahead was discarded.
        let mut client = server.client().await;
        send_request(&mut client, "/held").await;
        wait_until("it is held", || busy_count() == 1).await;
        // More than the system's buffers hold: most of it has been read when this returns.
        client.write_all(&vec![b'x'; 24 << 20]).await.expect("it is read");
        server.held.add_permits(1);
        assert!(read_response(&mut client, "/held").await.contains("Connection: close\r\n"));
    });
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_read_and_not_answered() {
    // Closing a socket with unread bytes resets the connection, and discards what has not arrived yet.
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.client().await;
        exchange(&mut client, "/a").await;
        server.manager.descriptor_pool().reclaim(DescriptorClass::Clients);
        let mut text = String::new();
        client.read_to_string(&mut text).await.expect("it ends for writing first");
        send_request(&mut client, "/b").await;
        wait_until("it is read", || server.manager.descriptor_pool().counters.borrow().close_races == 1)
            .await;
        client.read_to_string(&mut text).await.expect("no reset");
        assert_eq!(text, "");
        drop(client);
        wait_until("it is closed", || server.manager.open_connections() == 0).await;
        assert_eq!(server.manager.descriptor_pool().counters.borrow().eviction_cancelled, 0);
    });
}

#[test]
fn all_connections_made_before_accepting_ends_get_a_response() {
    // After a pause of the process both are due at once: connections in the backlog, and the end of accepting.
    run(async {
        let server = Server::start(256, 0).await;
        server.manager.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
        let connect = |_| {
            let mut client = std::net::TcpStream::connect(server.address).expect("connected");
            std::io::Write::write_all(&mut client, b"GET /late HTTP/1.1\r\n\r\n").expect("written");
            client
        };
        let clients: Vec<_> = (0..60).map(connect).collect();
        // The only thread pauses past the end of accepting, so that both are due when it goes on.
        std::thread::sleep(gatherer::service::lifecycle::GRACE_PERIOD + Duration::from_millis(50));
        for client in clients {
            client.set_nonblocking(true).expect("set");
            let mut client = TcpStream::from_std(client).expect("a stream");
            let text =
                tokio::time::timeout(Duration::from_secs(20), read_response(&mut client, "/late")).await;
            assert!(text.expect("an answer").contains("Connection: close\r\n"));
        }
        server.accepting.await.expect("accepting ends");
    });
}

#[test]
fn an_accept_error_that_is_no_want_of_descriptors_delays_no_client() {
    run(async {
        let server = Server::with_accept_errors(64, 40, ECONNABORTED, 4 << 20).await;
        let since = std::time::Instant::now();
        let mut client = server.client().await;
        assert!(exchange(&mut client, "/a").await.starts_with("HTTP/1.1 200 OK\r\n"));
        let (took, counters) = (since.elapsed(), server.manager.descriptor_pool().counters.borrow().clone());
        // One more fails before the next connection.
        assert_eq!((counters.accept_failed, counters.evicted_early), (41, 0), "{counters}");
        assert!(took < Duration::from_millis(400), "40 failures took {took:?}");
    });
}

#[test]
fn a_failing_accept_evicts_no_connection_whose_first_request_may_be_on_its_way() {
    // The descriptors that ran out are not the budget's, and each accept that succeeds is followed by one that fails.
    run(async {
        let server = Server::start(64, 1).await;
        let failed = || server.manager.descriptor_pool().counters.borrow().accept_failed;
        let mut client = server.client().await;
        wait_until("it is accepted and the next accept has failed", || failed() == 2).await;
        // The request follows the connection late, as on a loaded machine.
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(exchange(&mut client, "/a").await.starts_with("HTTP/1.1 200 OK\r\n"));
        // Once it is idle, it is closed where another accept fails.
        tokio::time::sleep(Duration::from_millis(110)).await;
        let mut next = server.client().await;
        assert!(exchange(&mut next, "/b").await.starts_with("HTTP/1.1 200 OK\r\n"));
        let mut rest = String::new();
        client.read_to_string(&mut rest).await.expect("an orderly end");
        assert_eq!(rest, "");
        assert_eq!(server.manager.descriptor_pool().counters.borrow().evicted_early, 1);
    });
}

#[test]
fn a_new_connection_that_is_evicted_gets_a_rejection_for_its_first_request() {
    // Its first request may be on its way: after a close without a response it would be lost.
    run(async {
        let server = Server::start(64, 0).await;
        let mut client = server.client().await;
        let mut received = Vec::new();
        // It sends nothing until it is evicted, and its first request just then.
        assert!(client.read_buf(&mut received).await.expect("readable") > 0, "closed without a word");
        send_request(&mut client, "/a").await;
        client.read_to_end(&mut received).await.expect("no reset");
        let received = String::from_utf8(received).expect("text");
        assert!(
            received.starts_with("HTTP/1.1 503 ") && received.contains("Connection: close\r\n"),
            "{received:?}"
        );
    });
}
