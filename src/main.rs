//! The program: `gatherer` serves the platform, `gatherer FILE` the OpenSearch-style front of that file; the other
//! sub-commands check files and read records.

use clap::{Parser, Subcommand};
use gatherer::program::config::{Config, Error};
use gatherer::program::failure::Failure;
use gatherer::program::opensearch_file::FrontFile;
use gatherer::program::operator::Operator;
use gatherer::program::run::START;
use gatherer::program::{inspect, log, members, run};
use gatherer::transport::errors::retry_blocking;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A broker that fans queries out to sharded index servers and gives each exactly one final answer.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Serve the OpenSearch-style front of this file; without it, the platform (LB_CONFIG).
    file: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Serve {
        /// The OpenSearch-style front's file; without it, the platform is served (LB_CONFIG).
        file: Option<String>,
        /// The operator's file: what this installation switches on.
        #[arg(long)]
        operator: Option<String>,
    },
    /// Check a file: the platform's JSON, an OpenSearch-style front's TOML, or an operator's TOML.
    Check {
        /// The file.
        file: String,
    },
    /// What happened, from the records of any number of gatherers.
    Report {
        /// Folders of records.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
        /// Write the page there.
        #[arg(long, default_value = "report.html")]
        out: PathBuf,
        /// Print it as JSON instead.
        #[arg(long)]
        json: bool,
        /// Leave out what was before this Unix time, in seconds.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Leave out what came from this Unix time on, in seconds.
        #[arg(long, default_value_t = u64::MAX / 1000)]
        to: u64,
        /// Length of a step in seconds; it doubles for as long as there would be too many.
        #[arg(long, default_value_t = 60)]
        step: u64,
    },
    /// Who else is there, as a gatherer sees it.
    Members {
        /// Where its operators call (LB_OPERATOR).
        operator: Option<SocketAddr>,
        /// Print it as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Read records.
    Records {
        #[command(subcommand)]
        what: Records,
    },
}

#[derive(Subcommand)]
enum Records {
    /// Read every line; tell of each that does not count, by file and line. Status 1 if there is any.
    Verify {
        /// Folders of records.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// Print the JSON schema of a line.
    Schema,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    log::install(::log::LevelFilter::Info);
    match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // Not by the log: a configuration's fault is shown over several lines, with the place.
            eprintln!("ERROR {failure}");
            ExitCode::from(failure.exit_status())
        }
    }
}

fn start(arguments: Arguments) -> Result<(), Failure> {
    match arguments.command {
        None => serve(arguments.file, None),
        Some(Command::Serve { file, operator }) => serve(file, operator),
        Some(Command::Check { file }) => {
            println!("{file}: {}", inspect::check(&file)?);
            Ok(())
        }
        Some(Command::Report { folders, out, json, from, to, step }) => {
            let range = from.saturating_mul(1000)..to.saturating_mul(1000);
            let report = inspect::Report::read(&folders, range, Duration::from_secs(step))?;
            if json {
                println!("{}", report.json());
            } else {
                std::fs::write(&out, report.page())?;
                println!("{}: {}", out.display(), report.line());
            }
            Ok(())
        }
        Some(Command::Members { operator, json }) => {
            let named = std::env::var("LB_OPERATOR").ok().and_then(|address| address.parse().ok());
            let operator = operator.or(named).ok_or(Error::Unset("LB_OPERATOR"))?;
            print!("{}", members::ask(operator, json)?);
            Ok(())
        }
        Some(Command::Records { what: Records::Schema }) => {
            println!("{}", inspect::schema());
            Ok(())
        }
        Some(Command::Records { what: Records::Verify { folders } }) => match inspect::verify(&folders)? {
            (counted, 0) => {
                println!("{counted} lines, all of them whole and in order");
                Ok(())
            }
            (_, faults) => Err(Failure::Damaged(faults)),
        },
    }
}

fn serve(file: Option<String>, operator: Option<String>) -> Result<(), Failure> {
    let operator = operator.map_or_else(
        || Ok(Operator::default()),
        |path| retry_blocking(START, Error::may_pass, || Operator::read(&path)),
    )?;
    if let Some(path) = file {
        let seed = fastrand::u64(..);
        let read = move || FrontFile::read(&path, seed);
        return run::opensearch(seed, operator, read);
    }
    let read = || Config::from_platform(|name| std::env::var(name).ok());
    run::platform(operator, read)
}
