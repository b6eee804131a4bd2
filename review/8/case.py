"""A plan with a hard ceiling and no rate quota: is the ceiling kept while one account floods?"""
import asyncio
import collections
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig

GATEWAYS = 2
CEILING_RATE, CEILING_BURST, SLACK, OPEN = 25.6, 25.6, 2.56, 8
ACCOUNTS, CALM, FLOOD, FLOOD_S = 24, 5.0, 66.0, 8.0  # requests a second of an account, and of the flood beside them


class Store:
    """The ceiling's store of one customer, as the pages state it."""

    def __init__(self):
        self.units, self.at, self.low = CEILING_BURST, rig.record.now(), CEILING_BURST

    def draw(self):
        now = rig.record.now()
        self.units = min(self.units + CEILING_RATE * (now - self.at) / 1000.0, CEILING_BURST) - 1.0
        self.at, self.low = now, min(self.low, self.units)


async def play(folder, gateways):
    backends = [await rig.Backend(f"s-{i:08x}", service_ms=(15, 40)).start() for i in range(6)]
    agent, counter = await rig.Agent(backends).start(), await rig.Counter().start()
    plan = dict(rig.plan("publisher", 0.0, 0.0), parallel=OPEN)
    plan.update({"cap-rate": CEILING_RATE, "ceiling-burst": CEILING_BURST, "ceiling-slack": SLACK})
    for number in range(GATEWAYS):
        gateways.append(rig.Gateway(folder, number, GATEWAYS, agent, counter, [plan, rig.plan("studio", 4.0, 16.0)]))
        await gateways[-1].start()
    clients = [rig.Client(gateway) for gateway in gateways]
    rng, tasks, kinds = random.Random(rig.SEED), set(), collections.Counter()
    stores, customer_of, drawn = collections.defaultdict(Store), {}, set()

    def run(backend):
        def first_attempt(connection, words):
            if words[2] not in drawn:
                drawn.add(words[2])
                stores[customer_of[words[2].decode()]].draw()
            rig.Backend.run(backend, connection, words)
        return first_attempt

    for backend in backends:
        backend.run = run(backend)

    async def one(customer):
        request = f"{rng.getrandbits(64):016x}"
        customer_of[request] = customer
        _, answer = await clients[rng.randrange(GATEWAYS)].request("lookup", "publisher", customer, 2500,
                                                                   request=request, spread=GATEWAYS)
        kinds["served" if answer[0] == "$" else answer[1][:4]] += 1

    async def ask(customer, rate, start_s, end_s):
        await asyncio.sleep(start_s)
        until = time.monotonic() + end_s - start_s
        while time.monotonic() < until:
            await asyncio.sleep(rng.expovariate(rate))
            task = asyncio.create_task(one(customer))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    names = [f"{0x1a2b + 7919 * i:016x}" for i in range(ACCOUNTS)]
    asks = [ask(name, CALM, 0.0, 20.0) for name in names]
    if rig.TROUBLE:
        asks.append(ask(names[0], FLOOD, 6.0, 6.0 + FLOOD_S))
    await asyncio.gather(*asks)
    await asyncio.gather(*tasks)
    allowed = -(SLACK + CEILING_RATE * 0.15)
    print(f"answers {dict(kinds)}; lowest store {min(s.low for s in stores.values()):.1f}, allowed {allowed:.1f}")
    return [f"the ceiling of customer {name} was passed: its store fell to {store.low:.1f}, allowed {allowed:.1f}"
            for name, store in stores.items() if store.low < allowed]


rig.run_case(play, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
