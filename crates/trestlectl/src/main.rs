//! The command line of trestlestile for operators.

mod apply;
mod args;
mod error;
mod explain;
mod log_line;
mod output;
mod plot;
mod report;
mod show;
mod status;
mod trace;

use crate::{
    args::{Args, Command},
    error::Result,
};
use std::process::ExitCode;

fn main() -> ExitCode {
    match smol::block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trestlectl: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let Some(args) = Args::from_env()? else { return Ok(()) };
    match args.command {
        Command::Check { path } => apply::check(&path).map(drop),
        Command::Digest { token } => {
            output::line(&trestle_config::digest(&token));
            Ok(())
        }
        Command::Apply { path, platform, expected_version, author } => {
            apply::apply(&path, &platform, expected_version, &author).await
        }
        Command::Show { platform, version } => show::show(&platform, version).await,
        Command::History { platform } => show::history(&platform).await,
        Command::Status { daemons, token } => status::print(&daemons, token.as_deref()).await,
        Command::Explain { model, daemons, token } => {
            explain::print(&model, &daemons, token.as_deref()).await
        }
        Command::Trace { id, files } => trace::print(&id, &files),
        Command::Report { files, html_path } => report::print(&files, html_path.as_deref()),
    }
}
