//! Readiness by epoll, level-triggered: a descriptor with unread bytes is reported again by the next wait.

use crate::system_calls::count;
use rustix::event::{Timespec, epoll};
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The most descriptors that one wait reports. The platform lets a RESP gateway hold no more descriptors than this, so
/// one wait reports all that are ready. A process that holds more, as `doorcourse serve` may, gets the others from its
/// next waits.
const MAX_EVENTS: usize = 1024;
/// Added to each timeout: a wait that ends just before its timer is due would be repeated in a busy loop.
const EARLY_WAKE_MARGIN: Duration = Duration::from_micros(200);

/// The readiness that a registration waits for. Errors and hang-ups are always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes can be read, or the end of the stream is reached.
    pub read: bool,
    /// The send buffer has space.
    pub write: bool,
    /// The peer has closed its side (EPOLLRDHUP). This is reported also while reading is paused, and before all
    /// buffered bytes are read.
    pub peer_close: bool,
}

impl Interest {
    /// Reading only.
    pub const READ: Self = Self::of(true, false);
    /// Reading and writing: for a connection in progress.
    pub const BOTH: Self = Self::of(true, true);

    /// Reading and writing as given; the peer's close is not included.
    #[must_use]
    pub const fn of(read: bool, write: bool) -> Self {
        Self { read, write, peer_close: false }
    }

    /// The same interest, and the peer's close.
    #[must_use]
    pub const fn with_peer_close(self) -> Self {
        Self { peer_close: true, ..self }
    }

    fn flags(self) -> epoll::EventFlags {
        let mut flags = epoll::EventFlags::empty();
        flags.set(epoll::EventFlags::IN, self.read);
        flags.set(epoll::EventFlags::OUT, self.write);
        flags.set(epoll::EventFlags::RDHUP, self.peer_close);
        flags
    }
}

/// One descriptor that is ready.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The token of its registration.
    pub token: u64,
    /// A read does not block: it returns bytes, the end of the stream or an error.
    pub read: bool,
    /// A write does not block.
    pub write: bool,
    /// Both directions are closed, or the connection failed.
    pub broken: bool,
    /// The peer closed its side, or the connection failed. A peer's close is reported only if the interest includes it.
    pub peer_closed: bool,
}

/// An epoll instance.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates an epoll instance.
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
        count(|c| c.registrations += 1);
        Ok(epoll::add(&self.epoll, fd, epoll::EventData::new_u64(token), interest.flags())?)
    }

    /// Changes what a registration waits for.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn change(&self, fd: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        count(|c| c.registrations += 1);
        Ok(epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(token), interest.flags())?)
    }

    /// Removes a registration; closing the descriptor does the same.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        count(|c| c.registrations += 1);
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until a descriptor is ready or `timeout` has passed. A signal ends the wait; descriptors that are ready by
    /// then are still reported, so that the caller does not handle a timer before them.
    ///
    /// At most `MAX_EVENTS` (1,024) descriptors are reported; a later wait reports the others. A caller that handles
    /// closed connections first, or before timers, can do so only among the reported ones.
    ///
    /// # Errors
    /// When the system fails.
    pub fn wait(&self, timeout: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let mut events = [const { MaybeUninit::<epoll::Event>::uninit() }; MAX_EVENTS];
        let timeout = timeout.map(|timeout| timeout + EARLY_WAKE_MARGIN);
        let mut timeout =
            timeout.map(|t| Timespec { tv_sec: t.as_secs() as i64, tv_nsec: t.subsec_nanos().into() });
        count(|c| c.waits += 1);
        loop {
            match epoll::wait(&self.epoll, &mut events, timeout.as_ref()) {
                Ok((found, _)) => {
                    ready.extend(found.iter().map(ready_of));
                    return Ok(());
                }
                Err(rustix::io::Errno::INTR) => timeout = Some(Timespec { tv_sec: 0, tv_nsec: 0 }),
                Err(error) => return Err(error.into()),
            }
        }
    }
}

fn ready_of(event: &epoll::Event) -> Ready {
    use epoll::EventFlags;
    let flags = event.flags;
    let has = |mask| flags.intersects(mask);
    Ready {
        token: event.data.u64(),
        read: has(EventFlags::IN | EventFlags::HUP | EventFlags::ERR),
        write: has(EventFlags::OUT),
        broken: has(EventFlags::HUP | EventFlags::ERR),
        peer_closed: has(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR),
    }
}

/// Wakes a poller from another thread.
#[derive(Debug)]
pub struct Waker(std::os::unix::net::UnixStream);

impl Waker {
    /// A waker, and the socket to register with the poller. The bytes received on it have no meaning.
    ///
    /// # Errors
    /// When the system has no descriptor left.
    pub fn pair() -> io::Result<(Self, std::os::unix::net::UnixStream)> {
        let (sender, receiver) = std::os::unix::net::UnixStream::pair()?;
        sender.set_nonblocking(true)?;
        receiver.set_nonblocking(true)?;
        Ok((Self(sender), receiver))
    }

    /// Wakes the poller. If the send buffer is full, unread bytes wake the poller already.
    pub fn wake(&self) {
        let _ = io::Write::write(&mut &self.0, &[1]);
    }
}
