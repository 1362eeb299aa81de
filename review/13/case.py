"""One part of a prompt crashes each replica that begins to answer it; requests with it go on reaching replicas."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit3"))
from kit3 import KEY, Deployment, Replica, ask, main, route  # noqa: E402

HOSTS = 6
ENGINES = 8
SOUND_PER_S = 8.0
CRASHING_PER_S = 1.5
WARM_S = 15.0  # sound requests alone
TROUBLE_S = 40.0
BACK_AFTER_S = 3.0  # "the replica is back after some seconds"
ENTRY_S = 3.6  # three heartbeats of silence, then the store removes the entry
CONTACT_S = 3.0
ALLOWED = 3  # "More than three requests"
SHARED = "5c1e07a2:155"
CRASHING = "bad0c0de"
OTHERS = ("91bd3f06", "a1bd3f07")
ADAPTERS = 4


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.rng = random.Random(13)
        self.deployment = Deployment(folder, record, HOSTS, ENGINES, 0, [route("note", "streaming", "scribe")])
        self.starts = 0
        self.sent = 0
        self.arrivals = []
        self.crashes = []
        self.answers = {"sound": Counter(), "crash": Counter()}
        for replica in self.deployment.replicas:
            replica.on_run = self.on_run

    async def on_run(self, replica, _writer, message):
        if CRASHING not in message.headers.get("prefix-hash", ""):
            return False
        self.arrivals.append(self.record.now())
        self.record.note(f"request {message.headers['request-id']} with the crashing part is run by {replica.name}")
        await asyncio.sleep(0.08)  # it reads the prompt, then begins to write
        if replica.is_up:
            self.crashes.append(self.record.now())
            await replica.crash()
            self.record.task(self.bring_back(replica))
        return True

    async def bring_back(self, old):
        """A new incarnation with a new id at the same address; it starts empty."""
        self.record.task(self.drop_entry(old))
        await asyncio.sleep(BACK_AFTER_S)
        self.starts += 1
        new = Replica(old.port, f"i-scribe-{ENGINES + self.starts}", "scribe", old.zone, self.deployment.store,
                      self.record, old.slots)
        new.on_run = self.on_run
        self.deployment.replicas.append(new)
        await new.start(with_model=False)

    async def drop_entry(self, old):
        await asyncio.sleep(ENTRY_S)
        self.deployment.store.remove("servers", old.name)

    async def one(self, kind):
        self.sent += 1
        host = self.rng.choice(self.deployment.hosts)
        part = CRASHING if kind == "crash" else self.rng.choice(OTHERS)
        headers = {"Request-Id": f"{kind}{self.sent:08x}", "Model": f"base/a{self.rng.randrange(ADAPTERS) + 1}",
                   "Token-Count": "646,60", "Prefix-Hash": f"{SHARED},{part}:60,{self.rng.getrandbits(32):08x}:431",
                   "Deadline-Ms": "5000", "Authorization": f"Token {KEY}"}
        status, _, _ = await ask(host.port, self.record, "POST", "/note/x", headers, b"{}")
        self.answers[kind][status] += 1

    async def send(self, kind, rate, start, end):
        await asyncio.sleep(start - self.record.now())
        while self.record.now() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.record.task(self.one(kind))

    async def play(self, has_trouble):
        await self.deployment.start()
        begin = self.record.now()
        end = begin + WARM_S + TROUBLE_S
        work = [self.send("sound", SOUND_PER_S, begin, end)]
        if has_trouble:
            work.append(self.send("crash", CRASHING_PER_S, begin + WARM_S, end))
        await asyncio.gather(*work)
        await asyncio.sleep(6)

    def judge(self):
        self.record.say(f"sound requests by status {dict(self.answers['sound'])}; with the crashing part "
                        f"{dict(self.answers['crash'])}")
        if len(self.crashes) < 5:
            self.record.say(f"{len(self.crashes)} crashes: the rule asks nothing; held")
            return True
        fifth = self.crashes[4]
        late = [at - fifth for at in self.arrivals if at > fifth + CONTACT_S]
        self.record.say(f"{len(self.crashes)} crashes; {len(late)} requests with the crashing part reached replicas later "
                        f"than {CONTACT_S} s after the fifth, {ALLOWED} are allowed; seconds after it: "
                        + " ".join(f"{at:.1f}" for at in late))
        return len(late) <= ALLOWED


async def play(record, folder, has_trouble):
    case = Case(record, folder)
    try:
        await case.play(has_trouble)
        return case.judge()
    finally:
        case.deployment.end()


main(play, "13")
