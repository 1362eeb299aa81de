#!/usr/bin/env python3
"""Crowds of clients whose bodies are large, unfinished, split into tiny chunks or too long, against one entry host.

Each kind starts a process of its own with a store and a replica beside it. Checked are only figures that don't depend on
the speed of the machine: the process lives, its peak memory and its open descriptors stay under a bound, and one ordinary
request is answered while the crowd's connections are still open.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from book import Book
from host import Host
from soak import BUILD, Ports, configuration
from store import Store
from wire import Server, read_body, read_head, reset, response

CLIENTS = 150
BODY_LIMIT = 1024 * 1024
EVEN_LARGER = 8 * BODY_LIMIT
# Twice what an idle process takes at its peak, and the budget for callers when the host's memory isn't known (40 MiB).
MEMORY_LIMIT_KB = 96 * 1024
DESCRIPTOR_LIMIT = CLIENTS + 100
PIECE = 16 * 1024
READY_S = 20
CLIENT_S = 40  # after this a client stops writing; not a check
SETTLE_S = 2

SETTINGS = """
host: "{{node_name}}"
domain: "{{zone}}"
peer-address: "{{ip}}:{{port_range.0}}"
metrics-address: "{{ip}}:{{port_range.1}}"
caller-address: "{{listen_addrs.front}}"
readiness-address: "{{listen_addrs.ready_addr}}"
directory-address: "{{listen_addrs.directory}}"
store-address: "{{platform.address}}"
cluster-secret: "vanillaspar-entry-hosts"
"""


class Desk(Server):
    """A replica of the plain service. It answers the ordinary request at once and the crowd's never."""

    async def handle(self, reader, writer, message):
        echo = f"Request-Id: {message.headers.get('request-id', '')}\r\nInstance-Id: desk-1\r\n"
        if message.target == "/book/crowd":
            await reader.read(-1)
            return
        self.send(writer, response(200, b"ok", echo + "Response-Signature: s1\r\n"))
        await writer.drain()

    def publish(self, store):
        store.put("servers", "desk-1", {"service": "desk", "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                                        "version": "v1", "slots": CLIENTS * 2, "state": "ready", "cold_left_ms": 0,
                                        "seqno": 0, "born": 1})


def head(name, target, framing):
    return (f"POST /book/{target} HTTP/1.1\r\nHost: care.example\r\nRequest-Id: {name}\r\n"
            f"Authorization: Token key-1\r\n{framing}\r\n\r\n").encode()


def by_length(size, sent):
    """A body of a stated length, of which @p sent bytes are written in pieces."""
    def parts():
        yield f"Content-Length: {size}"
        for start in range(0, sent, PIECE):
            yield b"x" * min(PIECE, sent - start)
    return parts


def in_chunks(size, chunk):
    """A body in chunks without its end."""
    def parts():
        yield "Transfer-Encoding: chunked"
        one = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
        piece = one * max(1, PIECE // chunk)
        for _ in range(0, size, chunk * max(1, PIECE // chunk)):
            yield piece
    return parts


KINDS = {
    "whole": by_length(BODY_LIMIT, BODY_LIMIT),
    "almost-whole": by_length(BODY_LIMIT, BODY_LIMIT - 1),
    "large-chunks": in_chunks(BODY_LIMIT - 64 * 1024, 64 * 1024),
    "small-chunks": in_chunks(BODY_LIMIT - PIECE, 4),
    "too-long-announced": by_length(EVEN_LARGER, EVEN_LARGER),
    "too-long-sent": in_chunks(EVEN_LARGER, PIECE),
}


class Crowd:
    def __init__(self, folder, kind):
        ports = Ports()
        self.store = Store(ports.take())
        self.desk = Desk(ports.take())
        self.host = Host(0, [ports.take() for _ in range(5)], str(BUILD / "vanillaspar-entry"), folder, SETTINGS,
                         self.store.port, Book(folder, 1))
        self.lock = ports.lock
        self.parts = KINDS[kind]
        self.writers = []

    async def start(self):
        await self.store.open()
        await self.desk.open()
        settings = configuration()
        settings["limits"]["max_body_bytes"] = BODY_LIMIT
        for route in settings["routes"]:
            route["timeout_ms"] = CLIENT_S * 1000
            route["slo_ms"] = CLIENT_S * 1000
        self.store.put("config", "main", settings)
        self.desk.publish(self.store)
        self.host.start()
        return await self.host.wait_ready(READY_S)

    async def client(self, number):
        """Writes its body, reads nothing and stays connected."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.host.port)
            self.writers.append(writer)
            parts = self.parts()
            writer.write(head(f"c{number:07x}", "crowd", next(parts)))
            for part in parts:
                writer.write(part)
                await writer.drain()
        except OSError:
            pass

    async def ask(self):
        """Returns the status of an ordinary request, or nothing."""
        for number in range(20):  # the host may close a connection or refuse while it is under pressure
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.host.port)
                writer.write(head(f"d{number:07x}", "van", "Content-Length: 2") + b"{}")
                answer = await asyncio.wait_for(read_head(reader), 10)
                await asyncio.wait_for(read_body(reader, answer), 10)
                writer.close()
                if answer.status == 200:
                    return 200
                print(f"  ordinary request: {answer.start}")
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                print(f"  ordinary request: {error!r}")
            await asyncio.sleep(0.5)
        return None

    def peak_kb(self):
        text = Path(f"/proc/{self.host.current.process.pid}/status").read_text(encoding="ascii", errors="replace")
        return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmHWM:"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.host.current.process.pid}/fd"))

    async def faults(self):
        """Returns what is wrong, as a list."""
        if not await self.start():
            return ["not ready"]
        idle_kb = self.peak_kb()
        if await self.ask() != 200:
            return ["an ordinary request is not answered before the crowd comes"]
        clients = [asyncio.create_task(self.client(number)) for number in range(CLIENTS)]
        await asyncio.wait(clients, timeout=CLIENT_S)
        await asyncio.sleep(SETTLE_S)
        if self.host.current.process.poll() is not None:
            return [f"the process ended with {self.host.current.process.returncode}"]
        status = await self.ask()
        peak_kb, descriptors = self.peak_kb(), self.descriptors()
        print(f"  peak {peak_kb} KB (idle {idle_kb}), {descriptors} descriptors, ordinary request: {status}", flush=True)
        found = []
        if peak_kb > MEMORY_LIMIT_KB:
            found.append(f"peak memory {peak_kb} KB is above {MEMORY_LIMIT_KB}")
        if descriptors > DESCRIPTOR_LIMIT:
            found.append(f"{descriptors} descriptors are above {DESCRIPTOR_LIMIT}")
        if status != 200:
            found.append("an ordinary request is not answered")
        for client in clients:
            client.cancel()
        return found

    def end(self):
        # The stand-ins' open calls are cancelled with the loop; each would print a trace.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        process = self.host.current and self.host.current.process
        if process and process.poll() is None:
            process.kill()
            process.wait()
        for writer in self.writers:
            reset(writer)
        for server in (self.store, self.desk):
            server.reset_all()
        self.lock.close()


async def play(kind):
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        crowd = Crowd(Path(folder), kind)
        try:
            return await crowd.faults()
        finally:
            crowd.end()


def main():
    wanted = sys.argv[1:] or list(KINDS)
    failed = 0
    for kind in wanted:
        print(kind, flush=True)
        found = asyncio.run(play(kind))
        for fault in found:
            print(f"  failed: {fault}", flush=True)
        failed += 1 if found else 0
    print(f"{len(wanted) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
