//! The admin socket: JSON-RPC 2.0 over a local socket, one object a line. It translates; what is done about a
//! request is the life cycle's and the decisions' affair.

use crate::run::{Gateway, Token};
use anyhow::Context;
use doorcourse_config::Change;
use doorcourse_lifecycle::Input;
use doorcourse_net::Interest;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// One connection of a person or of a process that takes over.
#[derive(Debug)]
pub(crate) struct Peer {
    stream: UnixStream,
    pub generation: u32,
    held: Vec<u8>,
    /// The id of the call that is answered later.
    waiting: Value,
    takes_over: bool,
}

/// Who waits for settings to be read.
#[derive(Debug)]
pub(crate) struct Asker {
    slot: usize,
    generation: u32,
    id: Value,
    /// Whether only the difference is asked for.
    pub dry_run: bool,
}

/// The socket and its path.
#[derive(Debug)]
pub(crate) struct Admin {
    listener: UnixListener,
    path: PathBuf,
    pub peers: slab::Slab<Peer>,
    /// Another process has bound the path since: it is not ours to remove.
    pub passed_on: bool,
}

/// A call's longest line, and the most listeners that are passed.
const LINE: usize = 64 << 10;
const LISTENERS: usize = 32;
/// JSON-RPC 2.0, section 5.1.
const PARSE: i64 = -32700;
const NO_METHOD: i64 = -32601;
const BAD_PARAMETERS: i64 = -32602;
/// Ours: asked for and not done.
const REFUSED: i64 = -32000;

impl Admin {
    /// Binds the path. One that is left over from a dead process is removed; one that answers is not.
    pub fn bind(path: &Path, taking_over: bool) -> anyhow::Result<Self> {
        if path.exists() {
            let alive = UnixStream::connect(path).is_ok();
            anyhow::ensure!(!alive || taking_over, "{}: another gateway answers there", path.display());
        }
        // Bound beside its place and moved there: who asks finds the old socket or the new one.
        let beside = crate::state::beside(path);
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside).with_context(|| beside.display().to_string())?;
        std::fs::rename(&beside, path).with_context(|| path.display().to_string())?;
        listener.set_nonblocking(true)?;
        Ok(Self { listener, path: path.to_owned(), peers: slab::Slab::new(), passed_on: false })
    }

    pub fn fd(&self) -> &UnixListener {
        &self.listener
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        if !self.passed_on {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn error(id: &Value, code: i64, message: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "error": {"code": code, "message": message}})
}

