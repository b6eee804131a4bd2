//! The room of the admin socket: JSON-RPC 2.0 over a local socket, one object a line. It translates; what is done about
//! a call is the life cycle's and the decisions' affair.

use crate::io::{Io, Token};
use anyhow::Context;
use doorcourse_config::Change;
use doorcourse_event_loop::Interest;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// What a call asks for.
#[derive(Debug)]
pub(crate) enum AdminRequest {
    Status,
    Nodes,
    Customers,
    DrainNode {
        name: String,
        drain: bool,
    },
    Drain,
    Peers,
    Leases,
    HandOver {
        task: String,
        to: u32,
    },
    Reload {
        dry_run: bool,
    },
    TakeOver,
    TookOver,
    /// The process that was to take over is gone.
    TakeoverLost,
}

/// A call, and where its answer goes.
#[derive(Debug)]
pub(crate) struct AdminCall {
    pub slot: usize,
    pub id: Value,
    pub request: AdminRequest,
}

/// One connection of a person or of a process that takes over.
#[derive(Debug)]
pub(crate) struct AdminConnection {
    stream: UnixStream,
    generation: u32,
    held: Vec<u8>,
    /// The id of the call that is answered later.
    waiting: Value,
    takes_over: bool,
}

/// Who waits for settings to be read.
#[derive(Debug)]
pub(crate) struct ReloadWaiter {
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
    peers: slab::Slab<AdminConnection>,
    /// Calls that wait to be carried out.
    pub calls: VecDeque<AdminCall>,
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
        let beside = crate::state_file::temporary_path(path);
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside).with_context(|| beside.display().to_string())?;
        std::fs::rename(&beside, path).with_context(|| path.display().to_string())?;
        listener.set_nonblocking(true)?;
        Ok(Self {
            listener,
            path: path.to_owned(),
            peers: slab::Slab::new(),
            calls: VecDeque::new(),
            passed_on: false,
        })
    }

    pub fn listener_fd(&self) -> &UnixListener {
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

impl Admin {
    pub fn accept(&mut self, io: &mut Io) {
        let generation = io.generation();
        let Ok((stream, _)) = self.listener.accept() else { return };
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let entry = self.peers.vacant_entry();
        let token = Token::AdminConnection(entry.key(), generation).pack();
        if io.poller.add(&stream, token, Interest::READ).is_ok() {
            let (held, waiting) = (Vec::new(), Value::Null);
            entry.insert(AdminConnection { stream, generation, held, waiting, takes_over: false });
        }
    }

    /// Reads calls of a connection; those that can be carried out wait in `calls`.
    pub fn handle_readiness(&mut self, slot: usize, generation: u32) {
        let Some(peer) = self.peers.get_mut(slot).filter(|p| p.generation == generation) else { return };
        let mut bytes = [0; 4096];
        match peer.stream.read(&mut bytes) {
            Ok(n) if n > 0 && peer.held.len() + n <= LINE => peer.held.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return self.handle_disconnect(slot),
        }
        loop {
            let Some(peer) = self.peers.get_mut(slot) else { return };
            let Some(end) = peer.held.iter().position(|b| *b == b'\n') else { return };
            let line: Vec<u8> = peer.held.drain(..=end).collect();
            match serde_json::from_slice::<Value>(&line) {
                Err(fault) => self.write(slot, &error(&Value::Null, PARSE, &fault.to_string())),
                Ok(call) => self.call(slot, &call),
            }
        }
    }

    fn call(&mut self, slot: usize, call: &Value) {
        let (id, parameters) = (call["id"].clone(), &call["params"]);
        let asked = match call["method"].as_str().unwrap_or("") {
            "status" => AdminRequest::Status,
            "nodes" => AdminRequest::Nodes,
            "customers" => AdminRequest::Customers,
            "node.drain" | "node.undrain" => {
                let Some(name) = parameters["name"].as_str() else {
                    let text = "params.name is needed, a node's name";
                    return self.write(slot, &error(&id, BAD_PARAMETERS, text));
                };
                AdminRequest::DrainNode { name: name.to_owned(), drain: call["method"] == "node.drain" }
            }
            "drain" => AdminRequest::Drain,
            "peers" => AdminRequest::Peers,
            "leases" => AdminRequest::Leases,
            "lease.hand_over" => {
                let to = parameters["to"].as_u64().and_then(|to| u32::try_from(to).ok());
                let (Some(task), Some(to)) = (parameters["task"].as_str(), to) else {
                    let text = "params.task and params.to are needed, a task's name and a gateway's number";
                    return self.write(slot, &error(&id, BAD_PARAMETERS, text));
                };
                AdminRequest::HandOver { task: task.to_owned(), to }
            }
            "reload" => AdminRequest::Reload { dry_run: parameters["dry_run"] == true },
            "takeover" => {
                if let Some(peer) = self.peers.get_mut(slot) {
                    (peer.waiting, peer.takes_over) = (id.clone(), true);
                }
                AdminRequest::TakeOver
            }
            "takeover.ready" => {
                // The path is the new process's from now on.
                self.passed_on = true;
                AdminRequest::TookOver
            }
            other => {
                let text = format!("there is no method `{other}`");
                return self.write(slot, &error(&id, NO_METHOD, &text));
            }
        };
        self.calls.push_back(AdminCall { slot, id, request: asked });
    }

    fn handle_disconnect(&mut self, slot: usize) {
        let Some(peer) = self.peers.try_remove(slot) else { return };
        if peer.takes_over {
            self.calls.push_back(AdminCall { slot, id: Value::Null, request: AdminRequest::TakeoverLost });
        }
    }

    pub fn disconnect(&mut self, peer: u64) {
        drop(self.peers.try_remove(peer as usize));
    }

    fn write(&mut self, slot: usize, reply: &Value) {
        let Some(peer) = self.peers.get_mut(slot) else { return };
        let mut line = reply.to_string().into_bytes();
        line.push(b'\n');
        // A person's terminal reads at once; one that does not is not waited for.
        let _ = peer.stream.set_nonblocking(false);
        let _ = peer.stream.set_write_timeout(Some(std::time::Duration::from_millis(200)));
        let written = peer.stream.write_all(&line);
        let _ = peer.stream.set_nonblocking(true);
        if written.is_err() {
            self.handle_disconnect(slot);
        }
    }

    /// Answers a call.
    pub fn reply(&mut self, slot: usize, id: &Value, value: Value) {
        self.write(slot, &result(id, value));
    }

    /// A call's parameters name nothing that is there.
    pub fn reply_invalid_params(&mut self, slot: usize, id: &Value, why: &str) {
        self.write(slot, &error(id, BAD_PARAMETERS, why));
    }

    /// Who waits on a connection for settings to be read.
    pub fn reload_waiter(&self, slot: usize, id: Value, dry_run: bool) -> Option<ReloadWaiter> {
        let generation = self.peers.get(slot)?.generation;
        Some(ReloadWaiter { slot, generation, id, dry_run })
    }

    pub fn reply_reload(&mut self, asker: &ReloadWaiter, told: &Result<Change, String>) {
        if self.peers.get(asker.slot).is_none_or(|p| p.generation != asker.generation) {
            return;
        }
        let reply = match told {
            Ok(change) => result(&asker.id, json!({"refused": change.refused, "changes": change.lines})),
            Err(why) => error(&asker.id, REFUSED, why),
        };
        self.write(asker.slot, &reply);
    }

    pub fn refuse_takeover(&mut self, peer: u64, why: &str) {
        let slot = peer as usize;
        let Some(known) = self.peers.get_mut(slot) else { return };
        known.takes_over = false;
        let reply = error(&known.waiting.clone(), REFUSED, why);
        self.write(slot, &reply);
    }

    /// Passes the listening sockets with the first byte of the reply.
    pub fn pass_listeners(&mut self, peer: u64, listeners: &[&TcpListener]) {
        let slot = peer as usize;
        let Some(known) = self.peers.get_mut(slot) else { return };
        let mut line = result(&known.waiting, json!({"listeners": listeners.len()})).to_string().into_bytes();
        line.push(b'\n');
        let fds: Vec<_> = listeners.iter().map(|l| l.as_fd()).collect();
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let fits = ancillary.push(SendAncillaryMessage::ScmRights(&fds));
        let sent =
            rustix::net::sendmsg(&known.stream, &[IoSlice::new(&line)], &mut ancillary, SendFlags::empty());
        if !fits || !sent.is_ok_and(|n| n == line.len()) {
            self.handle_disconnect(slot);
        }
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
