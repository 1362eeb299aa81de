"""A small fleet on loopback: the store, engines and clients of the cases 6 to 10, and the real entry processes."""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from host import Host  # noqa: E402
from store import Store  # noqa: E402
from wire import Server, read_body, read_chunk, read_head, response  # noqa: E402

PROGRAM = ROOT / "target" / "vanillaspar-entry"
TEMPLATE = ROOT / "deploy" / "entry.yaml.template"
HEARTBEAT_S = 1.2
READY_S = 20
BASE = "base"
# Python itself exits with 1 on an error, so that run.sh translates BROKEN to 1 and all else but 0 to 2.
HELD, BROKEN, NOT_RUN = 0, 3, 2


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()
        self.violations = []
        self.tasks = set()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():.3f} {text}\n")
        self.file.flush()

    def violate(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")
        print(f"{self.now():.3f} BROKEN {rule}: {text}", flush=True)

    def task(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class Ports:
    """A block of ports below those that the system hands out, held by a listener on its first."""

    BLOCK = 100

    def __init__(self):
        for first in random.SystemRandom().sample(range(11000, 30000, self.BLOCK), 100):
            self.lock = socket.socket()
            try:
                self.lock.bind(("127.0.0.1", first))
                self.lock.listen(1)
            except OSError:
                self.lock.close()
                continue
            self.next = first
            return
        raise CannotRun("no free ports")

    def take(self):
        while True:
            self.next += 1
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind(("127.0.0.1", self.next))
                    udp.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    continue


def route(name, kind, service, attempts=1, timeout_ms=1500, slo_ms=100):
    is_stream = kind == "streaming"
    return {"name": name, "host": "care.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
            "slo_ms": slo_ms, "priority": 0, "service": service, "max_attempts": attempts, "public": False,
            "sticky": is_stream, "resumable": is_stream and attempts > 1, "gap_target_ms": 600}


def engine_service(name, weights_mb=66600.0, adapter_slots=13):
    model = {"name": BASE, "weights_mb": 65100.0, "load_s": 1.9, "adapters": 3000, "adapter_mb": 12.0}
    engine = {"slots": 24, "kv_capacity": 210412, "models": [model], "weights_mb": weights_mb,
              "adapter_slots": adapter_slots, "loads_per_s": 6.8}
    return {"name": name, "health_path": "/health", "max_conns": 200, "engine": engine}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 4000}


def configuration(routes, services, rate_per_s=0, burst=0):
    return {"version": 1, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "team-1", "api_keys": ["key-1"], "unit": "tokens", "plain_tokens": 200,
                         "rate_per_s": rate_per_s, "burst": burst}]}


class Replica(Server):
    """A replica that registers itself in the store with a heartbeat."""

    def __init__(self, port, name, service, zone, store, record, slots):
        super().__init__(port)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.slots = slots
        self.seqno = 0
        self.born = int(time.time() * 1000)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seqno": self.seqno, "born": self.born}

    async def start(self):
        await self.open()
        self.record.task(self.beat())

    async def beat(self):
        while True:
            if self.store._listener is not None and self._listener is not None:  # both are up
                self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, reader, writer, message):
        echo = f"Request-Id: {message.headers['request-id']}\r\n" if "request-id" in message.headers else ""
        wanted = message.headers.get("target-instance", "")
        if wanted and wanted != self.name:
            self.send(writer, response(421, b"", f"{echo}Instance-Id: {self.name}\r\nNot-Executed: 1\r\n"))
        elif message.target == "/health":
            self.send(writer, response(200, b"", f"Instance-Id: {self.name}\r\n"))
        else:
            await self.answer(reader, writer, message, echo)
        await writer.drain()

    async def answer(self, reader, writer, message, echo):
        raise NotImplementedError


