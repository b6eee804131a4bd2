//! All decisions of a gateway. Its interface is in `settings.rs`, `event.rs`, `action.rs` and `status.rs`.
//!
//! A request passes three gates: its customer's quota (`Customer`, a lease cache on a shared window count),
//! its open cap, and a backend with room (`Backend`). What cannot pass yet waits a share of its aim.

use crate::check::check;
use crate::mix::{hash, mix, unit};
use crate::routes::{Fit, Routes};
use crate::state::{Backend, Customer, Request, Stage, carry_over};
use crate::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Quotas (a turn is burst over rate: the time in which a quota turns over once) ----
/// A block holds the demand of this share of a turn; one unused for as long goes back, so that others can use
/// it, and what is owed is told without a block once it is this share of the burst.
const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the customer's gateways, or an even part of
/// all that is left above this share of the burst: while there is plenty, blocks are large.
const NEAR_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
const RENEW_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of a turn.
const DEMAND_SHARE: f64 = 0.5;
/// A plan without a rate is remembered as if its quota turned over in this many ms.
const RATELESS_TURN: Millis = 1000.0;
/// A request waits for its block at most this share of its aim.
const BLOCK_WAIT: f64 = 0.12;
/// Under a ceiling an unknown customer starts with this share of its burst (see `Customer::start_of`).
const CEILING_START: f64 = 0.5;
/// The counter counts as silent after this many time-outs without an answer: one call may just be late.
const SILENT_AFTER: f64 = 3.0;
/// So many calls given up are remembered, in case their answers come after all.
const LATE_MOST: usize = 256;
/// The most counter calls out at once from one gateway while the counter is at ease.
const CALLS_MOST: f64 = 12.0;
/// Counter calls should be answered within this share of their time-out: slower, and fewer are made.
const EASE_SHARE: f64 = 0.3;
/// By how much an instant answer raises the share of calls made; a late one lowers it by up to twice that.
const EASE_STEP: f64 = 0.2;
/// The least share of calls still made: who never asks never learns that the counter is back.
const EASE_LEAST: f64 = 0.1;
/// All first tries of thin customers are asked about at 1, all repeats of clients at this.
const EASE_MOST: f64 = 2.0;
/// A customer is thin where its burst leaves each of its gateways less than this part of a unit: a block in
/// hand everywhere would be its whole quota many times over.
const THIN: f64 = 0.5;
/// What a thin customer's window grants at once, as a share of the burst; the rest comes with the rate.
const THIN_START: f64 = 0.75;
/// How far a thin customer is beyond its quota is told by what the rate and this share of the burst grant ...
const THIN_ODDS: f64 = 0.25;
/// ... and fades over this many turns.
const THIN_FADE: f64 = 4.0;
/// Gateways that may talk tell of customers of whom less than this share fits, and again when it falls so.
const THIN_NEWS: f64 = 0.7;
/// A customer idle for this many turns has a full store again: it and its count are forgotten, which loses
/// nothing and bounds the memory when many are seen once.
const IDLE_TURNS: f64 = 2.0;
/// No count and no word of a customer is kept for more than this many ms.
const KEEP_MOST: Millis = 60_000.0;

// ---- Requests ----
/// A request is held (for its open cap, for a backend with room) at most this share of its aim.
const HOLD_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's patience ends.
const LAST_TICKS: f64 = 2.0;
/// A safe request that may have run is tried this often at most: what two backends cannot do is costly.
const REPEAT_MOST: u32 = 2;

// ---- Backends ----
/// Weight of the newest first total in a plan's odds.
const NEWEST: f64 = 0.1;
/// Weight of the newest answer in the share of late ones: over few answers, chance alone would shed.
const LATE_WEIGHT: f64 = 0.03;
/// Weight of the newest latency in the usual latency of its class.
const USUAL_WEIGHT: f64 = 0.02;
/// A failure is a late answer if it took this many times the usual latency.
const LATE_LATENCIES: f64 = 4.0;
/// What all gateways together keep out at one backend at first; it then follows the latencies seen.
const ROOM_FIRST: f64 = 3.5;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
const ROOM_SHARE: f64 = 0.6;
/// The share of answers that may come later than that: fewer and room grows, more and it shrinks.
const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
const ROOM_STEP: f64 = 0.12;
/// The least room at one backend for one gateway: the sum over all backends still binds.
const ROOM_LEAST: f64 = 0.2;
/// Late answers beyond `ROOM_LATE` turn away this many times their share of the fresh requests, never all;
/// those let in without a total as if they were worth `BLIND_RANK` times less.
const TAKE_SLOPE: f64 = 2.0;
const TAKE_LEAST: f64 = 0.05;
const BLIND_RANK: f64 = 40.0;
/// A backend that failed is tried again after this share of the cold time for each failure in a row ...
const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
const EJECT_TOLD: u32 = 2;
/// A backend in another zone looks this much slower for each point of price: prices are small, so is this.
const ZONE_BIAS: f64 = 5.0;
/// Among many gateways, backends that are not of this one's own (`Routes::own`) look this much further.
const STRANGE: f64 = 100.0;
/// A cold backend gets this part of its capacity's share of an even part of all sends. Warm ones are not sent
/// more than they can do, so all gateways together stay under the multiple that fells it.
const COLD_MULTIPLE: f64 = 0.8;
/// Time between housekeeping rounds, in ms: short beside any aim.
const SWEEP: Millis = 25.0;
const SWEEP_TOKEN: u64 = 1;

