"""Stand-ins for the cases of this review: clients, backends, discovery agent and counter of the users' platform, on
loopback sockets and the real clock, and the start of the project's gateways by the commands of the deploy file.

Everything runs in one asyncio loop; only the gateways are processes of their own. A case subclasses a stand-in where
its disruption needs it. Written from the users' protocol page; where that is silent, a stand-in behaves soundly.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
LIMIT_S = 110.0


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """What was sent, answered and run, one line an event; times in ms since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():10.1f} {event} {text}\n")

    def close(self):
        self.file.close()


record = None


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def bulk(data):
    data = data if isinstance(data, bytes) else data.encode()
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def served(value):
    """A backend's answer: the value, no figure on use, no load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


def parse_command(buffer):
    """The first command in the buffer and its length, or None."""
    if not buffer:
        return None
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    count, position, words = int(buffer[1:end]), end + 2, []
    for _ in range(count):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        length = int(buffer[position + 1:end])
        if len(buffer) < end + 2 + length + 2:
            return None
        words.append(bytes(buffer[end + 2:end + 2 + length]))
        position = end + 2 + length + 2
    return words, position


def parse_answer(buffer):
    """The first answer in the buffer, as (kind, text), and its length, or None."""
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    head = bytes(buffer[:end])
    if head[:1] in (b"+", b"-"):
        return (head[:1].decode(), head[1:].decode(errors="replace")), end + 2
    if head[:1] == b"$":
        length = int(head[1:])
        if length < 0:
            return ("null", ""), end + 2
        if len(buffer) < end + 2 + length + 2:
            return None
        return ("$", bytes(buffer[end + 2:end + 2 + length])), end + 2 + length + 2
    return ("?", head.decode(errors="replace")), end + 2


class BackendConnection(asyncio.Protocol):
    def __init__(self, backend):
        self.backend, self.buffer, self.open = backend, bytearray(), False
        self.waiting = 0  # commands read and not answered yet

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.backend.connections.add(self)
        self.backend.connected(self)

    def connection_lost(self, exc):
        self.open = False
        self.backend.connections.discard(self)
        self.backend.disconnected(self)

    def data_received(self, data):
        self.buffer += data
        while (parsed := parse_command(self.buffer)) is not None:
            words, length = parsed
            del self.buffer[:length]
            self.waiting += 1
            self.backend.received(self, words)

    def answer(self, data):
        self.waiting -= 1
        if self.open:
            self.transport.write(data)


class Backend:
    """Runs each command for a service time and answers with a value that names the request."""

    def __init__(self, name, cell=1, service_ms=(15, 40), rng=None):
        self.name, self.cell, self.service_ms = name, cell, service_ms
        self.rng = rng or random.Random(f"{SEED}-{name}")
        self.connections, self.health, self.born_ms = set(), "active", 0
        self.port = None

    async def start(self, port=0, backlog=100):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BackendConnection(self), "127.0.0.1", port, backlog=backlog)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall", "class": "std", "block": self.cell,
                "health": self.health, "share": 1.0, "born_ms": self.born_ms}

    def connected(self, connection):
        pass

    def disconnected(self, connection):
        pass

    def received(self, connection, words):
        name = words[0].upper()
        if name == b"PING":
            return connection.answer(b"+PONG\r\n")
        if name not in (b"Q.ASK", b"Q.DO"):
            return connection.answer(b"-NOPERM\r\n")
        self.run(connection, words)

    def run(self, connection, words):
        request = words[2].decode()
        record.add("run", backend=self.name, request=request, fields=words[3].decode())
        low, high = self.service_ms
        asyncio.get_running_loop().call_later(self.rng.uniform(low, high) / 1000.0, self.done, connection, words)

    def value(self, words):
        return b"value-of-" + words[2]

    def done(self, connection, words):
        connection.answer(served(self.value(words)))


class Agent:
    """Discovery on a gateway's own machine: the list, and watches that bring its changes."""

    def __init__(self, backends):
        self.backends, self.seq, self.watches = backends, 1, set()
        self.delay_s = 0.0  # time from a call to its answer
        self.first_delay_s = {}
        self.told = {}  # per backend: when its present health was written to a gateway first

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.heartbeat())
        return self

    def whole(self):
        hosts = [b.entry() for b in self.backends if b.health != "left"]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}, separators=(",", ":"))

    async def heartbeat(self):
        while True:
            await asyncio.sleep(2.0)
            for writer in list(self.watches):
                self.chunk(writer, "")

    def chunk(self, writer, text):
        data = text.encode() + b"\n"
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except Exception:
            self.watches.discard(writer)

    def change(self, backends):
        """Tells all watches of the present state of these backends."""
        self.seq += 1
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [b.entry() for b in backends]},
                          separators=(",", ":"))
        for writer in list(self.watches):
            self.chunk(writer, line)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                await self.call(target, writer)
        except Exception:
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def call(self, target, writer):
        record.add("discovery-call", target=target)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if writer.is_closing():
            return
        record.add("discovery-answer", target=target, seq=self.seq)
        if "watch=1" in target:
            known = int(target.split("from=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.chunk(writer, self.whole() if known != self.seq else "")
            self.watches.add(writer)
        else:
            body = self.whole().encode() + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (len(body), body))


class Counter:
    def __init__(self, delay_ms=1.0):
        self.totals, self.delay_ms = {}, delay_ms

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path, query = head.split()[1].decode().split("?")
                fields = dict(pair.split("=") for pair in query.split("&"))
                name, now = path.rsplit("/", 1)[1], time.monotonic()
                await asyncio.sleep(self.delay_ms / 1000.0)
                total, ends = self.totals.get(name, (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(float(fields["ttl_ms"]), 60000.0) / 1000.0
                total += float(fields["add"])
                self.totals[name] = (total, ends)
                record.add("count", name=name, add=fields["add"], total=f"{total:.7g}")
                body = b"%.7g" % total
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except Exception:
            pass
        finally:
            writer.close()


CLASSES = [
    # name, effect, group, window ms, aim ms, deadline ms, worth
    ("lookup", "idempotent", "all", 5000.0, 800.0, 2500.0, 2.0),
    ("save", "deduplicated", "cell", 4000.0, 800.0, 2000.0, 3.0),
    ("order", "at_most_once", "all", 5000.0, 500.0, 1200.0, 5.0),
]


def plan(name, rate, burst, ceiling=0.0):
    return {"name": name, "refill": rate, "burst": burst, "cap-rate": rate * ceiling, "ceiling-burst": burst * ceiling,
            "ceiling-slack": max(burst * ceiling * 0.1, 1.0) if ceiling else 0.0, "over-worth": 0.0,
            "overrun-cost": 1.0, "parallel": 0, "worth-factor": 1.0}


def settings(number, gateways, plans, classes=CLASSES, drain_grace_ms=250.0):
    return {
        "classes": [{"name": n, "effect": e, "dedup-scope": g, "window-ms": w, "goal-time-ms": aim,
                     "hard-limit-ms": limit, "late-value": 0.2, "stream": False, "worth": worth}
                    for n, e, g, w, aim, limit, worth in classes],
        "clients": {"marks-retry": True}, "discovery": "pushed", "domain-type": "gate",
        "extra": {"call-price": 0.005, "count-limit-ms": 50.0, "has-counter": True, "metering-ms": 0.0,
                  "peer-in-per-s": 0.0, "trued-up": False, "units-top": 1},
        "fleet-size": gateways, "my-number": number, "layer": 0, "layers": ["hall-fleet"], "kinds": ["std"],
        "load-info": {"fields": [], "source": "off"}, "locality": "hall", "zones": ["hall"], "period-ms": 4.0,
        "permissions": {"dial-timeout-ms": 250.0, "keepalive-ms": 30000.0, "max-open": 24204,
                        "max-retry-after-ms": 2000.0, "max-streams": 100, "may-cancel": True, "most-tries": 6,
                        "peers": False, "probes": False, "retry-after": True, "second-copies": False},
        "plans": plans, "prices": {"cross-zone": 0.0}, "weights": "off",
        "rules": {"answer-slack-ms": 16.0, "ask-every-ms": 10000.0, "cold-from": 0.2, "cold-ms": 18000.0,
                  "drain-grace-ms": drain_grace_ms, "fall-ms": 3000.0, "overload-factor": 2.0},
    }


class Gateway:
    """One gateway process, started by the `run` command of the deploy file."""

    def __init__(self, folder, number, gateways, agent, counter, plans, sockets=512, known=None, **more):
        self.folder, self.number, self.agent, self.counter = folder, number, agent, counter
        self.port, self.sockets, self.process, self.starts = free_port(), sockets, None, 0
        self.known = known
        self.settings = settings(number, gateways, plans, **more)

    def write_config(self):
        config = {"name": f"n{self.number}", "listen": f"127.0.0.1:{self.port}",
                  "discovery": f"127.0.0.1:{self.agent.port}", "counter": f"127.0.0.1:{self.counter.port}",
                  "seed": f"{random.Random(f'{SEED}-{self.number}-{self.starts}').getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.sockets},
                  "known": self.known or json.loads(self.agent.whole()), "settings": self.settings}
        self.path = os.path.join(self.folder, f"n{self.number}.json")
        with open(self.path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.path + ".new", self.path)
        return config

    async def start(self):
        self.starts += 1
        config = self.write_config()
        environment = dict(os.environ, RELAY_NAME=config["name"], RELAY_LISTEN=config["listen"],
                           RELAY_DISCOVERY=config["discovery"], RELAY_CONFIG=self.path)
        log = os.environ.get("KEEP_LOGS")
        out = open(os.path.join(log, f"n{self.number}.log"), "a") if log else subprocess.DEVNULL
        self.process = subprocess.Popen(["/bin/sh", "-c", "exec target/release/doorcourse platform"], cwd=ROOT,
                                        env=environment, stdout=out, stderr=out, start_new_session=True)
        record.add("gateway-start", gateway=config["name"], port=self.port)
        for _ in range(400):
            if self.process.poll() is not None:
                raise CannotRun("the gateway ended at its start")
            if await self.is_ready():
                record.add("gateway-ready", gateway=config["name"])
                return self
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway was not ready in time")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(command("PING"))
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return answer == b"+PONG\r\n"
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        record.add("signal", gateway=f"n{self.number}", signal=number.name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class ClientConnection(asyncio.Protocol):
    def __init__(self, client):
        self.client, self.buffer, self.expected, self.open = client, bytearray(), [], True

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        self.buffer += data
        while self.buffer and (parsed := parse_answer(self.buffer)) is not None:
            answer, length = parsed
            del self.buffer[:length]
            if self.expected:
                future = self.expected.pop(0)
                if not future.done():
                    future.set_result(answer)
            else:
                record.add("answer-to-nothing", answer=answer)

    def connection_lost(self, exc):
        self.open = False
        for future in self.expected:
            if not future.done():
                future.set_result(("closed", str(exc)))
        self.expected = []
        self.client.forget(self)


class Client:
    """The clients of one gateway: idle connections are used again, and more are opened once all are busy."""

    def __init__(self, gateway):
        self.gateway, self.idle = gateway, []

    def forget(self, connection):
        if connection in self.idle:
            self.idle.remove(connection)

    async def connect(self):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: ClientConnection(self), "127.0.0.1", self.gateway.port)
        return connection

    async def request(self, request_class, plan_name, customer, deadline_ms, request=None, spread=1, first=0,
                      body=b"", key=None, units=1):
        """Sends one request and returns its id and its answer, ("late", "") once its time is up by a second."""
        request = request or f"{random.getrandbits(64):016x}"
        ask = next(effect for name, effect, *_ in CLASSES if name == request_class) == "idempotent"
        fields = f"c={request_class},t={plan_name},d={deadline_ms}"
        if request_class == "save":
            fields += f",k={key or request}"
        fields += f",units={units},spread={spread},first={first}"
        words = ["Q.ASK" if ask else "Q.DO", customer, request, fields] + ([body] if body else [])
        for attempt in range(2):
            try:
                connection = self.idle.pop() if self.idle else await self.connect()
            except OSError as error:
                return request, ("unreachable", str(error))
            future = asyncio.get_running_loop().create_future()
            connection.expected.append(future)
            record.add("send", request=request, gateway=f"n{self.gateway.number}", customer=customer, fields=fields)
            connection.transport.write(command(*words))
            try:
                answer = await asyncio.wait_for(asyncio.shield(future), deadline_ms / 1000.0 + 1.0)
            except asyncio.TimeoutError:
                answer = ("late", "")
            if answer[0] == "closed" and attempt == 0:
                record.add("closed", request=request)
                continue  # a close that crossed the request: once more on a new connection
            break
        text = answer[1].decode(errors="replace")[:60] if isinstance(answer[1], bytes) else answer[1]
        record.add("answer", request=request, kind=answer[0], text=repr(text))
        if connection.open and answer[0] != "late":
            self.idle.append(connection)
        elif connection.open:
            connection.transport.abort()
        return request, answer


async def wait_until(condition, limit_s, step_s=0.01):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(step_s)
    return False


def run_case(play, record_path):
    """Plays a case and writes its record: `play(folder, gateways)` appends each gateway to `gateways` and returns what broke the rule."""
    global record
    record = Record(record_path)
    random.seed(SEED)
    folder, gateways, code = tempfile.mkdtemp(prefix="review-"), [], 2
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder, gateways), LIMIT_S))
        for line in broken:
            record.add("BROKEN", what=line)
            print(f"broken: {line}")
        code = 1 if broken else 0
        print("the rule was broken" if broken else "the rule held", f"(TROUBLE={int(TROUBLE)}, SEED={SEED})")
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
    finally:
        for gateway in gateways:
            gateway.end()
        shutil.rmtree(folder, ignore_errors=True)
        record.add("end", code=code)
        record.close()
    sys.exit(code)
