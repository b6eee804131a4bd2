//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! A request passes three gates: its customer's quota (`Customer`, a lease cache on a shared window count),
//! its customer's open cap, and a backend with room (`Backend`). What cannot pass yet waits a share of its
//! aim.

use crate::check::check;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Quotas ----
/// Windows last this many times burst over rate: longer ones tell a newly come gateway less of what is left,
/// shorter ones end more blocks unspent.
const WINDOW_SPAN: f64 = 1.0;
/// A block holds the demand of this share of burst over rate: long enough to save calls, short enough to
/// move.
const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the customer's gateways ...
const NEAR_SHARE: f64 = 0.5;
/// ... or an even part of all that is left above this share of the burst: while there is plenty, blocks are
/// large.
const PLENTY_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
const RENEW_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of burst over rate.
const DEMAND_SHARE: f64 = 0.5;
/// A block unused for this share of burst over rate goes back to the count, so that others can use it.
const IDLE_SHARE: f64 = 0.15;
/// What is owed to the count or back from it is told without a block once it is this share of the burst.
const OWED_SHARE: f64 = 0.15;
/// A plan without a rate is remembered as if its quota turned over in this many ms.
const RATELESS_TURN: Millis = 1000.0;
/// A request waits for its block at most this share of its aim.
const BLOCK_WAIT: f64 = 0.12;
/// Under a ceiling a gateway that knows nothing of a customer starts with this share of its burst (the
/// ceiling arithmetic is at `Customer::start_of`).
const CEILING_START: f64 = 0.5;
/// The counter counts as silent when it has answered nothing for this many time-outs: one call may just be
/// late.
const SILENT_AFTER: f64 = 3.0;
/// After a silent call the counter is left alone for as many time-outs as it was silent, up to this many.
const QUIET_MOST: f64 = 16.0;
/// The most counter calls out at once from one gateway, so that a crowded counter is not crowded further.
const CALLS_MOST: f64 = 12.0;
/// An answer lets this many more out again after a silent call has halved them.
const CALLS_GROW: f64 = 0.1;
/// A customer idle for this many turns has a full store again: forgetting it loses nothing ...
const IDLE_TURNS: f64 = 2.0;
/// ... and for this many once there are too many: guards the memory against scans.
const CROWDED_TURNS: f64 = 0.25;
const CUSTOMERS_MOST: usize = 20_000;

// ---- Requests ----
/// A request is held (for a block, for its open cap, for a backend with room) at most this share of its aim.
const HOLD_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's patience ends.
const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
const REPEAT_MOST: u32 = 2;
/// A safe attempt is called off after this share of its aim if its backend has answered nothing since ...
const TRY_SHARE: f64 = 0.5;
/// ... but not before this many times the usual latency: work may just take long.
const TRY_LATENCIES: f64 = 4.0;

// ---- Backends ----
/// Weight of the newest latency in a backend's smoothed slowness.
const SLOW_WEIGHT: f64 = 0.1;
/// Weight of the newest latency in the usual latency of its class.
const USUAL_WEIGHT: f64 = 0.02;
/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
const ROOM_FIRST: f64 = 3.5;
/// The share of the aim within which answers should come; the rest is for the way, for holding and for bad
/// luck.
const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
const ROOM_STEP: f64 = 0.12;
/// The least and the most room at one backend for one gateway; below 1 the sum over all backends still binds.
const ROOM_LEAST: f64 = 0.2;
const ROOM_MOST: f64 = 64.0;
/// Failures in a row, with no answer between, that eject a backend.
const EJECT_AFTER: u32 = 2;
/// An ejected backend is tried again after this share of the cold time for each failure in a row ...
const EJECT_FIRST: f64 = 0.02;
/// ... up to this share.
const EJECT_MOST: f64 = 0.3;
/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
const ZONE_BIAS: f64 = 5.0;
/// A cold backend gets this multiple of its present share of what a warm one gets. Warm backends are not sent
/// more than they can do, so all gateways together send a cold one less than the multiple that fells it.
const COLD_MULTIPLE: f64 = 0.8;
/// Time between housekeeping rounds, in ms: short beside any aim.
const SWEEP: Millis = 25.0;

