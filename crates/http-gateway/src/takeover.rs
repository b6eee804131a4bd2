//! The new process's side of a takeover: it receives the listening sockets of the old process over the admin socket
//! (SCM_RIGHTS), and confirms once it serves. The old process's side is in [`crate::admin`].

use crate::admin::MAX_PASSED_LISTENERS;
use anyhow::Context;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde_json::Value;
use std::io::{BufRead, BufReader, IoSliceMut, Write};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long the old process may take to pass its sockets.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest reply that is read.
const MAX_REPLY_BYTES: usize = 4096;

/// Requests the listening sockets of the process that serves at the admin socket `path`.
///
/// Returns the sockets with the connection, which stays open for [`confirm`]: if it ends earlier, the old process knows
/// that the takeover has failed.
///
/// # Errors
/// When no process answers, when it refuses, or when it passes no socket.
pub(crate) fn request_listeners(path: &Path) -> anyhow::Result<(Vec<TcpListener>, UnixStream)> {
    let mut stream = UnixStream::connect(path)
        .with_context(|| format!("{}: no running gateway answers there", path.display()))?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"takeover\"}\n")?;
    let (reply, passed) = receive_reply(&stream)?;
    if let Some(message) = reply["error"]["message"].as_str() {
        anyhow::bail!("takeover refused: {message}");
    }
    anyhow::ensure!(!passed.is_empty(), "takeover: the old process passed no listening sockets");
    Ok((passed.into_iter().map(TcpListener::from).collect(), stream))
}

/// Receives a reply and the descriptors that come with it.
fn receive_reply(stream: &UnixStream) -> anyhow::Result<(Value, Vec<OwnedFd>)> {
    let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_LISTENERS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; MAX_REPLY_BYTES];
    let received = rustix::net::recvmsg(
        stream,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let reply = serde_json::from_slice(&bytes[..received.bytes]).unwrap_or_default();
    let mut descriptors = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            descriptors.extend(passed);
        }
    }
    Ok((reply, descriptors))
}

/// Notifies the old process that this one is ready, and waits for its reply.
///
/// # Errors
/// When the old process does not confirm.
pub(crate) fn confirm(mut predecessor: UnixStream) -> anyhow::Result<()> {
    predecessor.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"takeover.ready\"}\n")?;
    let mut line = String::new();
    BufReader::new(predecessor).read_line(&mut line)?;
    anyhow::ensure!(line.contains("\"result\""), "takeover: the old process did not confirm: {line}");
    Ok(())
}
