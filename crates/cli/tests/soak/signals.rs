//! The signals of a run: kills in series as in the incident, graceful shutdowns with the earliest kill, reloads in quick
//! succession.

use crate::{GATEWAYS, MAX_TIMEOUT_MS, World};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// How long the fleet runs between two series of signals.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// The earliest SIGKILL after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(MAX_TIMEOUT_MS + 700);
const SERIES: usize = 5;

/// Lets time pass, and examines all processes meanwhile.
fn wait(world: &World, time: Duration, may_exit: Option<usize>) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for (index, process) in world.processes.iter().enumerate() {
            process.examine(may_exit == Some(index));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Kills a process two or three times, each time soon after it has started again.
fn kill_in_series(random: &mut ChaCha8Rng, world: &World, gateway: usize) {
    for _ in 0..random.random_range(2..=3) {
        world.processes[gateway].kill();
        wait(world, Duration::from_millis(random.random_range(100..600)), Some(gateway));
        world.processes[gateway].restart();
        wait(world, Duration::from_millis(random.random_range(50..450)), None);
    }
}

/// Shuts a process down and kills it at the earliest time that the platform allows, if it still runs.
fn shut_down(random: &mut ChaCha8Rng, world: &World, gateway: usize) {
    world.processes[gateway].signal(Signal::TERM);
    if random.random_range(0..2) == 0 {
        world.processes[gateway].signal(Signal::HUP);
    }
    let signalled_at = Instant::now();
    while signalled_at.elapsed() < KILL_AFTER && world.processes[gateway].examine(true) {
        wait(world, Duration::from_millis(5), Some(gateway));
    }
    // Every request has its response by now: a connection that this kill ends has none open.
    world.processes[gateway].end_after_shutdown();
    world.processes[gateway].restart();
}

fn reload_in_series(random: &mut ChaCha8Rng, world: &World, gateway: usize) {
    for _ in 0..random.random_range(3..8) {
        world.processes[gateway].signal(Signal::HUP);
        wait(world, Duration::from_millis(random.random_range(0..60)), None);
    }
}

/// Plays all series of a run.
pub(crate) fn play(random: &mut ChaCha8Rng, world: &World) {
    wait(world, QUIET_TIME, None);
    for series in 0..SERIES {
        let gateway = random.random_range(0..GATEWAYS);
        match (series + random.random_range(0..3)) % 3 {
            0 => kill_in_series(random, world, gateway),
            1 => shut_down(random, world, gateway),
            _ => reload_in_series(random, world, gateway),
        }
        wait(world, QUIET_TIME, None);
    }
}
