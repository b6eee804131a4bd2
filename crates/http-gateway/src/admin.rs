//! The admin socket: JSON-RPC 2.0 over a Unix socket, one object per line. This module parses calls and writes replies;
//! the event loop executes the calls.

mod protocol;

pub(crate) use protocol::AdminRequest;

use crate::io::{Io, Token};
use anyhow::Context;
use doorcourse_config::SettingsDiff;
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

/// The longest input that is buffered for a connection, in bytes, and so the longest call.
const MAX_LINE_BYTES: usize = 64 << 10;
/// The most bytes that one read receives.
const READ_BYTES: usize = 4096;
/// The most listening sockets that a takeover passes.
pub(crate) const MAX_PASSED_LISTENERS: usize = 32;
/// How long the event loop waits for a client that does not read its reply.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// A call, and the connection and id for its reply.
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
    /// Whether a takeover fails if this connection ends.
    takes_over: bool,
}

/// A call that waits for a reload: its connection and its id.
#[derive(Debug)]
pub(crate) struct ReloadWaiter {
    slot: usize,
    generation: u32,
    id: Value,
    /// Whether the call only requests the differences.
    pub dry_run: bool,
}

/// The reply to a call that waits for a reload.
#[derive(Debug)]
pub(crate) struct ReloadReply {
    pub waiter: ReloadWaiter,
    /// The differences between the settings, or the reason why they are not reloaded.
    pub outcome: Result<SettingsDiff, String>,
}

/// The admin socket and its connections.
#[derive(Debug)]
pub(crate) struct Admin {
    listener: UnixListener,
    path: PathBuf,
    connections: slab::Slab<AdminConnection>,
    /// Calls that are not executed yet, in order.
    pub calls: VecDeque<AdminCall>,
    /// Whether a new process has bound the path: the socket there belongs to it and must not be removed.
    handed_over: bool,
}

impl Admin {
    /// Binds the socket and registers it. A socket that a dead process left behind is replaced.
    ///
    /// # Errors
    /// When the path cannot be bound, or a running gateway answers there and this one does not take over from it.
    pub(crate) fn bind(io: &Io, path: &Path, taking_over: bool) -> anyhow::Result<Self> {
        if path.exists() {
            let alive = UnixStream::connect(path).is_ok();
            anyhow::ensure!(!alive || taking_over, "{}: another gateway answers there", path.display());
        }
        // The socket is bound at another path and renamed, so that a client finds either the old socket or the new one.
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

    /// Reads the calls of a connection and adds the valid ones to `calls`.
    pub(crate) fn handle_readiness(&mut self, slot: usize, generation: u32) {
        let current_connection = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(connection) = current_connection else { return };
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

    /// Closes the connection of a new process that did not become ready in time.
    pub(crate) fn disconnect(&mut self, peer: u64) {
        drop(self.connections.try_remove(peer as usize));
    }

    fn write(&mut self, slot: usize, reply: &Value) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        let line = encode_line(reply);
        // The write blocks for a limited time, because most clients read their reply at once.
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

    /// Replies that the parameters of a call are invalid.
    pub(crate) fn reply_invalid_params(&mut self, slot: usize, id: &Value, message: &str) {
        self.write(slot, &error_reply(id, ErrorCode::InvalidParams, message));
    }

    /// The waiter for a reload call; `None` if its connection is closed.
    pub(crate) fn reload_waiter(&self, slot: usize, id: Value, dry_run: bool) -> Option<ReloadWaiter> {
        let generation = self.connections.get(slot)?.generation;
        Some(ReloadWaiter { slot, generation, id, dry_run })
    }

    /// Replies to a reload call, if its connection is still open.
    pub(crate) fn reply_reload(&mut self, reload: &ReloadReply) {
        let ReloadWaiter { slot, generation, id, .. } = &reload.waiter;
        if self.connections.get(*slot).is_none_or(|c| c.generation != *generation) {
            return;
        }
        let reply = match &reload.outcome {
            Ok(diff) => result_reply(id, json!({"refused": diff.refused, "changes": diff.changes})),
            Err(message) => error_reply(id, ErrorCode::Refused, message),
        };
        self.write(*slot, &reply);
    }

    /// Replies to a takeover call that the takeover is refused, and why.
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
