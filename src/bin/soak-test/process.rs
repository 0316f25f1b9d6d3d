//! What the processes of gatherers and workers have in common: signals, their end, and addresses. It owns no
//! process.

use rustix::process::{Pid, Signal, kill_process};
use std::net::{Ipv4Addr, TcpListener};
use std::process::Child;

/// Sends a signal. A process that has ended by itself receives none.
pub fn send_signal(child: &Child, signal: Signal) {
    if let Some(process) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        // It may have ended in this moment.
        let _ = kill_process(process, signal);
    }
}

/// Kills a process and waits for its end.
pub fn kill_and_wait(child: &mut Child) {
    // It may have ended by itself, and been waited for: there is nothing to kill then.
    let _ = child.kill();
    // Nothing depends on its exit status, and a killed process ends in any case.
    let _ = child.wait();
}

/// A free address, drawn from all of loopback so that no stand-in and no client uses it.
pub fn free_address() -> String {
    let [a, b, c, ..] = fastrand::u32(..).to_le_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, a.max(1), b, c), 0)).expect("a port");
    listener.local_addr().expect("an address").to_string()
}
