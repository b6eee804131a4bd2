//! The admin socket: JSON-RPC 2.0 over a Unix socket, one object a line. It parses calls and writes replies; what a call
//! does is the event loop's concern.

mod protocol;

pub(crate) use protocol::AdminRequest;

use crate::io::{Io, Token};
use anyhow::Context;
use doorcourse_config::Change;
use doorcourse_event_loop::Interest;
use protocol::{ErrorCode, error_reply, result_reply};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{IoSlice, Read, Write};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The longest line of a call, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Bytes read from a connection at a time.
const READ_BYTES: usize = 4096;
/// The most listening sockets that a takeover passes.
pub(crate) const MAX_PASSED_LISTENERS: usize = 32;
/// How long the loop waits for a client that does not read its reply.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// A call, and where its reply goes.
#[derive(Debug)]
pub(crate) struct AdminCall {
    pub slot: usize,
    pub id: Value,
    pub request: AdminRequest,
}

/// One connection of an operator, or of a process that takes over.
#[derive(Debug)]
struct AdminConnection {
    stream: UnixStream,
    generation: u32,
    input: Vec<u8>,
    /// The id of the takeover call, which is answered later.
    takeover_id: Value,
    /// Whether the end of this connection ends a takeover.
    takes_over: bool,
}

/// A connection that waits for the settings to be read, and the id of its call.
#[derive(Debug)]
pub(crate) struct ReloadWaiter {
    slot: usize,
    generation: u32,
    id: Value,
    /// Whether only the difference is asked for.
    pub dry_run: bool,
}

/// The reply to a call that waits for a reload.
#[derive(Debug)]
pub(crate) struct ReloadReply {
    pub waiter: ReloadWaiter,
    /// The difference between the settings, or why they are not reloaded.
    pub outcome: Result<Change, String>,
}

/// The admin socket and its connections.
#[derive(Debug)]
pub(crate) struct Admin {
    listener: UnixListener,
    path: PathBuf,
    connections: slab::Slab<AdminConnection>,
    /// Calls that wait to be carried out.
    pub calls: VecDeque<AdminCall>,
    /// A new process has bound the path since: it is not ours to remove.
    handed_over: bool,
}

