//! Functions for child processes of either kind, gatherer or worker: signals, kill, and unused addresses.

use rustix::process::{Pid, Signal, kill_process};
use std::net::{Ipv4Addr, TcpListener};
use std::process::Child;

/// Sends a signal to a process, if it still runs.
pub fn send_signal(child: &Child, signal: Signal) {
    if let Some(process) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        // Fails only if the process has ended, which the caller notices by its exit status.
        let _ = kill_process(process, signal);
    }
}

/// Kills a process and waits for its end.
pub fn kill_and_wait(child: &mut Child) {
    // Fails only if the process has already ended.
    let _ = child.kill();
    // The exit status of a killed process does not matter.
    let _ = child.wait();
}

/// Returns an unused loopback address. The host part is random within 127.0.0.0/8, so that no other listener
/// and no outgoing connection on 127.0.0.1 takes the port before it is used.
pub fn free_address() -> String {
    let [a, b, c, ..] = fastrand::u32(..).to_le_bytes();
    let listener =
        TcpListener::bind((Ipv4Addr::new(127, a.max(1), b, c), 0)).expect("a loopback port is free");
    listener.local_addr().expect("a bound listener has an address").to_string()
}
