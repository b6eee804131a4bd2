//! One gateway's leases: its word as a voter, its own seat at each task, and when its list of voters may move on.

use crate::{
    DisabledRule, FencingToken, GatewayNumber, GuardError, Item, LeaseRequest, Message, Millis, Needs,
    Permit, Refusal, Settings, SettingsError, TaskId, Voter, VoterConfiguration,
};
use std::collections::{BTreeMap, BTreeSet};

/// A holder renews after this part of what it may believe, and asks again this often until a majority has answered.
const RENEW: Millis = 3;
const AGAIN: Millis = 8;
/// Renewals due within this part of the lease go together.
const TOGETHER: Millis = 8;
/// A candidate that got neither a majority nor refusals waits for answers this part of the lease.
const PATIENCE: Millis = 4;
/// Candidates wait up to this part of the lease by chance, so that they do not ask at once again and again.
const SPREAD: Millis = 4;
/// Whoever has nothing to say says so this often in a lease: versions and tokens are heard of then.
const BEATS: Millis = 2;
/// Bits of a token that tell who made it, so that no two gateways make the same.
const MAKER: u32 = 14;

/// What a gateway's leases are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time went by.
    Tick,
    /// A message came from another gateway.
    MessageReceived {
        /// Who sent it.
        from: GatewayNumber,
        /// Which start of it.
        incarnation: u64,
        /// What it says.
        message: Message,
    },
    /// The settings have this list of voters.
    VotersChanged(VoterConfiguration),
    /// The settings have these tasks and gateways; tasks that are missing are given back.
    TasksChanged {
        /// What this gateway would do.
        tasks: Vec<TaskId>,
        /// All gateways.
        gateways: BTreeSet<GatewayNumber>,
    },
    /// A person wants a task to go to another gateway.
    TransferRequested {
        /// The task.
        task: TaskId,
        /// Who is to take it.
        to: GatewayNumber,
    },
    /// The gateway leaves: everything is given back and nothing is sought.
    ShutdownStarted,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: GatewayNumber,
        /// What.
        message: Message,
    },
    /// The task is this gateway's.
    Acquired(AcquiredLease),
    /// It is not any more: nothing is done in its name from here on.
    Lost(LostLease),
    /// A task was asked for in vain; who refused last, and why, where anybody said so.
    AcquisitionFailed {
        /// The task.
        task: TaskId,
        /// The last refusal.
        last_refusal: Option<(GatewayNumber, Refusal)>,
    },
    /// The list of voters in force.
    VotersInForce(u64),
    /// A list that cannot be taken, or not yet.
    VotersRejected(SettingsError),
}

/// A task gained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcquiredLease {
    /// The task.
    pub task: TaskId,
    /// Its token.
    pub token: FencingToken,
    /// Until when it may be believed, on this gateway's clock, if nothing is renewed.
    pub expires_at: Millis,
}

/// A task lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LostLease {
    /// The task.
    pub task: TaskId,
    /// The token it was held under.
    pub token: FencingToken,
    /// Whether it was given back: by a person, at a drain, or because the settings have it no more. Else no majority
    /// answered in time.
    pub released: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QuorumRound {
    number: u64,
    started_at: Millis,
    grants: BTreeSet<GatewayNumber>,
    /// Who refused, and of those that have granted it to another: to whom, for how long yet.
    refusals: BTreeMap<GatewayNumber, Option<(GatewayNumber, Millis)>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LeaseState {
    Idle { next_attempt_at: Millis },
    Acquiring { token: FencingToken, round: QuorumRound, deadline: Millis },
    Held { token: FencingToken, round: QuorumRound, expires_at: Millis, renew_at: Millis },
}

/// Where a task stands at this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Another gateway's, or nobody's; sought again after so many ms.
    Waiting(Millis),
    /// Asked for, with so many grants.
    Acquiring(usize),
    /// Held for so many ms yet, if nothing is renewed.
    Held(Millis),
}

