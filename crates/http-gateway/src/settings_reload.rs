//! Reads changed settings in a thread, because reading thousands of customers would stall the event loop. The process's
//! life cycle decides whether the settings are applied.

use crate::admin::{ReloadReply, ReloadWaiter};
use crate::io::{Io, Token};
use doorcourse_config::{Config, SettingsDiff, compare};
use doorcourse_event_loop::Interest;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, mpsc};

/// Reads the settings again; the error lists all their faults.
pub type ReadSettings = Arc<dyn Fn() -> Result<Config, String> + Send + Sync>;

/// Settings that were read, and how they differ from those in force.
type ReadResult = Result<(Config, SettingsDiff), String>;

/// The byte that the reading thread writes to the pipe; SIGHUP and [`crate::Stopper`] write other bytes.
const READ_FINISHED: u8 = 0xff;

/// The events that the pipe reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReloadEvents {
    /// Whether SIGHUP or [`crate::Stopper`] requests a reload.
    pub requested: bool,
    /// Whether settings are read and wait for the life cycle's decision.
    pub settings_read: bool,
}

/// Reloads of the settings: at most one is running, and at most one more is requested to follow it.
pub(crate) struct SettingsReload {
    read_settings: Option<ReadSettings>,
    /// The result of the reading thread, while it runs.
    reader: Option<mpsc::Receiver<ReadResult>>,
    /// Whether another reload was requested while the thread was running; it starts afterwards.
    requested_again: bool,
    /// Settings that were read and wait for the life cycle's decision.
    pending_settings: Option<(Config, SettingsDiff)>,
    /// The admin calls that wait for the present reload.
    waiters: Vec<ReloadWaiter>,
    /// The admin calls that wait for the reload that follows it.
    next_waiters: Vec<ReloadWaiter>,
    /// Shared with the reading thread. A clone of the stream would need a descriptor; if none were left, the event loop
    /// would never notice that the settings are read.
    sender: Arc<UnixStream>,
    receiver: UnixStream,
    /// Replies to the admin calls that waited for a reload.
    pub replies: VecDeque<ReloadReply>,
}

impl SettingsReload {
    /// Opens and registers the pipe to which SIGHUP, [`crate::Stopper`] and the reading thread write.
    pub(crate) fn new(io: &Io, read_settings: Option<ReadSettings>) -> anyhow::Result<Self> {
        let (sender, receiver) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        sender.set_nonblocking(true)?;
        io.poller.add(&receiver, Token::Reload.pack(), Interest::READ)?;
        Ok(Self {
            read_settings,
            reader: None,
            requested_again: false,
            pending_settings: None,
            waiters: Vec::new(),
            next_waiters: Vec::new(),
            sender: Arc::new(sender),
            receiver,
            replies: VecDeque::new(),
        })
    }

    /// The sending end of the pipe, for the handler of SIGHUP and for [`crate::Stopper`].
    pub(crate) fn sender(&self) -> std::io::Result<UnixStream> {
        self.sender.try_clone()
    }

    /// Handles the readiness of the pipe.
    pub(crate) fn handle_readiness(&mut self, config: &Arc<Config>) -> ReloadEvents {
        let mut bytes = [0; 16];
        let mut requested = false;
        while let Ok(count @ 1..) = self.receiver.read(&mut bytes) {
            requested |= bytes[..count].iter().any(|byte| *byte != READ_FINISHED);
        }
        ReloadEvents { requested, settings_read: self.receive_settings(config) }
    }

    /// Adds a call that waits for the reload that starts next.
    pub(crate) fn add_waiter(&mut self, waiter: ReloadWaiter) {
        if self.reader.is_some() { self.next_waiters.push(waiter) } else { self.waiters.push(waiter) }
    }

    /// Starts a thread that reads the settings and compares them with those in force. If one is running, another reload
    /// follows it.
    pub(crate) fn start(&mut self, config: &Arc<Config>) {
        if self.reader.is_some() {
            self.requested_again = true;
            return;
        }
        let Some(read_settings) = self.read_settings.clone() else {
            return self.finish(Err("this gateway cannot read its settings again".into()));
        };
        let (result_sender, result_receiver) = mpsc::channel();
        let current = Arc::clone(config);
        let pipe = Arc::clone(&self.sender);
        let thread = std::thread::Builder::new().name("settings".into()).spawn(move || {
            let result = read_settings().map(|config| {
                let diff = compare(&current, &config);
                (config, diff)
            });
            let _ = result_sender.send(result);
            // Wakes the event loop, which then receives from the channel.
            let _ = (&*pipe).write(&[READ_FINISHED]);
        });
        match thread {
            Ok(_) => self.reader = Some(result_receiver),
            Err(error) => self.finish(Err(error.to_string())),
        }
    }

    /// Takes the result of the reading thread, if it is available. Returns whether settings wait for the life cycle's
    /// decision; a reload that was requested meanwhile starts only after that decision.
    fn receive_settings(&mut self, config: &Arc<Config>) -> bool {
        let Some(result) = self.reader.as_ref().and_then(|r| r.try_recv().ok()) else { return false };
        self.reader = None;
        match result {
            Err(message) => self.finish(Err(message)),
            Ok((_, diff)) if self.is_dry_run() => self.finish(Ok(diff)),
            Ok((_, diff)) if !diff.refused.is_empty() => self.finish(Err(diff.refused.join("; "))),
            Ok(read) => {
                self.pending_settings = Some(read);
                return true;
            }
        }
        self.restart_if_requested(config);
        false
    }

    /// Starts the reload that was requested while another one was running.
    pub(crate) fn restart_if_requested(&mut self, config: &Arc<Config>) {
        if std::mem::take(&mut self.requested_again) {
            self.waiters = std::mem::take(&mut self.next_waiters);
            self.start(config);
        }
    }

    /// Takes the settings that were read, after the life cycle has decided to apply them.
    pub(crate) fn take_settings(&mut self) -> Option<(Config, SettingsDiff)> {
        self.pending_settings.take()
    }

    /// Refuses the reload, as the life cycle requires: all waiting calls get the reason.
    pub(crate) fn refuse(&mut self, reason: String) {
        let mut next_waiters = std::mem::take(&mut self.next_waiters);
        self.waiters.append(&mut next_waiters);
        self.finish(Err(reason));
    }

    /// Whether all waiting calls only request the differences.
    fn is_dry_run(&self) -> bool {
        !self.waiters.is_empty() && self.waiters.iter().all(|waiter| waiter.dry_run)
    }

    /// Ends the present reload: all calls that wait for it get its outcome.
    pub(crate) fn finish(&mut self, outcome: Result<SettingsDiff, String>) {
        if let (Err(reason), false) = (&outcome, self.is_dry_run()) {
            tracing::error!(reason, "settings not reloaded, the old ones hold");
        }
        self.pending_settings = None;
        let waiters = std::mem::take(&mut self.waiters);
        self.replies
            .extend(waiters.into_iter().map(|waiter| ReloadReply { waiter, outcome: outcome.clone() }));
    }
}
