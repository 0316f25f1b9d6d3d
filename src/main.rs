//! The real gatherer: see README.md for how it is started.

use clayshore::program::{config::Config, log, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    log::install(::log::LevelFilter::Info);
    let config = match Config::from_platform(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(error) => {
            ::log::error!("{error}");
            return ExitCode::from(2);
        }
    };
    match run::platform(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            ::log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
