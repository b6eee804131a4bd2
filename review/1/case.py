"""A keyed request whose connection is reset after it has run is sent to a backend of another site."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import Backend, Counter, Discovery, Front, Gateway, abort_with_reset, command, main, new_id  # noqa: E402

SITES = ["floor-2", "floor-3"]
# How long the backends of one site drop a repeat of a key, in ms.
WINDOW_MS = 2500.0
DEADLINE_MS = 2500
REQUESTS = 150
# One request in so many loses the connection of its first attempt.
RESET_EVERY = 5

SETTINGS = {
    "classes": [
        {"name": "checkin", "effect": "idempotent", "dedup-scope": "all", "goal-time-ms": 600.0, "hard-limit-ms": 2500.0,
         "late-value": 0.0, "stream": False, "window-ms": 5000.0, "worth": 1.0},
        {"name": "renewal", "effect": "deduplicated", "dedup-scope": "zone", "goal-time-ms": 800.0,
         "hard-limit-ms": 2500.0, "late-value": 0.0, "stream": False, "window-ms": WINDOW_MS, "worth": 3.0}],
    "clients": {"marks-retry": True},
    "discovery": "pushed",
    "domain-type": "gate",
    "extra": {"call-price": 0.01, "count-limit-ms": 80.0, "has-counter": True, "metering-ms": 0.0,
              "peer-in-per-s": 0.0, "trued-up": False, "units-top": 4},
    "fleet-size": 2,
    "kinds": ["std-2core"],
    "load-info": {"fields": [], "source": "off"},
    "locality": "floor-2",
    "my-number": 0,
    "period-ms": 2.0,
    "permissions": {"dial-timeout-ms": 250.0, "keepalive-ms": 30000.0, "max-retry-after-ms": 2000.0, "max-streams": 32,
                    "may-cancel": True, "most-tries": 3, "peers": False, "probes": False, "retry-after": True,
                    "second-copies": False},
    "plans": [{"name": "large-club", "refill": 28.0, "burst": 84.0, "cap-rate": 0.0, "ceiling-burst": 0.0,
               "ceiling-slack": 0.0, "parallel": 0, "over-worth": 0.0, "overrun-cost": 1.0, "worth-factor": 1.4}],
    "prices": {"cross-zone": 0.01, "waste": 0.05},
    "rules": {"answer-slack-ms": 16.0, "ask-every-ms": 10000.0, "cold-from": 0.26, "cold-ms": 18000.0,
              "drain-grace-ms": 1000.0, "fall-ms": 3000.0, "overload-factor": 2.5},
    "weights": "off",
    "zones": SITES,
}


class Effects:
    """What the backends have run. Those of one site share the memory of keys."""

    def __init__(self, record):
        self.record = record
        self.memory = {}
        self.runs = {}

    def run(self, attempt):
        key = attempt.fields["k"]
        now = self.record.now()
        site = attempt.backend.site
        at = self.memory.get((site, key))
        if at is not None and now - at <= WINDOW_MS:
            self.record.note(attempt.backend.name, "dropped_repeat", id=attempt.id, key=key)
            return
        self.memory[site, key] = now
        self.runs.setdefault(attempt.id, []).append(f"{attempt.backend.name} of {site} at {now:.0f} ms")
        self.record.note(attempt.backend.name, "ran", id=attempt.id, key=key, site=site)


async def run(record, folder, is_troubled):
    effects = Effects(record)
    to_reset = set()

    async def serve(attempt):
        await asyncio.sleep(random.uniform(0.076, 0.130))
        if "k" in attempt.fields:
            effects.run(attempt)
            if attempt.id in to_reset:
                # The connection is reset under a request that has begun; here it has just run.
                to_reset.discard(attempt.id)
                record.note(attempt.backend.name, "reset", id=attempt.id)
                return abort_with_reset(attempt.connection.writer)
        await attempt.backend.answer(attempt, f"{attempt.id} by {attempt.backend.name}")

    backends = [await Backend(record, f"s-{n:02d}", SITES[n % 2], n % 2, serve).start() for n in range(8)]
    counter = await Counter().start()
    discovery = await Discovery(record, backends).start()
    gateways = []
    try:
        for number in range(2):
            config = {"discovery": discovery.address, "counter": counter.address, "known": discovery.known(),
                      "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                      "settings": dict(SETTINGS, **{"my-number": number, "locality": SITES[number]})}
            gateways.append(await Gateway(record, folder, number, config).start())
        for gateway in gateways:
            await gateway.wait_until_ready()
        fronts = [Front(record, gateway, f"front-{gateway.name}") for gateway in gateways]

        async def renew(number):
            await asyncio.sleep(number * 0.06)
            customer = "%016x" % (number % 20 + 1)
            arguments = command("renewal", False, "large-club", DEADLINE_MS, customer, 2, 0, key=new_id())
            if is_troubled and number % RESET_EVERY == 0:
                to_reset.add(arguments[2])
            return await fronts[number % 2].ask(arguments, DEADLINE_MS / 1000.0 + 0.6)

        answers = await asyncio.gather(*(renew(number) for number in range(REQUESTS)))
        await asyncio.sleep(0.5)
    finally:
        for gateway in gateways:
            await gateway.end()
    served = sum(isinstance(answer, bytes) for answer in answers)
    record.note("case", "counts", requests=REQUESTS, served=served)
    twice = {request: runs for request, runs in effects.runs.items() if len(runs) > 1}
    return [f"request {request} ran {len(runs)} times: {', '.join(runs)}" for request, runs in twice.items()]


main(__file__, run, is_troubled=os.environ.get("TROUBLE", "1") != "0")
