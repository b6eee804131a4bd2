//! Signals of the process, and the handle with which another thread has the same effect.

use super::RespGateway;
use crate::reactor::{Reactor, Token, TokenKind};
use doorcourse::{Event, Millis};
use doorcourse_event_loop::Interest;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// Bytes read from a pipe at a time; each byte is one signal.
const MAX_SIGNALS_READ: usize = 16;

/// What a signal requests of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessSignal {
    /// Shut down gracefully.
    Terminate,
    /// Reload the configuration.
    Reload,
}

const TERMINATE_BYTE: u8 = 1;
const RELOAD_BYTE: u8 = 2;

impl ProcessSignal {
    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            TERMINATE_BYTE => Some(Self::Terminate),
            RELOAD_BYTE => Some(Self::Reload),
            _ => None,
        }
    }
}

/// Controls a gateway that runs in another thread.
#[derive(Debug)]
pub struct GatewayHandle(UnixStream);

impl GatewayHandle {
    /// Begins the graceful shutdown, as SIGTERM does.
    pub fn stop(&self) {
        let _ = (&self.0).write(&[TERMINATE_BYTE]);
    }

    /// Reloads the configuration, as SIGHUP does.
    pub fn reload(&self) {
        let _ = (&self.0).write(&[RELOAD_BYTE]);
    }
}

/// Handlers of SIGTERM, SIGINT and SIGHUP. Install them before the gateway listens: a signal then waits for the event
/// loop and does not kill the process, so that no accepted connection is lost.
#[derive(Debug)]
pub struct SignalHandlers(Vec<SignalPipe>);

impl SignalHandlers {
    /// Installs the handlers.
    ///
    /// # Errors
    /// When a pipe cannot be created or a handler cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let signals = [
            (SIGTERM, ProcessSignal::Terminate),
            (SIGINT, ProcessSignal::Terminate),
            (SIGHUP, ProcessSignal::Reload),
        ];
        let mut pipes = Vec::new();
        for (number, signal) in signals {
            let (sender, receiver) = UnixStream::pair()?;
            receiver.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(number, sender)?;
            pipes.push(SignalPipe { receiver, signal: Some(signal) });
        }
        Ok(Self(pipes))
    }
}

/// A pipe that wakes the event loop.
#[derive(Debug)]
struct SignalPipe {
    receiver: UnixStream,
    /// The signal that every byte represents; `None` where the byte itself tells the signal.
    signal: Option<ProcessSignal>,
}

/// The pipes that wake the event loop: first the one of all handles, then those of the signal handlers.
pub(super) struct SignalPipes {
    pipes: Vec<SignalPipe>,
    handle_sender: UnixStream,
}

impl SignalPipes {
    pub(super) fn new(reactor: &mut Reactor) -> std::io::Result<Self> {
        let (handle_sender, receiver) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        handle_sender.set_nonblocking(true)?;
        let mut pipes = Self { pipes: Vec::new(), handle_sender };
        pipes.register(reactor, SignalPipe { receiver, signal: None })?;
        Ok(pipes)
    }

    pub(super) fn attach(&mut self, reactor: &mut Reactor, handlers: SignalHandlers) -> std::io::Result<()> {
        handlers.0.into_iter().try_for_each(|pipe| self.register(reactor, pipe))
    }

    fn register(&mut self, reactor: &mut Reactor, pipe: SignalPipe) -> std::io::Result<()> {
        let token = Token { kind: TokenKind::Signal, serial: reactor.next_serial(), index: self.pipes.len() };
        reactor.poller.add(&pipe.receiver, token.pack(), Interest::READ)?;
        self.pipes.push(pipe);
        Ok(())
    }

    pub(super) fn handle(&self) -> std::io::Result<GatewayHandle> {
        Ok(GatewayHandle(self.handle_sender.try_clone()?))
    }

    /// Reads the signals that have arrived on a pipe.
    fn receive(&mut self, index: usize) -> Vec<ProcessSignal> {
        let mut bytes = [0; MAX_SIGNALS_READ];
        let Some(pipe) = self.pipes.get_mut(index) else { return Vec::new() };
        let Ok(count) = pipe.receiver.read(&mut bytes) else { return Vec::new() };
        let signals = bytes[..count].iter().map(|byte| pipe.signal.or(ProcessSignal::from_byte(*byte)));
        signals.flatten().collect()
    }
}

impl RespGateway {
    pub(super) fn handle_signals(&mut self, index: usize) {
        for signal in self.signals.receive(index) {
            match signal {
                ProcessSignal::Terminate => self.begin_shutdown(),
                ProcessSignal::Reload => self.reload_configuration(),
            }
        }
    }

    /// Begins the graceful shutdown; a second signal changes nothing.
    fn begin_shutdown(&mut self) {
        let longest_timeout = self.deployment.host.client_timeouts.iter().copied().fold(0.0, Millis::max);
        if self.shutdown.begin(self.reactor.now, longest_timeout) {
            tracing::info!(open_requests = self.requests.len(), "shutting down");
            self.pending.decisions.push_back(Event::ShutdownStarted);
        }
    }
}
