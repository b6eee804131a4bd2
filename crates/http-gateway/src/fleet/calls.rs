//! Calls of tasks.

use super::*;

/// What a connection is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum What {
    Task(TaskId),
    /// A suspect node is tried, until then.
    Trial(String, Millis),
}

pub(super) struct Call {
    pub(super) what: What,
    pub(super) socket: Socket,
    pub(super) generation: u32,
    pub(super) written: bool,
    pub(super) decoder: Decoder,
    pub(super) status: u16,
}

impl Fleet {
    pub(super) fn begin(&mut self, io: &mut Io, now: Millis, task: TaskId) {
        let Some(address) = self.tasks.get(&task).map(|t| t.address) else { return };
        if !self.connect(io, address, What::Task(task)) {
            self.ended(now, task, "no connection");
        }
    }

    pub(super) fn connect(&mut self, io: &mut Io, address: std::net::SocketAddr, what: What) -> bool {
        let generation = io.generation();
        let entry = self.out.vacant_entry();
        let token = Token::Call(entry.key(), generation).pack();
        let made = connect(address).and_then(|socket| {
            io.poller.add(&socket, token, Interest::BOTH)?;
            Ok(socket)
        });
        match made {
            Ok(socket) => {
                let decoder = Decoder::new(Role::Responses, ANSWER);
                entry.insert(Call { what, socket, generation, written: false, decoder, status: 0 });
                true
            }
            Err(_) => false,
        }
    }

    pub fn call_ready(&mut self, io: &mut Io, slot: usize, generation: u32, ready: Ready) {
        let now = awake_or_not();
        let Some(call) = self.out.get_mut(slot).filter(|c| c.generation == generation) else { return };
        let what = call.what.clone();
        if !call.written {
            if !ready.write && !ready.broken {
                return;
            }
            if call.socket.finish_connect().is_err() {
                return self.over(now, &what, "no connection");
            }
            let task = match &what {
                What::Task(task) => *task,
                What::Trial(..) => return self.write_trial(io, now, slot, generation, &what),
            };
            let leaves = self.leases.as_ref().and_then(|l| self.calls.authorize_write(now, l, task));
            let Some(AuthorizedCall { permit, deadline: until }) = leaves else {
                self.tally.entry(task).or_default()[2] += 1;
                return self.end(now, task, "the lease is too short");
            };
            let Some(wanted) = self.tasks.get(&task) else { return };
            // For a receiver that knows no tokens: by when, on the clock that machines agree on.
            let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let head = format!(
                "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-length: 0\r\nconnection: close\r\ntask: {}\r\ngateway: {}\r\n\
                 fencing-token: {}\r\nact-deadline: {}\r\n\r\n",
                wanted.path,
                wanted.address,
                wanted.name,
                self.number,
                permit.token,
                wall + (until - now)
            );
            call.written = true;
            call.socket.output().extend_from_slice(head.as_bytes());
            #[cfg(feature = "pause-before-write")]
            if permit.token.wrapping_add(u64::from(generation)).is_multiple_of(40) {
                let _ =
                    rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::STOP);
            }
            if call.socket.flush() != Flow::Open || call.socket.pending() > 0 {
                return self.end(now, task, "cannot be written");
            }
            let _ = io.poller.change(&call.socket, Token::Call(slot, generation).pack(), Interest::READ);
            return;
        }
        let (_, flow) = call.socket.read();
        loop {
            let (took, part) = match call.decoder.decode(&call.socket.input) {
                Ok(read) => read,
                Err(_) => return self.over(now, &what, "an answer that cannot be read"),
            };
            let (status, over) = match part {
                Some(Part::Head(head)) => (head.status, false),
                Some(Part::End) => (call.status, true),
                Some(Part::Data(_)) => (call.status, false),
                None => {
                    call.socket.consume(took);
                    break;
                }
            };
            call.status = status;
            call.socket.consume(took);
            if over {
                let good = match what {
                    What::Task(_) => (200..300).contains(&status),
                    What::Trial(..) => doorcourse_outlier_gossip::is_well(status),
                };
                return self.over(now, &what, if good { "" } else { "answered otherwise" });
            }
        }
        if flow != Flow::Open {
            self.over(now, &what, "broken");
        }
    }

    pub(super) fn over(&mut self, now: Millis, what: &What, why: &str) {
        match what {
            What::Task(task) => self.end(now, *task, why),
            What::Trial(node, _) => self.tried(now, node, why),
        }
    }

    /// A call is over; without a cause it was good.
    pub(super) fn end(&mut self, now: Millis, task: TaskId, why: &str) {
        let slot = self.out.iter().find(|(_, c)| c.what == What::Task(task)).map(|(slot, _)| slot);
        if let Some(slot) = slot {
            self.out.remove(slot);
            self.ended(now, task, why);
        }
    }

    pub(super) fn ended(&mut self, now: Millis, task: TaskId, why: &str) {
        self.calls.finish(now, task);
        self.tally.entry(task).or_default()[usize::from(!why.is_empty())] += 1;
        if !why.is_empty() {
            tracing::info!(target: "doorcourse::fleet", task = self.name(task), why, "call failed");
        }
    }
}
