//! One gateway's leases: its word as a voter, its own seat at each task, and when its list of voters may move on.

use crate::{
    Ask, Fault, Item, Message, Needs, Number, Permit, Refusal, Settings, Spoil, Stop, Task, Time, Token,
    Voter, Voters,
};
use std::collections::{BTreeMap, BTreeSet};

/// A holder renews after this part of what it may believe, and asks again this often until a majority has answered.
const RENEW: Time = 3;
const AGAIN: Time = 8;
/// Renewals due within this part of the lease go together.
const TOGETHER: Time = 8;
/// A candidate that got neither a majority nor refusals waits for answers this part of the lease.
const PATIENCE: Time = 4;
/// Candidates wait up to this part of the lease by chance, so that they do not ask at once again and again.
const SPREAD: Time = 4;
/// Whoever has nothing to say says so this often in a lease: versions and tokens are heard of then.
const BEATS: Time = 2;
/// Bits of a token that tell who made it, so that no two gateways make the same.
const MAKER: u32 = 14;

/// What a gateway's leases are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time went by.
    Tick,
    /// A message came from another gateway.
    Heard {
        /// Who sent it.
        from: Number,
        /// Which start of it.
        incarnation: u64,
        /// What it says.
        message: Message,
    },
    /// The settings have this list of voters.
    Voters(Voters),
    /// The settings have these tasks and gateways; tasks that are missing are given back.
    Tasks {
        /// What this gateway would do.
        tasks: Vec<Task>,
        /// All gateways.
        fleet: BTreeSet<Number>,
    },
    /// A person wants a task to go to another gateway.
    HandOver {
        /// The task.
        task: Task,
        /// Who is to take it.
        to: Number,
    },
    /// The gateway leaves: everything is given back and nothing is sought.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: Number,
        /// What.
        message: Message,
    },
    /// The task is this gateway's.
    Gained(Gain),
    /// It is not any more: nothing is done in its name from here on.
    Lost(Loss),
    /// A task was asked for in vain; who refused last, and why, where anybody said so.
    Failed {
        /// The task.
        task: Task,
        /// The last refusal.
        last: Option<(Number, Refusal)>,
    },
    /// The list of voters in force.
    Voters(u64),
    /// A list that cannot be taken, or not yet.
    Refused(Fault),
}

/// A task gained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gain {
    /// The task.
    pub task: Task,
    /// Its token.
    pub token: Token,
    /// Until when it may be believed, on this gateway's clock, if nothing is renewed.
    pub until: Time,
}

/// A task lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Loss {
    /// The task.
    pub task: Task,
    /// The token it was held under.
    pub token: Token,
    /// Whether it was given back: by a person, at a drain, or because the settings have it no more. Else no majority
    /// answered in time.
    pub given_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    sent: Time,
    granted: BTreeSet<Number>,
    /// Who refused, and of those that have granted it to another: to whom, for how long yet.
    refused: BTreeMap<Number, Option<(Number, Time)>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Seat {
    Idle { next: Time },
    Seeking { token: Token, round: Round, until: Time },
    Holding { token: Token, round: Round, until: Time, renew: Time },
}

/// Where a task stands at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Another gateway's, or nobody's; sought again after so many ms.
    Waiting(Time),
    /// Asked for, with so many grants.
    Asking(usize),
    /// Held for so many ms yet, if nothing is renewed.
    Held(Time),
}

/// A task as people see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The task.
    pub task: Task,
    /// Where it stands here.
    pub stage: Stage,
    /// The token, asked for or held under.
    pub token: Option<Token>,
    /// Who has it by this gateway's word as a voter, under which token, for so many ms yet.
    pub granted: Option<(Number, Token, Time)>,
    /// Why it was refused last, and by whom.
    pub refused: Option<(Number, Refusal)>,
}

