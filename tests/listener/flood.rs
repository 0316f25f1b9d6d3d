//! Well-behaved clients during a flood of ten times as many connections as there are descriptors.

use crate::clients::{connect_and_send, misbehaving, read_response, well_behaved};
use crate::server::{Server, run};
use gatherer::limits::DescriptorClass;
use gatherer::service::lifecycle::LifecycleRequest;
use gatherer::transport::descriptor_pool::{DescriptorPermit, DescriptorPool};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Acquires all descriptors that workers are guaranteed and marks them as busy, as queries of many parts do.
fn fill_guaranteed_worker_descriptors(pool: &Rc<DescriptorPool>) -> Vec<DescriptorPermit> {
    let floor = pool.descriptors(|allocator| allocator.budget().floors[DescriptorClass::Workers as usize]);
    let held: Vec<DescriptorPermit> = (0..floor)
        .map(|_| pool.try_acquire(DescriptorClass::Workers).expect("a guaranteed descriptor"))
        .collect();
    assert!(held.iter().all(DescriptorPermit::try_mark_busy));
    held
}

/// Runs well-behaved clients beside misbehaving ones until `min_admitted` connections were admitted, then
/// stops the server. Every request of a well-behaved client must be answered.
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
    // Well-behaved clients keep their connections, and reconnect if one is closed between two requests.
    let mut clients = [None, None, None, None];
    let admitted_count = || server.manager.descriptor_pool().counters.borrow().admitted;
    let mut rounds = 0;
    while rounds < 10 || admitted_count() < min_admitted {
        for client in &mut clients {
            assert!(well_behaved(server.address, client).await.starts_with("HTTP/1.1 200 OK\r\n"));
        }
        rounds += 1;
        assert!(
            server.free_descriptors()
                <= server.manager.descriptor_pool().descriptors(|allocator| allocator.budget().usable)
        );
        tokio::task::yield_now().await;
    }
    let counters = server.manager.descriptor_pool().counters.borrow().clone();
    assert!(counters.peak_descriptors <= descriptors - 16, "{counters}");
    assert!(counters.evicted_early > 0 && counters.total_evicted() > 0, "{counters}");
    assert_eq!((counters.rejected, counters.rejected_no_descriptor), (0, 0), "{counters}");
    assert_eq!(counters.accept_failed > 0, failures > 0, "{counters}");
    let mut held_client = connect_and_send(server.address, b"GET /held HTTP/1.1\r\n\r\n").await;
    while server.manager.descriptor_pool().descriptors(|allocator| allocator.busy(DescriptorClass::Clients))
        == 0
    {
        tokio::task::yield_now().await;
    }
    // After SIGTERM, well-behaved clients still get their responses, and the server ends in spite of the
    // load.
    server.manager.apply_lifecycle(LifecycleRequest::Stop).expect("the stop is accepted");
    assert!(well_behaved(server.address, &mut clients[0]).await.starts_with("HTTP/1.1 200 OK\r\n"));
    server.manager.wait_for_closing().await;
    server.held_requests.add_permits(1);
    assert!(read_response(&mut held_client, "/held").await.contains("Connection: close\r\n"));
    misbehaving_clients.iter().for_each(JoinHandle::abort);
    server.accepting.await.expect("the accept task ends");
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
fn well_behaved_clients_lose_nothing_while_accepts_fail_for_lack_of_descriptors() {
    run(well_behaved_clients_lose_nothing(64, 1, false, 80));
}
