//! A relay for datagrams between gateways: each ordered pair has a socket of its own, so that one way can be cut, lossy,
//! slow or doubled without the other. It looks into none of them.

use doorcourse_event_loop::{Clock, Interest, Poller, Timers};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How a way behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Nothing passes.
    pub cut: bool,
    /// The share that is lost, and that comes twice.
    pub loss: f64,
    /// See `loss`.
    pub doubled: f64,
    /// Each is held for up to this many ms by chance: what was sent later may come first.
    pub delay: f64,
}

impl Way {
    /// A way that passes all at once.
    pub const PLAIN: Self = Self { cut: false, loss: 0.0, doubled: 0.0, delay: 0.0 };
}

struct Ways {
    gateways: usize,
    to: Vec<Option<SocketAddr>>,
    ways: Vec<Way>,
}

/// A running relay; it ends when it is dropped.
pub struct Relay {
    ways: Arc<Mutex<Ways>>,
    addresses: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
    /// Datagrams and bytes that came to be passed on.
    datagrams: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn lock(ways: &Mutex<Ways>) -> MutexGuard<'_, Ways> {
    ways.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Begins to relay between so many gateways, all ways plain, to nowhere yet.
    ///
    /// # Errors
    /// When the system has no socket or thread left.
    pub fn start(gateways: usize, seed: u64) -> anyhow::Result<Self> {
        let poller = Poller::new()?;
        let mut sockets = Vec::new();
        for at in 0..gateways * gateways {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            poller.add(&socket, at as u64, Interest::READ)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let ways = Ways { gateways, to: vec![None; gateways], ways: vec![Way::PLAIN; gateways * gateways] };
        let (ways, over) = (Arc::new(Mutex::new(ways)), Arc::new(AtomicBool::new(false)));
        let (datagrams, bytes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (shared, ends, count, size) =
            (Arc::clone(&ways), Arc::clone(&over), Arc::clone(&datagrams), Arc::clone(&bytes));
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || {
            let (clock, mut dice) = (Clock::default(), ChaCha8Rng::seed_from_u64(seed));
            let (mut held, mut ready, mut buffer) =
                (Timers::<(usize, Vec<u8>)>::default(), Vec::new(), vec![0; 65_536]);
            while !ends.load(Ordering::Relaxed) {
                let wait = held.next_deadline().map_or(Duration::from_millis(20), |at| clock.until(at));
                if poller.wait(Some(wait.min(Duration::from_millis(20))), &mut ready).is_err() {
                    return;
                }
                for ready in ready.drain(..) {
                    let at = ready.token as usize;
                    while let Ok((length, _)) = sockets[at].recv_from(&mut buffer) {
                        count.fetch_add(1, Ordering::Relaxed);
                        size.fetch_add(length as u64, Ordering::Relaxed);
                        let way = lock(&shared).ways[at];
                        if way.cut || dice.random_bool(way.loss) {
                            continue;
                        }
                        for _ in 0..1 + u32::from(dice.random_bool(way.doubled)) {
                            let delay = if way.delay > 0.0 { dice.random_range(0.0..way.delay) } else { 0.0 };
                            held.schedule(clock.now() + delay, (at, buffer[..length].to_vec()));
                        }
                    }
                }
                while let Some((at, bytes)) = held.pop_expired(clock.now()) {
                    let to = lock(&shared).to[at % gateways];
                    if let Some(to) = to {
                        let _ = sockets[at].send_to(&bytes, to);
                    }
                }
            }
        })?;
        Ok(Self { ways, addresses, over, datagrams, bytes, thread: Some(thread) })
    }

    /// Where a gateway sends what is for another.
    #[must_use]
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from * lock(&self.ways).gateways + to]
    }

    /// Where a gateway is reached now.
    pub fn reach(&self, gateway: usize, address: SocketAddr) {
        lock(&self.ways).to[gateway] = Some(address);
    }

    /// Changes the ways that a test picks by their ends.
    pub fn change(&self, which: impl Fn(usize, usize) -> bool, change: impl Fn(&mut Way)) {
        let mut ways = lock(&self.ways);
        let gateways = ways.gateways;
        for (at, way) in ways.ways.iter_mut().enumerate() {
            if which(at / gateways, at % gateways) {
                change(way);
            }
        }
    }

    /// Datagrams and bytes that gateways have sent so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.datagrams.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_way_that_is_cut_passes_nothing_and_the_other_way_all() {
        let relay = Relay::start(2, 1).unwrap();
        let ends: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        for (at, end) in ends.iter().enumerate() {
            end.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            relay.reach(at, end.local_addr().unwrap());
        }
        relay.change(|from, _| from == 0, |way| way.cut = true);
        ends[0].send_to(b"lost", relay.address(0, 1)).unwrap();
        ends[1].send_to(b"passed", relay.address(1, 0)).unwrap();
        let mut bytes = [0; 16];
        let (length, _) = ends[0].recv_from(&mut bytes).unwrap();
        assert_eq!(&bytes[..length], b"passed");
        relay.change(|_, _| true, |way| *way = Way { doubled: 1.0, ..Way::PLAIN });
        ends[0].send_to(b"twice", relay.address(0, 1)).unwrap();
        for _ in 0..2 {
            let (length, _) = ends[1].recv_from(&mut bytes).unwrap();
            assert_eq!(&bytes[..length], b"twice");
        }
        // Two ends may count as three datagrams: one of them was cut.
        assert_eq!(relay.counts().0, 3);
    }
}