impl Admin {
    /// Binds the socket and registers it.
    ///
    /// # Errors
    /// When the path cannot be bound, or a running gateway answers there and this one does not take over from it. A
    /// socket that is left over from a dead process is replaced.
    pub(crate) fn bind(io: &Io, path: &Path, taking_over: bool) -> anyhow::Result<Self> {
        if path.exists() {
            let alive = UnixStream::connect(path).is_ok();
            anyhow::ensure!(!alive || taking_over, "{}: another gateway answers there", path.display());
        }
        // Bound at another path and renamed: a client finds the old socket or the new one.
        let temporary = crate::state_file::temporary_path(path);
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary).with_context(|| temporary.display().to_string())?;
        std::fs::rename(&temporary, path).with_context(|| path.display().to_string())?;
        listener.set_nonblocking(true)?;
        io.poller.add(&listener, Token::Admin.pack(), Interest::READ)?;
        Ok(Self {
            listener,
            path: path.to_owned(),
            connections: slab::Slab::new(),
            calls: VecDeque::new(),
            handed_over: false,
        })
    }

    /// Accepts one connection.
    pub(crate) fn accept(&mut self, io: &mut Io) {
        let generation = io.generation();
        let Ok((stream, _)) = self.listener.accept() else { return };
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let entry = self.connections.vacant_entry();
        let token = Token::AdminConnection(entry.key(), generation).pack();
        if io.poller.add(&stream, token, Interest::READ).is_ok() {
            entry.insert(AdminConnection {
                stream,
                generation,
                input: Vec::new(),
                takeover_id: Value::Null,
                takes_over: false,
            });
        }
    }

    /// Reads the calls of a connection; those that are valid wait in `calls`.
    pub(crate) fn handle_readiness(&mut self, slot: usize, generation: u32) {
        let known = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(connection) = known else { return };
        let mut bytes = [0; READ_BYTES];
        match connection.stream.read(&mut bytes) {
            Ok(count) if count > 0 && connection.input.len() + count <= MAX_LINE_BYTES => {
                connection.input.extend_from_slice(&bytes[..count]);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return self.handle_disconnect(slot),
        }
        while let Some(line) = self.take_line(slot) {
            match serde_json::from_slice::<Value>(&line) {
                Ok(call) => self.handle_call(slot, &call),
                Err(error) => {
                    self.write(slot, &error_reply(&Value::Null, ErrorCode::ParseError, &error.to_string()));
                }
            }
        }
    }

    fn take_line(&mut self, slot: usize) -> Option<Vec<u8>> {
        let connection = self.connections.get_mut(slot)?;
        let end = connection.input.iter().position(|byte| *byte == b'\n')?;
        Some(connection.input.drain(..=end).collect())
    }

    fn handle_call(&mut self, slot: usize, call: &Value) {
        let id = call["id"].clone();
        let request = match protocol::parse(call) {
            Ok(request) => request,
            Err(error) => return self.write(slot, &error_reply(&id, error.code(), &error.to_string())),
        };
        if request == AdminRequest::TakeOver
            && let Some(connection) = self.connections.get_mut(slot)
        {
            connection.takeover_id = id.clone();
            connection.takes_over = true;
        }
        if request == AdminRequest::TakeoverReady {
            self.handed_over = true;
        }
        self.calls.push_back(AdminCall { slot, id, request });
    }

    fn handle_disconnect(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else { return };
        if connection.takes_over {
            let request = AdminRequest::TakeoverFailed;
            self.calls.push_back(AdminCall { slot, id: Value::Null, request });
        }
    }

    /// Closes the connection of a process that did not become ready.
    pub(crate) fn disconnect(&mut self, peer: u64) {
        drop(self.connections.try_remove(peer as usize));
    }

    fn write(&mut self, slot: usize, reply: &Value) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let line = encode_line(reply);
        // A terminal reads at once; a client that does not is waited for only briefly.
        let _ = connection.stream.set_nonblocking(false);
        let _ = connection.stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let written = connection.stream.write_all(&line);
        let _ = connection.stream.set_nonblocking(true);
        if written.is_err() {
            self.handle_disconnect(slot);
        }
    }

    /// Replies to a call.
    pub(crate) fn reply(&mut self, slot: usize, id: &Value, value: Value) {
        self.write(slot, &result_reply(id, value));
    }

    /// Replies that the parameters of a call name nothing that exists.
    pub(crate) fn reply_invalid_params(&mut self, slot: usize, id: &Value, message: &str) {
        self.write(slot, &error_reply(id, ErrorCode::InvalidParams, message));
    }

    /// The waiter of a call for a reload; `None` where its connection is closed.
    pub(crate) fn reload_waiter(&self, slot: usize, id: Value, dry_run: bool) -> Option<ReloadWaiter> {
        let generation = self.connections.get(slot)?.generation;
        Some(ReloadWaiter { slot, generation, id, dry_run })
    }

    /// Replies to a call for a reload, if its connection is still open.
    pub(crate) fn reply_reload(&mut self, reload: &ReloadReply) {
        let ReloadWaiter { slot, generation, id, .. } = &reload.waiter;
        if self.connections.get(*slot).is_none_or(|c| c.generation != *generation) {
            return;
        }
        let reply = match &reload.outcome {
            Ok(change) => result_reply(id, json!({"refused": change.refused, "changes": change.lines})),
            Err(message) => error_reply(id, ErrorCode::Refused, message),
        };
        self.write(*slot, &reply);
    }

    /// Replies to a takeover call that its process may not take over, and why.
    pub(crate) fn refuse_takeover(&mut self, peer: u64, message: &str) {
        let slot = peer as usize;
        let Some(connection) = self.connections.get_mut(slot) else { return };
        connection.takes_over = false;
        let reply = error_reply(&connection.takeover_id, ErrorCode::Refused, message);
        self.write(slot, &reply);
    }

    /// Passes the listening sockets (SCM_RIGHTS) with the reply to a takeover call.
    pub(crate) fn pass_listeners(&mut self, peer: u64, listeners: &[&TcpListener]) {
        let slot = peer as usize;
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let line = encode_line(&result_reply(&connection.takeover_id, json!({"listeners": listeners.len()})));
        let descriptors: Vec<_> = listeners.iter().map(|listener| listener.as_fd()).collect();
        let mut space =
            [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_LISTENERS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let fits = ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
        let data = [IoSlice::new(&line)];
        let sent = rustix::net::sendmsg(&connection.stream, &data, &mut ancillary, SendFlags::empty());
        if !fits || !sent.is_ok_and(|count| count == line.len()) {
            self.handle_disconnect(slot);
        }
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        if !self.handed_over {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn encode_line(reply: &Value) -> Vec<u8> {
    let mut line = reply.to_string().into_bytes();
    line.push(b'\n');
    line
}
