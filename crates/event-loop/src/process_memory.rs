//! The memory of this process, as the kernel accounts for it.

/// Bytes in the unit of `/proc/self/status`, which is written kB and means KiB.
const STATUS_UNIT_BYTES: u64 = 1024;

/// The resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident now (`VmRSS`).
    pub resident: u64,
    /// The most that was resident so far (`VmHWM`).
    pub peak: u64,
}

/// The memory of this process; `None` where the kernel does not tell, or no descriptor is left to read it.
#[must_use]
pub fn process_memory() -> Option<ProcessMemory> {
    parse_status(&std::fs::read_to_string("/proc/self/status").ok()?)
}

/// Reads the text of `/proc/PID/status` (proc_pid_status(5)).
fn parse_status(text: &str) -> Option<ProcessMemory> {
    Some(ProcessMemory { resident: field(text, "VmRSS:")?, peak: field(text, "VmHWM:")? })
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let number = line.split_whitespace().next()?.parse::<u64>().ok()?;
    number.checked_mul(STATUS_UNIT_BYTES)
}

#[cfg(test)]
mod tests;
