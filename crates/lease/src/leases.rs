//! One gateway's leases: its word as a voter, its own seat at each task, and when its list of voters may move on.

mod acquisition;
mod guard;
mod outbox;
mod quorum;
mod reconfiguration;
mod release;
mod state;
mod timing;
mod voting;

use crate::*;
use state::{LeaseState, QuorumRound};
use std::collections::{BTreeMap, BTreeSet};
use timing::*;

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

    fn is(&self, spoil: DisabledRule) -> bool {
        self.disabled_rule == spoil
    }
}
