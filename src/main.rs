//! The command line: `gatherer` serves the platform's front, `gatherer FILE` the OpenSearch-style front of that file;
//! the other sub-commands check files, list members and read records. This file parses arguments, prints results and
//! sets the exit status; the library does the work.

use clap::{Parser, Subcommand};
use gatherer::program::config::{self, Config};
use gatherer::program::errors::{CommandError, ConfigError};
use gatherer::program::opensearch_file::FrontFile;
use gatherer::program::operator::OperatorFile;
use gatherer::program::run::STARTUP_RETRY_LIMIT;
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
    /// File of an OpenSearch-style front to serve; without it, the platform's front is served (LB_CONFIG).
    file: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Serve {
        /// File of an OpenSearch-style front to serve; without it, the platform's front is served (LB_CONFIG).
        file: Option<String>,
        /// The operator's TOML file, which turns on the optional features of this installation (records, membership).
        #[arg(long)]
        operator: Option<String>,
    },
    /// Check a file: the platform's JSON, an OpenSearch-style front's TOML, or an operator's TOML.
    Check {
        /// Path of the file.
        file: String,
    },
    /// Summarise queries, errors and events from the records of any number of gatherers.
    Report {
        /// Folders of records.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
        /// Write the HTML report to this file.
        #[arg(long, default_value = "report.html")]
        out: PathBuf,
        /// Print JSON instead of writing the HTML report.
        #[arg(long)]
        json: bool,
        /// Ignore records before this Unix time, in seconds.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Ignore records from this Unix time on, in seconds.
        #[arg(long, default_value_t = u64::MAX / 1000)]
        to: u64,
        /// Length of a time step in seconds; doubled until the number of steps is within bounds.
        #[arg(long, default_value_t = 60)]
        step: u64,
    },
    /// List the members of the cluster, as one gatherer sees them.
    Members {
        /// Address of the gatherer's operators' API (default: LB_OPERATOR).
        operator: Option<SocketAddr>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Verify records, or print their schema.
    Records {
        #[command(subcommand)]
        command: RecordsCommand,
    },
}

#[derive(Subcommand)]
enum RecordsCommand {
    /// Read every line and print each damaged one, with file, line and fault. The exit status is 1 if there is any.
    Verify {
        /// Folders of records.
        #[arg(required = true)]
        folders: Vec<PathBuf>,
    },
    /// Print the JSON schema of a record.
    Schema,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    log::install(::log::LevelFilter::Info);
    match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Written past the log, which puts each event on one line: an error in a TOML file spans several.
            eprintln!("ERROR {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn start(arguments: Arguments) -> Result<(), CommandError> {
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
                report.write_html(&out)?;
                println!("{}: {}", out.display(), report.summary_line());
            }
            Ok(())
        }
        Some(Command::Members { operator, json }) => {
            let operator = operator.map_or_else(|| config::operator_address(environment_variable), Ok)?;
            print!("{}", members::list(operator, json)?);
            Ok(())
        }
        Some(Command::Records { command: RecordsCommand::Schema }) => {
            println!("{}", inspect::schema());
            Ok(())
        }
        Some(Command::Records { command: RecordsCommand::Verify { folders } }) => {
            let verification = inspect::verify(&folders)?;
            if verification.damaged > 0 {
                return Err(CommandError::DamagedRecords(verification.damaged));
            }
            println!("{} lines, all of them whole and in order", verification.valid);
            Ok(())
        }
    }
}

fn serve(file: Option<String>, operator: Option<String>) -> Result<(), CommandError> {
    let operator = operator.map_or_else(
        || Ok(OperatorFile::default()),
        |path| retry_blocking(STARTUP_RETRY_LIMIT, ConfigError::is_transient, || OperatorFile::read(&path)),
    )?;
    if let Some(path) = file {
        let seed = fastrand::u64(..);
        let read_file = move || FrontFile::read(&path, seed);
        return run::serve_opensearch(seed, operator, read_file);
    }
    run::serve_platform(operator, || Config::from_platform(environment_variable))
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