const SWEEP_TOKEN: u64 = 1;

fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// A number from 0 to 1 made of another.
fn unit(x: u64) -> f64 {
    (mix(x) >> 11) as f64 / (1u64 << 53) as f64
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[derive(Default)]
struct Backend {
    zone: Name,
    cell: u64,
    ready: bool,
    started: Option<Millis>,
    out: u32,
    /// How many this gateway keeps out here at most.
    room: f64,
    /// Latency over the usual latency of its class, smoothed.
    slow: f64,
    /// When it last answered, or was first sent something after being idle.
    heard: Millis,
    failures: u32,
    eject_until: Millis,
    /// Sends that a cold backend may still be given.
    cold_tokens: f64,
}

impl Backend {
    fn new(entry: &BackendEntry, out: u32, settings: &Settings) -> Self {
        Self {
            zone: entry.zone.clone(),
            cell: entry.cell,
            ready: entry.state == BackendState::Ready,
            started: entry.started,
            out,
            room: ROOM_FIRST / f64::from(settings.gateways),
            slow: 1.0,
            ..Self::default()
        }
    }

    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    fn note_latency(&mut self, late: bool) {
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).clamp(ROOM_LEAST, ROOM_MOST);
        }
    }

    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    fn warmth(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = ((now - started) / settings.cold_time.max(1.0)).clamp(0.0, 1.0);
        settings.cold_share + (1.0 - settings.cold_share) * age
    }

    /// Passive ejection: guards against dead and stalled backends, which show in outcomes long before the
    /// list. One that comes back is tried with one request at a time until it answers.
    fn ejected(&self, now: Millis) -> bool {
        now < self.eject_until || self.failures >= EJECT_AFTER && self.out > 0
    }

    /// After one failure nothing is sent for as long again as it took: where calling off stops no work, what
    /// was given up still has to be worked through.
    fn failed(&mut self, now: Millis, latency: Millis, settings: &Settings) -> bool {
        self.failures += 1;
        let longer = settings.cold_time * (EJECT_FIRST * f64::from(self.failures)).min(EJECT_MOST);
        let pause = if self.failures < EJECT_AFTER { latency } else { latency.max(longer) };
        self.eject_until = now + pause;
        self.failures == EJECT_AFTER
    }
}

/// One customer as this gateway knows it.
#[derive(Default)]
struct Customer {
    plan: usize,
    spread: f64,
    /// This gateway's place in the customer's set.
    place: u32,
    salt: u64,
    window: u64,
    /// Units of the block in hand; they end with the window.
    lease: f64,
    /// What this gateway has added to the window's count, less what it gave back.
    added: f64,
    /// The count's last total heard in this window.
    seen: f64,
    /// What the customer's store holds by all totals heard; between them it fills at the rate.
    store: f64,
    store_at: Millis,
    known: bool,
    heard: Millis,
    /// Used but not yet added (settled units, use in silence), or to be given back (negative).
    owed: f64,
    /// The call that is out: its window, block, and what was owed.
    call: Option<(u64, f64, f64)>,
    /// Blocks of calls without an answer: they may have counted.
    lost: f64,
    waiting: VecDeque<RequestId>,
    demand: f64,
    demand_at: Millis,
    /// This gateway's even slice of the store, spent while the counter is silent.
    slice: Option<(f64, Millis)>,
    open: u32,
}

