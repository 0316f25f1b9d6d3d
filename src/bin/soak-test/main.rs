//! `soak-test`: gatherers, workers and clients as real processes on loopback sockets, under overlapping troubles
//! drawn from a seed, judged by invariants. It says which invariant fell and how to play the run again.

mod clients;
mod discovery;
mod fleet;
mod stage;
mod time;
mod worker;

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
    /// Play a soak, and judge it: status 1 if an invariant fell.
    Run(Run),
    /// Be one worker; started by a soak.
    Worker {
        /// Draws its misbehaviour.
        #[arg(long)]
        seed: u64,
        /// Where it listens.
        #[arg(long)]
        listen: String,
    },
}

/// How a soak is played.
#[derive(clap::Args, Clone, Debug)]
pub struct Run {
    /// Draws everything.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long troubles come, in seconds.
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
    /// Only these troubles, by name; all if none is named.
    #[arg(long)]
    only: Vec<String>,
    /// Let no system call fail.
    #[arg(long)]
    no_faults: bool,
    /// The gatherer's program.
    #[arg(long, default_value = "target/release/gatherer")]
    program: PathBuf,
    /// The library of faults; it is built from `tools/faults/faults.c` where this is not given.
    #[arg(long)]
    library: Option<PathBuf>,
    /// Keep logs of the gatherers there.
    #[arg(long)]
    logs: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run(run) => stage::play(&run),
        Command::Worker { seed, listen } => worker::serve(seed, &listen),
    }
}
