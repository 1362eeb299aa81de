"""All entry processes are killed while the store comes back from a copy some seconds old; a replica is new in between."""

import asyncio
import random
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))

from fleet import CannotRun, Engine, Fleet, configuration, engine_service, kill, route, run_case  # noqa: E402

DOWN_S = 1.0  # the store is away
RESTART_S = 0.5  # from a kill to the restart of the process
ASSIGN_LIMIT_S = 15
WATCH_S = 25  # a new owner orders 10.3 s after the takeover


async def ask_forever(fleet, seed):
    rng = random.Random(seed)
    while True:
        running = [host for host in fleet.hosts if host.current and host.current.process.poll() is None]
        if running:
            await fleet.ask_adapter(rng.choice(running), f"a{rng.randrange(1, 90)}")
        await asyncio.sleep(0.05)


async def first_order(engine, since):
    for _ in range(ASSIGN_LIMIT_S * 50):
        found = [order for order in engine.orders if order[0] > since]
        if found:
            return found[0]
        await asyncio.sleep(0.02)
    raise CannotRun(f"nobody orders {engine.name}")


def judge(record, engines):
    for engine in engines:
        holders = defaultdict(dict)
        highest = -1
        for when, holder, fence, _body, status in engine.orders:
            holders[fence].setdefault(holder, (when, status))
            if fence < highest:
                record.violate("ONE", f"{engine.name} gets fence {fence} of {holder} at {when:.3f} after {highest}")
            highest = max(highest, fence)
        for fence, firsts in holders.items():
            if len(firsts) > 1:
                text = ", ".join(f"{name} from {when:.3f} on (first answer {status})"
                                 for name, (when, status) in firsts.items())
                record.violate("ONE", f"{engine.name} is ordered by two holders with fence {fence}: {text}")


async def play(record, folder, has_trouble):
    fleet = Fleet(record, folder, 3)
    try:
        store = fleet.store
        make = lambda number, **options: Engine(fleet.ports.take(), f"i-{number}", "zone-" + "ab"[number % 2], store,
                                                record, **options)
        fleet.replicas = [make(number) for number in (1, 2, 3)]
        record.task(store.keep_copies())
        await fleet.start(configuration([route("care", "streaming", "scribe", 2, 6000, 1000)],
                                        [engine_service("scribe")]))
        for seed in range(8):
            record.task(ask_forever(fleet, seed))
        for engine in fleet.replicas:
            await first_order(engine, 0)
        await asyncio.sleep(4)  # the copy that the store will come back from
        added_at = record.now()
        new = make(4, has_model=False)
        fleet.replicas.append(new)
        await new.start()
        record.note(f"replica {new.name} is new")
        order = await first_order(new, 0)
        record.note(f"{order[1]} orders {new.name} with fence {order[2]}")
        if has_trouble:
            await asyncio.sleep(0.5)
            gone = fleet.host_named(order[1])
            await store.close()
            for host in fleet.hosts:
                kill(host)
            record.note("all entry processes are killed, the store is away")
            await asyncio.sleep(RESTART_S)
            for host in fleet.hosts:
                if host is not gone:  # its machine doesn't come back
                    host.start()
            await asyncio.sleep(DOWN_S - RESTART_S)
            age = store.restore(record.now() - added_at + 0.3)
            await store.open()
            record.note(f"the store is back from a copy {age:.1f} s old, era {store.era}")
        await asyncio.sleep(WATCH_S)
        judge(record, fleet.replicas)
    finally:
        for task in list(record.tasks):
            task.cancel()
        fleet.end()


if __name__ == "__main__":
    run_case(play)
