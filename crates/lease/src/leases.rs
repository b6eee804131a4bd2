//! The leases of one gateway, which is a candidate for or holder of each of its tasks, and a voter on the tasks of all
//! gateways.
//!
//! | file | concern |
//! | --- | --- |
//! | `acquisition` | acquires, renews and expires leases; fencing tokens |
//! | `quorum` | counts the votes of a round |
//! | `voting` | messages of other gateways, and the vote on their requests |
//! | `release` | releases and transfers leases; changes of the tasks |
//! | `reconfiguration` | when a new voter configuration comes into force |
//! | `guard` | whether the holder may act |
//! | `acts` | acts whose effect may not be over |
//! | `outbox` | batches requests and releases to the voters, and sends heartbeats |
//! | `timing` | intervals and jitter |
//! | `state` | the state of one lease |

mod acquisition;
mod acts;
mod guard;
mod outbox;
mod quorum;
mod reconfiguration;
mod release;
mod state;
mod timing;
mod voting;

use crate::{
    DisabledRule, FencingToken, GatewayNumber, Input, LastRefusal, LeaseStage, LeaseStatus, Millis, Output,
    Settings, SettingsError, TaskId, Voter,
};
pub use acts::ActEnd;
use acts::PendingActs;
use outbox::Outbox;
use reconfiguration::Reconfiguration;
use state::LeaseState;
use std::collections::BTreeMap;

/// All leases of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    settings: Settings,
    /// What this gateway has granted as a voter.
    voter: Voter,
    /// The state of each task that this gateway is a candidate for.
    states: BTreeMap<TaskId, LeaseState>,
    last_refusals: BTreeMap<TaskId, LastRefusal>,
    /// Acts of this gateway whose effect may not be over.
    pending_acts: BTreeMap<TaskId, PendingActs>,
    /// This gateway neither votes nor requests leases before this time: leases that an earlier start of it granted may
    /// still be in force.
    voting_from: Millis,
    reconfiguration: Reconfiguration,
    /// The newest version of the voter configuration that each gateway has reported.
    reported_versions: BTreeMap<GatewayNumber, u64>,
    /// The highest fencing token that this gateway knows of.
    highest_token: FencingToken,
    outbox: Outbox,
    /// How many jitters were drawn, from which the next one is computed.
    jitter_draws: u64,
    next_heartbeat_at: Millis,
    shutting_down: bool,
    /// Whether an old process of this gateway may still vote and hold leases.
    has_predecessor: bool,
    #[cfg(feature = "fault-injection")]
    disabled_rule: DisabledRule,
    /// The last token of each task that was ever held. In a build without the lease check this is the only condition
    /// for a permit.
    #[cfg(feature = "disable-lease-check")]
    ever_held: BTreeMap<TaskId, FencingToken>,
}

impl Leases {
    /// The leases of a gateway that was started at `now`.
    ///
    /// # Errors
    /// Settings that are out of range.
    pub fn new(now: Millis, settings: Settings) -> Result<Self, SettingsError> {
        Self::build(now, settings, DisabledRule::None)
    }

    /// The leases of a gateway that takes over from an old process. It neither votes nor requests leases before
    /// [`Input::PredecessorStopped`] and the wait that follows.
    ///
    /// # Errors
    /// Settings that are out of range.
    pub fn taking_over(now: Millis, settings: Settings) -> Result<Self, SettingsError> {
        let leases = Self::new(now, settings)?;
        Ok(Self { has_predecessor: true, ..leases })
    }

    /// Like [`Leases::new`] with one rule disabled, for tests that must detect the missing rule.
    ///
    /// # Errors
    /// Settings that are out of range.
    #[cfg(feature = "fault-injection")]
    pub fn with_disabled_rule(
        now: Millis, settings: Settings, rule: DisabledRule,
    ) -> Result<Self, SettingsError> {
        Self::build(now, settings, rule)
    }

    fn build(now: Millis, settings: Settings, disabled_rule: DisabledRule) -> Result<Self, SettingsError> {
        settings.validate()?;
        let startup_wait =
            if disabled_rule == DisabledRule::StartupWait { 0 } else { settings.startup_wait() };
        let in_force =
            settings.voters.previous_voters.is_empty() || disabled_rule == DisabledRule::VoterVersions;
        let mut leases = Self {
            voter: Voter::default(),
            states: BTreeMap::new(),
            last_refusals: BTreeMap::new(),
            pending_acts: BTreeMap::new(),
            voting_from: now + startup_wait,
            reconfiguration: if in_force { Reconfiguration::InForce } else { Reconfiguration::unconfirmed() },
            reported_versions: BTreeMap::new(),
            highest_token: 0,
            outbox: Outbox::default(),
            jitter_draws: 0,
            next_heartbeat_at: now,
            shutting_down: false,
            has_predecessor: false,
            #[cfg(feature = "fault-injection")]
            disabled_rule,
            #[cfg(feature = "disable-lease-check")]
            ever_held: BTreeMap::new(),
            settings,
        };
        leases.plan_first_attempts();
        Ok(leases)
    }

