//! The listener on loopback sockets, in a crowd of many times the descriptors: the usual clients lose nothing.

use gatherer::limits::{DescriptorBudget, DescriptorClass};
use gatherer::protocol::http::{Malformed, Request, Response};
use gatherer::routing::Invariant;
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::connection_manager::ConnectionManager;
use gatherer::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use gatherer::transport::listener::{Accept, AcceptFuture, Front, accept};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Says its path. `/held` is answered only when the test lets it.
struct Echo(Rc<Semaphore>);

impl Front for Echo {
    async fn respond(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/held" => drop(self.0.acquire().await),
            "/rubbish" => return Response::text(400, "rubbish"),
            _ => {}
        }
        Response::text(200, request.path)
    }
    fn malformed(&self, error: Malformed) -> Response {
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
    fn violated(&self, invariant: Invariant, concerns: &str) {
        eprintln!("{}: {concerns}", invariant.name());
    }
}

/// Too many open files; a connection that was reset before it was accepted.
const EMFILE: i32 = 24;
const ECONNABORTED: i32 = 103;

/// A gate with a listener in front of it.
struct House {
    gate: Rc<ConnectionManager>,
    address: SocketAddr,
    held: Rc<Semaphore>,
    accepting: JoinHandle<()>,
}

/// Fails so often before it takes connections, with this error of the system.
struct Short(TcpListener, Cell<u32>, i32);

impl Accept for Short {
    fn accept(&self) -> AcceptFuture<'_> {
        Box::pin(async move {
            if self.1.get() > 0 {
                self.1.set(self.1.get() - 1);
                return Err(io::Error::from_raw_os_error(self.2));
            }
            let accepted = Accept::accept(&self.0).await;
            self.1.set(1);
            accepted
        })
    }
}

impl House {
    async fn open(descriptors: usize, failures: u32) -> House {
        House::with_memory(descriptors, failures, 4 << 20).await
    }
    async fn with_memory(descriptors: usize, failures: u32, bytes: usize) -> House {
        House::failing(descriptors, failures, EMFILE, bytes).await
    }
    async fn failing(descriptors: usize, failures: u32, error: i32, bytes: usize) -> House {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let places = DescriptorPool::new(DescriptorBudget::new(descriptors, 16, 0).expect("enough"), bytes);
        let (gate, held) = (ConnectionManager::new(places), Rc::new(Semaphore::new(0)));
        let front = Rc::new(Echo(held.clone()));
        let accepting = if failures > 0 {
            spawn_local(accept(Short(listener, Cell::new(failures), error), front, gate.clone()))
        } else {
            spawn_local(accept(listener, front, gate.clone()))
        };
        let tended = gate.clone();
        spawn_local(async move { tended.run_evictions().await });
        let aged = gate.clone();
        spawn_local(async move { aged.run_lifecycle_timers().await });
        House { gate, address, held, accepting }
    }
    fn free(&self) -> usize {
        self.gate.descriptor_pool().descriptors(|all| all.free())
    }
    async fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connected")
    }
}

async fn say(stream: &mut TcpStream, path: &str) {
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await.expect("written");
}

async fn hear(stream: &mut TcpStream, path: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(format!("{path}\n").as_bytes()) {
        assert!(stream.read_buf(&mut text).await.expect("readable") > 0, "the connection ended");
    }
    String::from_utf8(text).expect("text")
}

async fn ask(stream: &mut TcpStream, path: &str) -> String {
    say(stream, path).await;
    hear(stream, path).await
}

/// A usual client: where its kept connection was closed between two requests, it asks once more on a new one.
async fn usual(address: SocketAddr, kept: &mut Option<TcpStream>) -> String {
    if let Some(stream) = kept {
        let mut text = Vec::new();
        if stream.write_all(b"GET /usual HTTP/1.1\r\n\r\n").await.is_ok() {
            while !text.ends_with(b"/usual\n") && matches!(stream.read_buf(&mut text).await, Ok(1..)) {}
        }
        if !text.is_empty() {
            return String::from_utf8(text).expect("text");
        }
    }
    let stream = kept.insert(TcpStream::connect(address).await.expect("connected"));
    ask(stream, "/usual").await
}