/// A task as people see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// Where it stands here.
    pub stage: LeaseStage,
    /// The token, asked for or held under.
    pub token: Option<FencingToken>,
    /// Who has it by this gateway's word as a voter, under which token, for so many ms yet.
    pub granted: Option<(GatewayNumber, FencingToken, Millis)>,
    /// Why it was refused last, and by whom.
    pub last_refusal: Option<(GatewayNumber, Refusal)>,
}

/// All leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    settings: Settings,
    voter: Voter,
    states: BTreeMap<TaskId, LeaseState>,
    last_refusals: BTreeMap<TaskId, (GatewayNumber, Refusal)>,
    /// Nothing is promised before this: another start of this gateway may have.
    voting_from: Millis,
    /// The list that is to follow once this one is settled.
    next_voters: Option<VoterConfiguration>,
    /// Whether the list in force may be voted and asked by.
    voters_in_force: bool,
    /// The newest version heard of each gateway, and since when a majority has been at the one that matters.
    reported_versions: BTreeMap<GatewayNumber, u64>,
    majority_reached_at: Option<Millis>,
    highest_token: FencingToken,
    round_number: u64,
    random_draws: u64,
    next_heartbeat_at: Millis,
    shutting_down: bool,
    /// What goes to all voters, and whether a round has begun in it: no number stands for two moments.
    outgoing_items: Vec<Item>,
    round_open: bool,
    disabled_rule: DisabledRule,
    /// What was ever held: a guard that is left out goes by it.
    #[cfg(feature = "disable-lease-check")]
    ever: BTreeMap<TaskId, FencingToken>,
}

impl Leases {
    /// The leases of a gateway that was just started at `now`.
    ///
    /// # Errors
    /// Settings that cannot be used.
    pub fn new(now: Millis, settings: Settings) -> Result<Self, SettingsError> {
        Self::build(now, settings, DisabledRule::None)
    }

    /// The same with a rule left out, for tests that must catch it.
    ///
    /// # Errors
    /// Settings that cannot be used.
    #[cfg(feature = "fault-injection")]
    pub fn with_disabled_rule(
        now: Millis, settings: Settings, rule: DisabledRule,
    ) -> Result<Self, SettingsError> {
        Self::build(now, settings, rule)
    }

    fn build(now: Millis, settings: Settings, spoil: DisabledRule) -> Result<Self, SettingsError> {
        settings.validate()?;
        let silent_until =
            if spoil == DisabledRule::StartupWait { now } else { now + settings.startup_wait() };
        let climbed = settings.voters.previous_voters.is_empty() || spoil == DisabledRule::VoterVersions;
        let mut new = Self {
            disabled_rule: spoil,
            #[cfg(feature = "disable-lease-check")]
            ever: BTreeMap::new(),
            voter: Voter::default(),
            states: BTreeMap::new(),
            last_refusals: BTreeMap::new(),
            voting_from: silent_until,
            next_voters: None,
            voters_in_force: climbed,
            reported_versions: BTreeMap::new(),
            majority_reached_at: None,
            highest_token: 0,
            round_number: 0,
            random_draws: 0,
            next_heartbeat_at: now,
            shutting_down: false,
            outgoing_items: Vec::new(),
            round_open: false,
            settings,
        };
        for task in new.settings.tasks.clone() {
            let next = new.later(silent_until);
            new.states.insert(task, LeaseState::Idle { next_attempt_at: next });
        }
        Ok(new)
    }

