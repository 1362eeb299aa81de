"""Callers that stop just short of the end of small chunked bodies take all places of a host; it answers nobody else."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit3"))
from kit3 import HOST_NAME, KEY, Deployment, main, raise_descriptors, route  # noqa: E402

from wire import read_body, read_head  # noqa: E402

ORDINARY = 10  # "while seven clients or more try"
STOPPING = 1750  # of the 4,100 descriptors of a machine
CONTACT_S = 3.0
CALM_S = 5.0
TROUBLE_S = 30.0


class Case:
    def __init__(self, record, folder, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.rng = random.Random(14)
        self.deployment = Deployment(folder, record, 3, 0, 3, [
            route("book", "non_idempotent", "desk"), route("look", "idempotent", "desk", attempts=2)])
        self.host = self.deployment.hosts[0]
        self.tries = []  # (when, status) of the ordinary clients, 0 without an answer
        self.ready = []  # (when, whether the host says that it is ready)
        self.count = 0

    async def try_once(self):
        self.count += 1
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.host.port, local_addr=("127.0.0.2", 0)), 1)
            writer.write(f"GET /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: 0{self.count:07x}\r\n"
                         f"Deadline-Ms: 1500\r\nAuthorization: Token {KEY}\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_head(reader), 2)
            await asyncio.wait_for(read_body(reader, answer), 2)
            return answer.status
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def ordinary(self, end):
        """Each request on a new connection."""
        while self.record.now() < end:
            status = await self.try_once()
            self.tries.append((self.record.now(), status))
            self.record.note(f"ordinary client gets {status or 'no answer'}")
            await asyncio.sleep(0.1)

    async def stopping(self, index, end):
        """Sends all of a chunked body but its last chunk and stays."""
        while self.record.now() < end:
            writer = None
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(
                    "127.0.0.1", self.host.port, local_addr=(f"127.0.0.{3 + index % 50}", 0)), 1)
                writer.write(f"POST /book/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: f{index:07x}\r\nDeadline-Ms: 1500\r\n"
                             f"Authorization: Token {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
                             + b"8\r\nabcdefgh\r\n" * 40)
                answer = await asyncio.wait_for(reader.read(30), end - self.record.now() + 0.1)
                self.record.note(f"stopping client {index} gets {answer!r}")
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.5 + self.rng.random())

    async def ask_ready(self, end):
        while self.record.now() < end:
            is_ready = await self.host.is_ready()
            self.ready.append((self.record.now(), is_ready))
            self.record.note(f"platform finds {self.host.name} ready: {is_ready}")
            await asyncio.sleep(1)

    def longest_gap(self):
        """The longest time without an answer during which the host was ready whenever it was asked."""
        longest = (0.0, 0.0)
        start = None
        for at, status in self.tries:
            if status:
                start = None
                continue
            start = at if start is None else start
            if all(is_ready for when, is_ready in self.ready if start <= when <= at):
                longest = max(longest, (at - start, start))
        return longest

    async def play(self):
        await self.deployment.start()
        begin = self.record.now()
        end = begin + CALM_S + TROUBLE_S
        work = [self.record.task(self.ordinary(end)) for _ in range(ORDINARY)]
        work.append(self.record.task(self.ask_ready(end)))
        await asyncio.sleep(CALM_S)
        if self.has_trouble:
            for index in range(STOPPING):
                work.append(self.record.task(self.stopping(index, end)))
                if index % 50 == 0:
                    await asyncio.sleep(0.02)
        await asyncio.gather(*work)
        gap, start = self.longest_gap()
        self.record.say(f"ordinary tries by status {dict(Counter(status for _, status in self.tries))}; the host is alive: "
                        f"{self.host.process.poll() is None}; longest time without an answer while it said that it was "
                        f"ready: {gap:.1f} s from {start - begin:.1f} s on")
        return gap <= CONTACT_S


async def play(record, folder, has_trouble):
    raise_descriptors()
    case = Case(record, folder, has_trouble)
    try:
        return await case.play()
    finally:
        case.deployment.end()


main(play, "13")
