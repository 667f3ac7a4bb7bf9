//! The sandshelf daemon, which runs on each entry host.

mod backend;
mod claim;
mod cli;
mod clock;
mod control;
mod daemon;
mod jobs;
mod logging;
mod meters;
mod operator;
mod peers;
mod router;
mod shards;
mod status;
mod traffic;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("sandshelfd: {}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}
