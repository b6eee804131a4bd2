//! The `platform` command.

use clap::Args;
use doorcourse_resp_gateway::{Config, RespGateway, SignalHandlers};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run as a gateway of the platform: RESP in and out, until SIGTERM. SIGHUP reads the file again.
#[derive(Args, Debug)]
pub struct Platform {
    /// The platform's file: name, addresses, limits, the known backends and the settings, as JSON.
    #[arg(long, env = "RELAY_CONFIG")]
    config: PathBuf,
    /// Where clients connect, instead of the file's address.
    #[arg(long, env = "RELAY_LISTEN")]
    listen: Option<SocketAddr>,
}

pub fn run(options: &Platform) -> anyhow::Result<ExitCode> {
    let signals = SignalHandlers::install()?;
    let mut config = Config::open(&options.config)?;
    config.listen = options.listen.unwrap_or(config.listen);
    let mut gateway = RespGateway::new(options.config.clone(), config)?;
    gateway.attach_signals(signals)?;
    gateway.run()?;
    Ok(ExitCode::SUCCESS)
}
