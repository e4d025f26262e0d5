"""LOST: a batch job whose log is longer than 16 MiB cannot be copied to a further store.

Three store machines are added to three, one after the other, as planned work; nothing fails and nothing is taken
away. A small batch job, accepted at the same time, shows that the move as such works.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import CannotRun, Fleet, call, main, token  # noqa: E402

# 400 items of 27 kB: a body of 14.5 MB, where `parcelBytes` allows 33.5 MB. Each text has 12 events of 500 bytes.
LARGE_ITEMS, PAYLOAD_BYTES, EVENT_BYTES = 400, 27_000, 500
SMALL_ITEMS = 24
ADDED_STORES = 3
# Time from the start of a further store until the next one or the first read; `catchUpS` is 4.5.
CATCH_UP_S = 12.0
READ_S = 30.0


async def case(record, is_trouble):
    fleet = Fleet(record)
    for engine in fleet.engines:
        engine.event_bytes, engine.event_s = EVENT_BYTES, 0.005
    try:
        await fleet.start(fleet.configuration())
        jobs = {}
        for name, items, payload in (("small", SMALL_ITEMS, 200), ("large", LARGE_ITEMS, PAYLOAD_BYTES)):
            job_id, job = token(), fleet.job(items, payload_bytes=payload)
            await fleet.submit(job_id, job)
            first = await fleet.read_all(job_id, items, time.monotonic() + 20)
            if len(first) != items:
                raise CannotRun(f"the {name} batch job did not complete before the disruption")
            jobs[name] = (job_id, items, first)
        for _ in range(ADDED_STORES):
            if is_trouble:
                fleet.new_store(first_start=False).start()
            await asyncio.sleep(CATCH_UP_S)
        broken = []
        for name, (job_id, items, first) in jobs.items():
            again = await fleet.read_all(job_id, items, time.monotonic() + READ_S)
            record(f"{name} batch job {job_id}: {len(again)} of {items} results can be read")
            if again == first:
                continue
            answers = [await call(fleet.front(node), "GET", f"/api/lots/{job_id}?after=0", {"Host": fleet.host})
                       for node in range(3)]
            statuses = [status or reason for status, reason, _ in answers]
            record(f"last reads of the {name} batch job at the three nodes: {statuses}")
            broken.append(f"LOST: the {name} batch job {job_id}, accepted and read before, cannot be read: "
                          f"{len(again)} of {items} results in {READ_S:.0f} s, then {statuses}")
        return broken
    finally:
        fleet.stop()


main(case, FOLDER)
