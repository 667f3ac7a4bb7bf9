//! The command-line tool for operators of sandshelf.

mod apply;
mod ask;
mod cli;
mod failure;
mod files;
mod show;
mod trace;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("sandshelf: {}", failure.message);
            ExitCode::from(failure.kind.code())
        }
    }
}
