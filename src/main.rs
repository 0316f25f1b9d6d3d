//! The real gatherer: `clayshore` serves the platform, `clayshore FILE` the OpenSearch-style front of that file.

use clayshore::program::config::{Config, Error};
use clayshore::program::opensearch_file::FrontFile;
use clayshore::program::{log, run};
use std::process::ExitCode;

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Configuration(#[from] Error),
    #[error(transparent)]
    Serving(#[from] std::io::Error),
}

fn main() -> ExitCode {
    log::install(::log::LevelFilter::Info);
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            ::log::error!("{failure}");
            ExitCode::from(if matches!(failure, Failure::Configuration(_)) { 2 } else { 1 })
        }
    }
}

fn start() -> Result<(), Failure> {
    if let Some(path) = std::env::args().nth(1) {
        let seed = fastrand::u64(..);
        let read = move || FrontFile::read(&path, seed);
        return Ok(run::opensearch(read()?, seed, read)?);
    }
    let read = || Config::from_platform(|name| std::env::var(name).ok());
    Ok(run::platform(read()?, read)?)
}
