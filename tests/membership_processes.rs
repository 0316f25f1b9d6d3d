//! Membership with real processes of the program, each behind a proxy that injects faults. The tests check
//! that all processes observe the right states, and that no running process is declared dead.

mod common;

use common::process::{
    Discovery, Gatherer, TempFolder, Worker, call_operator_api, config, listen, member, unused_address,
    wait_until,
};
use common::proxied_fleet::ProxiedFleet;
use std::net::UdpSocket;
use std::process::Command;
use std::time::Duration;

#[test]
fn a_killed_process_is_dead_to_all_and_rejoins_with_its_next_start() {
    let mut fleet = ProxiedFleet::start("killed", 5);
    assert!(fleet.running().iter().all(|id| fleet.fleet_size_seen_by(*id) == 5));
    fleet.kill(0);
    for id in 1..5 {
        wait_until("dead to all", || fleet.state_seen_by(id, 0) == "dead");
        // A dead member's share is redistributed at once, and the decision module gets the new fleet size.
        assert_eq!(fleet.fleet_size_seen_by(id), 4);
        fleet.member(id).wait_for_log("members: 4 gatherers share the fleet");
    }
    // While the first seed is down, members rejoin through the second one, the first seed included.
    fleet.kill(4);
    (1..4).for_each(|id| wait_until("both dead", || fleet.fleet_size_seen_by(id) == 3));
    fleet.start_member(4);
    fleet.start_member(0);
    fleet.wait_until_converged();
    assert_eq!(fleet.unexpected_death_lines(&[0, 4]), Vec::<String>::new());
}

#[test]
fn paused_processes_are_suspected_and_keep_their_shares_and_declare_no_member_dead_on_resume() {
    let fleet = ProxiedFleet::start("still", 5);
    for id in [3, 4] {
        fleet.member(id).signal("-STOP");
    }
    for id in 0..3 {
        wait_until("suspected", || ["suspect", "silent"].contains(&fleet.state_seen_by(id, 3).as_str()));
        // An unresponsive member may only be paused, so it keeps its share for now.
        assert_eq!(fleet.fleet_size_seen_by(id), 5);
    }
    // Both were paused for longer than the probe time-out, and must not take their own pause for a failure
    // of the others.
    for id in [3, 4] {
        fleet.member(id).signal("-CONT");
    }
    fleet.wait_until_converged();
    assert_eq!(fleet.unexpected_death_lines(&[3, 4]), Vec::<String>::new());
    assert!(fleet.running().iter().all(|id| fleet.fleet_size_seen_by(*id) == 5));
}

#[test]
fn loss_and_duplication_cause_no_false_positive_and_hide_no_death() {
    let mut fleet = ProxiedFleet::start("lossy", 6);
    {
        let mut faults = fleet.faults.lock().expect("the mutex is not poisoned");
        (faults.loss, faults.duplication) = (0.2, 0.2);
    }
    fleet.kill(5);
    for id in 0..5 {
        wait_until("dead to all", || fleet.state_seen_by(id, 5) == "dead");
    }
    // A new process joins under the same faults.
    fleet.start_member(5);
    fleet.wait_until_converged();
    assert_eq!(fleet.unexpected_death_lines(&[5]), Vec::<String>::new());
}

#[test]
fn both_sides_of_a_split_keep_their_shares_and_merge_without_a_false_positive() {
    let fleet = ProxiedFleet::start("halves", 6);
    let (first_half, second_half) = ([0, 1, 2], [3, 4, 5]);
    fleet.partition(&first_half, &second_half);
    fleet.partition(&second_half, &first_half);
    for id in 0..6 {
        let others = if id < 3 { second_half } else { first_half };
        for other in others {
            wait_until("silent", || fleet.state_seen_by(id, other) == "silent");
        }
        // Neither half is a majority, so neither takes the other's share.
        assert_eq!(fleet.fleet_size_seen_by(id), 6);
    }
    let before = fleet.unexpected_death_lines(&[]).len();
    fleet.heal();
    fleet.wait_until_converged();
    assert_eq!(
        fleet.unexpected_death_lines(&[]).len(),
        before,
        "the merge must not cause further reports of deaths"
    );
}

#[test]
fn a_one_way_partition_between_two_members_is_observed_as_one() {
    let fleet = ProxiedFleet::start("one_way", 5);
    fleet.partition(&[1], &[4]);
    wait_until("observed as a partition", || fleet.state_seen_by(4, 1) == "cut");
    for id in [0, 2, 3] {
        assert_eq!(
            (fleet.state_seen_by(id, 1).as_str(), fleet.state_seen_by(id, 4).as_str()),
            ("alive", "alive")
        );
    }
    fleet.heal();
    wait_until("healed", || fleet.state_seen_by(4, 1) == "alive");
    assert_eq!(fleet.unexpected_death_lines(&[]), Vec::<String>::new());
}