fn result(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

impl Gateway {
    pub(crate) fn admin_accept(&mut self) {
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let Some(admin) = &mut self.admin else { return };
        let Ok((stream, _)) = admin.listener.accept() else { return };
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let entry = admin.peers.vacant_entry();
        if self.poller.add(&stream, Token::Peer(entry.key(), generation).pack(), Interest::READ).is_ok() {
            entry.insert(Peer {
                stream,
                generation,
                held: Vec::new(),
                waiting: Value::Null,
                takes_over: false,
            });
        }
    }

    pub(crate) fn peer_ready(&mut self, slot: usize) {
        let Some(peer) = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot)) else { return };
        let mut bytes = [0; 4096];
        match peer.stream.read(&mut bytes) {
            Ok(n) if n > 0 && peer.held.len() + n <= LINE => peer.held.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return self.peer_gone(slot),
        }
        loop {
            let Some(peer) = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot)) else { return };
            let Some(end) = peer.held.iter().position(|b| *b == b'\n') else { return };
            let line: Vec<u8> = peer.held.drain(..=end).collect();
            let reply = match serde_json::from_slice::<Value>(&line) {
                Err(fault) => Some(error(&Value::Null, PARSE, &fault.to_string())),
                Ok(call) => self.call(slot, &call),
            };
            if let Some(reply) = reply {
                self.peer_write(slot, &reply);
            }
        }
    }

    fn peer_gone(&mut self, slot: usize) {
        let Some(admin) = &mut self.admin else { return };
        let Some(peer) = admin.peers.try_remove(slot) else { return };
        if peer.takes_over {
            self.life(Input::TakeoverLost { peer: slot as u64 });
        }
    }

    pub(crate) fn drop_peer(&mut self, peer: u64) {
        if let Some(admin) = &mut self.admin {
            drop(admin.peers.try_remove(peer as usize));
        }
    }

    fn peer_write(&mut self, slot: usize, reply: &Value) {
        let Some(peer) = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot)) else { return };
        let mut line = reply.to_string().into_bytes();
        line.push(b'\n');
        // A person's terminal reads at once; one that does not is not waited for.
        let _ = peer.stream.set_nonblocking(false);
        let _ = peer.stream.set_write_timeout(Some(std::time::Duration::from_millis(200)));
        let written = peer.stream.write_all(&line);
        let _ = peer.stream.set_nonblocking(true);
        if written.is_err() {
            self.peer_gone(slot);
        }
    }

    fn call(&mut self, slot: usize, call: &Value) -> Option<Value> {
        let id = call["id"].clone();
        let parameters = &call["params"];
        Some(match call["method"].as_str().unwrap_or("") {
            "status" => result(&id, self.status()),
            "nodes" => result(&id, self.node_views()),
            "customers" => result(&id, self.customer_views()),
            "node.drain" | "node.undrain" => {
                let Some(name) = parameters["name"].as_str() else {
                    return Some(error(&id, BAD_PARAMETERS, "params.name is needed, a node's name"));
                };
                match self.drain_node(name, call["method"] == "node.drain") {
                    true => result(&id, json!({"node": name})),
                    false => error(&id, BAD_PARAMETERS, &format!("`{name}` is no node of the list")),
                }
            }
            "drain" => {
                self.life(Input::Drain);
                result(&id, json!({"state": self.life.state().name()}))
            }
            "reload" => {
                let generation = self.admin.as_ref().and_then(|a| a.peers.get(slot)).map(|p| p.generation)?;
                self.ask_reload(Asker { slot, generation, id, dry_run: parameters["dry_run"] == true });
                return None;
            }
            "takeover" => {
                let peer = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot))?;
                (peer.waiting, peer.takes_over) = (id, true);
                self.life(Input::TakeoverAsked { peer: slot as u64 });
                return None;
            }
            "takeover.ready" => {
                // The path is the new process's from now on.
                if let Some(admin) = &mut self.admin {
                    admin.passed_on = true;
                }
                self.life(Input::TakeoverReady { peer: slot as u64 });
                result(&id, json!({"state": self.life.state().name()}))
            }
            other => error(&id, NO_METHOD, &format!("there is no method `{other}`")),
        })
    }

    pub(crate) fn answer_reload(&mut self, asker: &Asker, told: &Result<Change, String>) {
        let known = self.admin.as_ref().and_then(|a| a.peers.get(asker.slot));
        if known.is_none_or(|p| p.generation != asker.generation) {
            return;
        }
        let reply = match told {
            Ok(change) => result(&asker.id, json!({"refused": change.refused, "changes": change.lines})),
            Err(why) => error(&asker.id, REFUSED, why),
        };
        self.peer_write(asker.slot, &reply);
    }

    pub(crate) fn refuse_takeover(&mut self, peer: u64, why: &str) {
        let slot = peer as usize;
        let Some(known) = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot)) else { return };
        known.takes_over = false;
        let reply = error(&known.waiting.clone(), REFUSED, why);
        self.peer_write(slot, &reply);
    }

    /// Passes the listening sockets with the first byte of the reply.
    pub(crate) fn pass_listeners(&mut self, peer: u64) {
        let slot = peer as usize;
        let listeners = std::mem::take(&mut self.listeners);
        let Some(known) = self.admin.as_mut().and_then(|a| a.peers.get_mut(slot)) else { return };
        let mut line = result(&known.waiting, json!({"listeners": listeners.len()})).to_string().into_bytes();
        line.push(b'\n');
        let fds: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let fits = ancillary.push(SendAncillaryMessage::ScmRights(&fds));
        let sent =
            rustix::net::sendmsg(&known.stream, &[IoSlice::new(&line)], &mut ancillary, SendFlags::empty());
        let passed = fits && sent.is_ok_and(|n| n == line.len());
        drop(fds);
        self.listeners = listeners;
        if !passed {
            self.peer_gone(slot);
        }
    }

    fn status(&self) -> Value {
        json!({
            "state": self.life.state().name(),
            "ready": self.life.wants_clients(),
            "name": self.name,
            "number": self.config.decisions.number,
            "gateways": self.config.decisions.gateways,
            "listeners": self.addresses().unwrap_or_default().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "requests": self.requests.len(),
            "clients": self.clients.len(),
            "counter_calls": self.calls_out,
            "counter_silent": self.decision.is_counter_silent(),
            "requests_so_far": self.next_request,
            "buffered_bytes": self.accounts.bytes(),
        })
    }

    fn node_views(&self) -> Value {
        let now = self.clock.now();
        let one = |b: doorcourse::BackendView| {
            json!({"name": &*b.name, "ready": b.ready, "drained_here": self.drained.contains(&b.name), "out": b.out,
                "room": b.room, "failures": b.failures, "ejected_for_ms": (b.eject_until - now).max(0.0),
                "started_ms": b.started})
        };
        self.decision.backends().map(one).collect()
    }

    fn customer_views(&self) -> Value {
        let one = |c: doorcourse::CustomerView| {
            json!({"name": &*c.name, "plan": &*c.plan, "lease": c.lease, "store": c.store, "owed": c.owed,
                "waiting": c.waiting, "open": c.open})
        };
        self.decision.customers().map(one).collect()
    }
}

/// Asks the process that serves for its listening sockets. The stream is kept: the old process takes its end as
/// the end of the new one, and `ready` is told on it.
pub(crate) fn take_over(path: &Path) -> anyhow::Result<(Vec<TcpListener>, UnixStream)> {
    let mut stream =
        UnixStream::connect(path).with_context(|| format!("{}: nobody to take over from", path.display()))?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(10)))?;
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"takeover\"}\n")?;
    let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; 4096];
    let got = rustix::net::recvmsg(
        &stream,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let reply: Value = serde_json::from_slice(&bytes[..got.bytes]).unwrap_or_default();
    let mut fds: Vec<OwnedFd> = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            fds.extend(passed);
        }
    }
    if let Some(why) = reply["error"]["message"].as_str() {
        anyhow::bail!("takeover refused: {why}");
    }
    anyhow::ensure!(!fds.is_empty(), "takeover: no listening socket came");
    Ok((fds.into_iter().map(TcpListener::from).collect(), stream))
}

/// Tells the old process that this one serves.
pub(crate) fn taken_over(mut stream: UnixStream) -> anyhow::Result<()> {
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"takeover.ready\"}\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    anyhow::ensure!(line.contains("\"result\""), "takeover: the old process did not let go: {line}");
    Ok(())
}