    /// Takes one thing in. `now` is the monotonic clock in ms; `wall` the system's in ms since the Unix epoch, which
    /// only lifts tokens over those of a fleet that has forgotten all.
    pub fn handle(&mut self, now: Millis, wall: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::MessageReceived { from, incarnation, message } => {
                self.heard(now, from, incarnation, &message, out)
            }
            Input::VotersChanged(voters) => self.take_voters(now, voters, out),
            Input::TasksChanged { tasks, gateways: fleet } => self.take_tasks(now, tasks, fleet, out),
            Input::TransferRequested { task, to } => {
                if self.give_back(now, task, Some(to), out) {
                    let message = Message { items: vec![Item::Transfer { task }], ..self.message(0) };
                    // The voters are to hear of the release first.
                    self.flush(now, out);
                    out.push(Output::Send { to, message });
                }
            }
            Input::ShutdownStarted => {
                self.shutting_down = true;
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
    pub fn next_timeout(&self) -> Millis {
        let seat = |seat: &LeaseState| match seat {
            LeaseState::Idle { next_attempt_at: next } if self.shutting_down || !self.may_seek() => {
                (*next).max(self.next_heartbeat_at)
            }
            LeaseState::Idle { next_attempt_at: next } => *next,
            LeaseState::Acquiring { deadline: until, .. } => *until,
            LeaseState::Held { expires_at: until, renew_at: renew, .. } => (*until).min(*renew),
        };
        let silent =
            if self.next_heartbeat_at < self.voting_from { self.voting_from } else { self.next_heartbeat_at };
        self.states.values().map(seat).fold(self.next_heartbeat_at.min(silent), Millis::min)
    }

    /// Whether it may act for a task now, with what the act needs. To be asked again right before bytes leave.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&self, now: Millis, task: TaskId, needs: Needs) -> Result<Permit, GuardError> {
        #[cfg(feature = "disable-lease-check")]
        return self
            .ever
            .get(&task)
            .map(|t| Permit { task, token: *t, expires_at: now + needs.time })
            .ok_or(GuardError::NotHeld);
        #[cfg(not(feature = "disable-lease-check"))]
        self.guard(now, task, needs)
    }

    #[cfg_attr(feature = "disable-lease-check", expect(dead_code, reason = "this is what is left out"))]
    fn guard(&self, now: Millis, task: TaskId, needs: Needs) -> Result<Permit, GuardError> {
        let Some(LeaseState::Held { token, expires_at: until, .. }) = self.states.get(&task) else {
            return Err(GuardError::NotHeld);
        };
        // One ms more: `now` was cut to whole ms.
        if now + 1 + needs.time > *until {
            Err(GuardError::LeaseTooShort)
        } else {
            Ok(Permit { task, token: *token, expires_at: *until })
        }
    }

    /// Whether a permit still holds right before its act: the task was not lost and gained again in between.
    ///
    /// # Errors
    /// Why not.
    pub fn revalidate(&self, now: Millis, permit: &Permit, needs: Needs) -> Result<Permit, GuardError> {
        self.may_act(now, permit.task, needs)
            .and_then(|p| if p.token == permit.token { Ok(p) } else { Err(GuardError::NotHeld) })
    }

    /// Its word as a voter.
    #[must_use]
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The version of the list of voters in force.
    #[must_use]
    pub fn voters_version(&self) -> u64 {
        self.settings.voters.version
    }

    /// Whether it votes by now.
    #[must_use]
    pub fn is_voting(&self, now: Millis) -> bool {
        now >= self.voting_from && self.voters_in_force
    }

    /// All tasks, for people.
    pub fn statuses(&self, now: Millis) -> impl Iterator<Item = LeaseStatus> {
        self.states.iter().map(move |(task, seat)| {
            let (stage, token) = match seat {
                LeaseState::Idle { next_attempt_at: next } => {
                    (LeaseStage::Waiting(next.saturating_sub(now)), None)
                }
                LeaseState::Acquiring { token, round, .. } => {
                    (LeaseStage::Acquiring(round.grants.len()), Some(*token))
                }
                LeaseState::Held { token, expires_at: until, .. } => {
                    (LeaseStage::Held(until.saturating_sub(now)), Some(*token))
                }
            };
            let (granted, refused) = (self.voter.granted(now, *task), self.last_refusals.get(task).copied());
            LeaseStatus { task: *task, stage, token, granted, last_refusal: refused }
        })
    }

    // ---- Seats ----

    fn may_seek(&self) -> bool {
        !self.shutting_down && self.voters_in_force
    }

    fn seats(&mut self, now: Millis, wall: u64, out: &mut Vec<Output>) {
        if now < self.voting_from {
            return;
        }
        let (length, together) = (self.settings.lease_duration, self.settings.lease_duration / TOGETHER);
        let renewing = self
            .states
            .values()
            .any(|s| matches!(s, LeaseState::Held { renew_at: renew, .. } if *renew <= now));
        for task in self.states.keys().copied().collect::<Vec<_>>() {
            match self.states.get(&task) {
                Some(LeaseState::Idle { next_attempt_at: next }) if *next <= now && self.may_seek() => {
                    let token = self.make_token(task, wall);
                    let round = self.round(now);
                    let until = now + length / PATIENCE;
                    self.states.insert(task, LeaseState::Acquiring { token, round, deadline: until });
                    self.ask(now, LeaseRequest { task, token, duration: length }, out);
                }
                Some(LeaseState::Acquiring { deadline: until, .. }) if *until <= now => {
                    self.give_up(now, task, out)
                }
                Some(LeaseState::Held { token, expires_at: until, .. }) if *until <= now => {
                    out.push(Output::Lost(LostLease { task, token: *token, released: false }));
                    let next = self.later(now + 1);
                    self.states.insert(task, LeaseState::Idle { next_attempt_at: next });
                }
                Some(LeaseState::Held { token, expires_at: until, renew_at: renew, .. })
                    if renewing && *renew <= now + together =>
                {
                    let (token, until) = (*token, *until);
                    let (round, renew) = (self.round(now), now + (length / AGAIN).max(1));
                    self.states
                        .insert(task, LeaseState::Held { token, round, expires_at: until, renew_at: renew });
                    self.ask(now, LeaseRequest { task, token, duration: length }, out);
                }
                _ => {}
            }
        }
    }

    /// Asks all voters, this gateway's own word among them.
    fn ask(&mut self, now: Millis, ask: LeaseRequest, out: &mut Vec<Output>) {
        self.outgoing_items.push(Item::Request(ask));
        let (own, me) = (
            self.vote(now, self.voters_version(), (self.settings.gateway, self.settings.incarnation), &ask),
            self.settings.gateway,
        );
        if self.settings.voters.voters.contains(&me) {
            self.answered(now, me, self.round_number, ask.task, ask.token, own, out);
        }
    }

    /// All asks of one moment are one round.
    fn round(&mut self, now: Millis) -> QuorumRound {
        if !std::mem::replace(&mut self.round_open, true) {
            self.round_number += 1;
        }
        QuorumRound {
            number: self.round_number,
            started_at: now,
            grants: BTreeSet::new(),
            refusals: BTreeMap::new(),
        }
    }

    fn make_token(&mut self, task: TaskId, wall: u64) -> FencingToken {
        if self.is(DisabledRule::TokenUniqueness) {
            return FencingToken::from(task) + 1;
        }
        let base = (self.highest_token >> MAKER).saturating_add(1).max(wall);
        self.highest_token = base << MAKER | FencingToken::from(self.settings.gateway);
        self.highest_token
    }

    /// No majority can come: what was granted is given back, so that it is in nobody's way. Where a majority names one
    /// holder, its grants are waited out; else candidates only met, and another try by chance comes soon.
    fn give_up(&mut self, now: Millis, task: TaskId, out: &mut Vec<Output>) {
        let Some(LeaseState::Acquiring { token, round, .. }) = self.states.get(&task) else { return };
        let mut holders = BTreeMap::<GatewayNumber, (usize, Millis)>::new();
        for (by, left) in round.refusals.values().flatten() {
            let held = holders.entry(*by).or_default();
            *held = (held.0 + 1, held.1.max(*left));
        }
        let voters = &self.settings.voters;
        let wait =
            holders.values().find(|(count, _)| voters.is_majority(*count)).map_or(0, |(_, left)| *left);
        let token = *token;
        out.push(Output::AcquisitionFailed { task, last_refusal: self.last_refusals.get(&task).copied() });
        let next = self.later(now + 1 + wait);
        self.states.insert(task, LeaseState::Idle { next_attempt_at: next });
        self.release(now, task, token, None);
    }

    fn release(&mut self, now: Millis, task: TaskId, token: FencingToken, to: Option<GatewayNumber>) {
        self.voter.release(now, (self.settings.gateway, self.settings.incarnation), task, token, to);
        self.outgoing_items.push(Item::Release { task, token, transfer_to: to });
    }

    /// Gives a task back where it is held or sought; whether it was held.
    fn give_back(
        &mut self, now: Millis, task: TaskId, to: Option<GatewayNumber>, out: &mut Vec<Output>,
    ) -> bool {
        let held = match self.states.get(&task) {
            Some(LeaseState::Held { token, .. }) => {
                let token = *token;
                out.push(Output::Lost(LostLease { task, token, released: true }));
                self.release(now, task, token, to);
                true
            }
            Some(LeaseState::Acquiring { token, .. }) => {
                let token = *token;
                self.release(now, task, token, to);
                false
            }
            _ => return false,
        };
        // Who gives back does not take again at once.
        self.states
            .insert(task, LeaseState::Idle { next_attempt_at: now + 1 + self.settings.lease_duration });
        held
    }

    /// A moment by chance after one, on a grid of this gateway's own: what waits for about the same moment goes in one
    /// message, and no two gateways have the same moments.
    fn later(&mut self, from: Millis) -> Millis {
        let grid = (self.settings.lease_duration / TOGETHER).max(1);
        let own =
            u64::from(self.settings.gateway) * grid / (self.settings.gateways.len() as u64).max(1) % grid;
        (from + self.draw(self.settings.lease_duration / SPREAD)).saturating_sub(own).div_ceil(grid) * grid
            + own
    }

    fn is(&self, spoil: DisabledRule) -> bool {
        self.disabled_rule == spoil
    }

    fn draw(&mut self, most: Millis) -> Millis {
        self.random_draws += 1;
        let seed = self.settings.seed ^ u64::from(self.settings.gateway) << 32;
        xxhash_rust::xxh64::xxh64(&self.random_draws.to_le_bytes(), seed) % most.max(1)
    }

    // ---- What others say ----

    fn heard(
        &mut self, now: Millis, from: GatewayNumber, incarnation: u64, message: &Message,
        out: &mut Vec<Output>,
    ) {
        self.highest_token = self.highest_token.max(message.highest_token);
        self.reported_versions.insert(from, message.voters_version);
        let mut replies = Vec::new();
        for item in &message.items {
            match *item {
                Item::Request(ask) => {
                    let (task, token) = (ask.task, ask.token);
                    replies.push(match self.vote(now, message.voters_version, (from, incarnation), &ask) {
                        Ok(()) => Item::Grant { task, token },
                        Err(why) => Item::Refuse { task, token, reason: why },
                    });
                }
                Item::Grant { task, token } => {
                    self.answered(now, from, message.round, task, token, Ok(()), out)
                }
                Item::Refuse { task, token, reason: why } => {
                    self.answered(now, from, message.round, task, token, Err(why), out)
                }
                Item::Release { task, token, transfer_to: to } => {
                    self.voter.release(now, (from, incarnation), task, token, to)
                }
                Item::Transfer { task } => {
                    let soon = now + (self.settings.lease_duration / (2 * PATIENCE)).max(1);
                    if let Some(LeaseState::Idle { next_attempt_at: next }) = self.states.get_mut(&task) {
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
    fn vote(
        &mut self, now: Millis, version: u64, holder: (GatewayNumber, u64), ask: &LeaseRequest,
    ) -> Result<(), Refusal> {
        if !self.is_voting(now) {
            return Err(Refusal::NotVoting);
        }
        let own = self.voters_version();
        if version != own && version != own + 1 && !self.is(DisabledRule::VoterVersions) {
            return Err(Refusal::VersionMismatch);
        }
        self.highest_token = self.highest_token.max(ask.token);
        let again = self.is(DisabledRule::TokenUniqueness);
        self.voter.request(now, self.settings.max_lease_duration, holder, ask, again)
    }

    #[allow(clippy::too_many_arguments, reason = "an answer is all of these")]
    fn answered(
        &mut self, now: Millis, from: GatewayNumber, number: u64, task: TaskId, asked: FencingToken,
        said: Result<(), Refusal>, out: &mut Vec<Output>,
    ) {
        let voters = &self.settings.voters;
        let of_round = |t: FencingToken, r: &QuorumRound| {
            t == asked && r.number == number && voters.voters.contains(&from)
        };
        // Of this gateway's own tasks alone: what others say must not grow what is held here.
        if let Err(why) = said
            && self.states.contains_key(&task)
        {
            self.last_refusals.insert(task, (from, why));
        }
        match self.states.get_mut(&task) {
            Some(LeaseState::Acquiring { token, round, .. }) if of_round(*token, round) => {
                match said {
                    Ok(()) => drop(round.grants.insert(from)),
                    Err(Refusal::HeldByOther { holder: by, remaining: left }) => {
                        round.refusals.insert(from, Some((by, left.min(self.settings.max_lease_duration))));
                    }
                    Err(_) => drop(round.refusals.insert(from, None)),
                }
                let (token, left) = (*token, voters.voters.len() - round.refusals.len());
                if voters.is_majority(round.grants.len()) {
                    self.hold(now, task, token, out);
                } else if !voters.is_majority(left) {
                    self.give_up(now, task, out);
                }
            }
            Some(LeaseState::Held { token, round, .. }) if said.is_ok() && of_round(*token, round) => {
                round.grants.insert(from);
                let token = *token;
                if voters.is_majority(round.grants.len()) {
                    self.hold(now, task, token, out);
                }
            }
            _ => {}
        }
    }

    /// A majority has granted the round in hand: the lease counts from before it was sent.
    fn hold(&mut self, now: Millis, task: TaskId, token: FencingToken, out: &mut Vec<Output>) {
        let Some(LeaseState::Acquiring { round, .. } | LeaseState::Held { round, .. }) =
            self.states.get(&task)
        else {
            return;
        };
        let believed = self.settings.holder_duration(self.settings.lease_duration);
        let from = if self.is(DisabledRule::ExpiryFromRequest) { now } else { round.started_at };
        let (round, until, renew) = (round.clone(), from + believed, round.started_at + believed / RENEW);
        if until <= now {
            return;
        }
        if !matches!(self.states.get(&task), Some(LeaseState::Held { .. })) {
            #[cfg(feature = "disable-lease-check")]
            self.ever.insert(task, token);
            out.push(Output::Acquired(AcquiredLease { task, token, expires_at: until }));
        }
        self.last_refusals.remove(&task);
        self.states.insert(task, LeaseState::Held { token, round, expires_at: until, renew_at: renew });
    }

    // ---- Who votes ----

    /// A list one version on waits until this one is settled. A gateway that has missed versions begins as after a start:
    /// it gives all back and promises nothing until what it promised has run out.
    fn take_voters(&mut self, now: Millis, voters: VoterConfiguration, out: &mut Vec<Output>) {
        if voters == self.settings.voters {
            return;
        }
        let missed = voters.version > self.voters_version() + 1 && voters.validate().is_ok();
        match self.settings.voters.may_follow(&voters) {
            _ if missed && !self.is(DisabledRule::VoterVersions) => {
                for task in self.settings.tasks.clone() {
                    self.give_back(now, task, None, out);
                }
                self.flush(now, out);
                self.settings.voters = voters;
                (self.voters_in_force, self.next_voters, self.majority_reached_at) = (false, None, None);
                self.voting_from = now + self.settings.startup_wait();
            }
            Err(fault) if !self.is(DisabledRule::VoterVersions) => out.push(Output::VotersRejected(fault)),
            _ => self.next_voters = Some(voters),
        }
    }

    /// Moves on to the next list where a majority of this one has long left those before it.
    fn settle(&mut self, now: Millis, out: &mut Vec<Output>) {
        let spoilt = self.is(DisabledRule::VoterVersions);
        let (list, version) = match (self.voters_in_force, &self.next_voters) {
            (true, None) => return,
            (true, Some(_)) => (&self.settings.voters.voters, self.voters_version()),
            (false, _) => (&self.settings.voters.previous_voters, self.voters_version() - 1),
        };
        let at = |number: &&GatewayNumber| {
            **number == self.settings.gateway
                || self.reported_versions.get(number).is_some_and(|v| *v >= version)
        };
        if list.iter().filter(at).count() * 2 <= list.len() && !spoilt {
            self.majority_reached_at = None;
            return;
        }
        let since = *self.majority_reached_at.get_or_insert(now);
        if now < since + self.settings.startup_wait() && !spoilt {
            return;
        }
        self.majority_reached_at = None;
        if !self.voters_in_force {
            self.voters_in_force = true;
        } else if let Some(next) = self.next_voters.take() {
            self.settings.voters = next;
            // Answers of voters of the old list count for nothing any more.
            for seat in self.states.values_mut() {
                match seat {
                    LeaseState::Acquiring { round, deadline: until, .. } => {
                        (round.number, *until) = (0, now);
                    }
                    LeaseState::Held { round, renew_at: renew, .. } => (round.number, *renew) = (0, now),
                    LeaseState::Idle { .. } => {}
                }
            }
        }
        out.push(Output::VotersInForce(self.voters_version()));
    }

    fn take_tasks(
        &mut self, now: Millis, tasks: Vec<TaskId>, fleet: BTreeSet<GatewayNumber>, out: &mut Vec<Output>,
    ) {
        self.settings.gateways = fleet;
        for task in std::mem::replace(&mut self.settings.tasks, tasks) {
            if !self.settings.tasks.contains(&task) {
                self.give_back(now, task, None, out);
                self.states.remove(&task);
            }
        }
        for task in self.settings.tasks.clone() {
            let next = self.later(now);
            self.states.entry(task).or_insert(LeaseState::Idle { next_attempt_at: next });
        }
    }

    // ---- What is said ----

    fn message(&self, round: u64) -> Message {
        Message {
            voters_version: self.voters_version(),
            highest_token: self.highest_token,
            round,
            items: Vec::new(),
        }
    }

    fn flush(&mut self, now: Millis, out: &mut Vec<Output>) {
        let items = std::mem::take(&mut self.outgoing_items);
        self.round_open = false;
        let beat = now >= self.next_heartbeat_at;
        if beat {
            self.next_heartbeat_at = now + (self.settings.lease_duration / BEATS).max(1);
            self.voter.remove_expired(now);
        }
        let me = self.settings.gateway;
        let voters = &self.settings.voters;
        let to: BTreeSet<GatewayNumber> = match (items.is_empty(), beat) {
            (true, false) => return,
            (false, false) => voters.voters.union(&voters.previous_voters).copied().collect(),
            (_, true) => voters
                .voters
                .iter()
                .chain(&voters.previous_voters)
                .chain(&self.settings.gateways)
                .copied()
                .collect(),
        };
        for to in to.into_iter().filter(|to| *to != me) {
            let message = Message { items: items.clone(), ..self.message(self.round_number) };
            out.push(Output::Send { to, message });
        }
    }
}