    /// Processes one input and appends the resulting outputs to `outputs`. `now` is the time of the monotonic clock.
    /// `wall_clock` is the system time in ms since the Unix epoch; its only use is to raise fencing tokens above those
    /// that were used before all gateways of the fleet lost their state.
    pub fn handle(&mut self, now: Millis, wall_clock: Millis, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::MessageReceived { from, incarnation, message } => {
                self.receive_message(now, from, incarnation, &message, outputs);
            }
            Input::VotersChanged(voters) => self.change_voters(now, voters, outputs),
            Input::TasksChanged { tasks, gateways } => self.change_tasks(now, tasks, gateways, outputs),
            Input::TransferRequested { task, to } => self.transfer(now, task, to, outputs),
            Input::PredecessorStopped => self.restart_wait(now),
            Input::ShutdownStarted => {
                self.shutting_down = true;
                self.release_all_tasks(now, outputs);
            }
        }
        self.release_due_tasks(now, outputs);
        self.advance_reconfiguration(now, outputs);
        self.advance_leases(now, wall_clock, outputs);
        self.flush(now, outputs);
    }

    /// When to call [`Leases::handle`] next if nothing else happens.
    #[must_use]
    pub fn next_timeout(&self) -> Millis {
        let timeout = |state: &LeaseState| match state {
            LeaseState::Idle { next_attempt_at } if !self.may_acquire() => {
                (*next_attempt_at).max(self.next_heartbeat_at)
            }
            LeaseState::Idle { next_attempt_at } => *next_attempt_at,
            LeaseState::Acquiring { deadline, .. } => *deadline,
            LeaseState::Held { expires_at, renew_at, .. } => (*expires_at).min(*renew_at),
            LeaseState::Releasing { acts_over_at, .. } => *acts_over_at,
        };
        self.states.values().map(timeout).fold(self.next_heartbeat_at, Millis::min)
    }

    /// What this gateway has granted as a voter.
    #[must_use]
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The version of this gateway's voter configuration.
    #[must_use]
    pub fn voters_version(&self) -> u64 {
        self.settings.voters.version
    }

    /// Whether this gateway votes: the wait after its start is over, its voter configuration is in force, and no other
    /// process of this gateway may vote: none from which it takes over, and none that takes over from it.
    #[must_use]
    pub fn is_voting(&self, now: Millis) -> bool {
        now >= self.voting_from && self.may_acquire()
    }

    /// The status of each task, for operators.
    pub fn statuses(&self, now: Millis) -> impl Iterator<Item = LeaseStatus> {
        self.states.iter().map(move |(task, state)| {
            let stage = match state {
                LeaseState::Idle { next_attempt_at } => {
                    LeaseStage::Waiting(next_attempt_at.saturating_sub(now))
                }
                LeaseState::Acquiring { round, .. } => LeaseStage::Acquiring(round.grants.len()),
                LeaseState::Held { expires_at, .. } => LeaseStage::Held(expires_at.saturating_sub(now)),
                LeaseState::Releasing { acts_over_at, .. } => {
                    LeaseStage::Releasing(acts_over_at.saturating_sub(now))
                }
            };
            LeaseStatus {
                task: *task,
                stage,
                token: state.token(),
                granted: self.voter.granted(now, *task),
                last_refusal: self.last_refusals.get(task).copied(),
            }
        })
    }

    /// Begins the wait after a start again: all grants of the old process have expired when it ends.
    fn restart_wait(&mut self, now: Millis) {
        self.has_predecessor = false;
        self.voting_from = now + self.settings.startup_wait();
        self.plan_first_attempts();
    }

    fn plan_first_attempts(&mut self) {
        for task in self.settings.tasks.clone() {
            let next_attempt_at = self.jittered(self.voting_from);
            self.states.insert(task, LeaseState::Idle { next_attempt_at });
        }
    }

    /// Whether this gateway requests leases that it does not hold.
    fn may_acquire(&self) -> bool {
        !self.shutting_down && !self.has_predecessor && self.reconfiguration.is_in_force()
    }

    /// Whether a test disabled this rule.
    #[cfg(feature = "fault-injection")]
    fn is_disabled(&self, rule: DisabledRule) -> bool {
        self.disabled_rule == rule
    }

    /// No rule can be disabled in a build without fault injection.
    #[cfg(not(feature = "fault-injection"))]
    fn is_disabled(&self, _rule: DisabledRule) -> bool {
        false
    }
}
