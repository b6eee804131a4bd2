//! `platform`.

use clap::Args;
use doorcourse_resp_gateway::{Config, Platform as Running, Signals};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run as a gateway of the platform: RESP in and out, until SIGTERM. SIGHUP reads the file again.
#[derive(Args, Debug)]
pub struct Platform {
    /// The platform's file: name, addresses, limits, the known backends and the settings, as JSON.
    #[arg(long, env = "RELAY_CONFIG")]
    config: PathBuf,
    /// Where clients connect, instead of the file's word.
    #[arg(long, env = "RELAY_LISTEN")]
    listen: Option<SocketAddr>,
}

pub fn run(wanted: &Platform) -> anyhow::Result<ExitCode> {
    let signals = Signals::take()?;
    let mut config = Config::open(&wanted.config)?;
    config.listen = wanted.listen.unwrap_or(config.listen);
    let mut platform = Running::new(wanted.config.clone(), config)?;
    platform.heed(signals)?;
    platform.run()?;
    Ok(ExitCode::SUCCESS)
}
