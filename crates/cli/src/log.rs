//! The log on standard error: JSON lines, or text on a terminal.

use std::io::IsTerminal;
use std::panic::PanicHookInfo;
use tracing_subscriber::EnvFilter;

/// Sets up the log for the whole process. A panic is logged before the process ends, with its place in the source.
pub(crate) fn init(filter: EnvFilter) {
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if std::io::stderr().is_terminal() {
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
