"""ONE: an order of a former leader reaches a server after an order of the next leader.

The link of one server is cut for 5 s. The leader sends an order into the cut, then gets SIGTERM. The next leader
waits the time that must lie between two holders, and orders. Then TCP delivers what the first one sent.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import ZONES, CannotRun, Engine, Fleet, call, main  # noqa: E402
from link import Link  # noqa: E402

# `srv_cut`: share 0.2 of the servers, for 5 s. One of five engines.
ENGINES, CUT_S = 5, 5.0
LOAD_S = 0.4


class OrderedEngine(Engine):
    """An engine that records the orders that reach it, and takes `LOAD_S` to load a version."""

    def __init__(self, listed, *arguments):
        super().__init__(*arguments)
        self.listed, self.orders, self.is_loading = listed, [], False

    def entry(self):
        return {**super().entry(), "address": self.listed}

    async def run(self, method, target, headers, body, writer, answered):
        if target != "/api/order":
            return await super().run(method, target, headers, body, writer, answered)
        order = json.loads(body)
        self.orders.append((time.monotonic(), order["holder"], order["fence"], order["edition"]))
        status = self.take(order)
        self.log.record(f"order at {self.id}: {json.dumps(order)}: {status}")
        return await self.send(writer, status)

    def take(self, order):
        if self.is_loading:
            return 409
        if order["edition"] == self.version:
            return 200
        self.is_loading, self.calls = True, self.calls + 1
        asyncio.get_running_loop().call_later(LOAD_S, self.loaded, order["edition"])
        return 202

    def loaded(self, version):
        self.version, self.is_loading = version, False


async def name_version(fleet, record, version):
    body = json.dumps({"model": fleet.names["model"], "edition": version}).encode()
    for attempt in range(30):
        status, *_ = await call(fleet.control(attempt % 3), "POST", "/api/version-put",
                                {"Content-Type": "application/json"}, body, 2.0)
        record(f"version {version} named at node {attempt % 3 + 1}: {status}")
        if status == 200:
            return
        await asyncio.sleep(0.2)
    raise CannotRun(f"version {version} was not acknowledged")


async def restart(machine, grace_s):
    """Stops a machine's process as the platform does, and starts it again once it has ended."""
    machine.signal(signal.SIGTERM)
    if not await until(lambda: not machine.is_running(), grace_s):
        machine.kill()
    await asyncio.sleep(0.5)
    machine.start()


async def until(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


def violations(engine, healed_at, timetable):
    """The breaks of ONE at one server: orders within `thawMs` after the link healed don't count."""
    thaw_s, lease_s = timetable["thawMs"] / 1000, timetable["leaseMs"] / 1000
    counted = [order for order in engine.orders if not healed_at <= order[0] < healed_at + thaw_s]
    found = []
    for earlier, later in zip(counted, counted[1:]):
        (at, holder, fence, _), (later_at, later_holder, later_fence, _) = earlier, later
        if later_fence < fence:
            found.append(f"fence {fence} of {holder}, {later_at - at:.2f} s later fence {later_fence} of {later_holder}")
        elif later_holder != holder and later_fence == fence:
            found.append(f"{holder} and {later_holder} share fence {fence}")
        elif later_holder != holder and later_at - at < lease_s:
            found.append(f"{holder} and {later_holder} take turns within {later_at - at:.2f} s")
    return found


async def case(record, is_trouble):
    fleet = Fleet(record, engines=0)
    port, zones = fleet.ports["server"], ZONES
    links = []
    for n in range(ENGINES):
        listed, own = f"{fleet.ip(160 + n)}:{port}", f"{fleet.ip(200 + n)}:{port}"
        links.append(Link(listed, own))
        fleet.engines.append(OrderedEngine(listed, own, fleet.names["engine"], zones[n % 3], fleet.log,
                                           fleet.names["model"]))
    try:
        for link in links:
            await link.start()
        await fleet.start(fleet.configuration())
        await name_version(fleet, record, 2)
        if not await until(lambda: all(engine.version == 2 for engine in fleet.engines), 20):
            raise CannotRun("the servers did not load version 2")
        await asyncio.sleep(3)
        engine, link = fleet.engines[0], links[0]
        leader = next(node for node in fleet.nodes if node.name == engine.orders[-1][1])
        record(f"leader: {leader.name}")
        healed_at = 0.0
        if is_trouble:
            record(f"cut the link of {engine.id} for {CUT_S} s")
            cut = asyncio.create_task(link.cut(CUT_S))
            healed_at = time.monotonic() + CUT_S
        await asyncio.sleep(1.0)
        await name_version(fleet, record, 3)
        if is_trouble:
            is_order = lambda held: b"/api/order" in held[2]
            if not await until(lambda: any(is_order(held) for held in link.held), 2.5):
                raise CannotRun("no order was sent into the cut")
            sent_at, arrival, _ = next(held for held in link.held if is_order(held))
            record(f"an order is held up; it arrives {arrival - healed_at:.2f} s after the link heals")
            restarted = asyncio.create_task(restart(leader, fleet.timetable["graceS"]))
        await asyncio.sleep(2.5)
        await name_version(fleet, record, 4)
        if is_trouble:
            await cut
            record("the link has healed")
            await restarted
        await asyncio.sleep(10)
        for engine in fleet.engines:
            record(f"{engine.id} has version {engine.version}")
        broken = []
        for engine in fleet.engines:
            broken += [f"ONE at server {engine.id}: {text}" for text in violations(engine, healed_at, fleet.timetable)]
        return broken
    finally:
        for link in links:
            link.stop()
        fleet.stop()


main(case, FOLDER)
