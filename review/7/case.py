"""Discovery that is slow: does a drain reach the gateway in the time that the pages state?"""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig

ANSWER_S = 1.3  # from a call to discovery to its answer
TOLD_MS = 6000.0  # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE_MS = 250.0 + 50.0  # the settings' grace, and 50 ms for every time limit
RATE = 60.0


async def play(folder, gateways):
    backends = [await rig.Backend(f"s-{i:08x}").start() for i in range(4)]
    agent = await rig.Agent(backends).start()
    if rig.TROUBLE:
        agent.delay_s = ANSWER_S
    counter = await rig.Counter().start()
    gateway = rig.Gateway(folder, 0, 1, agent, counter, [rig.plan("studio", 200.0, 600.0)])
    gateways.append(gateway)
    await gateway.start()
    client = rig.Client(gateway)
    tasks, rng = set(), random.Random(rig.SEED)
    ran = []  # (time, backend)
    for backend in backends:
        backend.run = lambda connection, words, b=backend: (
            ran.append((rig.record.now(), b.name)), rig.Backend.run(b, connection, words))
    start, drained, drained_at = time.monotonic(), backends[0], None
    while time.monotonic() < start + 20.0:
        if drained_at is None and time.monotonic() > start + 4.0:
            drained.health, drained_at = "leaving", rig.record.now()
            agent.change([drained])
            rig.record.add("drain", backend=drained.name)
        customer = f"{rng.randrange(1, 40):016x}"
        task = asyncio.create_task(client.request(rng.choice(["lookup", "order"]), "studio", customer, 1200))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(RATE))
    await asyncio.gather(*tasks)
    late = [at for at, name in ran if name == drained.name and at > drained_at + TOLD_MS + GRACE_MS]
    before = sum(1 for at, name in ran if name == drained.name and at < drained_at)
    print(f"{len(ran)} runs, {before} at {drained.name} before its drain, {len(late)} after the grace")
    if before == 0:
        raise rig.CannotRun("nothing was sent to the backend before its drain")
    return [f"{len(late)} requests to {drained.name}, the last {late[-1] - drained_at:.0f} ms after discovery had "
            f"its drain"] if late else []


rig.run_case(play, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
