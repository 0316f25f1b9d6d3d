//! `soak-test`: runs gatherers and workers as real processes on loopback sockets, with clients in its own
//! process, injects overlapping faults drawn from a seed, and checks invariants. It reports the violated
//! invariants and the command line that repeats the run.

mod clients;
mod connect_delay;
mod discovery;
mod fault_injection;
mod flood;
mod gatherer_lifecycle;
mod gatherer_process;
mod gatherer_settings;
mod harness;
mod hostile_clients;
mod monotonic;
mod process;
mod runtime;
mod stand_in_worker;
mod worker_process;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A soak test of the gatherer.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a soak test and check its invariants: status 1 if one was violated.
    Run(RunOptions),
    /// Measure sound clients beside hostile ones at one gatherer: status 1 if a sound client missed an answer.
    Flood(flood::FloodOptions),
    /// Run one stand-in worker; the soak test starts these itself.
    Worker {
        /// Seed of the worker's random behaviour.
        #[arg(long)]
        seed: u64,
        /// Address to listen on.
        #[arg(long)]
        listen: String,
    },
}

/// The options of one run.
#[derive(clap::Args, Clone, Debug)]
pub struct RunOptions {
    /// Seed of the faults, the clients and the workers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time over which faults are injected, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of gatherers.
    #[arg(long, default_value_t = 4)]
    gatherers: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 12)]
    workers: usize,
    /// Number of clients.
    #[arg(long, default_value_t = 24)]
    clients: usize,
    /// Number of clients that behave badly. With any, one seed in four also has a crowd of idle connections, and
    /// processes are killed as soon after SIGTERM as the protocol allows.
    #[arg(long, default_value_t = 0)]
    hostile: usize,
    /// Inject only the fault of this name; may be given several times. All faults if it is not given.
    #[arg(long)]
    only: Vec<String>,
    /// Start the gatherers without the fault library, so that no system call fails.
    #[arg(long)]
    no_faults: bool,
    /// Path of the gatherer's program.
    #[arg(long, default_value = "target/release/gatherer")]
    program: PathBuf,
    /// Path of the fault library; built from `tools/faults/faults.c` if it is not given.
    #[arg(long)]
    library: Option<PathBuf>,
    /// Folder in which to keep the gatherers' logs; they are not kept if it is not given.
    #[arg(long)]
    logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(options) => harness::run(&options),
        Command::Flood(options) => flood::run(&options),
        Command::Worker { seed, listen } => stand_in_worker::serve(seed, &listen),
    }
}
