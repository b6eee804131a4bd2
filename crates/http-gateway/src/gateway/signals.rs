//! Termination and reload, requested by signals or by another thread of the process.

use super::Gateway;
use crate::io::{Io, Token};
use doorcourse_event_loop::Interest;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// A socket pair that turns termination signals into readiness: the handler writes one byte for each signal.
pub(super) struct SignalPipe {
    receiver: UnixStream,
    sender: UnixStream,
}

impl SignalPipe {
    /// Opens the socket pair and registers its receiving end.
    pub(super) fn new(io: &Io) -> std::io::Result<Self> {
        let (sender, receiver) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        sender.set_nonblocking(true)?;
        io.poller.add(&receiver, Token::Signal.pack(), Interest::READ)?;
        Ok(Self { receiver, sender })
    }

    /// The number of signals that one read receives; `None` if there is none. Each byte counts as one signal.
    pub(super) fn receive(&mut self) -> Option<usize> {
        let mut bytes = [0; 16];
        match self.receiver.read(&mut bytes) {
            Ok(count @ 1..) => Some(count),
            Ok(0) | Err(_) => None,
        }
    }
}

/// Stops or reloads a gateway from another thread, with the effect of the signals.
#[derive(Debug)]
pub struct Stopper {
    terminate: UnixStream,
    reload: UnixStream,
}

impl Stopper {
    /// Drains the gateway like SIGTERM; a second call answers the open requests at once.
    pub fn stop(&self) {
        let _ = (&self.terminate).write(&[1]);
    }

    /// Reloads the settings like SIGHUP.
    pub fn reload(&self) {
        let _ = (&self.reload).write(&[1]);
    }
}

impl Gateway {
    /// Installs the signal handlers: SIGTERM and SIGINT start a drain, a second one ends the drain at once; SIGHUP
    /// reloads the settings.
    ///
    /// # Errors
    /// When a handler cannot be installed or the system has no descriptor left.
    pub fn stop_at_signals(&self) -> std::io::Result<()> {
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::low_level::pipe::register(signal, self.signals.sender.try_clone()?)?;
        }
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, self.reload.sender()?)?;
        Ok(())
    }

    /// A handle that stops or reloads the gateway from another thread.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn stopper(&self) -> std::io::Result<Stopper> {
        Ok(Stopper { terminate: self.signals.sender.try_clone()?, reload: self.reload.sender()? })
    }
}
