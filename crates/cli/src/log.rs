//! The log on standard error: JSON lines, or text on a terminal.
//!
//! A gateway serves on whatever becomes of its log: a line that cannot be written, or would have to wait for the reader
//! of a pipe, is dropped and counted, and the count is logged with the next line that can be written.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, IsTerminal, Write};
use std::panic::PanicHookInfo;
use std::sync::{Mutex, PoisonError};
use tracing_subscriber::EnvFilter;

/// A pipe that is ready for writing takes this many bytes without waiting (pipe(7), `PIPE_BUF`).
const PIPE_WRITE_BYTES: usize = 4096;

/// Sets up the log for the whole process. A panic is logged before the process ends, with its place in the source.
pub(crate) fn init(filter: EnvFilter) {
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(|| LogWriter);
    if io::stderr().is_terminal() {
        log.init();
    } else {
        log.json().flatten_event(true).init();
        std::panic::set_hook(Box::new(log_panic));
    }
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let message = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("panic");
    tracing::error!(error = message, place, "panic");
}

/// The lines that could not be written since the last one that could.
struct Losses {
    dropped_lines: u64,
    /// Whether a part of the last line was written.
    is_line_cut: bool,
}

static LOSSES: Mutex<Losses> = Mutex::new(Losses { dropped_lines: 0, is_line_cut: false });

/// Writes log lines to standard error. Each call of `write` is one line and succeeds.
struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut losses = LOSSES.lock().unwrap_or_else(PoisonError::into_inner);
        losses.write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Losses {
    fn write_line(&mut self, line: &[u8]) {
        if self.is_line_cut && write_without_waiting(b"\n") == 1 {
            self.is_line_cut = false;
        }
        if self.dropped_lines > 0 && !self.is_line_cut {
            self.report();
        }
        let written = if self.is_line_cut { 0 } else { write_without_waiting(line) };
        self.is_line_cut |= written > 0 && written < line.len();
        self.dropped_lines += u64::from(written < line.len());
    }

    /// Logs how many lines were dropped.
    fn report(&mut self) {
        let lines = self.dropped_lines;
        let report = format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lines}}}\n");
        let written = write_without_waiting(report.as_bytes());
        self.is_line_cut = written > 0 && written < report.len();
        if written == report.len() {
            self.dropped_lines = 0;
        }
    }
}

/// Writes as much as standard error takes at once; returns how many bytes that was.
fn write_without_waiting(bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() && may_write() {
        let end = bytes.len().min(written + PIPE_WRITE_BYTES);
        match rustix::io::write(io::stderr(), &bytes[written..end]) {
            Ok(count @ 1..) => written += count,
            Err(rustix::io::Errno::INTR) => {}
            Ok(0) | Err(_) => break,
        }
    }
    written
}

/// Whether a write to standard error does not wait; true where the system cannot tell.
fn may_write() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut descriptors, Some(&no_wait)) {
        Ok(0) => false,
        Ok(_) => descriptors[0].revents().intersects(PollFlags::OUT),
        Err(_) => true,
    }
}