impl Backend {
    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the backend's size.
    fn note_latency(&mut self, late: bool) {
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).max(ROOM_LEAST);
        }
    }

    /// The share of its capacity that a backend surely has by now: it rises at least evenly.
    fn warmth(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(started) = self.started.or(self.refused) else { return 1.0 };
        let age = ((now - started) / settings.slow_start_duration.max(1.0)).clamp(0.0, 1.0);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age
    }

    /// Guards against dead and stalled backends, which show in outcomes long before the list does: nothing
    /// is sent for as long again as the failure took, where calling off stops no work what was given
    /// up still has to be worked through, and longer with each failure in a row. A connection that breaks
    /// alone says little of its backend: one that died breaks or refuses the next as well.
    fn failed(&mut self, now: Millis, latency: Millis, broke: bool, settings: &Settings) -> bool {
        self.failures += 1;
        let share = EJECT_SHARE * f64::from(self.failures);
        if !broke || self.failures >= EJECT_TOLD {
            self.eject_until = now + latency.max(settings.slow_start_duration * share);
        }
        self.failures == EJECT_TOLD
    }
}

impl Customer {
    /// What an unknown customer's store is taken to hold. Under a ceiling (at least 1.6 times rate and burst
    /// by its plan) only half the burst: a gateway may come back to an emptied count while the others have
    /// just granted a full burst, and burst + half a burst + rate x time stays within the ceiling.
    fn start_of(plan: &Plan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    fn turn(plan: &Plan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// Whether the quota is too small for blocks at each gateway; chance decides then, but under no ceiling.
    fn thin(&self, plan: &Plan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < THIN * self.spread
    }

    /// The number of a window and when it began, staggered by hash: customers do not all renew at once.
    fn window_at(&self, now: Millis, plan: &Plan) -> (u64, Millis) {
        let length = Self::turn(plan);
        let shift = (self.salt % 1024) as f64 / 1024.0 * length;
        let number = ((now + shift) / length).floor();
        (number as u64, number * length - shift)
    }

    /// Fills the store and moves to the present window: blocks end with theirs, unused.
    fn roll(&mut self, now: Millis, plan: &Plan) {
        let filled = self.store + plan.rate * (now - self.store_at) / 1000.0;
        (self.store, self.store_at) = (filled.min(plan.burst), now);
        self.spilt += (filled - plan.burst).max(0.0);
        let (window, _) = self.window_at(now, plan);
        if window != self.window {
            self.store = (self.store + self.lease).min(plan.burst);
            (self.window, self.lease, self.added, self.seen) = (window, 0.0, 0.0, 0.0);
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
        let plenty = (self.store - plan.burst * NEAR_SHARE) / self.spread;
        let want =
            if self.known { self.demand_block(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// Moves to a plan of other figures: the block goes back, and the store keeps what was used. A window
    /// of another length has another count: what this gateway used is told it again, and the customer starts
    /// as an unknown one. Guards against a quota granted anew by each change.
    fn replan(&mut self, now: Millis, was: &Plan, is: &Plan) {
        let figures = |p: &Plan| (p.rate, p.burst, p.ceiling_rate, p.ceiling_burst);
        if figures(was) == figures(is) {
            return;
        }
        self.roll(now, was);
        let lease = std::mem::take(&mut self.lease);
        let used = (self.added - lease).min(was.burst - self.store - lease).max(0.0);
        self.store = (self.store + lease + is.burst - was.burst).min(is.burst);
        let (window, _) = self.window_at(now, is);
        if window == self.window && Self::turn(was) == Self::turn(is) {
            self.owed -= lease;
        } else {
            (self.owed, self.added, self.seen, self.known) = (self.owed.max(0.0) + used, 0.0, 0.0, false);
            self.window = window;
        }
        if was.rate <= 0.0 {
            (self.store, self.owed) = (Self::start_of(is), 0.0);
        }
        self.slice = self.slice.map(|(held, at)| (held.min(is.burst / self.spread.max(1.0)), at));
    }

    /// Spends from the even slice, which starts from the store as last known: the silence rule.
    fn spend_slice(&mut self, units: f64, now: Millis, plan: &Plan) -> bool {
        let (held, at) = self.slice.unwrap_or((self.store.max(0.0) / self.spread, now));
        let filled = held + plan.rate * (now - at) / 1000.0 / self.spread;
        let held = filled.min((plan.burst / self.spread).max(units));
        let fits = held >= units;
        let used = if fits { units } else { 0.0 };
        self.slice = Some((held - used, now));
        (self.owed, self.store) = (self.owed + used, self.store - used);
        fits
    }
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: u64,
    now: Millis,
    backends: BTreeMap<Name, Backend>,
    routes: Routes,
    customers: BTreeMap<Name, Customer>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    calls: BTreeMap<u64, Name>,
    /// Calls without an answer in time, oldest first: count, customer, window, block, what was owed.
    given_up: VecDeque<(u64, Name, u64, f64, f64)>,
    /// The share of the calls wanted that the counter can bear, by how fast it answers.
    ease: f64,
    /// The share of first totals with room left, for each plan: of first tries, and of clients' repeats.
    plan_odds: Vec<[f64; 2]>,
    /// Of thin customers: the share of tries that fits and when that was heard, here or by another gateway.
    told: BTreeMap<u64, (f64, Millis)>,
    silences: u32,
    /// The last silence: since when, and until when.
    silence: (Millis, Millis),
    counter_heard: Millis,
    told_silent: bool,
    class_latency: Vec<f64>,
    late: f64,
    sweeping: bool,
    leaving: bool,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let class_latency = vec![0.0; settings.classes.len()];
        let plan_odds = vec![[1.0, 0.0]; settings.plans.len()];
        let random = mix(seed | 1);
        let mut new = Self { settings, random, ease: 1.0, plan_odds, class_latency, ..Self::default() };
        new.routes.configure(&new.settings, new.many(), random);
        Ok(new)
    }

    /// Takes one event at a time and appends what the host is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.sweeping, true) {
            out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
            if self.settings.watch_on_request {
                out.push(Action::WatchBackends);
            }
        }
        match event {
            Event::SettingsChanged(settings) => self.on_settings(*settings, out),
            Event::StateRestored(views) => self.on_remembered(views),
            Event::ShutdownStarted => self.on_leaving(out),
            Event::BackendList(list) => self.on_list(list, true, out),
            Event::BackendChanges(list) => self.on_list(list, false, out),
            Event::BackendListFailed => out.push(Action::WatchBackends),
            Event::RequestReceived(arrival) => self.on_request(arrival, out),
            Event::AttemptEnded(end) => {
                self.on_backend(&end, out);
                self.on_attempt(end, out);
                self.drain_queue(out);
            }
            Event::ClientDisconnected { id } => self.forget(id),
            Event::TimerExpired { token: SWEEP_TOKEN } => self.on_sweep(out),
            Event::TimerExpired { token } => self.on_hold_over(token / 2, out),
            Event::CounterCallEnded { counter: name, outcome, latency } => {
                self.on_counted(name, outcome, latency, out)
            }
            Event::GossipReceived { bytes, .. } => self.on_told(&bytes),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Whether each gateway sees too little of a backend: choice goes by chance then, and the fleet's state
    /// shows in all answers together.
    fn many(&self) -> bool {
        ROOM_FIRST < ROOM_LEAST * f64::from(self.settings.gateway_count)
    }

    /// Guards a large fleet against overload of any cause: the more answers are late, the fewer fresh
    /// requests are taken, those worth less first.
    fn take(&self) -> f64 {
        (1.0 - TAKE_SLOPE * (self.late - ROOM_LATE)).clamp(TAKE_LEAST, 1.0)
    }

    fn taken(&mut self, class: usize, blind: bool) -> bool {
        self.late *= 1.0 - LATE_WEIGHT * NEWEST;
        let rank = if blind { BLIND_RANK } else { 1.0 } / self.worth(class);
        let share = self.take().powf(rank);
        !self.many() || self.chance() < share
    }

    /// What a class is worth beside the mean of all.
    fn worth(&self, class: usize) -> f64 {
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.priority_weight).sum::<f64>() / classes.len() as f64;
        classes[class].priority_weight.max(1e-9) / mean.max(1e-9)
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    // ---- The list of backends ----

    fn on_list(&mut self, list: Vec<BackendEntry>, full: bool, out: &mut Vec<Action>) {
        if full {
            let now = self.now;
            self.backends.values_mut().for_each(|b| (b.ready, b.gone) = (false, b.gone.or(Some(now))));
            self.routes.clear_list();
        }
        for entry in list {
            let (ready, known) = (entry.state == BackendState::Ready, self.backends.get_mut(&entry.name));
            let out = known.as_ref().map_or(0, |b| b.out);
            let gone = (entry.state == BackendState::Removed).then_some(self.now);
            let seat = self.routes.seat(known.as_ref().map(|b| b.seat), &entry);
            if let Some(known) = known.filter(|b| b.started == entry.started) {
                (known.ready, known.gone) = (ready, gone);
                continue;
            }
            let room = ROOM_FIRST / f64::from(self.settings.gateway_count);
            let BackendEntry { name, zone, cell, started, .. } = entry;
            let rest = Backend { seat, started, out, room, ..Default::default() };
            self.backends.insert(name, Backend { zone, cell, ready, gone, ..rest });
        }
        self.routes.arrange();
        self.drain_queue(out);
    }

    // ---- Requests ----

    fn on_request(&mut self, arrival: IncomingRequest, out: &mut Vec<Action>) {
        let IncomingRequest { id, customer: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Reject { id, retry_after: 0.0, reason: RejectReason::Overloaded });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.timeout);
        let (customer, repeat, bound) = (name.clone(), arrival.client_retry, arrival.sticky_route);
        let rest = Request { arrived, deadline, bound, ..Request::default() };
        self.requests.insert(id, Request { customer, plan, class, units, repeat, ..rest });
        let customer = self.customers.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Customer::start_of(&self.settings.plans[plan]));
            Customer { plan, salt, store, store_at: now, demand_at: now, ..Customer::default() }
        });
        if customer.plan != plan {
            customer.replan(now, &self.settings.plans[customer.plan], &self.settings.plans[plan]);
            customer.plan = plan;
        }
        let gateways = self.settings.gateway_count;
        let spread = f64::from(arrival.gateway_count.clamp(1, gateways));
        // More gateways share what is left of the slice; fewer let it grow by the rate alone.
        let share = if customer.spread > 0.0 { (customer.spread / spread).min(1.0) } else { 1.0 };
        customer.slice = customer.slice.map(|(held, at)| (held * share, at));
        customer.spread = spread;
        customer.place =
            (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Customer::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        customer.demand = customer.demand * (-(now - customer.demand_at) / span).exp() + units / span;
        customer.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    /// Whether the counter counts as silent.
    pub fn is_counter_silent(&self) -> bool {
        let gap = self.now - self.counter_heard;
        !self.settings.has_counter || self.silences > 1 && gap > self.settings.counter_timeout * SILENT_AFTER
    }

    /// The quota's gate: the block in hand, else the silence rule, else refusal once block and count are
    /// spent. True when the request has to wait.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let (now, silent) = (self.now, self.is_counter_silent());
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.customer.clone(), request.units);
        let Some(customer) = self.customers.get_mut(&name) else { return false };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(now, plan);
        let left = customer.store + customer.lease;
        if plan.rate <= 0.0 {
            self.place(id, out);
        } else if customer.thin(plan) {
            return self.admit_thin(id, out);
        } else if customer.waiting.is_empty() && customer.lease >= units {
            customer.lease -= units;
            let target = customer.demand_block(plan);
            if !silent && target >= 1.0 && customer.lease < target * RENEW_SHARE {
                self.ask(&name, out);
            }
            self.place(id, out);
        } else if silent {
            self.by_slice(id, out);
            if self.calls.is_empty() && self.chance() < self.ease {
                self.ask(&name, out);
            }
        } else if customer.known && left < units {
            self.over_quota(id, units - left, plan.rate, out);
        } else {
            return self.wait_for_total(id, out);
        }
        false
    }

    fn wait_for_total(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        customer.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].latency_objective * BLOCK_WAIT;
        self.hold(id, Stage::Block, until, out);
        true
    }

