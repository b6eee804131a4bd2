//! Construction of a gateway: its listeners (bound, or taken over from a running process), its components and the first
//! endpoint list.

use super::endpoints::Endpoints;
use super::signals::SignalPipe;
use super::state_persistence::StatePersistence;
use super::{Gateway, settings};
use crate::admin::Admin;
use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::fleet::Fleet;
use crate::io::Io;
use crate::monitoring::Monitoring;
use crate::requests::Requests;
use crate::settings_reload::{ReadSettings, SettingsReload};
use anyhow::Context;
use doorcourse::{AccountingCheck, Millis};
use doorcourse_config::Config;
use doorcourse_event_loop::listen;
use doorcourse_lifecycle::ProcessLifecycle;
use std::hash::{BuildHasher, Hasher};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The options with which a gateway is started.
pub struct GatewayOptions<'a> {
    /// The settings.
    pub config: Config,
    /// The directory to which the paths in the settings are relative.
    pub directory: &'a Path,
    /// The seed of the decisions; `None` for a random one.
    pub seed: Option<u64>,
    /// Reads the settings again for a reload; with `None` a reload is refused.
    pub read_settings: Option<ReadSettings>,
    /// Whether to take over the listening sockets from the process that serves at the admin socket.
    pub take_over: bool,
}

/// The listening sockets of a gateway, and the process that passed them, if any.
struct ListeningSockets {
    clients: Vec<TcpListener>,
    monitoring: Option<TcpListener>,
    /// The connection to the process that passed them.
    predecessor: Option<UnixStream>,
}

impl ListeningSockets {
    /// Takes the sockets over from the process that serves at the admin socket, or binds them.
    fn open(config: &Config, admin_path: Option<&PathBuf>, take_over: bool) -> anyhow::Result<Self> {
        if take_over { Self::take_over(config, admin_path) } else { Self::bind(config) }
    }

    fn bind(config: &Config) -> anyhow::Result<Self> {
        let mut clients = Vec::with_capacity(config.listen.len());
        for address in &config.listen {
            let listener =
                listen(*address).map_err(|e| anyhow::anyhow!("cannot listen on {address}: {e}"))?;
            clients.push(listener);
        }
        let bind_monitoring = |address| {
            listen(address).map_err(|e| anyhow::anyhow!("health.listen: cannot listen on {address}: {e}"))
        };
        let monitoring = config.health_listen.map(bind_monitoring).transpose()?;
        Ok(Self { clients, monitoring, predecessor: None })
    }

    /// Takes over the sockets of the process that serves at the admin socket.
    fn take_over(config: &Config, admin_path: Option<&PathBuf>) -> anyhow::Result<Self> {
        let path = admin_path.context("to take over, the settings must have admin.socket")?;
        let (mut passed, predecessor) = crate::takeover::request_listeners(path)?;
        let expected = config.listen.len() + usize::from(config.health_listen.is_some());
        anyhow::ensure!(
            passed.len() == expected,
            "the old process passed {} sockets, the settings have {expected} listeners",
            passed.len()
        );
        // The listener of health checks and metrics is the last one.
        let monitoring = config.health_listen.and_then(|_| passed.pop());
        Ok(Self { clients: passed, monitoring, predecessor: Some(predecessor) })
    }
}

impl Gateway {
    /// Binds the listeners and applies the first endpoint list; nothing is served before [`Gateway::run`].
    ///
    /// # Errors
    /// When an address cannot be bound, a takeover is refused, or the endpoint list cannot be read.
    pub fn new(options: GatewayOptions<'_>) -> anyhow::Result<Self> {
        let GatewayOptions { config, directory, seed, read_settings, take_over } = options;
        let io = Io::new()?;
        let decisions = doorcourse::Gateway::new(config.decisions.clone(), seed.unwrap_or_else(random_seed))?;
        let admin_path = config.admin_socket.as_ref().map(|path| directory.join(path));
        let sockets = ListeningSockets::open(&config, admin_path.as_ref(), take_over)?;
        let clients = Clients::new(&io, &config, sockets.clients)?;
        let monitoring = sockets.monitoring.map(|listener| Monitoring::new(&io, listener)).transpose()?;
        let admin = admin_path.map(|path| Admin::bind(&io, &path, take_over)).transpose()?;
        let reload = SettingsReload::new(&io, read_settings)?;
        let signals = SignalPipe::new(&io)?;
        let gateway_index = config.decisions.gateway_index;
        let state_file = config.state_file.as_ref();
        let state = state_file.map(|s| StatePersistence::new(s, directory, gateway_index)).transpose()?;
        let mut gateway = Self {
            clients,
            backends: Backends::default(),
            requests: Requests::default(),
            counter: Counter::new(config.counter.as_ref()),
            // Not the seed of the decisions, which may be fixed: peers must be able to distinguish two starts of a
            // gateway.
            fleet: Fleet::new(&io, &config, random_seed(), sockets.predecessor.is_some())?,
            admin,
            monitoring,
            reload,
            endpoints: Endpoints::new(&config, directory),
            decisions,
            actions: Vec::new(),
            lifecycle: ProcessLifecycle::new(settings::lifecycle_settings(&config)),
            instance_name: format!("g{gateway_index}-{:x}", io.now() as u64),
            signals,
            state,
            exit_requested: false,
            last_poll_at: Millis::NEG_INFINITY,
            accounting: AccountingCheck::default(),
            predecessor: sockets.predecessor,
            config: Arc::new(config),
            io,
        };
        gateway.apply_first_endpoints()?;
        gateway.restore_state();
        Ok(gateway)
    }
}

fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