class Engine(Replica):
    """An engine that carries out orders; it crashes if it is ordered to load more than it holds."""

    def __init__(self, port, name, zone, store, record, weights_mb=66600.0, adapter_slots=13, has_model=True):
        super().__init__(port, name, "scribe", zone, store, record, 24)
        self.weights_mb = weights_mb
        self.adapter_slots = adapter_slots
        self.has_model = has_model
        self.adapters = set()
        self.pending = set()
        self.orders = []  # (when, holder, fence, body, status)
        self.overloaded = None  # what an order beyond the memory was

    def holdings(self):
        return [{"name": BASE, "version": 1, "adapters": [f"{each}@1" for each in sorted(self.adapters)]}] \
            if self.has_model else []

    def entry(self):
        return dict(super().entry(), phase="both", models=self.holdings(),
                    pending=[f"{BASE}/{each}@1" for each in sorted(self.pending)])

    def order(self, body):
        adapter = body.get("adapter")
        if "holder" not in body or "fence_token" not in body:
            return 400
        if "precondition" in body and body["precondition"] != self.seqno:
            return 409
        if not adapter:
            if body["opcode"] == "load" and not self.has_model:
                self.seqno += 1
                self.record.task(self.load_model())
                return 202
            return 200
        if body["opcode"] == "unload":
            if adapter in self.adapters:
                self.seqno += 1
                self.adapters.discard(adapter)
            return 200
        if adapter in self.adapters:
            return 200
        if adapter in self.pending:
            return 202
        if not self.has_model:
            return 400
        if len(self.pending) >= 4:
            return 409
        count = len(self.adapters | self.pending) + 1
        if count > self.adapter_slots or 65100 + 12 * count > self.weights_mb:
            self.overloaded = f"{count} adapters of 12 MB beside a model of 65100 MB; it has {self.weights_mb:.0f} MB " \
                              f"and {self.adapter_slots} places for adapters"
        self.seqno += 1
        self.pending.add(adapter)
        self.record.task(self.load(adapter))
        return 202

    async def load_model(self):
        await asyncio.sleep(1.0)
        self.has_model = True

    async def load(self, adapter):
        await asyncio.sleep(0.25)
        if adapter in self.pending:
            self.pending.discard(adapter)
            self.adapters.add(adapter)

    async def answer(self, reader, writer, message, echo):
        if message.target == "/-/order":
            body = json.loads(message.body)
            status = self.order(body)
            self.orders.append((self.record.now(), body.get("holder"), body.get("fence_token"), body, status))
            self.record.note(f"{self.name} answers {status} to {json.dumps(body)}")
            if self.overloaded and self._listener is not None:
                self.record.note(f"{self.name} crashes, ordered to load {self.overloaded}")
                await self.close()
                return
            self.send(writer, response(status, {}))
        elif message.target == "/-/report":
            report = {"phase": "both", "models": self.holdings(), "busy": False, "seqno": self.seqno, "queued": 0,
                      "running": 0, "kv_used": 0, "kv_total": 210412, "handles": 0, "born": self.born,
                      "pending": [f"{BASE}/{each}@1" for each in sorted(self.pending)]}
            self.send(writer, response(200, report))
        elif message.target.startswith("/-/"):
            self.send(writer, response(404, {}))
        else:
            adapter = message.headers.get("model", "").partition("/")[2]
            refusal = f"{echo}Instance-Id: {self.name}\r\nNot-Executed: 1\r\n"
            if adapter in self.pending:
                self.send(writer, response(503, b"", refusal))
            elif adapter not in self.adapters:
                self.send(writer, response(421, b"", refusal))
            else:
                await self.stream(writer, message, echo)

    async def stream(self, writer, message, echo):
        self.record.note(f"{self.name} runs {message.headers.get('request-id')}")
        self.send(writer, f"HTTP/1.1 200 OK\r\n{echo}Response-Signature: s1\r\nContent-Type: text/event-stream\r\n"
                  f"Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, 7):
            event = f"id: {number}\ndata: tokens\n\n".encode()
            self.send(writer, f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        self.send(writer, b"0\r\n\r\n")


class Fleet:
    """The store and the entry processes, with their settings from the deploy file's template."""

    def __init__(self, record, folder, host_count):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} isn't built")
        self.record = record
        self.ports = Ports()
        self.store = Store(self.ports.take())
        template = TEMPLATE.read_text(encoding="utf-8")
        self.hosts = [Host(i, [self.ports.take() for _ in range(5)], str(PROGRAM), folder, template, self.store.port,
                           record) for i in range(host_count)]
        self.replicas = []
        self.count = 0

    def host_named(self, name):
        return next(host for host in self.hosts if host.name == name)

    async def start(self, settings, hosts=None):
        await self.store.open()
        self.store.put("config", "main", settings)
        for replica in self.replicas:
            await replica.start()
        for host in self.hosts if hosts is None else hosts:
            host.start()
        for host in self.hosts if hosts is None else hosts:
            if not await host.wait_ready(READY_S):
                raise CannotRun(f"{host.name} isn't ready {READY_S} s after its start")

    def request_id(self):
        self.count += 1
        return f"{self.count:016x}"

    def head(self, method, target, deadline_ms, lines=()):
        name = self.request_id()
        all_lines = [f"{method} {target} HTTP/1.1", "Host: care.example", f"Request-Id: {name}",
                     f"Deadline-Ms: {deadline_ms}", "Authorization: Token key-1", *lines]
        return name, "\r\n".join(all_lines) + "\r\n"

    async def ask_adapter(self, host, adapter):
        """One streaming request on a connection of its own. Returns the status, or nothing."""
        name, head = self.head("POST", "/care/van", 5000, [f"Model: {BASE}/{adapter}", "Token-Count: 400,40",
                                                           f"Prefix-Hash: 5c1e07a2:150,{name_hash(adapter)}:250"])
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", host.port), 1)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            writer.write((head + "Content-Length: 2\r\n\r\n{}").encode())
            answer = await asyncio.wait_for(read_head(reader), 6)
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while await asyncio.wait_for(read_chunk(reader), 6):
                    pass
            else:
                await asyncio.wait_for(read_body(reader, answer), 6)
            self.record.note(f"client gets {answer.status} for {name} ({adapter}) from {host.name}")
            return answer.status
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.record.note(f"client gets no whole answer for {name} ({adapter}) from {host.name}")
            return None
        finally:
            writer.close()

    def end(self):
        for host in self.hosts:
            if host.current is not None and host.current.process.poll() is None:
                host.current.process.kill()
                host.current.process.wait()


def name_hash(text):
    return f"{random.Random(text).getrandbits(32):x}"


def kill(host):
    host.current.signal(signal.SIGKILL)
    host.current.process.wait()


def main(play, seconds=115):
    """Plays a case: play(record, folder, has_trouble). Returns HELD, BROKEN or NOT_RUN."""
    here = Path(sys.argv[0]).resolve().parent
    record = Record(here)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble {has_trouble}")
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384), hard))

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            await asyncio.wait_for(play(record, Path(folder), has_trouble), seconds)

    try:
        # Not asyncio.run(): clients' tasks that go on for ever needn't be waited for.
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        loop.run_until_complete(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.note(f"can't run: {error!r}")
        print(f"can't run: {error!r}", flush=True)
        return NOT_RUN
    result = BROKEN if record.violations else HELD
    record.note("broken" if result else "held")
    print("broken" if result else "held", flush=True)
    return result


def run_case(play):
    result = main(play)
    sys.stdout.flush()
    os._exit(result)
