//! The daemon of trestlestile.
//!
//! One daemon runs on each entry VM, and all daemons are alike. A daemon consists of two parts:
//!
//! - *Control*: one thread holds the [`trestle_core::control_state::ControlState`] values, and no
//!   other thread accesses them ([`control`]). The actions that they return are executed by
//!   [`actions`], and the results come back as events.
//! - *Traffic*: all other threads process requests ([`entry`]) and serve peers ([`peer_server`])
//!   and operators ([`admin`]). They send messages to the control thread, and read configuration
//!   and membership from [`routing`].
//!
//! Only a daemon for engines that implement the project's own interface has these two parts. With
//! the settings of an entry daemon, the process runs [`trestle_entry`] instead.

mod actions;
mod admin;
mod args;
mod claims;
mod clock;
mod config_watch;
mod control;
mod daemon;
mod domains_watch;
mod entry;
mod error;
mod message;
mod metrics;
mod peer_server;
mod permit_client;
mod placement_hints;
mod platform_wire;
mod routing;
mod run;
mod serve;
mod status;
mod stop;
mod vms_watch;

use crate::{
    args::Args,
    daemon::Daemon,
    error::{EntrySnafu, LogsSnafu, Result},
};
use snafu::ResultExt;
use std::{process::ExitCode, sync::Arc};
use trestle_config::{SettingsFile, settings::Settings};
use trestle_entry::logs::Logs;

fn main() -> ExitCode {
    match try_main() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trestled: {error}");
            ExitCode::FAILURE
        }
    }
}

fn try_main() -> Result<()> {
    let Some(args) = Args::from_env()? else { return Ok(()) };
    let settings = args.settings()?;
    if args.check_only {
        println!("{}: settings are in order", args.settings_path.display());
        return Ok(());
    }
    match settings {
        SettingsFile::Platform(settings) => run_engine_daemon(settings),
        SettingsFile::Entry(settings) => {
            let wire = platform_wire::wire();
            trestle_entry::run(settings, args.settings_path, wire).context(EntrySnafu)
        }
    }
}

fn run_engine_daemon(settings: Settings) -> Result<()> {
    let _logs = Logs::start(&settings.log).context(LogsSnafu)?;
    let (daemon, messages) = Daemon::new(settings)?;
    control::start(Arc::clone(&daemon), messages)?;
    smol::block_on(run::run(daemon))
}
