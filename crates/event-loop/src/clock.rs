//! The clock of a host: wall time at the start plus monotonic time since, so that gateways agree on windows and
//! a wall clock that is set back or forth under a running process moves nothing.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock in ms since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: f64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(SystemTime::now(), Instant::now())
    }
}

impl Clock {
    /// A clock that showed `wall` at `start`; the wall is read at no other time.
    #[must_use]
    pub fn new(wall: SystemTime, start: Instant) -> Self {
        let wall = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall: wall.as_secs_f64() * 1000.0, start }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The time at an instant; never before the start.
    #[must_use]
    pub fn at(&self, instant: Instant) -> f64 {
        self.wall + instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// How long until a time, at least nothing.
    #[must_use]
    pub fn until(&self, time: f64) -> Duration {
        Duration::from_secs_f64(((time - self.now()) / 1000.0).clamp(0.0, 3600.0))
    }
}

/// Ms since the machine was started, sleep included: for what must run out also while a machine sleeps.
#[must_use]
pub fn awake_or_not() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

#[cfg(test)]
mod tests;
