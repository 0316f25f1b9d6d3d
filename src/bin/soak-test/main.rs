//! `soak-test`: gatherers, workers and clients as real processes on loopback sockets, under overlapping
//! faults drawn from a seed, checked by invariants. It reports which invariant was violated and how to repeat
//! the run.

mod clients;
mod discovery;
mod fault_injection;
mod gatherer_lifecycle;
mod gatherer_process;
mod gatherer_settings;
mod harness;
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
    /// Be one worker; started by a soak test.
    Worker {
        /// Draws its misbehaviour.
        #[arg(long)]
        seed: u64,
        /// Where it listens.
        #[arg(long)]
        listen: String,
    },
}

/// The options of one run.
#[derive(clap::Args, Clone, Debug)]
pub struct RunOptions {
    /// Draws everything.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long faults are injected, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Gatherers.
    #[arg(long, default_value_t = 4)]
    gatherers: usize,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    workers: usize,
    /// Clients.
    #[arg(long, default_value_t = 24)]
    clients: usize,
    /// Only these faults, by name; all if none is named.
    #[arg(long)]
    only: Vec<String>,
    /// Let no system call fail.
    #[arg(long)]
    no_faults: bool,
    /// The gatherer's program.
    #[arg(long, default_value = "target/release/gatherer")]
    program: PathBuf,
    /// The fault library; it is built from `tools/faults/faults.c` where this is not given.
    #[arg(long)]
    library: Option<PathBuf>,
    /// Keep logs of the gatherers there.
    #[arg(long)]
    logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(options) => harness::run(&options),
        Command::Worker { seed, listen } => stand_in_worker::serve(seed, &listen),
    }
}