impl Customer {
    /// What an unknown customer's store is taken to hold. Under a ceiling (at least 1.6 times rate and burst
    /// by its plan) only half the burst: a gateway may come back to an emptied count while the others have
    /// just granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    fn start_of(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    /// Burst over rate: the time in which the quota turns over once.
    fn turn(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// The number of the window at a time, and when it began. Edges are staggered by the customer's hash, so
    /// that the customers do not all renew at once.
    fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::turn(plan) * WINDOW_SPAN;
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Fills the store and moves to the present window: blocks end with theirs. What was left of the own
    /// block was never used.
    fn roll(&mut self, now: Millis, plan: &Plan) {
        self.store = (self.store + plan.rate * (now - self.store_at) / 1000.0).min(plan.burst);
        self.store_at = now;
        let (window, _) = self.window_at(now, plan);
        if window != self.window {
            self.store = (self.store + self.lease).min(plan.burst);
            (self.window, self.lease, self.added, self.seen, self.lost) = (window, 0.0, 0.0, 0.0, 0.0);
        }
    }

    /// The smoothed demand of a short while, as far as an even part of what is left allows.
    fn demand_block(&self, plan: &Plan) -> f64 {
        let target = self.demand * Self::turn(plan) * BLOCK_SHARE;
        target.min(self.store * NEAR_SHARE / self.spread).floor()
    }

    /// The block wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// smoothed demand; near the total it falls to what waits.
    fn block(&self, need: f64, plan: &Plan) -> f64 {
        let plenty = (self.store - plan.burst * PLENTY_SHARE) / self.spread;
        let want =
            if self.known { self.demand_block(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// Spends from the even slice: the silence rule. The slice starts from the customer's store as last
    /// known.
    fn spend_slice(&mut self, units: f64, now: Millis, plan: &Plan) -> bool {
        let (held, at) = self.slice.unwrap_or((self.store.max(0.0) / self.spread, now));
        let filled = held + plan.rate * (now - at) / 1000.0 / self.spread;
        let held = filled.min((plan.burst / self.spread).max(units));
        let fits = held >= units;
        self.slice = Some((if fits { held - units } else { held }, now));
        if fits {
            self.owed += units;
            self.store -= units;
        }
        fits
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Block,
    Queue,
    Out,
}

#[derive(Default)]
struct Request {
    customer: Name,
    plan: usize,
    class: usize,
    units: f64,
    arrived: Millis,
    deadline: Millis,
    hold_until: Millis,
    stage: Stage,
    attempts: u32,
    /// Units were taken from the customer's lease for it.
    paid: bool,
    /// When the first attempt that may have run was sent, and where.
    may_have_run: Option<(Millis, Name)>,
    sent_at: Millis,
    last_backend: Option<Name>,
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: u64,
    now: Millis,
    backends: BTreeMap<Name, Backend>,
    customers: BTreeMap<Name, Customer>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    calls: BTreeMap<u64, Name>,
    calls_most: f64,
    silences: u32,
    quiet_until: Millis,
    back_at: Millis,
    counter_heard: Millis,
    told_silent: bool,
    class_latency: Vec<f64>,
    sweeping: bool,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        Ok(Self { settings, random: mix(seed | 1), calls_most: CALLS_MOST, class_latency, ..Self::default() })
    }

    /// Takes one event at a time and appends what the host is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.sweeping {
            self.sweeping = true;
            out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
            if self.settings.list_on_request {
                out.push(Action::WatchBackends);
            }
        }
        match event {
            Event::BackendList(list) => self.on_list(list, true, out),
            Event::BackendChanges(list) => self.on_list(list, false, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::Request(arrival) => self.on_request(arrival, out),
            Event::StreamStarted { id } => {
                self.requests.entry(id).and_modify(|r| r.hold_until = f64::INFINITY);
            }
            Event::AttemptEnded(end) => {
                self.on_backend(&end, out);
                self.on_attempt(end, out);
                self.drain_queue(out);
            }
            Event::ClientLeft { id } => self.forget(id),
            Event::Timer { token: SWEEP_TOKEN } => self.on_sweep(out),
            Event::Timer { token } => self.on_hold_over(token / 2, out),
            Event::Counted { name, outcome, .. } => self.on_counted(name, outcome, out),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    // ---- The list of backends ----

    fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            self.backends.values_mut().for_each(|b| b.ready = false);
        }
        for entry in list {
            match self.backends.get_mut(&entry.name) {
                Some(known) if known.started == entry.started => {
                    known.ready = entry.state == BackendState::Ready
                }
                known => {
                    let out_now = known.map_or(0, |b| b.out);
                    let fresh = Backend::new(&entry, out_now, &self.settings);
                    self.backends.insert(entry.name, fresh);
                }
            }
        }
        self.drain_queue(out);
    }

    // ---- Requests ----

    fn on_request(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Refuse { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.patience);
        let request =
            Request { customer: name.clone(), plan, class, units, arrived, deadline, ..Request::default() };
        self.requests.insert(id, request);
        let customer = self.customers.entry(name.clone()).or_insert_with(|| Customer {
            plan,
            salt: hash(&name),
            store: Customer::start_of(&self.settings.plans[plan]),
            store_at: now,
            demand_at: now,
            ..Customer::default()
        });
        let gateways = self.settings.gateways;
        customer.spread = f64::from(arrival.spread.clamp(1, gateways));
        customer.place = (self.settings.number + gateways - arrival.first % gateways) % gateways;
        let span = Customer::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    fn counter_silent(&self) -> bool {
        let gap = self.now - self.counter_heard;
        !self.settings.counter || self.silences > 1 && gap > self.settings.counter_timeout * SILENT_AFTER
    }

    /// The quota's gate: the block in hand, else the silence rule, else refusal once block and count are
    /// spent. True when the request has to wait for a block.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let (now, silent) = (self.now, self.counter_silent());
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(now, plan);
        let left = customer.store + customer.lease;
        if plan.rate <= 0.0 {
            self.admitted(id, out);
        } else if customer.waiting.is_empty() && customer.lease >= units {
            customer.lease -= units;
            let target = customer.demand_block(plan);
            if !silent && target >= 1.0 && customer.lease < target * RENEW_SHARE {
                self.ask(&name, out);
            }
            self.admitted(id, out);
        } else if silent {
            self.by_slice(id, out);
            if now >= self.quiet_until && self.calls.is_empty() {
                self.ask(&name, out);
            }
        } else if customer.known && left < units {
            let rate = plan.rate;
            self.over_quota(id, units - left, rate, out);
        } else {
            let until = request.arrived + self.settings.classes[request.class].aim * BLOCK_WAIT;
            customer.waiting.push_back(id);
            self.hold(id, Stage::Block, until, out);
            return true;
        }
        false
    }

    fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, out);
    }

    fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(request.deadline - LAST_TICKS * self.settings.tick);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    fn admitted(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.paid = true;
        self.place(id, out);
    }

    /// Sends a request on, or has it wait in line: those worth more first. Refuses early in overload: a line
    /// longer than what is out would not be served in time.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let fresh = request.attempts == 0;
        let worth = |r: &Request| self.settings.classes[r.class].worth;
        let hold = self.settings.classes[request.class].aim * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        let line = self.queue.iter().filter(|q| self.open_allowed(**q)).count();
        if until <= self.now || fresh && line as f64 >= self.room().max(1.0) {
            return self.give_up(id, out);
        }
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queue, until, out);
    }

    fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queue) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    fn on_hold_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.now + 1e-6 < request.hold_until {
            return;
        }
        match request.stage {
            Stage::Queue => self.give_up(id, out),
            Stage::Block => self.by_slice(id, out),
            Stage::Out => self.call_off_if_silent(id, out),
        }
    }

    /// Guards against stalled and dead backends: an attempt is called off when its backend has answered
    /// nothing at all since it was sent. A backend that answers others is only busy, and calling off would
    /// add work.
    fn call_off_if_silent(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let backend = request.last_backend.as_ref().and_then(|name| self.backends.get(name));
        if backend.is_some_and(|b| b.heard <= request.sent_at) && self.may_try_again(id) {
            out.push(Action::CallOff { id, attempt: request.attempts - 1 });
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is true and
    /// allowed.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.longest_advice * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Refuse { id, retry_after: wait.clamp(0.0, self.settings.longest_advice) });
    }

    /// Drops a request; units of one that was never sent go back to its customer's block.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::Block => customer.waiting.retain(|w| *w != id),
            Stage::Out => customer.open = customer.open.saturating_sub(1),
            Stage::Queue => {}
        }
        if request.paid && request.attempts == 0 {
            customer.lease += request.units;
        }
    }

    // ---- Attempts ----

    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        self.send(id, name, out);
        true
    }

    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let cap = self.settings.plans[request.plan].open;
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    /// What this gateway keeps out at all backends together.
    fn room(&self) -> f64 {
        self.backends.values().filter(|b| b.ready).map(|b| b.room).sum()
    }

    /// The backend that should answer first: few requests there, quick answers, not silent for long.
    fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.effect == Effect::Keyed);
        let home = tied.and_then(|(_, home)| self.backends.get(home));
        let usual = self.class_latency[request.class].max(1.0);
        let out: f64 = self.backends.values().map(|b| f64::from(b.out)).sum();
        if out >= self.room().max(1.0) {
            return None;
        }
        let mean_out = out / self.backends.values().filter(|b| b.ready).count().max(1) as f64;
        let peers = f64::from(self.settings.gateways) - 1.0;
        let salt = self.random;
        let mut best: Option<(f64, &Name)> = None;
        for (name, backend) in &self.backends {
            let in_group = home.is_none_or(|home| match class.group {
                Group::All => true,
                Group::Zone => home.zone == backend.zone,
                Group::Cell => home.cell == backend.cell,
            });
            let full = f64::from(backend.out) >= backend.room.ceil();
            let cold = backend.warmth(self.now, &self.settings) < 1.0 && backend.cold_tokens < 1.0;
            if !backend.ready || !in_group || full || cold || backend.ejected(self.now) {
                continue;
            }
            let silence = if backend.out > 0 { (self.now - backend.heard) / usual } else { 0.0 };
            let away = if backend.zone == self.settings.zone { 0.0 } else { self.settings.price_cross_zone };
            let again = if request.last_backend.as_ref() == Some(name) { 4.0 } else { 1.0 };
            let jitter = 1.0 + 0.1 * unit(salt ^ hash(name));
            let load = 1.0 + f64::from(backend.out) + mean_out * peers;
            let score = backend.slow.max(silence) * load * (1.0 + away * ZONE_BIAS) * again * jitter;
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, name));
            }
        }
        let chosen = best.map(|(_, name)| name.clone());
        self.chance();
        chosen
    }

    fn send(&mut self, id: RequestId, name: Name, out: &mut Vec<Action>) {
        let now = self.now;
        self.share_with_cold(&name);
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return };
        if backend.out == 0 {
            backend.heard = now;
        }
        backend.out += 1;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.open += 1;
        }
        let class = &self.settings.classes[request.class];
        (request.stage, request.sent_at, request.hold_until) = (Stage::Out, now, f64::INFINITY);
        request.attempts += 1;
        request.last_backend = Some(name.clone());
        let again = class.effect == Effect::Safe && request.attempts < REPEAT_MOST;
        if again && self.settings.cancel {
            let limit = (class.aim * TRY_SHARE).max(self.class_latency[request.class] * TRY_LATENCIES);
            self.hold(id, Stage::Out, now + limit, out);
        }
        out.push(Action::Send { id, backend: name, timeout: None });
    }

    /// The cold budget: for each send to a warm backend, each cold one earns its share of a warm one's work.
    /// Needs no agreement: every gateway keeps to it on its own, in every window, from the first ms.
    fn share_with_cold(&mut self, name: &Name) {
        let (now, settings) = (self.now, &self.settings);
        let warm_count = self.backends.values().filter(|b| b.ready && b.warmth(now, settings) >= 1.0).count();
        let is_warm = self.backends.get(name).is_some_and(|b| b.warmth(now, settings) >= 1.0);
        for (other, backend) in &mut self.backends {
            let warmth = backend.warmth(now, settings);
            if warmth < 1.0 && is_warm {
                let earned = warmth * COLD_MULTIPLE / warm_count as f64;
                backend.cold_tokens = (backend.cold_tokens + earned).min(2.0);
            } else if other == name {
                backend.cold_tokens -= 1.0;
            }
        }
    }

    /// What an outcome tells of the backend.
    fn on_backend(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        if end.outcome == Outcome::NeverSent {
            return;
        }
        backend.out = backend.out.saturating_sub(1);
        let silent = backend.heard <= now - latency;
        match end.outcome {
            Outcome::Served => {
                if backend.failures >= EJECT_AFTER {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                }
                (backend.failures, backend.heard) = (0, now);
                let Some(class) = self.requests.get(&end.id).map(|r| r.class) else { return };
                let usual = &mut self.class_latency[class];
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                backend.slow += SLOW_WEIGHT * ((latency / usual.max(1.0)).min(10.0) - backend.slow);
                backend.note_latency(latency > self.settings.classes[class].aim * ROOM_SHARE);
            }
            Outcome::Error => backend.heard = now,
            Outcome::Full => backend.note_latency(true),
            Outcome::TimedOut | Outcome::CalledOff if !silent => backend.note_latency(true),
            _ => {
                // It may be dead or only full: room shrinks too, in case it is full.
                backend.note_latency(true);
                if backend.failed(now, latency, &self.settings) {
                    out.push(Action::Log(format!("backend {name} ejected: {EJECT_AFTER} failures in a row")));
                }
            }
        }
    }

    /// What an outcome means for the request: the next attempt, or its one final answer.
    fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == Outcome::Served) {
            customer.owed += true_units - request.units;
            customer.store -= true_units - request.units;
        }
        if end.finished || outcome == Outcome::Served {
            return self.forget(id);
        }
        customer.open = customer.open.saturating_sub(1);
        request.stage = Stage::Queue;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent);
        if !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((request.sent_at, end.backend));
        }
        if self.may_try_again(id) { self.place(id, out) } else { self.give_up(id, out) }
    }

    /// Whether the class allows another attempt, and time and count leave room for it.
    fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        let allowed = match (&request.may_have_run, class.effect) {
            (None, _) => true,
            (_, Effect::Safe) => request.attempts < REPEAT_MOST,
            (Some((sent, _)), Effect::Keyed) => {
                self.now - sent < class.memory - LAST_TICKS * self.settings.tick
            }
            (Some(_), Effect::Unsafe) => false,
        };
        let time = request.deadline - self.now > LAST_TICKS * self.settings.tick;
        allowed && time && request.attempts < self.settings.most_attempts
    }

    // ---- The counter ----

    /// Adds a block to the customer's count: one call out for each name, and a bound on all (housekeeping
    /// asks again for who still waits).
    fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        if customer.call.is_some() || !self.settings.counter || self.calls.len() as f64 >= self.calls_most {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        let need: f64 = customer.waiting.iter().filter_map(|id| self.requests.get(id)).map(|r| r.units).sum();
        let need = need.min(customer.store.max(1.0));
        let block = (customer.block(need, plan) - customer.lease).max(0.0);
        let owed = std::mem::take(&mut customer.owed);
        let count = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, block, owed));
        self.calls.insert(count, name.clone());
        let keep = Customer::turn(plan) * WINDOW_SPAN * 1.5;
        out.push(Action::Count { name: count, amount: block + owed, keep: keep.min(60_000.0) });
    }

    fn on_counted(&mut self, count: u64, outcome: CountOutcome, out: &mut Vec<Action>) {
        let Some(name) = self.calls.remove(&count) else { return };
        match outcome {
            CountOutcome::Total(total) => {
                if std::mem::take(&mut self.told_silent) {
                    self.back_at = self.now;
                    out.push(Action::Log("counter back".into()));
                }
                (self.silences, self.counter_heard) = (0, self.now);
                self.calls_most = (self.calls_most + CALLS_GROW).min(CALLS_MOST);
                self.granted(&name, total, out);
            }
            _ => self.silent(&name, outcome == CountOutcome::Unknown, out),
        }
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    fn granted(&mut self, name: &Name, total: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let Some((window, block, owed)) = customer.call.take() else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(now, plan);
        let slice = customer.slice.take();
        if plan.ceiling_rate > 0.0 && customer.known && customer.heard < self.back_at {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown customer's start) is sure to be left.
            customer.store = customer.store.min(slice.map_or(Customer::start_of(plan), |(held, _)| held));
        }
        customer.heard = now;
        if window == customer.window {
            customer.added += block + owed;
            let (_, began) = customer.window_at(now, plan);
            if !customer.known {
                let since = Customer::start_of(plan) + plan.rate * (now - began) / 1000.0;
                customer.store = since.min(plan.burst) - total;
                customer.known = true;
            } else if total + 1e-6 < customer.added {
                // Guards against an emptied count: what this gateway holds is told again, so that new blocks
                // do not stack on those still held.
                customer.owed += customer.added - total;
                customer.store -= block;
            } else {
                customer.store = (customer.store - (total - customer.seen - owed)).min(plan.burst);
            }
            // A late add counted if the total has risen by as much: its block is ours then. Not under a
            // ceiling, where the rise may be others' use and a block granted twice would count against the
            // ceiling.
            let lost = std::mem::take(&mut customer.lost);
            let rise = total - customer.seen - block - owed;
            if lost > 0.0 && rise + 1e-6 >= lost && plan.ceiling_rate <= 0.0 {
                customer.lease += lost;
                customer.added += lost;
            }
            customer.seen = total;
            customer.lease += block;
            if customer.store < 0.0 {
                let back = customer.lease.min((-customer.store).ceil()).min(block);
                customer.lease -= back;
                customer.owed -= back;
                customer.store += back;
            }
        }
        let waiting = std::mem::take(&mut customer.waiting);
        let give_back = customer.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.ask(name, out);
        }
    }

    /// No answer: back off, and let the silence rule decide for who waits. A block that may have counted is
    /// set aside until the next total tells.
    fn silent(&mut self, name: &Name, may_have_counted: bool, out: &mut Vec<Action>) {
        self.silences += 1;
        if self.counter_silent() && !std::mem::replace(&mut self.told_silent, true) {
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        self.calls_most = (self.calls_most / 2.0).max(1.0);
        self.quiet_until =
            self.now + self.settings.counter_timeout * f64::from(self.silences).min(QUIET_MOST);
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (_, block, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_counted { owed.max(0.0) } else { owed };
        customer.lost += if may_have_counted { block } else { 0.0 };
        for id in std::mem::take(&mut customer.waiting) {
            self.by_slice(id, out);
        }
    }

    /// The silence rule for one request: the even slice or refusal.
    fn by_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan];
        customer.waiting.retain(|w| *w != id);
        customer.roll(self.now, plan);
        if customer.spend_slice(request.units, self.now, plan) {
            return self.admitted(id, out);
        }
        let short = request.units - customer.slice.map_or(0.0, |s| s.0);
        let rate = plan.rate / customer.spread;
        self.over_quota(id, short, rate, out);
    }

    // ---- Housekeeping ----

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
        let now = self.now;
        let mut asking = Vec::new();
        let plans = &self.settings.plans;
        let crowded = self.customers.len() > CUSTOMERS_MOST;
        self.customers.retain(|name, customer| {
            let plan = &plans[customer.plan];
            let (idle, turn) = (now - customer.demand_at, Customer::turn(plan));
            customer.roll(now, plan);
            if idle > turn * IDLE_SHARE && customer.lease >= 1.0 && customer.store < plan.burst * PLENTY_SHARE
            {
                let lease = std::mem::take(&mut customer.lease);
                (customer.owed, customer.store) = (customer.owed - lease, customer.store + lease);
            }
            let owes = customer.owed.abs() >= (plan.burst * OWED_SHARE).max(1.0);
            if customer.call.is_none() && (owes || !customer.waiting.is_empty()) {
                asking.push(name.clone());
            }
            let busy = customer.call.is_some() || customer.open > 0 || !customer.waiting.is_empty();
            busy || idle < turn * if crowded { CROWDED_TURNS } else { IDLE_TURNS }
        });
        if !self.counter_silent() {
            for name in asking {
                self.ask(&name, out);
            }
        }
        self.drain_queue(out);
    }
}
