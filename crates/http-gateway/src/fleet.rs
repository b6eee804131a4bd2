//! The room of the fleet: the UDP socket to the other gateways, and the calls of tasks that this gateway holds. What a
//! datagram counts for is `doorcourse_peers`' word; who holds what and which call may leave is `doorcourse_lease`'s.

mod calls;
mod leases;
mod link;
mod probes;
mod settings;
mod status;

use crate::io::{Io, Token};
use calls::*;
use doorcourse_config::{
    Config, LeaseConfig, LinkConfig, Node, OUTLIER_PROBE_TASK, OutlierGossipConfig, TaskConfig,
};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, awake_or_not, connect};
use doorcourse_http::{Decoder, Limits, Part, Role};
use doorcourse_lease::{
    AuthorizedCall, CallSchedule, CallSettings, Input, LeaseStage, LeaseStatus, Leases, LostLease, Message,
    Millis, Output, Refusal, Settings as LeaseSettings, TaskId, decode, encode, task_of,
};
use doorcourse_outlier_gossip::{NodeStatus, OutlierGossip, Verdict};
use doorcourse_peers::{
    GatewayNumber, Link, MAX_DATAGRAM_BYTES, OutgoingDatagram, PeerEvent, PeerStatus,
    Settings as LinkSettings, fleet_of,
};
use link::*;
use serde_json::{Value, json};
use settings::*;
pub(crate) use status::Seen;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::UdpSocket;
use std::time::{SystemTime, UNIX_EPOCH};

/// Whose payload a datagram holds.
const LEASES: u32 = 1;
const SUSPECT: u32 = 2;
/// Datagrams read in one turn, so that peers do not hold up clients.
const TURN: usize = 64;
/// How often the socket is tried for while a process that hands over still has it, in ms.
const RETRY: Millis = 50;
/// An answer to a call has a short head; its body is read past.
const ANSWER: Limits = Limits { line: 1024, head: 8192, fields: 64, body: 1 << 20 };

pub(crate) struct Fleet {
    settings: LinkConfig,
    number: GatewayNumber,
    /// The path of the endpoint, where nodes are tried.
    path: String,
    socket: Option<UdpSocket>,
    retry: Millis,
    link: Link,
    leases: Option<Leases>,
    tasks: BTreeMap<TaskId, TaskConfig>,
    calls: CallSchedule,
    out: slab::Slab<Call>,
    /// By task: calls answered with 2xx, answered otherwise or not at all, and not made because the lease was too short.
    tally: BTreeMap<TaskId, [u64; 3]>,
    suspects: Option<(OutlierGossip, OutlierGossipConfig)>,
    next_look: Millis,
    /// Words on nodes, for the choice of nodes where the settings say so.
    pub hints: VecDeque<Verdict>,
    buffer: Vec<u8>,
    left: bool,
}

impl Fleet {
    /// Binds the socket. `waits`: another process of this gateway still has it and will let it go.
    ///
    /// # Errors
    /// When the address cannot be had or the settings cannot be used.
    pub fn new(io: &Io, config: &Config, seed: u64, waits: bool) -> anyhow::Result<Option<Self>> {
        let Some(settings) = config.link.clone() else { return Ok(None) };
        let (now, number) = (awake_or_not(), config.decisions.gateway_index);
        let incarnation = seed | 1;
        let link = Link::new(now, link_settings(&settings, number, incarnation))?;
        let mut new = Self {
            number,
            path: config.path.clone(),
            socket: None,
            retry: now,
            link,
            leases: None,
            tasks: BTreeMap::new(),
            calls: CallSchedule::default(),
            out: slab::Slab::new(),
            tally: BTreeMap::new(),
            suspects: None,
            next_look: now,
            hints: VecDeque::new(),
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
            left: false,
            settings,
        };
        if let Err(error) = new.bind(io)
            && !waits
        {
            anyhow::bail!("fleet.link.listen: cannot listen on {}: {error}", new.settings.listen);
        }
        if let Some(leases) = &config.leases {
            new.leases = Some(Leases::new(now, lease_settings(leases, &new.settings, number, incarnation))?);
            new.take_tasks(now, leases);
        }
        Ok(Some(new))
    }

    /// Changed settings: peers, secrets, voters, tasks.
    pub fn configure(&mut self, io: &mut Io, config: &Config) {
        let (now, Some(settings)) = (awake_or_not(), config.link.clone()) else { return };
        if let Err(fault) = self.link.configure(now, link_settings(&settings, self.number, 1)) {
            return tracing::error!(target: "doorcourse::fleet", %fault, "the old link stays");
        }
        self.settings = settings;
        if let Some(leases) = &config.leases {
            self.take_tasks(now, leases);
            let fleet = fleet(&self.settings, self.number);
            let tasks = tasks(leases);
            self.tell(io, now, Input::TasksChanged { tasks, gateways: fleet });
            self.tell(io, now, Input::VotersChanged(leases.voters.clone()));
        }
    }

    /// The gateway leaves: what it holds is given back, and the socket is let go for who takes over.
    pub fn leave(&mut self, io: &mut Io) {
        if !std::mem::replace(&mut self.left, true) {
            self.tell(io, awake_or_not(), Input::ShutdownStarted);
            self.out.clear();
            self.socket = None;
        }
    }

    /// How long until something is due, in ms.
    pub fn due(&self) -> f64 {
        if self.left {
            return f64::INFINITY;
        }
        let now = awake_or_not();
        let retry = if self.socket.is_none() { self.retry } else { Millis::MAX };
        let leases = self
            .leases
            .as_ref()
            .map_or(Millis::MAX, |l| l.next_timeout().min(self.calls.next_timeout(now, l)));
        let look = if self.suspects.is_some() { self.next_look } else { Millis::MAX };
        let trial = self.out.iter().filter_map(|(_, c)| match c.what {
            What::Trial(_, until) => Some(until),
            What::Task(_) => None,
        });
        let due =
            self.link.next_timeout().min(retry).min(leases).min(look).min(trial.min().unwrap_or(Millis::MAX));
        if due == Millis::MAX { f64::INFINITY } else { due.saturating_sub(now) as f64 }
    }

    pub fn tick(&mut self, io: &mut Io) {
        if self.left {
            return;
        }
        let now = awake_or_not();
        if self.socket.is_none() && now >= self.retry {
            self.retry = now + RETRY;
            let _ = self.bind(io);
        }
        let mut told = Vec::new();
        self.link.tick(now, &mut told);
        told.into_iter().for_each(log);
        if self.leases.as_ref().is_some_and(|l| l.next_timeout() <= now) {
            self.tell(io, now, Input::Tick);
        }
        for task in self.calls.overdue(now) {
            self.end(now, task, "not answered in time");
        }
        self.late_trials(now);
        let begin = self.leases.as_ref().map(|l| self.calls.start_due(now, l)).unwrap_or_default();
        for permit in begin {
            self.begin(io, now, permit.task);
        }
    }
}
