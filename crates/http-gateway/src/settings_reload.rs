//! The room of the settings' reading: beside the loop, in a thread of its own, for those who asked. Whether what was read
//! is taken is the life cycle's affair.

use crate::admin::ReloadWaiter;
use doorcourse_config::{Change, Config, compare};
use std::collections::VecDeque;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, mpsc};

/// Reads the settings again, or says every fault.
pub type ReadSettings = Arc<dyn Fn() -> Result<Config, String> + Send + Sync>;

/// Settings that were read beside the loop, and the difference that they make.
type Read = Result<(Config, Change), String>;

/// What the reading thread writes to the pipe of SIGHUP; signals and `Stopper` write other bytes.
const READ: u8 = 0xff;

pub(crate) struct SettingsReload {
    reread: Option<ReadSettings>,
    /// Settings being read; whoever asked meanwhile has them read once more behind that.
    reading: Option<mpsc::Receiver<Read>>,
    again: bool,
    /// What was read and waits for the life cycle's word.
    read: Option<(Config, Change)>,
    /// Who waits for this reading, and for the next.
    waiters: Vec<ReloadWaiter>,
    next_waiters: Vec<ReloadWaiter>,
    /// Shared with the reading thread: a clone of its own would need a descriptor, and without one nobody would hear that
    /// the settings are read.
    sender: Arc<UnixStream>,
    pipe: UnixStream,
    /// Answers for those who asked.
    pub replies: VecDeque<(ReloadWaiter, Result<Change, String>)>,
}

/// What the pipe had to say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReloadEvents {
    /// Somebody wants a reload: a signal, or another thread.
    pub requested: bool,
    /// Settings are read and wait for the life cycle's word.
    pub settings_read: bool,
}

impl SettingsReload {
    pub fn new(reread: Option<ReadSettings>) -> anyhow::Result<Self> {
        let (wake, signal) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let (askers, next_askers, told) = (Vec::new(), Vec::new(), VecDeque::new());
        let wake = Arc::new(wake);
        Ok(Self {
            reread,
            reading: None,
            again: false,
            read: None,
            waiters: askers,
            next_waiters: next_askers,
            sender: wake,
            pipe: signal,
            replies: told,
        })
    }

    /// The end of the pipe that is waited on.
    pub fn signal(&self) -> &UnixStream {
        &self.pipe
    }

    /// An end of the pipe for signals and other threads.
    pub fn wake(&self) -> std::io::Result<UnixStream> {
        self.sender.try_clone()
    }

    /// The pipe speaks.
    pub fn handle_readiness(&mut self, config: &Arc<Config>) -> ReloadEvents {
        let (mut bytes, mut asked) = ([0; 16], false);
        while let Ok(n @ 1..) = std::io::Read::read(&mut self.pipe, &mut bytes) {
            asked |= bytes[..n].iter().any(|b| *b != READ);
        }
        ReloadEvents { requested: asked, settings_read: self.receive_settings(config) }
    }

    /// Somebody on the admin socket waits for settings to be read.
    pub fn add_waiter(&mut self, asker: ReloadWaiter) {
        if self.reading.is_some() { self.next_waiters.push(asker) } else { self.waiters.push(asker) }
    }

    /// Reads and compares in a thread of its own: thousands of customers must not stop the loop.
    pub fn start(&mut self, config: &Arc<Config>) {
        if self.reading.is_some() {
            self.again = true;
            return;
        }
        let Some(reread) = self.reread.clone() else {
            return self.finish(Err("this gateway cannot read its settings again".into()));
        };
        let (told, receiver) = mpsc::channel();
        let (old, wake) = (Arc::clone(config), Arc::clone(&self.sender));
        let started = std::thread::Builder::new().name("settings".into()).spawn(move || {
            let read = reread().map(|config| {
                let change = compare(&old, &config);
                (config, change)
            });
            let _ = told.send(read);
            // An empty word: the loop looks at the channel whenever this pipe speaks.
            let _ = std::io::Write::write(&mut &*wake, &[READ]);
        });
        match started {
            Ok(_) => self.reading = Some(receiver),
            Err(error) => self.finish(Err(error.to_string())),
        }
    }

    /// The settings may be read; whether they wait for the life cycle's word.
    fn receive_settings(&mut self, config: &Arc<Config>) -> bool {
        let Some(read) = self.reading.as_ref().and_then(|r| r.try_recv().ok()) else { return false };
        self.reading = None;
        let waits = match read {
            Err(why) => {
                self.finish(Err(why));
                false
            }
            Ok((_, change)) if self.is_dry() => {
                self.finish(Ok(change));
                false
            }
            Ok((_, change)) if !change.refused.is_empty() => {
                self.finish(Err(change.refused.join("; ")));
                false
            }
            Ok(read) => {
                self.read = Some(read);
                true
            }
        };
        // What is asked for next is read behind the word on this one.
        if !waits {
            self.restart_if_requested(config);
        }
        waits
    }

    /// Reads once more where somebody asked meanwhile.
    pub fn restart_if_requested(&mut self, config: &Arc<Config>) {
        if std::mem::take(&mut self.again) {
            self.waiters = std::mem::take(&mut self.next_waiters);
            self.start(config);
        }
    }

    /// What was read, once the life cycle allows it.
    pub fn take_settings(&mut self) -> Option<(Config, Change)> {
        self.read.take()
    }

    /// The life cycle refuses: all who wait are told.
    pub fn refuse(&mut self, why: String) {
        let mut waiting = std::mem::take(&mut self.next_waiters);
        self.waiters.append(&mut waiting);
        self.finish(Err(why));
    }

    fn is_dry(&self) -> bool {
        !self.waiters.is_empty() && self.waiters.iter().all(|a| a.dry_run)
    }

    /// A reading is over: all who waited for it are told.
    pub fn finish(&mut self, told: Result<Change, String>) {
        if let (Err(why), false) = (&told, self.is_dry()) {
            tracing::error!(why, "settings not reloaded, the old ones hold");
        }
        self.read = None;
        let askers = std::mem::take(&mut self.waiters);
        self.replies.extend(askers.into_iter().map(|a| (a, told.clone())));
    }
}