    /// The gate of a thin customer. Its count sums what is asked: a try is added by chance, as far as the
    /// counter bears, and weighs the more; without an add the odds last heard decide.
    fn admit_thin(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return false };
        let (asked, repeat) = (self.asked(request), f64::from(request.repeat));
        let calls = self.settings.has_counter && chance < asked - repeat;
        let weight = (1.0 - repeat) * request.units / asked.min(1.0);
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        if calls && customer.call.is_none() {
            self.requests.entry(id).and_modify(|r| r.weight = weight);
            return self.wait_for_total(id, out);
        }
        self.by_odds(id, out);
        false
    }

    /// How likely a thin customer's first try is asked about: while calls are scarce, less likely where a
    /// wrong guess costs less.
    fn asked(&self, request: &Request) -> f64 {
        let loss = |p: &Plan| p.priority_factor * (p.over_quota_cost - p.over_quota_value).clamp(0.0, 1.0);
        let plans = &self.settings.plans;
        let mean = plans.iter().map(loss).sum::<f64>() / plans.len() as f64;
        let plan = loss(&plans[request.plan]) / mean.max(1e-9);
        (self.ease * plan * self.worth(request.class)).clamp(EASE_LEAST * EASE_LEAST, EASE_MOST)
    }

    /// Decides for a thin customer's try without a total: by the odds last heard, fading to its plan's. Of
    /// unknown customers all is let in where that gains more than it costs, else nothing.
    fn by_odds(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.chance();
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan];
        let usual = self.plan_odds[customer.plan][usize::from(request.repeat)];
        let pays = usual > (1.0 - usual) * (plan.over_quota_cost - plan.over_quota_value);
        let usual = f64::from(pays);
        let (odds, at) = self.told.get(&customer.salt).copied().unwrap_or_default();
        let age = (self.now - at) / Customer::turn(plan);
        if chance < usual + (-age / THIN_FADE).exp() * (odds - usual) {
            self.requests.entry(id).and_modify(|r| r.blind = true);
            return self.place(id, out);
        }
        self.over_quota(id, request.units, plan.rate, out);
    }

    /// A thin customer's total came: what is asked fits as far as the window has granted by now.
    fn granted_thin(&mut self, name: &Name, mut asked: f64, block: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        let (rate, turn) = (plan.rate, Customer::turn(plan));
        let since = rate * (now - customer.window_at(now, plan).1) / 1000.0;
        // A try that weighs more than itself stands for others by chance: one such is let by.
        let own: f64 = customer.waiting.iter().filter_map(|id| Some(self.requests.get(id)?.units)).sum();
        let luck = (block - own).max(0.0);
        let granted = (plan.burst * THIN_START + since).min(plan.burst) + luck;
        let even = (plan.burst * THIN_ODDS + since + luck) / (asked + block);
        let odds = if asked + block > granted { even.min(1.0) } else { 1.0 };
        let (told, at) = self.told.insert(customer.salt, (odds, now)).unwrap_or((1.0, f64::NEG_INFINITY));
        if self.settings.gossip_allowed && odds < THIN_NEWS && (odds < told * THIN_NEWS || now > at + turn) {
            let mut bytes = customer.salt.to_le_bytes();
            bytes[7] = (odds * 255.0) as u8;
            out.push(Action::Gossip { bytes: bytes.to_vec() });
        }
        let waiting = std::mem::take(&mut customer.waiting);
        if !std::mem::replace(&mut customer.known, true) {
            let repeat = waiting.iter().any(|id| self.requests.get(id).is_some_and(|r| r.repeat));
            let usual = &mut self.plan_odds[customer.plan][usize::from(repeat)];
            *usual += NEWEST * (f64::from(asked < granted * NEAR_SHARE) - *usual);
        }
        for id in waiting {
            asked += self.requests.get(&id).filter(|r| !r.repeat).map_or(0.0, |r| r.units);
            let over = asked - granted;
            if over <= 0.0 { self.place(id, out) } else { self.over_quota(id, over, rate, out) }
        }
    }

    fn on_told(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let odds = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.told.insert(u64::from_le_bytes(bytes), (odds, self.now));
    }

    fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, RejectReason::QuotaExceeded, out);
    }

    fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let Some(last) = self.requests.get(&id).map(|r| self.send_by(r)) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = stage;
        request.hold_until = until.min(last);
        let after = (request.hold_until - self.now).max(0.0);
        out.push(Action::SetTimer { after, token: id * 2 });
    }

    /// Sends a request on, or has it wait in line: those worth more first. Refuses early in overload: a line
    /// longer than what is out would not be served in time.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        let (fresh, class, blind) = (request.attempts == 0, request.class, request.blind);
        if fresh && !self.taken(class, blind) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let hold = self.settings.classes[request.class].latency_objective * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= self.room().max(1.0) {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].priority_weight;
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
        let over = self.now + 1e-6 >= request.hold_until;
        match request.stage {
            Stage::Queue if over => self.give_up(id, out),
            Stage::Block if over => self.by_slice(id, out),
            _ => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, RejectReason::Overloaded, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, why: RejectReason, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Reject {
            id,
            retry_after: wait.clamp(0.0, self.settings.max_retry_after),
            reason: why,
        });
    }

    /// Units of a request that was never sent go back to its customer's block.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        match request.stage {
            Stage::Block => customer.waiting.retain(|w| *w != id),
            Stage::Out => customer.open = customer.open.saturating_sub(1),
            Stage::Queue if request.attempts == 0 => customer.lease += request.units,
            Stage::Queue => {}
        }
    }

    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let left = self.send_by(request) - self.now;
        let in_time = request.attempts == 0 || left > 0.0;
        let chosen = if in_time && self.open_allowed(id) { self.pick(id) } else { None };
        let Some(name) = chosen else { return false };
        let (request, backend) = (self.requests.get_mut(&id), self.backends.get_mut(&name));
        let (Some(request), Some(backend)) = (request, backend) else { return false };
        backend.out += 1;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.open += 1;
        }
        (request.stage, request.sent_at, request.attempts) = (Stage::Out, self.now, request.attempts + 1);
        let keyed = self.settings.classes[request.class].idempotency == Idempotency::WithKey;
        let window = (keyed && request.may_have_run.is_some()).then_some(left);
        out.push(Action::SendAttempt { id, backend: name, timeout: None, must_be_written_within: window });
        true
    }

    /// The open cap, shared evenly: the gateways first in the customer's set take what does not divide.
    fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get(&request.customer) else { return true };
        let cap = self.settings.plans[request.plan].max_in_flight;
        let (spread, place) = (customer.spread as u32, customer.place);
        cap == 0 || customer.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    fn room(&self) -> f64 {
        self.backends.values().filter(|b| b.ready).map(|b| b.room).sum()
    }

    /// The backend that should answer first: the one with the fewest requests of this gateway, near if equal.
    fn pick(&mut self, id: RequestId) -> Option<Name> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        let home = tied.and_then(|(_, home)| self.backends.get(home));
        let out: f64 = self.backends.values().map(|b| f64::from(b.out)).sum();
        if out >= self.room().max(1.0) {
            return None;
        }
        let salt = self.random;
        let far = 1.0 + self.settings.cross_zone_price * ZONE_BIAS;
        let (many, cold_share) = (self.many(), COLD_MULTIPLE * self.take());
        for backend in self.backends.values() {
            let (group, zone, cell, seat) =
                (class.deduplication_scope, &backend.zone, backend.cell, backend.seat);
            let same = |h: &Backend| {
                if group == DeduplicationScope::Zone { h.zone == *zone } else { h.cell == cell }
            };
            let luck = unit(salt ^ self.routes.hash_of(seat));
            let warmth = backend.warmth(self.now, &self.settings);
            // The cold budget: by chance its share of its part of the sends, from the first ms. Guards cold
            // backends with no agreement and no warm backend.
            let cold = warmth < 1.0 && luck * self.routes.parts(seat) >= warmth * cold_share;
            let fit = match () {
                () if !backend.ready || self.now < backend.eject_until => Fit::Down,
                () if group != DeduplicationScope::All && !home.is_none_or(same) => Fit::Barred,
                () if f64::from(backend.out) >= backend.room.ceil() => Fit::Full,
                () if cold => Fit::Cold,
                () => Fit::Free,
            };
            // Among many, a draw by weight: no two gateways follow the same order.
            let draw = if many { -luck.max(1e-12).ln() } else { 1.0 + 0.1 * luck };
            let far = if *zone == self.settings.zone { 1.0 } else { far };
            let far = if self.routes.own(seat) || !many { far } else { far * STRANGE };
            self.routes.offer(seat, fit, warmth >= 1.0, far, draw, (backend.out, backend.room));
        }
        let chosen = self.routes.choose(&request.bound);
        self.chance();
        chosen
    }

    fn on_backend(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.backend, end.latency);
        let Some(backend) = self.backends.get_mut(name) else { return };
        backend.out = backend.out.saturating_sub(1);
        let class = self.requests.get(&end.id).map_or(0, |r| r.class);
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            AttemptOutcome::Served => {
                if backend.failures >= EJECT_TOLD {
                    out.push(Action::Log(format!("backend {name} back: it answers again")));
                }
                (backend.failures, backend.error) = (0, None);
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                latency > self.settings.classes[class].latency_objective * ROOM_SHARE
            }
            AttemptOutcome::NeverSent => return,
            // Guards against one that fails at once and so draws more. One class alone may fail anywhere.
            AttemptOutcome::Error if backend.error.replace(class).is_none_or(|c| c == class) => return,
            AttemptOutcome::Error => false,
            AttemptOutcome::Rejected => true,
            // A client with little time left proves nothing of the fleet.
            _ => latency > *usual * LATE_LATENCIES,
        };
        backend.note_latency(late);
        self.late += LATE_WEIGHT * (f64::from(u8::from(late)) - self.late);
        let (lost, broke) =
            (end.outcome != AttemptOutcome::Served, end.outcome == AttemptOutcome::ConnectionLost);
        if lost && backend.failed(now, latency, broke, &self.settings) {
            out.push(Action::Log(format!("backend {name} ejected: {EJECT_TOLD} failures in a row")));
        }
        if end.outcome == AttemptOutcome::ConnectFailed && self.settings.routing.assume_restart {
            backend.refused = Some(backend.eject_until);
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if let Some(true_units) = end.true_units.filter(|_| outcome == AttemptOutcome::Served) {
            // A ceiling goes by the guess: under one, nothing comes back that could be sent on above it.
            let least =
                if self.settings.plans[request.plan].ceiling_rate > 0.0 { 0.0 } else { f64::NEG_INFINITY };
            let more = (true_units - request.units).max(least);
            // What the store cannot bear comes out of the block in hand, which is counted already: none is
            // spent while the account is below nothing. Guards against prices that are far too low.
            let paid = (more - customer.store.max(0.0)).clamp(0.0, customer.lease.max(0.0));
            let more = more - paid;
            customer.lease -= paid;
            (customer.owed, customer.store) = (customer.owed + more, customer.store - more);
        }
        customer.open = customer.open.saturating_sub(1);
        request.stage = Stage::Queue;
        if end.final_response_sent || outcome == AttemptOutcome::Served {
            // Nothing was written before its client had gone: what no backend heard of is not used.
            request.attempts -= u32::from(outcome == AttemptOutcome::NeverSent);
            return self.forget(id);
        }
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        if !never_ran && request.may_have_run.is_none() {
            request.may_have_run = Some((request.sent_at, end.backend));
        }
        if self.may_try_again(id) { self.place(id, out) } else { self.give_up(id, out) }
    }

    fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let allowed = match (&request.may_have_run, self.settings.classes[request.class].idempotency) {
            (None, _) | (_, Idempotency::WithKey) => true,
            (_, Idempotency::Idempotent) => request.attempts < REPEAT_MOST,
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        allowed && self.now < self.send_by(request) && request.attempts < self.settings.max_attempts
    }

    /// Until when an attempt may begin: while an answer can come, and a keyed repeat while it is dropped as
    /// such. Guards repeats that waited in line past their window.
    fn send_by(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.class];
        let first = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        let dropped = first.map_or(f64::INFINITY, |(sent, _)| sent + class.deduplication_window);
        request.deadline.min(dropped) - LAST_TICKS * self.settings.tick
    }

    // ---- The counter ----

    /// Adds a block to the customer's count: one call out for each name, and a bound on all.
    fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let full = self.calls.len() as f64 >= (CALLS_MOST * self.ease.min(1.0)).max(1.0) && !self.leaving;
        if customer.call.is_some() || !self.settings.has_counter || full {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        let waiting = customer.waiting.iter().filter_map(|id| self.requests.get(id));
        let block = if customer.thin(plan) {
            waiting.map(|r| r.weight).sum()
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            let need = need.min(customer.store.max(1.0));
            let block = if self.leaving { need } else { customer.block(need, plan) };
            (block - customer.lease).max(0.0)
        };
        let owed = std::mem::take(&mut customer.owed);
        let count = mix(customer.salt ^ customer.window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1;
        customer.call = Some((customer.window, block, owed));
        self.calls.insert(count, name.clone());
        let keep = (Customer::turn(plan) * IDLE_TURNS).min(KEEP_MOST);
        out.push(Action::AddToCounter { counter: count, amount: block + owed, time_to_live: keep });
    }

    fn on_counted(&mut self, count: u64, outcome: CounterOutcome, latency: Millis, out: &mut Vec<Action>) {
        if let CounterOutcome::Late { added, total } = outcome {
            return self.on_late(count, added, total, out);
        }
        let Some(name) = self.calls.remove(&count) else { return };
        let quick = self.settings.counter_timeout * EASE_SHARE;
        let slow = if matches!(outcome, CounterOutcome::Total(_)) { latency / quick } else { f64::INFINITY };
        let step = EASE_STEP * (1.0 - slow).max(-2.0);
        self.ease = (self.ease * (1.0 + step)).clamp(EASE_LEAST, EASE_MOST);
        let CounterOutcome::Total(total) = outcome else {
            return self.silent(count, &name, outcome == CounterOutcome::Unknown, out);
        };
        self.counter_speaks(out);
        let call = self.customers.get_mut(&name).and_then(|c| c.call.take());
        self.granted(&name, call.unwrap_or_default(), total, out);
    }

    fn counter_speaks(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.told_silent) {
            self.silence.1 = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.silences, self.counter_heard) = (0, self.now);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    fn granted(&mut self, name: &Name, call: (u64, f64, f64), total: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (plan, (window, block, owed)) = (&self.settings.plans[customer.plan], call);
        if customer.thin(plan) {
            return self.granted_thin(name, total - block - owed, block, out);
        }
        customer.roll(now, plan);
        let slice = customer.slice.take();
        // What others used in a silence is told at its end, all at once: their parts of what came in then
        // paid for it, but under a ceiling, which many gateways would pass together.
        let (from, back) = self.silence;
        let pays = now < back + Customer::turn(plan) && plan.ceiling_rate <= 0.0;
        let part = if pays { 1.0 - 1.0 / customer.spread } else { 0.0 };
        customer.spilt = customer.spilt.min(plan.rate * (back - from) / 1000.0 * part);
        if plan.ceiling_rate > 0.0 && customer.known && customer.heard < back {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown customer's start) is sure to be left.
            customer.store = customer.store.min(slice.map_or(Customer::start_of(plan), |(held, _)| held));
        }
        customer.heard = now;
        if window == customer.window {
            customer.added += block + owed;
            if !customer.known {
                customer.store = Customer::start_of(plan) - total;
                customer.known = true;
            } else if total + 1e-6 < customer.added {
                // Guards against an emptied count: what this gateway holds is told again, so that new blocks
                // do not stack on those still held.
                customer.owed += customer.added - total;
                customer.store -= block;
            } else {
                let used = total - customer.seen - owed;
                let paid = (used - block).clamp(0.0, customer.spilt);
                customer.spilt -= paid;
                customer.store = (customer.store - (used - paid)).min(plan.burst);
            }
            (customer.seen, customer.lease) = (total, customer.lease + block);
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

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go.
    fn silent(&mut self, count: u64, name: &Name, may_have_counted: bool, out: &mut Vec<Action>) {
        self.silences += 1;
        if self.is_counter_silent() && !std::mem::replace(&mut self.told_silent, true) {
            self.silence = (self.now, f64::NEG_INFINITY);
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let Some(customer) = self.customers.get_mut(name) else { return };
        let (window, block, owed) = customer.call.take().unwrap_or_default();
        customer.owed += if may_have_counted { owed.max(0.0) } else { owed };
        if may_have_counted {
            self.given_up.push_back((count, name.clone(), window, block, owed));
            self.given_up.drain(..self.given_up.len().saturating_sub(LATE_MOST));
        }
        for id in std::mem::take(&mut customer.waiting) {
            self.by_slice(id, out);
        }
    }

    /// A call that was given up is heard of after all. In its window the block is granted, else goes back.
    /// Guards against a slow counter that eats up quotas: a block let go stays in the count, held by nobody.
    fn on_late(&mut self, count: u64, added: bool, total: Option<f64>, out: &mut Vec<Action>) {
        let Some(at) = self.given_up.iter().position(|call| call.0 == count) else { return };
        let Some((_, name, window, block, owed)) = self.given_up.remove(at) else { return };
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.roll(self.now, plan);
        if !added {
            customer.owed += owed.min(0.0);
        } else if !customer.thin(plan) {
            customer.owed -= owed.max(0.0);
            let fresh = total.filter(|t| window == customer.window && *t >= customer.seen);
            if let Some(total) = fresh {
                self.counter_speaks(out);
                return self.granted(&name, (window, block, owed), total, out);
            }
            customer.owed -= block;
            if window == customer.window {
                customer.seen += block + owed;
                customer.added += block + owed;
            } else {
                customer.store = (customer.store + block + owed.max(0.0)).min(plan.burst);
            }
        }
    }

    /// The silence rule for one request: the even slice or refusal.
    fn by_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[request.plan];
        customer.waiting.retain(|w| *w != id);
        if customer.thin(plan) {
            return self.by_odds(id, out);
        }
        customer.roll(self.now, plan);
        if customer.spend_slice(request.units, self.now, plan) {
            return self.place(id, out);
        }
        let short = request.units - customer.slice.map_or(0.0, |s| s.0);
        let rate = plan.rate / customer.spread;
        self.over_quota(id, short, rate, out);
    }

    // ---- Housekeeping ----

    /// What is out goes on under the class and plan it came with: those that the new settings lack stay
    /// behind them, without a name to be asked for, as long as something is of them.
    fn on_settings(&mut self, settings: Settings, out: &mut Vec<Action>) {
        if check(&settings).is_err() || settings.gateway_index != self.settings.gateway_index {
            return out.push(Action::Log("changed settings refused: not usable, or another number".into()));
        }
        let old = std::mem::replace(&mut self.settings, settings);
        let (requests, customers) = (&self.requests, &self.customers);
        let used = |at| requests.values().any(|r| r.class == at);
        let classes = carry_over(&old.classes, &mut self.settings.classes, |c| &mut c.name, used);
        let plans = carry_over(
            &old.plans,
            &mut self.settings.plans,
            |p| &mut p.name,
            |at| requests.values().any(|r| r.plan == at) || customers.values().any(|c| c.plan == at),
        );
        let (mut latency, mut odds) = (vec![0.0; self.settings.classes.len()], Vec::new());
        odds.resize(self.settings.plans.len(), [1.0, 0.0]);
        let moved = classes.iter().zip(&self.class_latency).filter_map(|(to, was)| Some(((*to)?, *was)));
        moved.for_each(|(to, was)| latency[to] = was);
        let moved = plans.iter().zip(&self.plan_odds).filter_map(|(to, was)| Some(((*to)?, *was)));
        moved.for_each(|(to, was)| odds[to] = was);
        (self.class_latency, self.plan_odds) = (latency, odds);
        for request in self.requests.values_mut() {
            request.class = classes[request.class].unwrap_or_default();
            request.plan = plans[request.plan].unwrap_or_default();
        }
        self.routes.configure(&self.settings, self.many(), self.random);
        for customer in self.customers.values_mut() {
            let to = plans[customer.plan].unwrap_or_default();
            customer.replan(self.now, &old.plans[customer.plan], &self.settings.plans[to]);
            customer.plan = to;
        }
        out.push(Action::Log("settings changed".into()));
    }

    /// What was learnt of a backend holds while it is the same start of it, and no longer than it could have
    /// been left alone. Guards the first second after a restart against nodes that were known to be dead.
    fn on_remembered(&mut self, views: Vec<BackendStatus>) {
        for view in views {
            let Some(backend) = self.backends.get_mut(&view.name) else { continue };
            if backend.started == view.started && view.concurrency_limit.is_finite() {
                backend.room = view.concurrency_limit.clamp(ROOM_LEAST, ROOM_FIRST.max(backend.room));
                (backend.failures, backend.eject_until) = (view.consecutive_failures, view.ejected_until);
                backend.eject_until = backend.eject_until.min(self.now + self.settings.slow_start_duration);
            }
        }
    }

    /// Blocks in hand go back at once, so that the others can use them; what still comes is paid singly.
    fn on_leaving(&mut self, out: &mut Vec<Action>) {
        self.leaving = true;
        let names: Vec<Name> = self.customers.keys().cloned().collect();
        for name in names {
            let Some(customer) = self.customers.get_mut(&name) else { continue };
            customer.roll(self.now, &self.settings.plans[customer.plan]);
            let lease = std::mem::take(&mut customer.lease);
            (customer.owed, customer.store) = (customer.owed - lease, customer.store + lease);
            if customer.owed.abs() > 1e-6 {
                self.ask(&name, out);
            }
        }
    }

    /// What is held of each customer, for people.
    pub fn customers(&self) -> impl Iterator<Item = CustomerStatus> {
        self.customers.iter().map(|(name, c)| {
            let (name, plan) = (name.clone(), self.settings.plans[c.plan].name.clone());
            let (lease, store, owed, waiting) = (c.lease, c.store, c.owed, c.waiting.len());
            CustomerStatus {
                name,
                plan,
                leased_units: lease,
                available_units: store,
                unreported_units: owed,
                waiting,
                in_flight: c.open,
            }
        })
    }

    /// What is known of each backend, for people and for a file that outlives the process.
    pub fn backends(&self) -> impl Iterator<Item = BackendStatus> {
        self.backends.iter().map(|(name, b)| {
            let (name, ready, out, room, started) = (name.clone(), b.ready, b.out, b.room, b.started);
            BackendStatus {
                name,
                ready,
                in_flight: out,
                concurrency_limit: room,
                started,
                consecutive_failures: b.failures,
                ejected_until: b.eject_until,
            }
        })
    }

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
        let now = self.now;
        let mut asking = Vec::new();
        let plans = &self.settings.plans;
        self.told.retain(|_, (_, at)| now - *at < KEEP_MOST);
        // A backend that is gone still tells the cell of requests that may have run there, while any lives.
        let (routes, left) = (&mut self.routes, |b: &Backend| b.gone.is_some_and(|at| now - at > KEEP_MOST));
        let mut forget = |b: &Backend| b.out == 0 && left(b) && (routes.leave(b.seat), true).1;
        self.backends.retain(|_, backend| !forget(backend));
        self.customers.retain(|name, customer| {
            let plan = &plans[customer.plan];
            let (idle, turn) = (now - customer.demand_at, Customer::turn(plan));
            customer.roll(now, plan);
            let scarce = customer.store < plan.burst * NEAR_SHARE;
            if scarce && idle > turn * BLOCK_SHARE && customer.lease >= 1.0 || self.leaving {
                let lease = std::mem::take(&mut customer.lease);
                (customer.owed, customer.store) = (customer.owed - lease, customer.store + lease);
            }
            let least = if self.leaving { 1e-6 } else { (plan.burst * BLOCK_SHARE).max(1.0) };
            let owes = !customer.thin(plan) && customer.owed.abs() >= least;
            if customer.call.is_none() && (owes || !customer.waiting.is_empty()) {
                asking.push(name.clone());
            }
            let busy = customer.call.is_some() || customer.open > 0 || !customer.waiting.is_empty();
            busy || idle < turn * IDLE_TURNS
        });
        if !self.is_counter_silent() {
            for name in asking {
                self.ask(&name, out);
            }
        }
        self.drain_queue(out);
    }
}