#[test]
fn both_processes_of_an_upgrade_are_one_member_and_a_stopped_one_has_left() {
    let mut fleet = ProxiedFleet::start("upgraded", 5);
    let start_of_g2 = |fleet: &ProxiedFleet| {
        let status = fleet.membership_status(0);
        let members = status["members"].as_array().expect("a list of members").clone();
        members.iter().find(|member| member["name"] == "g2").expect("g2 is listed")["start"].as_u64()
    };
    let before = start_of_g2(&fleet);
    let second = fleet.start_second_process(2);
    second.wait_for_log(" serving on ");
    let mut first = fleet.members[2].replace(second).expect("member 2 runs");
    first.signal("-TERM");
    assert!(first.wait_for_exit());
    wait_until("g2 has the start of the second process", || start_of_g2(&fleet) > before);
    fleet.wait_until_converged();
    assert_eq!(fleet.unexpected_death_lines(&[]), Vec::<String>::new());
    // A graceful shutdown is announced, so it needs no failure detection.
    let mut stopped = fleet.members[4].take().expect("member 4 runs");
    stopped.signal("-TERM");
    for id in 0..4 {
        wait_until("left", || fleet.state_seen_by(id, 4) == "left");
        assert_eq!(fleet.fleet_size_seen_by(id), 4);
    }
    assert!(stopped.wait_for_exit());
    assert_eq!(fleet.unexpected_death_lines(&[]), Vec::<String>::new());
}

#[test]
fn foreign_datagrams_are_counted_and_ignored_and_operators_see_all_members() {
    let fleet = ProxiedFleet::start("strangers", 5);
    let status = fleet.membership_status(0);
    let address = status["own"]["address"].as_str().expect("the own address").to_owned();
    let foreign_socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let oversized = [0; 1400];
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"clym\x07later", b"clym\x01short", &oversized] {
        foreign_socket.send_to(bytes, &address).expect("sent");
    }
    for reason in ["foreign", "version", "seal", "length"] {
        wait_until(reason, || fleet.membership_status(0)["refused"][reason].as_u64() == Some(1));
    }
    fleet.wait_until_converged();
    let run_members_command = |options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatherer"));
        let output = command
            .args(["members", &fleet.member(0).operators])
            .args(options)
            .output()
            .expect("the members command starts");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    let text = run_members_command(&[]);
    assert!(
        text.starts_with("5 gatherers share the fleet\n") && text.contains("not taken, seal: 1"),
        "{text}"
    );
    assert_eq!(text.lines().filter(|line| line.starts_with('g')).count(), 5, "{text}");
    let json: serde_json::Value = serde_json::from_str(&run_members_command(&["--json"])).expect("JSON");
    assert_eq!(json["members"].as_array().map(Vec::len), Some(4));
    // Methods other than GET are rejected.
    assert_eq!(call_operator_api(&fleet.member(0).operators, "PUT", "/-/members").0, 405);
}

#[test]
fn membership_stays_off_where_the_platform_carries_datagrams_itself() {
    // The platform forbids datagrams over 256 bytes and all other paths between gatherers, while a member's
    // datagrams have up to 1,200 bytes.
    let (folder, worker) = (TempFolder::new("peers"), Worker::start());
    let discovery = Discovery::start(&member("w1", &worker.address));
    let seed = listen();
    let seed_address = seed.local_addr().expect("an address");
    let datagrams = UdpSocket::bind(seed_address).expect("the same port");
    let mut config = config(&discovery);
    config["settings"]["allowed"]["may-tell"] = true.into();
    (config["peer_listen"], config["peers"]) =
        (unused_address().into(), vec![seed_address.to_string()].into());
    let operator = format!(
        "[membership]\nlisten = \"{}\"\ncluster = \"test\"\nseeds = [\"{seed_address}\"]\n",
        unused_address()
    );
    let gatherer = Gatherer::start_with_operator_file(&folder, &config, &operator);
    gatherer.wait_for_log(" serving on ");
    // A member contacts its seeds at its first tick, at most half a second after its start.
    seed.set_nonblocking(true).expect("set");
    datagrams.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
    let received = datagrams.recv(&mut [0; 2000]);
    assert!(received.is_err(), "a datagram arrived at a seed: {received:?} bytes");
    assert!(seed.accept().is_err(), "the gatherer connected to a seed");
    gatherer.wait_for_log("membership stays off: the platform carries datagrams");
    assert_eq!(call_operator_api(&gatherer.operators, "GET", "/-/members").0, 404);
}
