//! The `platform` command.

use clap::Args;
use doorcourse_resp_gateway::{Config, RespGateway, SignalHandlers};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run the RESP gateway, for the users' platform, until SIGTERM or SIGINT. SIGHUP reloads the file.
#[derive(Args, Debug)]
pub struct Platform {
    /// The platform's configuration file, in JSON: name, addresses, limits, known backends and settings.
    #[arg(long, env = "RELAY_CONFIG")]
    config: PathBuf,
    /// The address that clients connect to; overrides the one in the file.
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