/// All leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    settings: Settings,
    voter: Voter,
    seats: BTreeMap<Task, Seat>,
    refusals: BTreeMap<Task, (Number, Refusal)>,
    /// Nothing is promised before this: another start of this gateway may have.
    silent_until: Time,
    /// The list that is to follow once this one is settled.
    pending: Option<Voters>,
    /// Whether the list in force may be voted and asked by.
    climbed: bool,
    /// The newest version heard of each gateway, and since when a majority has been at the one that matters.
    versions: BTreeMap<Number, u64>,
    settled_since: Option<Time>,
    highest: Token,
    rounds: u64,
    draws: u64,
    beat: Time,
    leaving: bool,
    /// What goes to all voters, and whether a round has begun in it: no number stands for two moments.
    asks: Vec<Item>,
    asking: bool,
    spoil: Spoil,
    /// What was ever held: a guard that is left out goes by it.
    #[cfg(feature = "spoilt-guard")]
    ever: BTreeMap<Task, Token>,
}

impl Leases {
    /// The leases of a gateway that was just started at `now`.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(now: Time, settings: Settings) -> Result<Self, Fault> {
        Self::build(now, settings, Spoil::Nothing)
    }

    /// The same with a rule left out, for tests that must catch it.
    ///
    /// # Errors
    /// Settings that cannot be used.
    #[cfg(feature = "spoilt")]
    pub fn spoilt(now: Time, settings: Settings, spoil: Spoil) -> Result<Self, Fault> {
        Self::build(now, settings, spoil)
    }

    fn build(now: Time, settings: Settings, spoil: Spoil) -> Result<Self, Fault> {
        settings.check()?;
        let silent_until = if spoil == Spoil::NoWait { now } else { now + settings.silence() };
        let climbed = settings.voters.before.is_empty() || spoil == Spoil::OldVoters;
        let mut new = Self {
            spoil,
            #[cfg(feature = "spoilt-guard")]
            ever: BTreeMap::new(),
            voter: Voter::default(),
            seats: BTreeMap::new(),
            refusals: BTreeMap::new(),
            silent_until,
            pending: None,
            climbed,
            versions: BTreeMap::new(),
            settled_since: None,
            highest: 0,
            rounds: 0,
            draws: 0,
            beat: now,
            leaving: false,
            asks: Vec::new(),
            asking: false,
            settings,
        };
        for task in new.settings.tasks.clone() {
            let next = new.later(silent_until);
            new.seats.insert(task, Seat::Idle { next });
        }
        Ok(new)
    }

    /// Takes one thing in. `now` is the monotonic clock in ms; `wall` the system's in ms since the Unix epoch, which
    /// only lifts tokens over those of a fleet that has forgotten all.
    pub fn handle(&mut self, now: Time, wall: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Heard { from, incarnation, message } => self.heard(now, from, incarnation, &message, out),
            Input::Voters(voters) => self.take_voters(now, voters, out),
            Input::Tasks { tasks, fleet } => self.take_tasks(now, tasks, fleet, out),
            Input::HandOver { task, to } => {
                if self.give_back(now, task, Some(to), out) {
                    let message = Message { items: vec![Item::Take { task }], ..self.message(0) };
                    // The voters are to hear of the release first.
                    self.flush(now, out);
                    out.push(Output::Send { to, message });
                }
            }
            Input::Leave => {
                self.leaving = true;
                for task in self.settings.tasks.clone() {
                    self.give_back(now, task, None, out);
                }
            }
        }
        self.settle(now, out);
        self.seats(now, wall, out);
        self.flush(now, out);
    }

    /// When something is due.
    #[must_use]
    pub fn due(&self) -> Time {
        let seat = |seat: &Seat| match seat {
            Seat::Idle { next } if self.leaving || !self.may_seek() => (*next).max(self.beat),
            Seat::Idle { next } => *next,
            Seat::Seeking { until, .. } => *until,
            Seat::Holding { until, renew, .. } => (*until).min(*renew),
        };
        let silent = if self.beat < self.silent_until { self.silent_until } else { self.beat };
        self.seats.values().map(seat).fold(self.beat.min(silent), Time::min)
    }

    /// Whether it may act for a task now, with what the act needs. To be asked again right before bytes leave.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&self, now: Time, task: Task, needs: Needs) -> Result<Permit, Stop> {
        #[cfg(feature = "spoilt-guard")]
        return self
            .ever
            .get(&task)
            .map(|t| Permit { task, token: *t, until: now + needs.time })
            .ok_or(Stop::NotHeld);
        #[cfg(not(feature = "spoilt-guard"))]
        self.guard(now, task, needs)
    }

    #[cfg_attr(feature = "spoilt-guard", expect(dead_code, reason = "this is what is left out"))]
    fn guard(&self, now: Time, task: Task, needs: Needs) -> Result<Permit, Stop> {
        let Some(Seat::Holding { token, until, .. }) = self.seats.get(&task) else {
            return Err(Stop::NotHeld);
        };
        // One ms more: `now` was cut to whole ms.
        if now + 1 + needs.time > *until {
            Err(Stop::TooShort)
        } else {
            Ok(Permit { task, token: *token, until: *until })
        }
    }

    /// Whether a permit still holds right before its act: the task was not lost and gained again in between.
    ///
    /// # Errors
    /// Why not.
    pub fn still(&self, now: Time, permit: &Permit, needs: Needs) -> Result<Permit, Stop> {
        self.may_act(now, permit.task, needs)
            .and_then(|p| if p.token == permit.token { Ok(p) } else { Err(Stop::NotHeld) })
    }

    /// Its word as a voter.
    #[must_use]
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The version of the list of voters in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.settings.voters.version
    }

    /// Whether it votes by now.
    #[must_use]
    pub fn votes(&self, now: Time) -> bool {
        now >= self.silent_until && self.climbed
    }

    /// All tasks, for people.
    pub fn views(&self, now: Time) -> impl Iterator<Item = View> {
        self.seats.iter().map(move |(task, seat)| {
            let (stage, token) = match seat {
                Seat::Idle { next } => (Stage::Waiting(next.saturating_sub(now)), None),
                Seat::Seeking { token, round, .. } => (Stage::Asking(round.granted.len()), Some(*token)),
                Seat::Holding { token, until, .. } => (Stage::Held(until.saturating_sub(now)), Some(*token)),
            };
            let (granted, refused) = (self.voter.granted(now, *task), self.refusals.get(task).copied());
            View { task: *task, stage, token, granted, refused }
        })
    }

    // ---- Seats ----

    fn may_seek(&self) -> bool {
        !self.leaving && self.climbed
    }

    fn seats(&mut self, now: Time, wall: u64, out: &mut Vec<Output>) {
        if now < self.silent_until {
            return;
        }
        let (length, together) = (self.settings.length, self.settings.length / TOGETHER);
        let renewing = self.seats.values().any(|s| matches!(s, Seat::Holding { renew, .. } if *renew <= now));
        for task in self.seats.keys().copied().collect::<Vec<_>>() {
            match self.seats.get(&task) {
                Some(Seat::Idle { next }) if *next <= now && self.may_seek() => {
                    let token = self.make_token(task, wall);
                    let round = self.round(now);
                    let until = now + length / PATIENCE;
                    self.seats.insert(task, Seat::Seeking { token, round, until });
                    self.ask(now, Ask { task, token, length }, out);
                }
                Some(Seat::Seeking { until, .. }) if *until <= now => self.give_up(now, task, out),
                Some(Seat::Holding { token, until, .. }) if *until <= now => {
                    out.push(Output::Lost(Loss { task, token: *token, given_back: false }));
                    let next = self.later(now + 1);
                    self.seats.insert(task, Seat::Idle { next });
                }
                Some(Seat::Holding { token, until, renew, .. }) if renewing && *renew <= now + together => {
                    let (token, until) = (*token, *until);
                    let (round, renew) = (self.round(now), now + (length / AGAIN).max(1));
                    self.seats.insert(task, Seat::Holding { token, round, until, renew });
                    self.ask(now, Ask { task, token, length }, out);
                }
                _ => {}
            }
        }
    }

    /// Asks all voters, this gateway's own word among them.
    fn ask(&mut self, now: Time, ask: Ask, out: &mut Vec<Output>) {
        self.asks.push(Item::Ask(ask));
        let (own, me) = (
            self.vote(now, self.version(), (self.settings.number, self.settings.incarnation), &ask),
            self.settings.number,
        );
        if self.settings.voters.now.contains(&me) {
            self.answered(now, me, self.rounds, ask.task, ask.token, own, out);
        }
    }

    /// All asks of one moment are one round.
    fn round(&mut self, now: Time) -> Round {
        if !std::mem::replace(&mut self.asking, true) {
            self.rounds += 1;
        }
        Round { number: self.rounds, sent: now, granted: BTreeSet::new(), refused: BTreeMap::new() }
    }

    fn make_token(&mut self, task: Task, wall: u64) -> Token {
        if self.is(Spoil::TokenReused) {
            return Token::from(task) + 1;
        }
        let base = (self.highest >> MAKER).saturating_add(1).max(wall);
        self.highest = base << MAKER | Token::from(self.settings.number);
        self.highest
    }

    /// No majority can come: what was granted is given back, so that it is in nobody's way. Where a majority names one
    /// holder, its grants are waited out; else candidates only met, and another try by chance comes soon.
    fn give_up(&mut self, now: Time, task: Task, out: &mut Vec<Output>) {
        let Some(Seat::Seeking { token, round, .. }) = self.seats.get(&task) else { return };
        let mut holders = BTreeMap::<Number, (usize, Time)>::new();
        for (by, left) in round.refused.values().flatten() {
            let held = holders.entry(*by).or_default();
            *held = (held.0 + 1, held.1.max(*left));
        }
        let voters = &self.settings.voters;
        let wait =
            holders.values().find(|(count, _)| voters.is_majority(*count)).map_or(0, |(_, left)| *left);
        let token = *token;
        out.push(Output::Failed { task, last: self.refusals.get(&task).copied() });
        let next = self.later(now + 1 + wait);
        self.seats.insert(task, Seat::Idle { next });
        self.release(now, task, token, None);
    }

    fn release(&mut self, now: Time, task: Task, token: Token, to: Option<Number>) {
        self.voter.release(now, (self.settings.number, self.settings.incarnation), task, token, to);
        self.asks.push(Item::Release { task, token, to });
    }

    /// Gives a task back where it is held or sought; whether it was held.
    fn give_back(&mut self, now: Time, task: Task, to: Option<Number>, out: &mut Vec<Output>) -> bool {
        let held = match self.seats.get(&task) {
            Some(Seat::Holding { token, .. }) => {
                let token = *token;
                out.push(Output::Lost(Loss { task, token, given_back: true }));
                self.release(now, task, token, to);
                true
            }
            Some(Seat::Seeking { token, .. }) => {
                let token = *token;
                self.release(now, task, token, to);
                false
            }
            _ => return false,
        };
        // Who gives back does not take again at once.
        self.seats.insert(task, Seat::Idle { next: now + 1 + self.settings.length });
        held
    }

    /// A moment by chance after one, on a grid of this gateway's own: what waits for about the same moment goes in one
    /// message, and no two gateways have the same moments.
    fn later(&mut self, from: Time) -> Time {
        let grid = (self.settings.length / TOGETHER).max(1);
        let own = u64::from(self.settings.number) * grid / (self.settings.fleet.len() as u64).max(1) % grid;
        (from + self.draw(self.settings.length / SPREAD)).saturating_sub(own).div_ceil(grid) * grid + own
    }

    fn is(&self, spoil: Spoil) -> bool {
        self.spoil == spoil
    }

    fn draw(&mut self, most: Time) -> Time {
        self.draws += 1;
        let seed = self.settings.seed ^ u64::from(self.settings.number) << 32;
        xxhash_rust::xxh64::xxh64(&self.draws.to_le_bytes(), seed) % most.max(1)
    }

    // ---- What others say ----

    fn heard(&mut self, now: Time, from: Number, incarnation: u64, message: &Message, out: &mut Vec<Output>) {
        self.highest = self.highest.max(message.highest);
        self.versions.insert(from, message.version);
        let mut replies = Vec::new();
        for item in &message.items {
            match *item {
                Item::Ask(ask) => {
                    let (task, token) = (ask.task, ask.token);
                    replies.push(match self.vote(now, message.version, (from, incarnation), &ask) {
                        Ok(()) => Item::Grant { task, token },
                        Err(why) => Item::Refuse { task, token, why },
                    });
                }
                Item::Grant { task, token } => {
                    self.answered(now, from, message.round, task, token, Ok(()), out)
                }
                Item::Refuse { task, token, why } => {
                    self.answered(now, from, message.round, task, token, Err(why), out)
                }
                Item::Release { task, token, to } => {
                    self.voter.release(now, (from, incarnation), task, token, to)
                }
                Item::Take { task } => {
                    let soon = now + (self.settings.length / (2 * PATIENCE)).max(1);
                    if let Some(Seat::Idle { next }) = self.seats.get_mut(&task) {
                        *next = soon;
                    }
                }
            }
        }
        if !replies.is_empty() {
            out.push(Output::Send {
                to: from,
                message: Message { items: replies, ..self.message(message.round) },
            });
        }
    }

    /// This gateway's word on an ask.
    fn vote(&mut self, now: Time, version: u64, holder: (Number, u64), ask: &Ask) -> Result<(), Refusal> {
        if !self.votes(now) {
            return Err(Refusal::Silent);
        }
        let own = self.version();
        if version != own && version != own + 1 && !self.is(Spoil::OldVoters) {
            return Err(Refusal::Version);
        }
        self.highest = self.highest.max(ask.token);
        let again = self.is(Spoil::TokenReused);
        self.voter.ask(now, self.settings.longest, holder, ask, again)
    }

    #[allow(clippy::too_many_arguments, reason = "an answer is all of these")]
    fn answered(
        &mut self, now: Time, from: Number, number: u64, task: Task, asked: Token, said: Result<(), Refusal>,
        out: &mut Vec<Output>,
    ) {
        let voters = &self.settings.voters;
        let of_round = |t: Token, r: &Round| t == asked && r.number == number && voters.now.contains(&from);
        // Of this gateway's own tasks alone: what others say must not grow what is held here.
        if let Err(why) = said
            && self.seats.contains_key(&task)
        {
            self.refusals.insert(task, (from, why));
        }
        match self.seats.get_mut(&task) {
            Some(Seat::Seeking { token, round, .. }) if of_round(*token, round) => {
                match said {
                    Ok(()) => drop(round.granted.insert(from)),
                    Err(Refusal::Held { by, left }) => {
                        round.refused.insert(from, Some((by, left.min(self.settings.longest))));
                    }
                    Err(_) => drop(round.refused.insert(from, None)),
                }
                let (token, left) = (*token, voters.now.len() - round.refused.len());
                if voters.is_majority(round.granted.len()) {
                    self.hold(now, task, token, out);
                } else if !voters.is_majority(left) {
                    self.give_up(now, task, out);
                }
            }
            Some(Seat::Holding { token, round, .. }) if said.is_ok() && of_round(*token, round) => {
                round.granted.insert(from);
                let token = *token;
                if voters.is_majority(round.granted.len()) {
                    self.hold(now, task, token, out);
                }
            }
            _ => {}
        }
    }

    /// A majority has granted the round in hand: the lease counts from before it was sent.
    fn hold(&mut self, now: Time, task: Task, token: Token, out: &mut Vec<Output>) {
        let Some(Seat::Seeking { round, .. } | Seat::Holding { round, .. }) = self.seats.get(&task) else {
            return;
        };
        let believed = self.settings.believed(self.settings.length);
        let from = if self.is(Spoil::FromAnswer) { now } else { round.sent };
        let (round, until, renew) = (round.clone(), from + believed, round.sent + believed / RENEW);
        if until <= now {
            return;
        }
        if !matches!(self.seats.get(&task), Some(Seat::Holding { .. })) {
            #[cfg(feature = "spoilt-guard")]
            self.ever.insert(task, token);
            out.push(Output::Gained(Gain { task, token, until }));
        }
        self.refusals.remove(&task);
        self.seats.insert(task, Seat::Holding { token, round, until, renew });
    }

    // ---- Who votes ----

    /// A list one version on waits until this one is settled. A gateway that has missed versions begins as after a start:
    /// it gives all back and promises nothing until what it promised has run out.
    fn take_voters(&mut self, now: Time, voters: Voters, out: &mut Vec<Output>) {
        if voters == self.settings.voters {
            return;
        }
        let missed = voters.version > self.version() + 1 && voters.check().is_ok();
        match self.settings.voters.may_follow(&voters) {
            _ if missed && !self.is(Spoil::OldVoters) => {
                for task in self.settings.tasks.clone() {
                    self.give_back(now, task, None, out);
                }
                self.flush(now, out);
                self.settings.voters = voters;
                (self.climbed, self.pending, self.settled_since) = (false, None, None);
                self.silent_until = now + self.settings.silence();
            }
            Err(fault) if !self.is(Spoil::OldVoters) => out.push(Output::Refused(fault)),
            _ => self.pending = Some(voters),
        }
    }

    /// Moves on to the next list where a majority of this one has long left those before it.
    fn settle(&mut self, now: Time, out: &mut Vec<Output>) {
        let spoilt = self.is(Spoil::OldVoters);
        let (list, version) = match (self.climbed, &self.pending) {
            (true, None) => return,
            (true, Some(_)) => (&self.settings.voters.now, self.version()),
            (false, _) => (&self.settings.voters.before, self.version() - 1),
        };
        let at = |number: &&Number| {
            **number == self.settings.number || self.versions.get(number).is_some_and(|v| *v >= version)
        };
        if list.iter().filter(at).count() * 2 <= list.len() && !spoilt {
            self.settled_since = None;
            return;
        }
        let since = *self.settled_since.get_or_insert(now);
        if now < since + self.settings.silence() && !spoilt {
            return;
        }
        self.settled_since = None;
        if !self.climbed {
            self.climbed = true;
        } else if let Some(next) = self.pending.take() {
            self.settings.voters = next;
            // Answers of voters of the old list count for nothing any more.
            for seat in self.seats.values_mut() {
                match seat {
                    Seat::Seeking { round, until, .. } => {
                        (round.number, *until) = (0, now);
                    }
                    Seat::Holding { round, renew, .. } => (round.number, *renew) = (0, now),
                    Seat::Idle { .. } => {}
                }
            }
        }
        out.push(Output::Voters(self.version()));
    }

    fn take_tasks(&mut self, now: Time, tasks: Vec<Task>, fleet: BTreeSet<Number>, out: &mut Vec<Output>) {
        self.settings.fleet = fleet;
        for task in std::mem::replace(&mut self.settings.tasks, tasks) {
            if !self.settings.tasks.contains(&task) {
                self.give_back(now, task, None, out);
                self.seats.remove(&task);
            }
        }
        for task in self.settings.tasks.clone() {
            let next = self.later(now);
            self.seats.entry(task).or_insert(Seat::Idle { next });
        }
    }

    // ---- What is said ----

    fn message(&self, round: u64) -> Message {
        Message { version: self.version(), highest: self.highest, round, items: Vec::new() }
    }

    fn flush(&mut self, now: Time, out: &mut Vec<Output>) {
        let items = std::mem::take(&mut self.asks);
        self.asking = false;
        let beat = now >= self.beat;
        if beat {
            self.beat = now + (self.settings.length / BEATS).max(1);
            self.voter.tidy(now);
        }
        let me = self.settings.number;
        let voters = &self.settings.voters;
        let to: BTreeSet<Number> = match (items.is_empty(), beat) {
            (true, false) => return,
            (false, false) => voters.now.union(&voters.before).copied().collect(),
            (_, true) => {
                voters.now.iter().chain(&voters.before).chain(&self.settings.fleet).copied().collect()
            }
        };
        for to in to.into_iter().filter(|to| *to != me) {
            let message = Message { items: items.clone(), ..self.message(self.rounds) };
            out.push(Output::Send { to, message });
        }
    }
}
