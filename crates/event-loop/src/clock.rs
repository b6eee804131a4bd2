//! The clock of a process: wall time at its start plus monotonic time since. Gateways thus agree on quota windows, and
//! setting the wall clock does not change the time of a running process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock in ms since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_at_start_ms: f64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(SystemTime::now(), Instant::now())
    }
}

impl Clock {
    /// A clock that showed `wall` at `start`; the wall clock is not read again.
    #[must_use]
    pub fn new(wall: SystemTime, start: Instant) -> Self {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall_at_start_ms: wall.as_secs_f64() * 1000.0, start }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The time at an instant; an instant before the start gives the time of the start.
    #[must_use]
    pub fn at(&self, instant: Instant) -> f64 {
        self.wall_at_start_ms + instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The time left until `time`: 0 if it has passed, one hour at most.
    #[must_use]
    pub fn until(&self, time: f64) -> Duration {
        Duration::from_secs_f64(((time - self.now()) / 1000.0).clamp(0.0, 3600.0))
    }
}

/// Milliseconds since the machine booted (CLOCK_BOOTTIME), including time in suspend: for deadlines that must also
/// expire while the machine is suspended.
#[must_use]
pub fn boot_time_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

#[cfg(test)]
mod tests;
