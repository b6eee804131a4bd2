//! The room of the clients: listeners and connections. Bytes in, calls out: what a front makes of the bytes is its own
//! affair, what becomes of a call is decided elsewhere and comes back as `reply`, `pass` and their like.

use crate::graphql_front::{self as front, RequestHead, Response};
use crate::io::{Io, Timer, Token};
use doorcourse::{Name, RequestId};
use doorcourse_config::Config;
use doorcourse_connection_limits::{ClientBudget, ClientLimits, ConnectionUsage, DescriptorBudget};
use doorcourse_event_loop::{Flow, Interest, Ready, Socket, is_out_of_descriptors, most_descriptors};
use doorcourse_http::{Decoder, Framing, Limits as HttpLimits, Part, Role, chunk, chunk_end, response_head};
use slab::Slab;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};

/// Where a client's connection stands.
#[derive(Debug)]
enum ConnectionPhase {
    /// Between requests, or in a head.
    ReadingHead,
    /// In a body.
    ReadingBody(Box<RequestHead>),
    /// A call is given out, and nobody said yet what becomes of it.
    AwaitingAdmission,
    /// A request is with the decisions, or its answer on the way.
    Responding(RequestId),
    /// Everything was said; what the client still sends is read over, so that it reads our last words.
    Lingering,
}

#[derive(Debug)]
struct ClientConnection {
    socket: Socket,
    generation: u32,
    decoder: Decoder,
    phase: ConnectionPhase,
    body: Vec<u8>,
    /// When the head of the present request came.
    head_received_at: f64,
    /// Whether the connection may carry another request after this one.
    keep_alive: bool,
    minor: u8,
    /// How the answer that is being passed on is framed.
    framing: Framing,
    /// When the connection's patience with the client ends.
    timeout_at: f64,
    interest: Interest,
    /// What it holds, for the accounts; whose it is; whether its client took some since they were told.
    usage: ConnectionUsage,
    customer: Option<Name>,
    progressed: bool,
    /// When it is looked at whether its client still reads.
    unread_check_at: f64,
    /// Close once all is written.
    closing: bool,
}

impl ClientConnection {
    /// Whether a request has begun to come and is not whole.
    fn is_in_request(&self) -> bool {
        match self.phase {
            ConnectionPhase::ReadingHead => {
                !self.closing && self.decoder.in_message(!self.socket.input.is_empty())
            }
            ConnectionPhase::ReadingBody(_) => true,
            ConnectionPhase::AwaitingAdmission
            | ConnectionPhase::Responding(_)
            | ConnectionPhase::Lingering => false,
        }
    }

    /// Whether either side is owed something: the rest of a request, or the rest of an answer. Who has had a last word
    /// is owed the time to read it: a close over bytes that were not read takes it away.
    fn is_busy(&self) -> bool {
        let last_word = matches!(self.phase, ConnectionPhase::Lingering) || self.closing;
        last_word || self.socket.pending() > 0 || self.is_in_request()
    }
}

/// What the clients' side has to say.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// A whole request: `answering` or `reply` must follow.
    RequestReceived { slot: usize, caller: Box<RequestHead>, body: Vec<u8>, head_at: f64 },
    /// The client of a request is gone.
    Disconnected(RequestId),
    /// The client of a request has read enough for more of its answer.
    ReadyForMore(RequestId),
}

/// The head of an answer that is passed on.
#[derive(Debug)]
pub(crate) struct ForwardedHead {
    pub status: u16,
    pub content_type: String,
    /// As the node framed it, or of a length once it is whole.
    pub framing: Framing,
    pub cookies: Vec<String>,
}

pub(crate) struct Clients {
    listeners: Vec<TcpListener>,
    connections: Slab<ClientConnection>,
    pub budget: ClientBudget,
    /// What is to be told, in its order.
    pub events: VecDeque<ClientEvent>,
    /// When a client's byte was heard last.
    pub last_input_at: f64,
    /// Clients are told to go with their next answer.
    pub announce_close: bool,
    spare: Option<std::fs::File>,
}

