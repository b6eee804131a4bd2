//! Suspect nodes.

use super::*;

impl Fleet {
    /// Whether the suspects are to be told how the decisions see the nodes.
    pub fn wants_view(&self) -> bool {
        !self.left && self.suspects.is_some() && awake_or_not() >= self.next_look
    }

    /// The decisions see the nodes so.
    pub fn view(&mut self, io: &mut Io, seen: Vec<NodeStatus>, nodes: &[Node]) {
        let now = awake_or_not();
        let Some((suspects, settings)) = &mut self.suspects else { return };
        self.next_look = now + (settings.probe_interval_ms / 2).max(10);
        let needs = settings.probe_timeout_ms;
        let held = self.leases.as_ref().and_then(|l| l.may_act(now, task_of(OUTLIER_PROBE_TASK), needs).ok());
        let (mut outputs, held) = (Vec::new(), held.map(|p| p.token));
        suspects.handle(
            now,
            doorcourse_outlier_gossip::Input::Tick { nodes: seen, lease_token: held },
            &mut outputs,
        );
        self.suspected(io, now, outputs, nodes);
    }

    pub(super) fn suspected(
        &mut self, io: &mut Io, now: Millis, outputs: Vec<doorcourse_outlier_gossip::Output>, nodes: &[Node],
    ) {
        for output in outputs {
            match output {
                doorcourse_outlier_gossip::Output::Broadcast(message) => {
                    let payload = doorcourse_outlier_gossip::encode(&message);
                    for to in self.link.peer_numbers() {
                        let out = self.link.send(now, io.now() as u64, to, SUSPECT, payload.clone());
                        out.into_iter().for_each(|out| self.put(&out));
                    }
                }
                doorcourse_outlier_gossip::Output::SendProbe(node) => {
                    let address = nodes.iter().find(|n| *n.entry.name == *node).map(|n| n.address);
                    let until = now + self.suspects.as_ref().map_or(0, |(_, s)| s.probe_timeout_ms);
                    let made =
                        address.is_some_and(|to| self.connect(io, to, What::Trial(node.clone(), until)));
                    if !made {
                        self.tried(now, &node, "no connection");
                    }
                }
                doorcourse_outlier_gossip::Output::VerdictChanged(word) => {
                    let Verdict { node, is_outlier: bad, age_ms: age, reporting_gateways: gateways, .. } =
                        &word;
                    tracing::info!(target: "doorcourse::fleet", node, bad, age, gateways, "word on a node");
                    if self.suspects.as_ref().is_some_and(|(_, s)| s.affects_decisions) {
                        self.hints.push_back(word);
                    }
                }
            }
        }
    }

    /// A request that asks for nothing: whoever speaks HTTP answers it, and nothing is done.
    pub(super) fn write_trial(
        &mut self, io: &mut Io, now: Millis, slot: usize, generation: u32, what: &What,
    ) {
        let Some(call) = self.out.get_mut(slot) else { return };
        call.written = true;
        let body = "{\"query\":\"{__typename}\"}";
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            self.path,
            body.len()
        );
        call.socket.output().extend_from_slice(head.as_bytes());
        if call.socket.flush() != Flow::Open || call.socket.pending() > 0 {
            return self.over(now, what, "cannot be written");
        }
        let _ = io.poller.change(&call.socket, Token::Call(slot, generation).pack(), Interest::READ);
    }

    pub(super) fn tried(&mut self, now: Millis, node: &str, why: &str) {
        let slot =
            self.out.iter().find(|(_, c)| matches!(&c.what, What::Trial(n, _) if n == node)).map(|(s, _)| s);
        slot.into_iter().for_each(|slot| drop(self.out.remove(slot)));
        let good = why.is_empty();
        tracing::info!(target: "doorcourse::fleet", node, good, why, "suspect node tried");
        if let Some((suspects, _)) = &mut self.suspects {
            let tried =
                doorcourse_outlier_gossip::Input::ProbeFinished { node: node.to_owned(), succeeded: good };
            suspects.handle(now, tried, &mut Vec::new());
        }
        // What was found is told at the next look, which comes at once.
        self.next_look = now;
    }

    pub(super) fn late_trials(&mut self, now: Millis) {
        let late = |c: &Call| matches!(c.what, What::Trial(_, until) if until <= now);
        let late: Vec<What> = self.out.iter().filter(|(_, c)| late(c)).map(|(_, c)| c.what.clone()).collect();
        late.iter().for_each(|what| self.over(now, what, "no answer in time"));
    }
}