/// One of a crowd: it misbehaves in its own way, and is back at once whenever it is closed.
async fn nuisance(address: SocketAddr, number: usize) {
    loop {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let words: &[u8] = match number % 5 {
            0 => b"",
            1 => b"GET /half HTTP/1.1\r\nX-Pad:",
            2 => b"GET /once HTTP/1.1\r\n\r\n",
            3 => b"\0\0 rubbish \r\n\r\n",
            _ => b"GET /rubbish HTTP/1.1\r\n\r\n",
        };
        let mut scrap = [0; 512];
        // It may be closed at any point: that is what it came for.
        if stream.write_all(words).await.is_ok() {
            while matches!(stream.read(&mut scrap).await, Ok(1..)) {
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

/// Takes all places of the servers' side, firmly, as wide queries do.
fn servers_at_their_floor(places: &Rc<DescriptorPool>) -> Vec<DescriptorPermit> {
    let floor = places.descriptors(|all| all.budget().floors[DescriptorClass::Workers as usize]);
    let held: Vec<DescriptorPermit> =
        (0..floor).map(|_| places.try_acquire(DescriptorClass::Workers).expect("its floor")).collect();
    assert!(held.iter().all(DescriptorPermit::try_mark_busy));
    held
}

async fn usual_clients_lose_nothing(descriptors: usize, failures: u32, floor_taken: bool, come: u64) {
    let house = House::open(descriptors, failures).await;
    let servers = floor_taken.then(|| servers_at_their_floor(house.gate.descriptor_pool()));
    let crowd: Vec<_> =
        (0..10 * descriptors).map(|number| spawn_local(nuisance(house.address, number))).collect();
    // Usual clients keep their connections and come back; one that is closed between two requests comes anew.
    let mut clients = [None, None, None, None];
    let admitted = || house.gate.descriptor_pool().counters.borrow().admitted;
    let mut rounds = 0;
    while rounds < 10 || admitted() < come {
        for client in &mut clients {
            assert!(usual(house.address, client).await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
        rounds += 1;
        assert!(house.free() <= house.gate.descriptor_pool().descriptors(|all| all.budget().usable));
        tokio::task::yield_now().await;
    }
    let tally = house.gate.descriptor_pool().counters.borrow().clone();
    assert!(tally.peak_descriptors <= descriptors - 16, "{tally}");
    assert!(tally.evicted_early > 0 && tally.total_evicted() > 0, "{tally}");
    assert_eq!((tally.rejected, tally.rejected_no_descriptor), (0, 0), "{tally}");
    assert_eq!(tally.accept_failed > 0, failures > 0, "{tally}");
    let mut last = house.client().await;
    say(&mut last, "/held").await;
    while house.gate.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients)) == 0 {
        tokio::task::yield_now().await;
    }
    // At SIGTERM usual clients still have their answers, and the end comes in spite of the crowd.
    house.gate.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
    assert!(usual(house.address, &mut clients[0]).await.starts_with("HTTP/1.1 200 OK\r\n"));
    house.gate.wait_for_closing().await;
    house.held.add_permits(1);
    assert!(hear(&mut last, "/held").await.contains("Connection: close\r\n"));
    crowd.iter().for_each(JoinHandle::abort);
    house.accepting.await.expect("accepting ends");
    while house.gate.open_connections() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(servers);
}

#[test]
fn usual_clients_lose_nothing_to_a_crowd_of_ten_times_the_descriptors() {
    run(usual_clients_lose_nothing(96, 0, false, 2000));
}

#[test]
fn nor_with_the_servers_at_their_floor() {
    run(usual_clients_lose_nothing(96, 0, true, 600));
}

#[test]
fn nor_with_accept_failing_for_want_of_descriptors() {
    run(usual_clients_lose_nothing(64, 1, false, 80));
}

#[test]
fn one_with_a_query_open_is_never_cut_and_the_next_is_told_to_come_back() {
    // Guards against a listener that cuts a query for a newcomer, and against one that leaves the newcomer waiting.
    run(async {
        let house = House::open(64, 0).await;
        let mut busy = Vec::new();
        while house.free() > 0 {
            let mut client = house.client().await;
            say(&mut client, "/held").await;
            busy.push(client);
            let firm = || house.gate.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients));
            let refused = || house.gate.descriptor_pool().counters.borrow().rejected_no_descriptor;
            let before = firm() + refused() as usize;
            while firm() + refused() as usize == before && house.free() > 0 {
                tokio::task::yield_now().await;
            }
            if refused() > 0 {
                break;
            }
        }
        let refused = busy.pop().expect("one was refused");
        let mut text = String::new();
        let mut refused = refused;
        refused.read_to_string(&mut text).await.expect("readable");
        assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: 1\r\n"), "{text}");
        // Floors of the other sides stay free to be had.
        let (places, mut others) = (house.gate.descriptor_pool(), Vec::new());
        for side in [DescriptorClass::Workers, DescriptorClass::Discovery, DescriptorClass::Files] {
            let floor = places.descriptors(|all| all.budget().floors[side as usize]);
            for _ in 0..floor {
                let place = places.acquire(side).await;
                assert!(place.try_mark_busy(), "{side}");
                others.push(place);
            }
        }
        let mut late = house.client().await;
        let mut text = String::new();
        late.read_to_string(&mut text).await.expect("readable");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(places.counters.borrow().rejected, 1);
        house.held.add_permits(busy.len());
        for client in &mut busy {
            assert!(hear(client, "/held").await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
    });
}

#[test]
fn half_requests_together_buffer_no_more_than_there_is() {
    // Guards the memory against many clients that each send the most that one may, and never the end.
    run(async {
        let house = House::with_memory(96, 0, 400 << 10).await;
        let mut halves = Vec::new();
        for _ in 0..40 {
            let mut half = house.client().await;
            let body = vec![b'x'; 60_000];
            halves.push(spawn_local(async move {
                half.write_all(b"POST /half HTTP/1.1\r\nContent-Length: 60001\r\n\r\n").await?;
                half.write_all(&body).await?;
                let mut text = String::new();
                half.read_to_string(&mut text).await.map(|_| text)
            }));
        }
        let mut kept = None;
        for _ in 0..50 {
            assert!(usual(house.address, &mut kept).await.starts_with("HTTP/1.1 200 OK\r\n"));
            tokio::task::yield_now().await;
        }
        let mut told = 0;
        for half in halves {
            // It may be reset while it still sends; whoever is told is told why.
            if let Ok(text) = half.await.expect("its task ends") {
                told += usize::from(text.starts_with("HTTP/1.1 408 "));
            }
        }
        let most = house.gate.descriptor_pool().counters.borrow().peak_buffered_bytes;
        assert!(told > 0 && most > 100 << 10 && most <= 400 << 10, "{told} told, {most} bytes");
    });
}

#[test]
fn half_a_request_holds_a_place_only_as_long_as_nobody_needs_it() {
    run(async {
        let house = House::open(64, 0).await;
        let mut half = house.client().await;
        half.write_all(b"POST /half HTTP/1.1\r\nX-Pad:").await.expect("written");
        let mut others = Vec::new();
        let mut text = String::new();
        let closed = half.read_to_string(&mut text);
        let more = async {
            while house.gate.descriptor_pool().counters.borrow().evicted.iter().sum::<u64>() == 0 {
                others.push(house.client().await);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            read = closed => { read.expect("readable"); }
            () = more => {}
        }
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(house.gate.descriptor_pool().counters.borrow().evicted[1] > 0);
    });
}

#[test]
fn a_request_that_comes_as_its_connection_is_told_to_leave_is_served() {
    run(async {
        let house = House::open(64, 0).await;
        let mut client = house.client().await;
        ask(&mut client, "/a").await;
        // Both happen before the connection's task runs again.
        house.gate.descriptor_pool().reclaim(DescriptorClass::Clients);
        say(&mut client, "/b").await;
        let spared = || house.gate.descriptor_pool().counters.borrow().eviction_cancelled;
        let text = hear(&mut client, "/b").await;
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(spared() <= 1);
        assert_eq!(house.gate.descriptor_pool().counters.borrow().close_races, 0);
    });
}

/// Waits for an event; guards against a test that hangs for ever.
async fn event(what: &str, so: impl Fn() -> bool) {
    let all = async {
        while !so() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), all).await.unwrap_or_else(|_| panic!("in vain: {what}"));
}

#[test]
fn a_client_that_leaves_behind_bytes_that_nobody_reads_is_noticed() {
    // Guards a request that waits for its first attempt: its client sent more than is kept ahead, and left.
    run(async {
        let house = House::open(64, 0).await;
        let firm = || house.gate.descriptor_pool().descriptors(|all| all.busy(DescriptorClass::Clients));
        let mut leaving = Vec::new();
        for _ in 0..4 {
            let mut client = house.client().await;
            say(&mut client, "/held").await;
            leaving.push(client);
        }
        event("four are held", || firm() == 4).await;
        // All leave in one burst, each behind more than twice what may be sent ahead.
        let burst = leaving.into_iter().map(|mut client| {
            spawn_local(async move {
                client.write_all(&vec![b'x'; 600 << 10]).await.expect("it is read");
            })
        });
        for gone in burst.collect::<Vec<_>>() {
            gone.await.expect("it ends");
        }
        event("they are gone", || house.gate.open_connections() == 0).await;
        // One that stays has its answer, and the end of its connection: what it sent ahead is no request any more.
        let mut client = house.client().await;
        say(&mut client, "/held").await;
        event("it is held", || firm() == 1).await;
        // More than the system holds on the way: most of it has been read when this returns.
        client.write_all(&vec![b'x'; 24 << 20]).await.expect("it is read");
        house.held.add_permits(1);
        assert!(hear(&mut client, "/held").await.contains("Connection: close\r\n"));
    });
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_read_and_not_answered() {
    // Guards against a close over unread bytes: it resets the connection, and takes with it what has not arrived yet.
    run(async {
        let house = House::open(64, 0).await;
        let mut client = house.client().await;
        ask(&mut client, "/a").await;
        house.gate.descriptor_pool().reclaim(DescriptorClass::Clients);
        let mut text = String::new();
        client.read_to_string(&mut text).await.expect("it ends for writing first");
        say(&mut client, "/b").await;
        event("it is read", || house.gate.descriptor_pool().counters.borrow().close_races == 1).await;
        client.read_to_string(&mut text).await.expect("no reset");
        assert_eq!(text, "");
        drop(client);
        event("it is closed", || house.gate.open_connections() == 0).await;
        assert_eq!(house.gate.descriptor_pool().counters.borrow().eviction_cancelled, 0);
    });
}

#[test]
fn all_who_connected_before_the_door_closes_get_an_answer() {
    // Guards those in the queue of a process that stood still: their connections are there, and so is the end.
    run(async {
        let house = House::open(256, 0).await;
        house.gate.apply_lifecycle(LifecycleRequest::Stop).expect("taken");
        let come = |_| {
            let mut client = std::net::TcpStream::connect(house.address).expect("connected");
            std::io::Write::write_all(&mut client, b"GET /late HTTP/1.1\r\n\r\n").expect("written");
            client
        };
        let clients: Vec<_> = (0..60).map(come).collect();
        // The one thread stands still past the moment at which the door closes: both lie there at the same wake.
        std::thread::sleep(gatherer::service::lifecycle::GRACE_PERIOD + Duration::from_millis(50));
        for client in clients {
            client.set_nonblocking(true).expect("set");
            let mut client = TcpStream::from_std(client).expect("a stream");
            let text = tokio::time::timeout(Duration::from_secs(20), hear(&mut client, "/late")).await;
            assert!(text.expect("an answer").contains("Connection: close\r\n"));
        }
        house.accepting.await.expect("accepting ends");
    });
}

#[test]
fn an_accept_that_fails_for_no_want_of_descriptors_costs_no_client_and_no_time() {
    run(async {
        let house = House::failing(64, 40, ECONNABORTED, 4 << 20).await;
        let since = std::time::Instant::now();
        let mut client = house.client().await;
        assert!(ask(&mut client, "/a").await.starts_with("HTTP/1.1 200 OK\r\n"));
        let (took, tally) = (since.elapsed(), house.gate.descriptor_pool().counters.borrow().clone());
        // One more fails before the next connection.
        assert_eq!((tally.accept_failed, tally.evicted_early), (41, 0), "{tally}");
        assert!(took < Duration::from_millis(400), "40 failures took {took:?}");
    });
}

#[test]
fn a_newcomer_that_is_made_to_leave_has_an_answer_for_the_request_that_crosses_it() {
    // Its first request may be on its way: read behind a close without an answer, it would be lost.
    run(async {
        let house = House::open(64, 0).await;
        let mut client = house.client().await;
        let mut said = Vec::new();
        // It says nothing until it is made to leave, and asks just then.
        assert!(client.read_buf(&mut said).await.expect("readable") > 0, "closed without a word");
        say(&mut client, "/a").await;
        client.read_to_end(&mut said).await.expect("no reset");
        let said = String::from_utf8(said).expect("text");
        assert!(said.starts_with("HTTP/1.1 503 ") && said.contains("Connection: close\r\n"), "{said:?}");
    });
}
