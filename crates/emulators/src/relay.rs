//! A relay for datagrams between gateways. Each ordered pair of gateways has its own socket, so that faults can be
//! injected in one direction only. The relay does not inspect the datagrams.

use doorcourse_event_loop::{Clock, Interest, Poller, Timers};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Faults injected into a link, which is one direction between two gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Drop every datagram.
    pub cut: bool,
    /// Probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is delivered twice, 0 to 1.
    pub duplication: f64,
    /// Upper bound of the random delay of each datagram, which may reorder datagrams.
    pub max_delay_ms: f64,
}

impl LinkFaults {
    /// A link without faults.
    pub const NONE: Self = Self { cut: false, loss: 0.0, duplication: 0.0, max_delay_ms: 0.0 };
}

/// The state that the relay's thread shares with its owner.
struct Links {
    /// Number of gateways.
    gateways: usize,
    /// Address at which each gateway receives datagrams.
    destinations: Vec<Option<SocketAddr>>,
    /// Faults of each link. The link from gateway `from` to gateway `to` has the index `from * gateways + to`, and so
    /// has its socket.
    links: Vec<LinkFaults>,
}

/// A running relay; it stops when dropped.
pub struct Relay {
    links: Arc<Mutex<Links>>,
    addresses: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
    /// Datagrams and bytes received, including those that were dropped.
    datagrams: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts a relay between a number of gateways, without faults. Datagrams to a gateway are dropped until its
    /// destination is set.
    ///
    /// # Errors
    /// Fails when a socket or the thread cannot be created.
    pub fn start(gateways: usize, seed: u64) -> anyhow::Result<Self> {
        let poller = Poller::new()?;
        let mut sockets = Vec::new();
        for index in 0..gateways * gateways {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            poller.add(&socket, index as u64, Interest::READ)?;
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let links = Links {
            gateways,
            destinations: vec![None; gateways],
            links: vec![LinkFaults::NONE; gateways * gateways],
        };
        let (links, stopped) = (Arc::new(Mutex::new(links)), Arc::new(AtomicBool::new(false)));
        let (datagrams, bytes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let (shared_links, thread_stopped, datagram_count, byte_count) =
            (Arc::clone(&links), Arc::clone(&stopped), Arc::clone(&datagrams), Arc::clone(&bytes));
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || {
            let (clock, mut rng) = (Clock::default(), ChaCha8Rng::seed_from_u64(seed));
            let (mut delayed, mut ready, mut buffer) =
                (Timers::<(usize, Vec<u8>)>::default(), Vec::new(), vec![0; 65_536]);
            while !thread_stopped.load(Ordering::Relaxed) {
                let wait = delayed
                    .next_deadline()
                    .map_or(Duration::from_millis(20), |deadline| clock.until(deadline));
                if poller.wait(Some(wait.min(Duration::from_millis(20))), &mut ready).is_err() {
                    return;
                }
                for ready in ready.drain(..) {
                    let index = ready.token as usize;
                    while let Ok((length, _)) = sockets[index].recv_from(&mut buffer) {
                        datagram_count.fetch_add(1, Ordering::Relaxed);
                        byte_count.fetch_add(length as u64, Ordering::Relaxed);
                        let faults = lock(&shared_links).links[index];
                        if faults.cut || rng.random_bool(faults.loss) {
                            continue;
                        }
                        for _ in 0..1 + u32::from(rng.random_bool(faults.duplication)) {
                            let delay = if faults.max_delay_ms > 0.0 {
                                rng.random_range(0.0..faults.max_delay_ms)
                            } else {
                                0.0
                            };
                            delayed.schedule(clock.now() + delay, (index, buffer[..length].to_vec()));
                        }
                    }
                }
                while let Some((index, bytes)) = delayed.pop_expired(clock.now()) {
                    let destination = lock(&shared_links).destinations[index % gateways];
                    if let Some(destination) = destination {
                        let _ = sockets[index].send_to(&bytes, destination);
                    }
                }
            }
        })?;
        Ok(Self { links, addresses, stopped, datagrams, bytes, thread: Some(thread) })
    }

    /// Returns the address to which gateway `from` sends its datagrams for gateway `to`.
    #[must_use]
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from * lock(&self.links).gateways + to]
    }

    /// Sets the address at which a gateway receives datagrams.
    pub fn set_destination(&self, gateway: usize, address: SocketAddr) {
        lock(&self.links).destinations[gateway] = Some(address);
    }

    /// Changes the faults of the links for which `selects(from, to)` holds.
    pub fn update_links(&self, selects: impl Fn(usize, usize) -> bool, change: impl Fn(&mut LinkFaults)) {
        let mut links = lock(&self.links);
        let gateways = links.gateways;
        for (index, faults) in links.links.iter_mut().enumerate() {
            if selects(index / gateways, index % gateways) {
                change(faults);
            }
        }
    }

    /// Returns the numbers of datagrams and bytes received from gateways so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.datagrams.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[cfg(test)]
mod tests;
