//! The endpoint that tasks call; it records the begin and end of each act. One kind checks fencing tokens: it rejects
//! tokens below the highest one seen and ends acts that run under a lower one. The other kind ignores tokens and checks
//! the deadline of the call: it rejects an act that might not be complete by then.

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

struct State {
    acts: Vec<Act>,
    highest_tokens: HashMap<String, u64>,
    rng: ChaCha8Rng,
    /// Origin of the times in the acts.
    start_ms: f64,
    /// Calls that arrive before the first time are delayed by the second value, in ms.
    call_delay: (f64, f64),
}

/// A running endpoint; it stops when dropped.
pub struct TaskEndpoint {
    address: SocketAddr,
    checks_tokens: bool,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl TaskEndpoint {
    /// Starts an endpoint whose accepted calls take a random time of up to `max_duration_ms`.
    ///
    /// # Errors
    /// Fails when the socket or the thread cannot be created.
    pub fn start(checks_tokens: bool, max_duration_ms: f64, seed: u64) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, stopped) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let state = Arc::new(Mutex::new(State {
            acts: Vec::new(),
            highest_tokens: HashMap::new(),
            rng,
            start_ms: now_ms(),
            call_delay: (0.0, 0.0),
        }));
        let (shared_state, thread_stopped) = (Arc::clone(&state), Arc::clone(&stopped));
        std::thread::Builder::new().name("witness".into()).spawn(move || {
            for stream in listener.incoming() {
                if thread_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (Ok(stream), shared_state) = (stream, Arc::clone(&shared_state)) else { continue };
                let _ = std::thread::Builder::new()
                    .spawn(move || serve(stream, &shared_state, checks_tokens, max_duration_ms));
            }
        })?;
        Ok(Self { address, checks_tokens, state, stopped })
    }

    /// Returns the address of the endpoint.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the endpoint checks fencing tokens instead of deadlines.
    #[must_use]
    pub fn checks_tokens(&self) -> bool {
        self.checks_tokens
    }

    /// Delays each call that arrives within the next `window` ms by `delay` ms before it is checked.
    pub fn delay_calls(&self, window: f64, delay: f64) {
        lock(&self.state).call_delay = (now_ms() + window, delay);
    }

    /// Returns all acts recorded so far, accepted or not.
    #[must_use]
    pub fn acts(&self) -> Vec<Act> {
        lock(&self.state).acts.clone()
    }
}

impl Drop for TaskEndpoint {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the accept loop so that it sees the flag.
        drop(TcpStream::connect(self.address));
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, checks_tokens: bool, max_duration_ms: f64) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let Some(mut act) = read_call(&mut stream) else { return };
    let (delayed_until, delay) = lock(state).call_delay;
    if now_ms() < delayed_until {
        std::thread::sleep(Duration::from_secs_f64(delay / 1000.0));
    }
    let duration = {
        let mut state = lock(state);
        (act.begin, act.deadline) = (now_ms() - state.start_ms, act.deadline - state.start_ms);
        let highest_token = state.highest_tokens.get(&act.task).copied().unwrap_or_default();
        act.accepted = if checks_tokens {
            act.token >= highest_token
        } else {
            act.begin + max_duration_ms <= act.deadline
        };
        if act.accepted && checks_tokens {
            // A higher token ends the acts that still run under a lower one.
            let begin = act.begin;
            let superseded = |a: &&mut Act| a.task == act.task && a.token < act.token && a.end > begin;
            state.acts.iter_mut().filter(superseded).for_each(|a| a.end = begin);
            state.highest_tokens.insert(act.task.clone(), act.token);
        }
        let duration = if act.accepted { state.rng.random_range(0.0..max_duration_ms) } else { 0.0 };
        act.end = act.begin + duration;
        let accepted = act.accepted;
        state.acts.push(act);
        accepted.then_some(duration)
    };
    let status = match duration {
        None => "409 Conflict",
        Some(duration) => {
            std::thread::sleep(Duration::from_secs_f64(duration / 1000.0));
            "204 No Content"
        }
    };
    let _ = write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
}

/// Reads a call; returns `None` when it is incomplete or lacks a field of a task's call.
fn read_call(stream: &mut TcpStream) -> Option<Act> {
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
        let (used, part) = decoder.decode(&input).ok()?;
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
                input.drain(..used);
                let count = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
                input.extend_from_slice(&bytes[..count]);
                continue;
            }
        }
        input.drain(..used);
    }
}
