//! Non-blocking TCP sockets with buffers on both sides.

use crate::system_calls::count;
use rustix::io::Errno;
use rustix::net::{AddressFamily, RecvFlags, SocketFlags, SocketType, sockopt};
use std::io::{self, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};

/// The state of a stream after a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// The stream is open.
    Open,
    /// The peer has closed its side: the end of the stream.
    Ended,
    /// The connection has failed.
    Broken,
}

/// A connection with its receive buffer (bytes not consumed yet) and its send buffer.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes received and not consumed.
    pub input: Vec<u8>,
    /// The send buffer.
    output: Vec<u8>,
    /// Bytes at the front of the send buffer that the system has accepted already.
    written: usize,
}

/// The most bytes that one read receives.
const READ_BYTES: usize = 16 << 10;
/// A send buffer with a larger capacity is freed once all of it is written: a process may hold a thousand connections
/// that are idle.
const MAX_KEPT_OUTPUT_BYTES: usize = 2 << 10;
/// Bytes at the front of the send buffer that are written are removed once they exceed this size.
const MAX_WRITTEN_BYTES: usize = 4 * READ_BYTES;
/// A receive buffer whose capacity exceeds its content by more than this is shrunk.
const MAX_SPARE_INPUT_BYTES: usize = READ_BYTES;
/// The most established connections that wait to be accepted by a listener.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;

impl Socket {
    /// The most bytes that one [`read`](Self::read) receives.
    pub const MAX_READ_BYTES: usize = READ_BYTES;

    /// Wraps a connected stream.
    ///
    /// # Errors
    /// When the stream cannot be made non-blocking.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Responses are written at once: Nagle's algorithm would only add latency.
        let _ = stream.set_nodelay(true);
        Ok(Self { stream, input: Vec::new(), output: Vec::new(), written: 0 })
    }

    /// Reads once, so that a peer that sends much does not delay the others. Returns the number of bytes received and
    /// the state of the stream.
    pub fn read(&mut self) -> (usize, Flow) {
        let mut chunk = [const { MaybeUninit::<u8>::uninit() }; READ_BYTES];
        count(|c| c.reads += 1);
        match rustix::net::recv(&self.stream, &mut chunk[..], RecvFlags::empty()) {
            Ok((([], _), _)) => (0, Flow::Ended),
            Ok(((received, _), _)) => {
                append_compactly(&mut self.input, received);
                (received.len(), Flow::Open)
            }
            Err(Errno::AGAIN | Errno::INTR) => (0, Flow::Open),
            Err(_) => (0, Flow::Broken),
        }
    }

    /// Consumes bytes from the front of the input.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            // An idle connection keeps no buffer.
            self.input = Vec::new();
        } else if self.input.capacity() - self.input.len() > MAX_SPARE_INPUT_BYTES {
            self.input.shrink_to_fit();
        }
    }

    /// The memory of both buffers, in bytes.
    #[must_use]
    pub fn buffer_capacity(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// The send buffer: append here, then call [`flush`](Self::flush).
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes in the send buffer that are not written yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much of the send buffer as the system accepts.
    pub fn flush(&mut self) -> Flow {
        while self.written < self.output.len() {
            count(|c| c.writes += 1);
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Flow::Broken,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Flow::Broken,
            }
        }
        if self.written == self.output.len() {
            self.written = 0;
            if self.output.capacity() > MAX_KEPT_OUTPUT_BYTES {
                self.output = Vec::new();
            } else {
                self.output.clear();
            }
        } else if self.written > MAX_WRITTEN_BYTES {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Flow::Open
    }

    /// Makes closing the socket reset the connection, so that the peer cannot mistake a truncated response for a
    /// complete one.
    pub fn reset_on_close(&self) {
        let _ = sockopt::set_socket_linger(&self.stream, Some(std::time::Duration::ZERO));
    }

    /// Closes the sending side: the peer reads all written bytes and then the end of the stream.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Completes a connection attempt; to be called once the socket can be written.
    ///
    /// # Errors
    /// When the connection could not be established.
    pub fn finish_connect(&self) -> io::Result<()> {
        match sockopt::socket_error(&self.stream)? {
            Ok(()) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// The local address of the connection.
    ///
    /// # Errors
    /// When the system does not know the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.stream.local_addr()
    }
}

/// Appends bytes to a receive buffer. Its capacity at most doubles, and grows by [`READ_BYTES`] at most beyond what the
/// bytes need: the buffers of many partial messages add up.
fn append_compactly(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let grown = buffer.capacity() + buffer.capacity().min(READ_BYTES);
        buffer.reserve_exact(grown.max(needed) - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

/// Starts a connection attempt; the socket can be written once the connection is established.
///
/// # Errors
/// When the connection attempt cannot be started.
pub fn connect(address: SocketAddr) -> io::Result<Socket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    count(|c| c.connects += 1);
    match rustix::net::connect(&fd, &address) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Socket::new(TcpStream::from(fd)),
        Err(error) => Err(error.into()),
    }
}

/// Whether an error means that the process or the machine has no descriptor left (EMFILE, ENFILE).
#[must_use]
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    let out_of_descriptors = [rustix::io::Errno::MFILE, rustix::io::Errno::NFILE];
    error.raw_os_error().is_some_and(|code| out_of_descriptors.iter().any(|e| e.raw_os_error() == code))
}

/// The number of descriptors that this process may hold (RLIMIT_NOFILE).
#[must_use]
pub fn max_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// A non-blocking listener; for port 0 the system chooses a free port.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    rustix::net::bind(&fd, &address)?;
    rustix::net::listen(&fd, ACCEPT_QUEUE_LENGTH)?;
    Ok(TcpListener::from(fd))
}

#[cfg(test)]
mod tests;
