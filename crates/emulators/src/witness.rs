//! A witness: what tasks call, with a record of each act's begin and end. One kind refuses tokens below the highest it has
//! seen and ends what goes on under a lower one; the other knows no tokens and goes by the deadline sent along: an act that could not be over by then is refused.

use doorcourse_conformance::Act;
use doorcourse_http::{Decoder, Limits, Part, Role};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const LIMITS: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 1024 };

struct Inside {
    acts: Vec<Act>,
    highest: HashMap<String, u64>,
    dice: ChaCha8Rng,
    /// The record's times count from here.
    start: f64,
    /// Calls that come before the first moment are held up for so many ms.
    held_up: (f64, f64),
}

/// A running witness; it ends when it is dropped.
pub struct Witness {
    address: SocketAddr,
    fences: bool,
    inside: Arc<Mutex<Inside>>,
    over: Arc<AtomicBool>,
}

fn lock(inside: &Mutex<Inside>) -> MutexGuard<'_, Inside> {
    inside.lock().unwrap_or_else(PoisonError::into_inner)
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Witness {
    /// Begins to take calls, each of which takes up to `work` ms by chance.
    ///
    /// # Errors
    /// When the system has no socket or thread left.
    pub fn start(fences: bool, work: f64, seed: u64) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, over) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let dice = ChaCha8Rng::seed_from_u64(seed);
        let inside = Arc::new(Mutex::new(Inside {
            acts: Vec::new(),
            highest: HashMap::new(),
            dice,
            start: now(),
            held_up: (0.0, 0.0),
        }));
        let (shared, ends) = (Arc::clone(&inside), Arc::clone(&over));
        std::thread::Builder::new().name("witness".into()).spawn(move || {
            for stream in listener.incoming() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let (Ok(stream), shared) = (stream, Arc::clone(&shared)) else { continue };
                let _ = std::thread::Builder::new().spawn(move || serve(stream, &shared, fences, work));
            }
        })?;
        Ok(Self { address, fences, inside, over })
    }

    /// Where it is called.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it knows tokens.
    #[must_use]
    pub fn fences(&self) -> bool {
        self.fences
    }

    /// Calls that come within the next `window` ms are held up on their way for `span` ms.
    pub fn hold_up(&self, window: f64, span: f64) {
        lock(&self.inside).held_up = (now() + window, span);
    }

    /// All acts so far.
    #[must_use]
    pub fn acts(&self) -> Vec<Act> {
        lock(&self.inside).acts.clone()
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the listener for its end.
        drop(TcpStream::connect(self.address));
    }
}

fn serve(mut stream: TcpStream, inside: &Mutex<Inside>, fences: bool, work: f64) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let Some(mut act) = read(&mut stream) else { return };
    let (until, span) = lock(inside).held_up;
    if now() < until {
        std::thread::sleep(Duration::from_secs_f64(span / 1000.0));
    }
    let span = {
        let mut inside = lock(inside);
        (act.begin, act.deadline) = (now() - inside.start, act.deadline - inside.start);
        let highest = inside.highest.get(&act.task).copied().unwrap_or_default();
        act.accepted = if fences { act.token >= highest } else { act.begin + work <= act.deadline };
        if act.accepted && fences {
            // A higher token ends what goes on under a lower one.
            let begin = act.begin;
            let lower = |a: &&mut Act| a.task == act.task && a.token < act.token && a.end > begin;
            inside.acts.iter_mut().filter(lower).for_each(|a| a.end = begin);
            inside.highest.insert(act.task.clone(), act.token);
        }
        let span = if act.accepted { inside.dice.random_range(0.0..work) } else { 0.0 };
        act.end = act.begin + span;
        let accepted = act.accepted;
        inside.acts.push(act);
        accepted.then_some(span)
    };
    let status = match span {
        None => "409 Conflict",
        Some(span) => {
            std::thread::sleep(Duration::from_secs_f64(span / 1000.0));
            "204 No Content"
        }
    };
    let _ = write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
}

/// Reads a call; nothing if it is none of a task's.
fn read(stream: &mut TcpStream) -> Option<Act> {
    let (mut decoder, mut input, mut bytes) = (Decoder::new(Role::Requests, LIMITS), Vec::new(), [0; 4096]);
    let mut act = Act {
        task: String::new(),
        gateway: 0,
        token: 0,
        begin: 0.0,
        end: 0.0,
        deadline: 0.0,
        accepted: false,
    };
    loop {
        let (took, part) = decoder.decode(&input).ok()?;
        match part {
            Some(Part::Head(head)) => {
                let field = |name: &str| head.field(name).map(str::to_owned);
                act.task = field("task")?;
                act.gateway = field("gateway")?.parse().ok()?;
                act.token = field("fencing-token")?.parse().ok()?;
                act.deadline = field("act-deadline")?.parse().ok()?;
            }
            Some(Part::End) => return Some(act),
            Some(Part::Data(_)) => {}
            None => {
                input.drain(..took);
                let count = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
                input.extend_from_slice(&bytes[..count]);
                continue;
            }
        }
        input.drain(..took);
    }
}
