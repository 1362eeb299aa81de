"""A replica fails bookings after it has run them; the host hands its failure on as a promise that nothing ran."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit3"))
from kit3 import KEY, Deployment, ask, main, response, route  # noqa: E402

BOOKINGS = 200
# Within srv_grey of the site file: a share of 0.14 of the replicas fails 0.45 of the requests for 6.5 s.
DESKS = 8  # one of them fails
FAILING_PART = 0.45
FAILING_S = 6.0
PROMISES = (408, 421, 429, 503)


class Case:
    def __init__(self, record, folder, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.rng = random.Random(12)
        self.deployment = Deployment(folder, record, 3, 0, DESKS, [route("book", "non_idempotent", "desk")])
        self.failing = self.deployment.replicas[0]
        self.failing.on_run = self.on_run
        self.ran = Counter()  # by booking: how often it was carried out
        for replica in self.deployment.replicas[1:]:
            replica.on_run = self.on_sound_run
        self.begin = 0.0
        self.broken = []
        self.answers = Counter()

    async def on_sound_run(self, _replica, _writer, message):
        self.ran[message.headers["booking"]] += 1
        return False

    async def on_run(self, replica, writer, message):
        """It carries the booking out, then fails with a 503 that doesn't say Not-Executed."""
        self.ran[message.headers["booking"]] += 1
        is_failing = self.has_trouble and self.record.now() < self.begin + FAILING_S
        if not is_failing or self.rng.random() >= FAILING_PART:
            return False
        await asyncio.sleep(0.015)
        rid = message.headers["request-id"]
        self.record.note(f"{replica.name} has run {rid} and fails with 503, without Not-Executed")
        replica.send(writer, response(503, b"failed", f"Request-Id: {rid}\r\nResponse-Signature: s1\r\n"))
        return True

    async def book(self, index):
        """A caller asks again, with another id, only after a promise."""
        for attempt in (1, 2):
            rid = f"{index:06x}{attempt:02x}"
            host = self.rng.choice(self.deployment.hosts)
            status, _, _ = await ask(host.port, self.record, "POST", "/book/x", {
                "Request-Id": rid, "Booking": str(index), "Deadline-Ms": "1500", "Authorization": f"Token {KEY}"}, timeout=3)
            self.answers[status] += 1
            if status in PROMISES and any(name == rid for replica in self.deployment.replicas for _, name in replica.runs):
                self.broken.append(rid)
                self.record.note(f"{rid} was answered {status} and has run")
            if status not in PROMISES:
                return

    async def play(self):
        await self.deployment.start()
        self.begin = self.record.now()
        for index in range(BOOKINGS):
            self.record.task(self.book(index))
            await asyncio.sleep(0.03)
        await asyncio.sleep(4)
        twice = sum(count > 1 for count in self.ran.values())
        self.record.say(f"answers {dict(self.answers)}; {len(self.broken)} bookings were answered with a promise and had run; "
                        f"{twice} of {BOOKINGS} were carried out twice")
        return not self.broken


async def play(record, folder, has_trouble):
    case = Case(record, folder, has_trouble)
    try:
        return await case.play()
    finally:
        case.deployment.end()


main(play, "12")
