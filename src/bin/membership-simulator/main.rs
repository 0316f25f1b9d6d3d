//! The laboratory's command line: plays experiments on members in virtual time, checks their rules, keeps results.

use clap::{Parser, Subcommand};
use gatherer::simulation::engine::Simulation;
use gatherer::simulation::experiment::{Error, Experiment};
use gatherer::simulation::{Outcome, chart, play};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays what may happen to a fleet of gatherers, by experiments that are files.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play experiments; status 1 if a rule was broken.
    Run {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// So many members, in place of the file's number; steps that name others have to fit.
        #[arg(long)]
        members: Option<usize>,
        /// With this seed, in place of the file's; more than one for as many plays.
        #[arg(long)]
        seed: Vec<u64>,
        /// Keep the result of each play there, as JSON and as a chart.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Name the experiments of a folder.
    List {
        /// The folder.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    /// Set results that were kept side by side.
    Compare {
        /// The files of results.
        #[arg(required = true)]
        results: Vec<PathBuf>,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Experiment(#[from] Error),
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}: {1}")]
    Form(String, serde_json::Error),
    #[error("the chart cannot be drawn: {0}")]
    Chart(String),
    #[error("{0} plays broke a rule")]
    Broken(usize),
}

fn main() -> ExitCode {
    match start(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ERROR {failure}");
            ExitCode::from(if matches!(failure, Failure::Broken(_)) { 1 } else { 2 })
        }
    }
}

fn start(arguments: Arguments) -> Result<(), Failure> {
    match arguments.command {
        Command::Run { files, members, seed, out } => run(&files, members, &seed, out.as_deref()),
        Command::List { folder } => list(&folder),
        Command::Compare { results } => {
            let read = |path: &PathBuf| {
                let text = std::fs::read_to_string(path).map_err(|error| fault(path, error))?;
                serde_json::from_str(&text).map_err(|error| Failure::Form(path.display().to_string(), error))
            };
            let outcomes: Vec<Outcome> = results.iter().map(read).collect::<Result<_, _>>()?;
            print!("{}", chart::table(&outcomes));
            Ok(())
        }
    }
}

fn fault(path: &Path, error: std::io::Error) -> Failure {
    Failure::File(path.display().to_string(), error)
}

fn run(files: &[PathBuf], members: Option<usize>, seeds: &[u64], out: Option<&Path>) -> Result<(), Failure> {
    let mut outcomes = Vec::new();
    for file in files {
        let mut experiment = Experiment::read(file)?;
        experiment.members = members.unwrap_or(experiment.members);
        experiment.check().map_err(|error| Error::Form { path: file.display().to_string(), error })?;
        let seeds = if seeds.is_empty() { vec![experiment.seed] } else { seeds.to_vec() };
        for seed in seeds {
            experiment.seed = seed;
            let outcome = one(&experiment);
            if let Some(folder) = out {
                keep(folder, file, &outcome)?;
            }
            outcomes.push(outcome);
        }
    }
    print!("{}", chart::table(&outcomes));
    for outcome in &outcomes {
        for rule in &outcome.broken {
            println!("{} (seed {}): {rule}", outcome.title, outcome.seed);
        }
    }
    match outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count() {
        0 => Ok(()),
        count => Err(Failure::Broken(count)),
    }
}

fn one(experiment: &Experiment) -> Outcome {
    let world = Simulation::of_nodes(experiment.members, experiment.seed, experiment.timing());
    let watched = std::io::stderr().is_terminal();
    let outcome = play(experiment, world, |at| {
        if watched {
            eprint!(
                "\r{} (seed {}): {at:.0} of {:.0} s ",
                experiment.title, experiment.seed, experiment.seconds
            );
        }
    });
    if watched {
        eprintln!();
    }
    outcome
}

fn keep(folder: &Path, file: &Path, outcome: &Outcome) -> Result<(), Failure> {
    std::fs::create_dir_all(folder).map_err(|error| fault(folder, error))?;
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let base = folder.join(format!("{stem}-{}-{}", outcome.members, outcome.seed));
    let json = serde_json::to_string_pretty(outcome)
        .map_err(|error| Failure::Form(base.display().to_string(), error))?;
    let svg = chart::svg(outcome).map_err(Failure::Chart)?;
    for (ending, text) in [("json", json), ("svg", svg)] {
        let path = base.with_extension(ending);
        std::fs::write(&path, text).map_err(|error| fault(&path, error))?;
    }
    Ok(())
}

fn list(folder: &Path) -> Result<(), Failure> {
    let entries = std::fs::read_dir(folder).map_err(|error| fault(folder, error))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|ending| ending == "toml")) {
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
