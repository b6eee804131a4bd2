//! Requests between their clients and nodes: the actions of the decisions and the outputs of each exchange,
//! carried out on sockets.

use crate::front::{self, Ask, Caller, Media, REQUEST_ID_FIELD};
use crate::run::{Alarm, CounterSide, Gateway, Phase, Token};
use doorcourse::{Action, Arrival, AttemptEnd, Effect, Event, Name, RequestId};
use doorcourse_exchange::{Exchange, Input, Output};
use doorcourse_graphql::Scan;
use doorcourse_http::{
    Decoder, Framing, Limits as HttpLimits, Part, Role, chunk, chunk_end, request, response_head,
};
use doorcourse_net::{Flow, Interest, Ready, Socket, connect};
use doorcourse_resp::Call;

/// The head of a node's answer, as far as it is passed on.
#[derive(Debug)]
struct AnswerHead {
    status: u16,
    content_type: String,
    framing: Framing,
    /// Set-Cookie fields, passed on where sessions keep to nodes.
    cookies: Vec<String>,
}

/// One request that is with the decisions or whose attempt is still out.
#[derive(Debug)]
pub(crate) struct Request {
    pub client: Option<usize>,
    name: Name,
    exchange: Exchange,
    media: Media,
    body: Vec<u8>,
    pass: Vec<(String, String)>,
    keyed: bool,
    units: f64,
    scan: Scan,
    /// The connection of the attempt that is out, its node, and when it was sent.
    node: Option<usize>,
    backend: Name,
    sent_at: f64,
    head: Option<AnswerHead>,
    /// What of the answer is not passed on yet.
    held: Vec<u8>,
    /// Whether the held bytes are the whole answer.
    whole: bool,
    passing: bool,
}

/// A connection to a node.
#[derive(Debug)]
pub(crate) struct NodeConnection {
    socket: Socket,
    pub generation: u32,
    node: Name,
    decoder: Decoder,
    request: Option<RequestId>,
    connecting: bool,
    /// Whether the client of its answer must read first.
    paused: bool,
    interest: Interest,
    idle_until: f64,
    keep_alive: bool,
}

impl Gateway {
    // ---- From clients ----

    pub(crate) fn request(&mut self, slot: usize, caller: Caller, body: Vec<u8>) {
        if let Err(full) = self.accounts.take_on(self.requests.len()) {
            return self.reply(slot, &front::full(full.text()));
        }
        let now = self.clock.now();
        let spent = self.clients.get(slot).map_or(0.0, |c| now - c.head_at);
        let ask = match front::ask(&self.config, caller, body, spent) {
            Ok(ask) => ask,
            Err(reply) => return self.reply(slot, &reply),
        };
        let Ask { customer, media, class, units, patience, body, pass, prepared, bound } = ask;
        self.next_request += 1;
        let id = self.next_request;
        let told = pass.iter().find(|(n, _)| n == REQUEST_ID_FIELD).map(|(_, v)| v.as_str());
        let name = told.map_or_else(|| format!("{}-{id}", self.name).into(), Name::from);
        let decisions = &self.config.decisions;
        let (classes, plan) = (&decisions.classes[class], decisions.plans[customer.plan].name.clone());
        let arrival = Arrival {
            id,
            customer: customer.name.clone(),
            plan,
            class: classes.name.clone(),
            units,
            repeat: false,
            patience,
            first: customer.first,
            spread: customer.spread,
            bound,
        };
        self.accounts.add(body.len() as u64);
        let request = Request {
            client: Some(slot),
            name,
            exchange: Exchange::new(self.config.limits.held_answer),
            media,
            body,
            pass,
            keyed: classes.effect == Effect::Keyed,
            units,
            scan: prepared.scan(self.config.answer_depth),
            node: None,
            backend: "".into(),
            sent_at: 0.0,
            head: None,
            held: Vec::new(),
            whole: false,
            passing: false,
        };
        self.requests.insert(id, request);
        if let Some(client) = self.clients.get_mut(slot) {
            client.phase = Phase::Answering(id);
        }
        self.timers.set(self.clock.now() + patience, Alarm::TimeUp(id));
        self.events.push_back(Event::Request(arrival));
    }

    // ---- The decisions' actions ----

