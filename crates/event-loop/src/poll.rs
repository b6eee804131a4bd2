//! Readiness by epoll, level-triggered: what is left unread is told again.

use crate::counts::count;
use rustix::event::{Timespec, epoll};
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// What a registration waits for. Errors and hang-ups are always told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read, or the peer's end.
    pub read: bool,
    /// Room to write.
    pub write: bool,
    /// The peer's end, told apart from reading: also while nothing is read, and ahead of bytes that are not read yet.
    pub end: bool,
}

impl Interest {
    /// Reading alone.
    pub const READ: Self = Self::of(true, false);
    /// Both ways: a connection that is not made yet.
    pub const BOTH: Self = Self::of(true, true);

    /// Reading and writing as they are of use.
    #[must_use]
    pub const fn of(read: bool, write: bool) -> Self {
        Self { read, write, end: false }
    }

    /// The same, and the peer's end.
    #[must_use]
    pub const fn with_end(self) -> Self {
        Self { end: true, ..self }
    }

    fn flags(self) -> epoll::EventFlags {
        let mut flags = epoll::EventFlags::empty();
        flags.set(epoll::EventFlags::IN, self.read);
        flags.set(epoll::EventFlags::OUT, self.write);
        flags.set(epoll::EventFlags::RDHUP, self.end);
        flags
    }
}

/// One descriptor that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The token given when it was registered.
    pub token: u64,
    /// It can be read, or reading tells of an end.
    pub read: bool,
    /// It can be written.
    pub write: bool,
    /// Both directions are over or broken.
    pub broken: bool,
    /// The peer has ended its side, or the connection is broken; told where it was asked for.
    pub ended: bool,
}

/// An epoll instance.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// A new one.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn new() -> io::Result<Self> {
        Ok(Self { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)? })
    }

    /// Registers a descriptor.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn add(&self, fd: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        count(|c| c.changes += 1);
        Ok(epoll::add(&self.epoll, fd, epoll::EventData::new_u64(token), interest.flags())?)
    }

    /// Changes what a registration waits for.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn change(&self, fd: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        count(|c| c.changes += 1);
        Ok(epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(token), interest.flags())?)
    }

    /// Ends a registration; closing the descriptor does the same.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        count(|c| c.changes += 1);
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until something is ready or the time is over. A signal ends the wait, not the look: what is ready by then
    /// is told, so that nothing that is due is done ahead of it. All that a machine of
    /// 1,024 descriptors can have ready comes at once: who takes ends first has to see them all.
    ///
    /// # Errors
    /// When the system fails.
    pub fn wait(&self, most: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let mut room = [const { MaybeUninit::<epoll::Event>::uninit() }; 1024];
        // Rounded up to the next ms by hand: a wait that ends too early would spin.
        let most = most.map(|m| m + Duration::from_micros(200));
        let mut most =
            most.map(|m| Timespec { tv_sec: m.as_secs() as i64, tv_nsec: m.subsec_nanos().into() });
        count(|c| c.waits += 1);
        loop {
            match epoll::wait(&self.epoll, &mut room, most.as_ref()) {
                Ok((found, _)) => {
                    ready.extend(found.iter().map(told));
                    return Ok(());
                }
                Err(rustix::io::Errno::INTR) => most = Some(Timespec { tv_sec: 0, tv_nsec: 0 }),
                Err(error) => return Err(error.into()),
            }
        }
    }
}

fn told(event: &epoll::Event) -> Ready {
    use epoll::EventFlags;
    let flags = event.flags;
    let has = |of| flags.intersects(of);
    Ready {
        token: event.data.u64(),
        read: has(EventFlags::IN | EventFlags::HUP | EventFlags::ERR),
        write: has(EventFlags::OUT),
        broken: has(EventFlags::HUP | EventFlags::ERR),
        ended: has(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR),
    }
}

/// Wakes a poller from another thread.
#[derive(Debug)]
pub struct Waker(std::os::unix::net::UnixStream);

impl Waker {
    /// A waker and the descriptor to register; what is read from it is of no meaning.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn pair() -> io::Result<(Self, std::os::unix::net::UnixStream)> {
        let (ours, theirs) = std::os::unix::net::UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        theirs.set_nonblocking(true)?;
        Ok((Self(ours), theirs))
    }

    /// Wakes the poller; a full pipe wakes it as well.
    pub fn wake(&self) {
        let _ = io::Write::write(&mut &self.0, &[1]);
    }
}
