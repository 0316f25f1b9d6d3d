//! The command line of the membership simulation: runs experiments in virtual time, checks their rules, and saves,
//! lists and compares outcomes.

use clap::{Parser, Subcommand};
use gatherer::simulation::chart::{self, ChartError};
use gatherer::simulation::experiment::{Experiment, ExperimentError};
use gatherer::simulation::{self, Outcome, Simulation};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit status if at least one run broke a rule.
const BROKEN_RULES_EXIT_STATUS: u8 = 1;
/// The exit status of any other failure.
const OTHER_EXIT_STATUS: u8 = 2;

/// Simulates the membership of a fleet of gatherers under faults that experiment files describe.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run experiments; the exit status is 1 if a rule was broken, and 2 after any other failure.
    Run {
        /// The experiment files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The number of members, overriding the file's; steps that name higher members are rejected.
        #[arg(long)]
        members: Option<usize>,
        /// The seed, overriding the file's; repeat it to run each experiment with several seeds.
        #[arg(long)]
        seed: Vec<u64>,
        /// The folder in which the outcome of each run is saved as JSON and as an SVG chart.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// List the experiments of a folder.
    List {
        /// The folder with the experiment files.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    /// Print saved outcomes side by side.
    Compare {
        /// The JSON files of the outcomes.
        #[arg(required = true)]
        results: Vec<PathBuf>,
    },
}

/// The reason why a command failed. A broken rule has its own exit status.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{path}: {source}")]
    File { path: String, source: std::io::Error },
    #[error("{path}: invalid outcome JSON: {source}")]
    Json { path: String, source: serde_json::Error },
    #[error("cannot draw the chart: {0}")]
    Chart(#[from] ChartError),
    #[error("{0} runs broke at least one rule")]
    BrokenRules(usize),
}

impl RunError {
    fn exit_status(&self) -> u8 {
        match self {
            RunError::BrokenRules(_) => BROKEN_RULES_EXIT_STATUS,
            RunError::Experiment(_) | RunError::File { .. } | RunError::Json { .. } | RunError::Chart(_) => {
                OTHER_EXIT_STATUS
            }
        }
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ERROR {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn execute(command: Command) -> Result<(), RunError> {
    match command {
        Command::Run { files, members, seed, out } => run(&files, members, &seed, out.as_deref()),
        Command::List { folder } => list(&folder),
        Command::Compare { results } => compare(&results),
    }
}

fn file_error(path: &Path, source: std::io::Error) -> RunError {
    RunError::File { path: path.display().to_string(), source }
}

fn json_error(path: &Path, source: serde_json::Error) -> RunError {
    RunError::Json { path: path.display().to_string(), source }
}

/// Runs experiments, and prints their outcomes and the rules that they broke. Saves the outcomes if `out` names a
/// folder.
fn run(files: &[PathBuf], members: Option<usize>, seeds: &[u64], out: Option<&Path>) -> Result<(), RunError> {
    let mut outcomes = Vec::new();
    for file in files {
        let mut experiment = Experiment::read(file)?;
        experiment.members = members.unwrap_or(experiment.members);
        experiment
            .check()
            .map_err(|source| ExperimentError::Invalid { path: file.display().to_string(), source })?;
        let seeds = if seeds.is_empty() { vec![experiment.seed] } else { seeds.to_vec() };
        for seed in seeds {
            experiment.seed = seed;
            let outcome = run_one(&experiment);
            if let Some(folder) = out {
                save(folder, file, &outcome)?;
            }
            outcomes.push(outcome);
        }
    }
    print!("{}", chart::table(&outcomes));
    outcomes.iter().for_each(print_broken_rules);
    match outcomes.iter().filter(|outcome| !outcome.broken_rules.is_empty()).count() {
        0 => Ok(()),
        count => Err(RunError::BrokenRules(count)),
    }
}

fn print_broken_rules(outcome: &Outcome) {
    for rule in &outcome.broken_rules {
        println!("{} (seed {}): {rule}", outcome.title, outcome.seed);
    }
}

/// Runs an experiment, and shows its progress if standard error is a terminal.
fn run_one(experiment: &Experiment) -> Outcome {
    let members = Simulation::with_nodes(experiment.members, experiment.seed, experiment.timing());
    let shows_progress = std::io::stderr().is_terminal();
    let outcome = simulation::run(experiment, members, |at| {
        if shows_progress {
            eprint!(
                "\r{} (seed {}): {at:.0} of {:.0} s ",
                experiment.title, experiment.seed, experiment.seconds
            );
        }
    });
    if shows_progress {
        eprintln!();
    }
    outcome
}

/// Saves an outcome as JSON and as an SVG chart. The files are named after the experiment file, the number of
/// members and the seed.
fn save(folder: &Path, file: &Path, outcome: &Outcome) -> Result<(), RunError> {
    std::fs::create_dir_all(folder).map_err(|error| file_error(folder, error))?;
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let base = folder.join(format!("{stem}-{}-{}", outcome.members, outcome.seed));
    let json = serde_json::to_string_pretty(outcome).map_err(|error| json_error(&base, error))?;
    let svg = chart::svg(outcome)?;
    for (extension, text) in [("json", json), ("svg", svg)] {
        let path = base.with_extension(extension);
        std::fs::write(&path, text).map_err(|error| file_error(&path, error))?;
    }
    Ok(())
}

/// Prints saved outcomes as one table.
fn compare(results: &[PathBuf]) -> Result<(), RunError> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|error| file_error(path, error))?;
        serde_json::from_str(&text).map_err(|error| json_error(path, error))
    };
    let outcomes: Vec<Outcome> = results.iter().map(read).collect::<Result<_, _>>()?;
    print!("{}", chart::table(&outcomes));
    Ok(())
}

/// Lists the experiments of a folder, sorted by file name.
fn list(folder: &Path) -> Result<(), RunError> {
    let entries = std::fs::read_dir(folder).map_err(|error| file_error(folder, error))?;
    // Folder entries that cannot be read are skipped.
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|extension| extension == "toml")) {
        let experiment = Experiment::read(file)?;
        println!(
            "{:32} {} ({} members, {} s)",
            file.display(),
            experiment.title,
            experiment.members,
            experiment.seconds
        );
    }
    Ok(())
}