    pub(crate) fn carry_out(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Send { id, backend, timeout: _ } => self.send(id, backend),
            Action::Refuse { id, retry_after, why } => self.tell(id, Input::Refused { retry_after, why }),
            Action::Fail { id } => self.tell(id, Input::Failed),
            Action::SetTimer { after, token } => self.timers.set(now + after, Alarm::Decision(token)),
            Action::Count { name, amount, keep } => {
                let call = Call { name, amount, keep };
                self.calls_out += 1;
                match &mut self.counter {
                    CounterSide::Own(own) => {
                        let outcome = doorcourse::CountOutcome::Total(own.add(now, call));
                        self.events.push_back(Event::Counted { name, outcome, latency: 0.0 });
                    }
                    CounterSide::Shared { link, .. } => {
                        let mut actions = Vec::new();
                        link.call(now, call, &mut actions);
                        self.counter_actions(actions);
                    }
                }
            }
            Action::Log(line) => tracing::info!(target: "doorcourse::decisions", "{line}"),
            // The settings allow none of these: no peers, no probes, no calling off, a list that is pushed.
            Action::CallOff { .. } | Action::Probe { .. } | Action::Tell { .. } | Action::WatchBackends => {}
        }
    }

    fn send(&mut self, id: RequestId, backend: Name) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.backend, request.sent_at) = (backend.clone(), now);
        // Nothing of an earlier attempt's answer may colour this one's.
        (request.head, request.whole) = (None, false);
        request.held.clear();
        request.scan.reset();
        request.exchange.handle(Input::Sent, &mut Vec::new());
        let Some(pool) = self.pools.get_mut(&backend) else {
            // Gone from the list since: no connection was made.
            return self.tell(id, Input::Lost);
        };
        let address = pool.address;
        let slot = match pool.idle.pop() {
            Some(slot) => slot,
            None => match self.open_node(&backend, address) {
                Ok(slot) => slot,
                Err(_) => return self.tell(id, Input::Lost),
            },
        };
        self.write_request(id, slot, address);
    }

    fn open_node(&mut self, node: &Name, address: std::net::SocketAddr) -> std::io::Result<usize> {
        let socket = connect(address)?;
        self.generation = self.generation.wrapping_add(1);
        let generation = self.generation;
        let entry = self.nodes.vacant_entry();
        let slot = entry.key();
        let interest = Interest { read: true, write: true };
        self.poller.add(&socket, Token::node(slot, generation), interest)?;
        let limits = &self.config.limits;
        let limits =
            HttpLimits { line: limits.line, head: limits.head, fields: limits.fields, body: limits.answer };
        entry.insert(NodeConnection {
            socket,
            generation,
            node: node.clone(),
            decoder: Decoder::new(Role::Responses, limits),
            request: None,
            connecting: true,
            paused: false,
            interest,
            idle_until: f64::INFINITY,
            keep_alive: false,
        });
        Ok(slot)
    }

    fn write_request(&mut self, id: RequestId, slot: usize, address: std::net::SocketAddr) {
        let path = self.config.path.clone();
        let (Some(request_), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(slot)) else {
            return;
        };
        let host = address.to_string();
        let mut fields: Vec<(&str, &str)> = vec![
            ("host", &host),
            ("content-type", "application/json"),
            ("accept", "application/graphql-response+json, application/json;q=0.9"),
        ];
        fields.extend(request_.pass.iter().map(|(n, v)| (n.as_str(), v.as_str())));
        let has = |name: &str| request_.pass.iter().any(|(n, _)| n == name);
        if !has(REQUEST_ID_FIELD) {
            fields.push((REQUEST_ID_FIELD, &request_.name));
        }
        if request_.keyed && !has("idempotency-key") {
            // Without a key of the client's the request's own name makes our repeats known as such.
            fields.push(("idempotency-key", &request_.name));
        }
        request(node.socket.output(), "POST", &path, &fields, &request_.body);
        request_.node = Some(slot);
        (node.request, node.idle_until) = (Some(id), f64::INFINITY);
        if !node.connecting {
            self.tell(id, Input::Connected);
            self.flush_node(slot);
        }
    }

    // ---- The exchanges ----

    pub(crate) fn tell(&mut self, id: RequestId, input: Input) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let mut outputs = Vec::new();
        request.exchange.handle(input, &mut outputs);
        for output in outputs {
            self.give(id, output);
        }
    }

    fn give(&mut self, id: RequestId, output: Output) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        match output {
            Output::Ended { outcome, true_units, finished } => {
                request.node = None;
                self.events.push_back(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: request.exchange.attempts() - 1,
                    backend: request.backend.clone(),
                    outcome,
                    latency: now - request.sent_at,
                    true_units,
                    finished,
                    load: None,
                }));
            }
            Output::Left => self.events.push_back(Event::ClientLeft { id }),
            Output::Answer(answer) => {
                let (reply, name) = (front::last_word(request.media, answer), request.name.clone());
                if let Some(slot) = request.client.take() {
                    self.reply_as(slot, &reply, Some(&name));
                    self.client_input(slot);
                    self.settle_client(slot);
                }
            }
            Output::Pass => self.pass(id),
            Output::PassEnd => {
                if let Some(slot) = request.client.take() {
                    if let Some(client) = self.clients.get_mut(slot)
                        && client.framing == Framing::Chunked
                    {
                        chunk_end(client.socket.output());
                    }
                    self.answered(slot);
                    self.client_input(slot);
                    self.settle_client(slot);
                }
            }
            Output::Forget => {
                request.held.clear();
                request.head = None;
            }
            Output::Cut => {
                if let Some(slot) = request.client.take() {
                    if let Some(client) = self.clients.get(slot) {
                        client.socket.reset_on_close();
                    }
                    self.drop_client(slot);
                }
            }
            Output::Abandon => {
                if let Some(slot) = request.node.take() {
                    self.drop_node(slot);
                }
            }
            Output::Over => {
                if let Some(request) = self.requests.remove(&id) {
                    self.accounts.release(request.body.len() as u64);
                }
            }
        }
    }

    /// Passes on what is held of an answer, with its head where that has not gone yet.
    fn pass(&mut self, id: RequestId) {
        let high = self.config.limits.client_buffer;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some((slot, client)) = request.client.and_then(|s| Some((s, self.clients.get_mut(s)?))) else {
            return request.held.clear();
        };
        if !std::mem::replace(&mut request.passing, true) {
            let Some(head) = &request.head else { return };
            let framing = match head.framing {
                _ if request.whole => Framing::Length(request.held.len() as u64),
                Framing::Length(n) => Framing::Length(n),
                _ if client.minor == 0 => Framing::Close,
                _ => Framing::Chunked,
            };
            client.framing = framing;
            client.keep_alive &= framing != Framing::Close && !self.going;
            let mut fields =
                vec![("content-type", head.content_type.as_str()), (REQUEST_ID_FIELD, &request.name)];
            fields.extend(head.cookies.iter().map(|c| ("set-cookie", c.as_str())));
            if !client.keep_alive && framing != Framing::Close {
                fields.push(("connection", "close"));
            }
            response_head(client.socket.output(), head.status, &fields, framing);
        }
        if client.framing == Framing::Chunked {
            chunk(client.socket.output(), &request.held);
        } else {
            client.socket.output().extend_from_slice(&request.held);
        }
        request.held.clear();
        // Back pressure: a client that reads slowly stops its node, not this process's memory.
        if client.socket.pending() > high
            && let Some(node) = request.node.and_then(|s| self.nodes.get_mut(s))
        {
            node.paused = true;
        }
        self.flush_client(slot);
        self.settle_client(slot);
    }

    /// Reads a node on that was stopped for its client.
    pub(crate) fn resume_node(&mut self, id: RequestId) {
        let Some(slot) = self.requests.get(&id).and_then(|r| r.node) else { return };
        if let Some(node) = self.nodes.get_mut(slot) {
            node.paused = false;
        }
        self.settle_node(slot);
    }

    // ---- Nodes ----

    pub(crate) fn drop_node(&mut self, slot: usize) {
        if let Some(node) = self.nodes.try_remove(slot) {
            self.pools.forget(&node.node, slot);
        }
    }

    /// The connection is of no further use; what it carried is told.
    fn lose_node(&mut self, slot: usize, input: Input) {
        let request = self.nodes.get(slot).and_then(|n| n.request);
        self.drop_node(slot);
        if let Some(id) = request {
            if let Some(request) = self.requests.get_mut(&id) {
                request.node = None;
            }
            self.tell(id, input);
        }
    }

    fn settle_node(&mut self, slot: usize) {
        let Some(node) = self.nodes.get_mut(slot) else { return };
        let write = node.connecting || node.socket.pending() > 0;
        let interest = Interest { read: !node.paused, write };
        if interest != node.interest {
            node.interest = interest;
            let _ = self.poller.change(&node.socket, Token::node(slot, node.generation), interest);
        }
    }

    fn flush_node(&mut self, slot: usize) {
        let Some(node) = self.nodes.get_mut(slot) else { return };
        let (before, id) = (node.socket.pending(), node.request);
        let flow = node.socket.flush();
        let taken = before > node.socket.pending();
        if let (true, Some(id)) = (taken, id) {
            self.tell(id, Input::Written);
        }
        if flow == Flow::Broken {
            return self.lose_node(slot, Input::Lost);
        }
        self.settle_node(slot);
    }

    pub(crate) fn node_ready(&mut self, slot: usize, ready: Ready) {
        let Some(node) = self.nodes.get_mut(slot) else { return };
        if node.connecting {
            if !ready.write && !ready.broken {
                return;
            }
            if node.socket.finish_connect().is_err() {
                return self.lose_node(slot, Input::Lost);
            }
            node.connecting = false;
            if let Some(id) = node.request {
                self.tell(id, Input::Connected);
            }
            return self.flush_node(slot);
        }
        if ready.write {
            self.flush_node(slot);
        }
        let Some(node) = self.nodes.get_mut(slot) else { return };
        if ready.read && (!node.paused || ready.broken) {
            let (count, flow) = node.socket.read();
            if node.request.is_none() && (count > 0 || flow != Flow::Open) {
                // An idle connection that ends, or speaks unasked, is of no further use.
                return self.drop_node(slot);
            }
            self.node_input(slot, flow);
        }
        self.settle_node(slot);
    }

    fn node_input(&mut self, slot: usize, flow: Flow) {
        let Some(node) = self.nodes.get_mut(slot) else { return };
        let input = std::mem::take(&mut node.socket.input);
        let mut at = 0;
        loop {
            let Some(node) = self.nodes.get_mut(slot) else { return };
            let Some(id) = node.request else { break };
            let (used, part) = match node.decoder.decode(&input[at..]) {
                Ok(found) => found,
                Err(_) => return self.lose_node_broken(id),
            };
            at += used;
            match part {
                None => break,
                Some(Part::Head(head)) => {
                    node.keep_alive = head.keep_alive;
                    let content_type = head.field("content-type").unwrap_or("application/json").to_owned();
                    if let Some(request) = self.requests.get_mut(&id) {
                        let (status, framing) = (head.status, head.framing);
                        let set = head.fields.iter().filter(|(n, _)| n == "set-cookie");
                        let sticky = !self.config.routing.cookie.is_empty();
                        let cookies = set.filter(|_| sticky).map(|(_, v)| v.clone()).collect();
                        request.head = Some(AnswerHead { status, content_type, framing, cookies });
                    }
                    self.tell(id, Input::Head { status: head.status });
                }
                Some(Part::Data(data)) => {
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.scan.feed(data);
                        request.held.extend_from_slice(data);
                    }
                    self.tell(id, Input::Data { bytes: data.len() });
                }
                Some(Part::End) => {
                    self.node_free(slot);
                    self.answer_end(id);
                }
            }
        }
        let Some(node) = self.nodes.get_mut(slot) else { return };
        let rest = &input[at..];
        if node.request.is_none() && !rest.is_empty() {
            return self.drop_node(slot);
        }
        node.socket.input.splice(0..0, rest.iter().copied());
        if flow == Flow::Open {
            return;
        }
        let whole = flow == Flow::Ended && node.decoder.closed(!rest.is_empty()).unwrap_or(false);
        match node.request {
            Some(id) if whole => {
                self.drop_node(slot);
                self.answer_end(id);
            }
            _ => self.lose_node(slot, Input::Lost),
        }
    }

    /// A node whose answer breaks the protocol or a limit.
    fn lose_node_broken(&mut self, id: RequestId) {
        self.tell(id, Input::Broken);
    }

    fn answer_end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let counted = request.scan.counted();
        (request.whole, request.node) = (true, None);
        if let Some(claim) = counted.claim.filter(|c| (c - counted.units).abs() > 1e-6) {
            // Compared and told, never believed: what the account ends with is counted here.
            tracing::debug!(node = %request.backend, claim, counted = counted.units, "node claims another cost");
            if self.claims_told.insert(request.backend.clone()) {
                let (node, counted) = (&request.backend, counted.units);
                tracing::warn!(%node, claim, counted, priced = request.units, "node claims another cost; told once");
            }
        }
        self.tell(id, Input::End { whole: counted.whole, units: counted.units });
    }

    /// An answer is at its end: the connection goes back to its pool where it may carry another request.
    fn node_free(&mut self, slot: usize) {
        let idle_until = self.clock.now() + self.config.limits.node_idle_time;
        let Some(node) = self.nodes.get_mut(slot) else { return };
        node.request = None;
        node.paused = false;
        let (name, keep) = (node.node.clone(), node.keep_alive && node.socket.pending() == 0);
        let generation = node.generation;
        node.idle_until = idle_until;
        match self.pools.get_mut(&name) {
            Some(pool) if keep => {
                pool.idle.push(slot);
                self.timers.set(idle_until, Alarm::NodeIdle(slot, generation));
            }
            _ => self.drop_node(slot),
        }
    }

    pub(crate) fn node_idle_over(&mut self, slot: usize, generation: u32) {
        let now = self.clock.now();
        let over =
            |n: &NodeConnection| n.generation == generation && n.request.is_none() && n.idle_until <= now;
        if self.nodes.get(slot).is_some_and(over) {
            self.drop_node(slot);
        }
    }
}