/// What a fresh connection waits for. Its client's end is told apart from reading: a client that has gone has gone
/// also behind what is not read yet (RFC 9112 section 9.5: a received close is to be watched for all the time).
const CLIENT: Interest = Interest::READ.with_end();
/// Connections let in at a time.
const ACCEPTS: usize = 64;
/// Connections that the system may hold at a door.
const QUEUE: usize = 1024;
/// Input of one client that is held while its request is answered: pipelining, but not without bound.
const PIPELINED: usize = 16 << 10;
/// How long a client that was told to go may still talk, in ms.
const LINGER: f64 = 1000.0;

impl Clients {
    pub fn new(io: &Io, config: &Config, listeners: Vec<TcpListener>) -> std::io::Result<Self> {
        for (at, listener) in listeners.iter().enumerate() {
            io.poller.add(listener, Token::Listener(at).pack(), Interest::READ)?;
        }
        Ok(Self {
            listeners,
            connections: Slab::new(),
            budget: ClientBudget::new(bounds(config)),
            events: VecDeque::new(),
            last_input_at: io.now(),
            announce_close: false,
            spare: std::fs::File::open("/dev/null").ok(),
        })
    }

    pub fn update_limits(&mut self, config: &Config) {
        self.budget.set_limits(bounds(config));
    }

    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.listeners.iter().map(TcpListener::local_addr).collect()
    }

    pub fn listeners(&self) -> &[TcpListener] {
        &self.listeners
    }

    pub fn close_listeners(&mut self) {
        self.listeners.clear();
    }

    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Closes the doors behind who waits there already: the system has let them in, and their requests may be written.
    pub fn drain_accept_queues(&mut self, io: &mut Io, config: &Config) {
        let before = self.connections.len();
        for at in 0..self.listeners.len() {
            // As many as the system's queue holds; a crowd that goes on coming ends there.
            for _ in 0..QUEUE.div_ceil(ACCEPTS) {
                if self.accept(io, config, at) {
                    break;
                }
            }
        }
        if self.connections.len() > before {
            // They are about to speak, if they have not done so.
            self.last_input_at = io.now();
        }
        self.close_listeners();
    }

    /// Lets in who waits at a door, a bounded number; true where nobody is left.
    pub fn accept(&mut self, io: &mut Io, config: &Config, at: usize) -> bool {
        // Bounded, so that a flood of connections does not hold up those that are open.
        for _ in 0..ACCEPTS {
            let Some(listener) = self.listeners.get(at) else { return true };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if is_out_of_descriptors(&error) => {
                    // Without a descriptor the listener would stay ready for ever: one kept for this takes the
                    // connection and closes it.
                    drop(self.spare.take());
                    let _ = listener.accept();
                    self.spare = std::fs::File::open("/dev/null").ok();
                    continue;
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(_) => continue,
            };
            let Ok(mut socket) = Socket::new(stream) else { continue };
            if let Err(full) = self.budget.check_connection(self.connections.len()) {
                front::write(socket.output(), &front::gateway_full(full.message()), false, None);
                socket.flush();
                continue;
            }
            let (generation, limits) = (io.generation(), &config.limits);
            let (line, head, fields, body) = (limits.line, limits.head, limits.fields, limits.body);
            let decoder = Decoder::new(Role::Requests, HttpLimits { line, head, fields, body });
            let entry = self.connections.vacant_entry();
            let slot = entry.key();
            if io.poller.add(&socket, Token::Client(slot, generation).pack(), CLIENT).is_err() {
                continue;
            }
            let until = io.now() + limits.idle_time.min(limits.head_time);
            entry.insert(ClientConnection {
                socket,
                generation,
                decoder,
                phase: ConnectionPhase::ReadingHead,
                body: Vec::new(),
                head_received_at: 0.0,
                keep_alive: true,
                minor: 1,
                framing: Framing::None,
                timeout_at: until,
                interest: CLIENT,
                usage: ConnectionUsage::default(),
                customer: None,
                progressed: false,
                unread_check_at: f64::INFINITY,
                closing: false,
            });
            io.timers.set(until, Timer::ClientTimeout(slot, generation));
        }
        false
    }

    /// Sets when the connection's patience ends. An earlier alarm finds the later time and sets itself again.
    fn set_timeout(&mut self, io: &mut Io, slot: usize, after: f64) {
        let until = io.now() + after;
        let Some(client) = self.connections.get_mut(slot) else { return };
        let sooner = until < client.timeout_at;
        client.timeout_at = until;
        if sooner {
            io.timers.set(until, Timer::ClientTimeout(slot, client.generation));
        }
    }

    /// A connection's alarm.
    pub fn handle_timeout(&mut self, io: &mut Io, config: &Config, slot: usize, generation: u32) {
        let now = io.now();
        let known = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(client) = known else { return };
        if client.unread_check_at <= now {
            client.unread_check_at = f64::INFINITY;
            let cut = self.budget.reset_at(&client.usage);
            if cut <= now {
                tracing::debug!(customer = client.customer.as_deref(), "cut: its client does not read");
                client.socket.reset_on_close();
                return self.handle_disconnect(slot);
            }
            if cut.is_finite() {
                client.unread_check_at = cut;
                io.timers.set(cut, Timer::ClientTimeout(slot, generation));
            }
        }
        if matches!(client.phase, ConnectionPhase::Responding(_) | ConnectionPhase::AwaitingAdmission) {
            // The request's own time rules; look again when it can be over.
            client.timeout_at = now + config.limits.idle_time;
        }
        if client.timeout_at > now {
            return io.timers.set(client.timeout_at, Timer::ClientTimeout(slot, generation));
        }
        match client.phase {
            ConnectionPhase::ReadingHead | ConnectionPhase::ReadingBody(_) if client.is_in_request() => {
                self.respond(io, config, slot, &front::request_timeout_response(), None)
            }
            _ => self.remove(slot),
        }
    }

    pub fn handle_readiness(
        &mut self, io: &mut Io, config: &Config, slot: usize, generation: u32, ready: Ready,
    ) {
        let known = self.connections.get_mut(slot).filter(|c| c.generation == generation);
        let Some(client) = known else { return };
        if ready.ended {
            // A client that ends its side is taken as gone: it is how a tool that gives up looks.
            return self.handle_disconnect(slot);
        }
        if ready.read {
            if let ConnectionPhase::Lingering = client.phase {
                client.socket.input.clear();
            }
            let idle = client.socket.input.is_empty();
            let (count, flow) = client.socket.read();
            if flow != Flow::Open {
                return self.handle_disconnect(slot);
            }
            if count > 0 {
                self.last_input_at = io.now();
            }
            if count > 0 && idle && matches!(client.phase, ConnectionPhase::ReadingHead) {
                self.set_timeout(io, slot, config.limits.head_time);
            }
            self.decode_input(io, config, slot);
        }
        if ready.write {
            self.flush(config, slot);
            // A request that waited until its client has read on.
            self.decode_input(io, config, slot);
        }
        self.update_registration(io, slot);
    }

    /// The client is gone: whoever has its request is told.
    fn handle_disconnect(&mut self, slot: usize) {
        let Some(client) = self.connections.get(slot) else { return };
        if let ConnectionPhase::Responding(id) = client.phase {
            self.events.push_back(ClientEvent::Disconnected(id));
        }
        self.remove(slot);
    }

    fn remove(&mut self, slot: usize) {
        if let Some(client) = self.connections.try_remove(slot) {
            self.budget.remove_connection(&client.usage);
        }
    }

    /// How many connections are midway: in a request that has not come whole, or in an answer that is not read whole.
    pub fn busy_count(&self) -> usize {
        self.connections.iter().filter(|(_, client)| client.is_busy()).count()
    }

    /// All is answered: who rests is closed, half a request has its last word, and last answers go on to be read. An
    /// answer that broke off is reset, so that its client cannot take it for whole.
    pub fn finish_all(&mut self, io: &mut Io, config: &Config) {
        let slots: Vec<usize> = self.connections.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(client) = self.connections.get_mut(slot) else { continue };
            match client.phase {
                ConnectionPhase::Responding(_) | ConnectionPhase::AwaitingAdmission => self.reset(slot),
                ConnectionPhase::ReadingHead | ConnectionPhase::ReadingBody(_) if client.is_in_request() => {
                    self.respond(io, config, slot, &front::gateway_full("the gateway is stopping"), None);
                }
                _ if !client.is_busy() => self.remove(slot),
                ConnectionPhase::Lingering => {}
                _ => {
                    client.closing = true;
                    self.update_registration(io, slot);
                }
            }
        }
    }

    /// Reads on in what a client sent, until a request is whole or more is needed.
    fn decode_input(&mut self, io: &mut Io, config: &Config, slot: usize) {
        loop {
            let Some(client) = self.connections.get_mut(slot) else { return };
            if client.closing
                || matches!(
                    client.phase,
                    ConnectionPhase::Responding(_)
                        | ConnectionPhase::AwaitingAdmission
                        | ConnectionPhase::Lingering
                )
            {
                return;
            }
            if matches!(client.phase, ConnectionPhase::ReadingHead)
                && !self.budget.may_start_request(client.socket.pending())
            {
                return;
            }
            let (used, part) = match client.decoder.decode(&client.socket.input) {
                Ok(found) => found,
                Err(fault) => return self.respond(io, config, slot, &front::malformed(fault), None),
            };
            match part {
                None => {
                    client.socket.consume(used);
                    return;
                }
                Some(Part::Data(data)) => {
                    client.body.extend_from_slice(data);
                    client.socket.consume(used);
                }
                Some(Part::Head(head)) => {
                    client.socket.consume(used);
                    client.keep_alive = head.keep_alive && !self.announce_close;
                    (client.minor, client.head_received_at) = (head.minor, io.now());
                    let wants_word = head.expects_continue() && head.framing != Framing::None;
                    let read_on = |caller: RequestHead| match self.budget.check_buffers(&caller.customer.name)
                    {
                        Ok(()) => Ok(caller),
                        Err(full) => Err(front::gateway_full(full.message())),
                    };
                    let caller = match front::check_head(config, &head).and_then(read_on) {
                        Ok(caller) => caller,
                        Err(reply) => return self.respond(io, config, slot, &reply, None),
                    };
                    client.customer = Some(caller.customer.name.clone());
                    client.phase = ConnectionPhase::ReadingBody(Box::new(caller));
                    if wants_word && client.socket.input.is_empty() {
                        client.socket.output().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        client.socket.flush();
                    }
                    self.set_timeout(io, slot, config.limits.body_time);
                }
                Some(Part::End) => {
                    client.socket.consume(used);
                    let (body, head_at) = (std::mem::take(&mut client.body), client.head_received_at);
                    let ConnectionPhase::ReadingBody(caller) =
                        std::mem::replace(&mut client.phase, ConnectionPhase::AwaitingAdmission)
                    else {
                        client.phase = ConnectionPhase::ReadingHead;
                        continue;
                    };
                    self.events.push_back(ClientEvent::RequestReceived { slot, caller, body, head_at });
                }
            }
        }
    }

    /// A call is taken on as this request.
    pub fn request_admitted(&mut self, slot: usize, id: RequestId) {
        if let Some(client) = self.connections.get_mut(slot) {
            client.phase = ConnectionPhase::Responding(id);
        }
    }

    /// Writes an answer of the gateway's own and makes the connection ready for what comes next.
    pub fn respond(
        &mut self, io: &mut Io, config: &Config, slot: usize, reply: &Response, name: Option<&Name>,
    ) {
        let going = self.announce_close;
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.keep_alive &= !going;
        front::write(client.socket.output(), reply, client.keep_alive, name);
        client.keep_alive &= !reply.close;
        self.finish_response(io, config, slot);
    }

    /// Writes bytes of an answer that is passed on, with its head in front of the first; how many wait to be read.
    pub fn forward(
        &mut self, io: &mut Io, config: &Config, slot: usize, head: Option<ForwardedHead>, name: &Name,
        bytes: &[u8],
    ) -> usize {
        let going = self.announce_close;
        let Some(client) = self.connections.get_mut(slot) else { return 0 };
        if let Some(head) = head {
            let framing = match head.framing {
                Framing::Length(n) => Framing::Length(n),
                _ if client.minor == 0 => Framing::Close,
                _ => Framing::Chunked,
            };
            client.framing = framing;
            client.keep_alive &= framing != Framing::Close && !going;
            let mut fields =
                vec![("content-type", head.content_type.as_str()), (front::REQUEST_ID_FIELD, name)];
            fields.extend(head.cookies.iter().map(|c| ("set-cookie", c.as_str())));
            if !client.keep_alive && framing != Framing::Close {
                fields.push(("connection", "close"));
            }
            response_head(client.socket.output(), head.status, &fields, framing);
        }
        if client.framing == Framing::Chunked {
            chunk(client.socket.output(), bytes);
        } else {
            client.socket.output().extend_from_slice(bytes);
        }
        let pending = client.socket.pending();
        self.flush(config, slot);
        self.update_registration(io, slot);
        pending
    }

    /// The answer that was passed on is at its end.
    pub fn end_response(&mut self, io: &mut Io, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.framing == Framing::Chunked {
            chunk_end(client.socket.output());
        }
        self.finish_response(io, config, slot);
    }

    /// Breaks the connection, so that its client cannot take what it has for the whole.
    pub fn reset(&mut self, slot: usize) {
        if let Some(client) = self.connections.get(slot) {
            client.socket.reset_on_close();
        }
        self.remove(slot);
    }

    /// A whole answer is in the connection's output.
    fn finish_response(&mut self, io: &mut Io, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        client.phase = ConnectionPhase::ReadingHead;
        client.closing = !client.keep_alive;
        self.set_timeout(io, slot, config.limits.idle_time);
        self.flush(config, slot);
        self.update_registration(io, slot);
    }

    /// Goes on with what a client sent behind the request that was answered.
    pub fn resume_input(&mut self, io: &mut Io, config: &Config, slot: usize) {
        self.decode_input(io, config, slot);
        self.update_registration(io, slot);
    }

    /// Writes what waits; tells when the client has taken enough for more.
    fn flush(&mut self, config: &Config, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        let before = client.socket.pending();
        let flow = client.socket.flush();
        client.progressed |= client.socket.pending() < before;
        if flow == Flow::Broken {
            return self.handle_disconnect(slot);
        }
        if let (true, ConnectionPhase::Responding(id)) =
            (client.socket.pending() <= config.limits.client_buffer / 2, &client.phase)
        {
            self.events.push_back(ClientEvent::ReadyForMore(*id));
        }
    }

    /// Brings the connection's registration and accounts in line with its state.
    fn update_registration(&mut self, io: &mut Io, slot: usize) {
        let Some(client) = self.connections.get_mut(slot) else { return };
        if client.closing
            && client.socket.pending() == 0
            && !matches!(client.phase, ConnectionPhase::Lingering)
        {
            // Closing with input unread would reset the connection and could destroy our answer on its way
            // (RFC 9112 section 9.6): end our side, and read over what comes for a while.
            client.phase = ConnectionPhase::Lingering;
            client.socket.end_writing();
            client.socket.input = Vec::new();
            self.set_timeout(io, slot, LINGER);
        }
        let Some(client) = self.connections.get_mut(slot) else { return };
        let unread = client.socket.pending();
        let waits =
            matches!(client.phase, ConnectionPhase::ReadingHead) && !self.budget.may_start_request(unread);
        let answering =
            matches!(client.phase, ConnectionPhase::Responding(_) | ConnectionPhase::AwaitingAdmission)
                || client.closing
                || waits;
        let lingering = matches!(client.phase, ConnectionPhase::Lingering);
        let read = lingering || !answering || client.socket.input.len() < PIPELINED;
        let interest = Interest::of(read, unread > 0).with_end();
        let bytes = (client.socket.input.len() + client.body.len() + unread) as u64;
        let taken = std::mem::take(&mut client.progressed);
        self.budget.update(io.now(), &mut client.usage, client.customer.as_ref(), bytes, unread, taken);
        let cut = self.budget.reset_at(&client.usage);
        if cut.is_finite() && client.unread_check_at.is_infinite() {
            client.unread_check_at = cut;
            io.timers.set(cut, Timer::ClientTimeout(slot, client.generation));
        }
        if interest != client.interest {
            client.interest = interest;
            let token = Token::Client(slot, client.generation).pack();
            let _ = io.poller.change(&client.socket, token, interest);
        }
    }
}

fn bounds(config: &Config) -> ClientLimits {
    let limits = &config.limits;
    ClientLimits {
        // What the system allows is shared with the nodes' side and the program's own files; who comes on top is told so.
        max_connections: limits.connections.min(DescriptorBudget::for_limit(most_descriptors()).clients),
        max_requests: limits.requests,
        max_buffered_bytes: limits.buffered,
        max_customer_bytes: limits.customer_bytes,
        max_unread_bytes: limits.client_buffer,
        unread_timeout: limits.unread_time,
    }
}
