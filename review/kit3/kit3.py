"""Stand-ins for the scripts of review 3: engines, plain services, hosts and clients, on 127.0.0.1 and the real clock.

The store and the HTTP helpers are the project's own (tests/soak/store.py, tests/soak/wire.py).
"""

import asyncio
import ctypes
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from store import Store  # noqa: E402
from wire import Server, read_body, read_head, response  # noqa: E402

PROGRAM = ROOT / "target" / "vanillaspar-entry"
HOST_NAME = "care.example"
KEY = "key-1"
BEAT_S = 1.2
POLICIES = "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform"
MAX_FDS = 4100
# The figures of the six-host deployments of the pages.
BOUNDS = {"revoke_ms": 5000, "lease_ms": 3000, "version_ms": 5000, "grace_s": 8, "retry_ratio": 0.2,
          "retry_slack": 52, "retry_window_s": 10}


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1 << 16)
        self.tasks = set()
        self.errors = 0

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():.3f} {text}\n")

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def task(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.errors += 1
            self.say(f"own error: {task.exception()!r}")


class Ports:
    """Free ports below those that the system hands out."""

    def __init__(self):
        self.next = random.SystemRandom().randrange(11000, 29000)

    def take(self):
        while True:
            self.next += 1
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind(("127.0.0.1", self.next))
                    udp.bind(("127.0.0.1", self.next))
                    return self.next
                except OSError:
                    pass


def route(name, kind, service, attempts=1, resumable=False, timeout_ms=None, public=False):
    is_stream = kind == "streaming"
    return {"name": name, "host": HOST_NAME, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": timeout_ms or (6000 if is_stream else 1500), "slo_ms": 1000 if is_stream else 100,
            "priority": 0, "service": service, "max_attempts": attempts, "public": public, "sticky": is_stream,
            "resumable": resumable, "gap_target_ms": 600}


def configuration(routes, version=1):
    model = {"name": "base", "weights_mb": 65100.0, "load_s": 1.9, "adapters": 3000, "adapter_mb": 12.0}
    engine = {"slots": 24, "kv_capacity": 210412, "models": [model], "weights_mb": 67000.0, "adapter_slots": 13,
              "loads_per_s": 6.8}
    return {"version": version, "routes": routes,
            "services": [{"name": "scribe", "health_path": "/health", "max_conns": 200, "engine": engine},
                         {"name": "desk", "health_path": "/health", "max_conns": 96}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "team-1", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 200,
                         "rate_per_s": 0, "burst": 0}]}


class Replica(Server):
    """A replica that registers itself; an engine also takes orders. It works on a request for some milliseconds."""

    def __init__(self, port, name, service, zone, store, record, slots):
        super().__init__(port)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.slots = slots
        self.is_engine = service == "scribe"
        self.events = 10
        self.is_up = False
        self.beating = None
        self.running = 0
        self.last_beat = 0.0
        self.runs = []  # (time, request id)
        self.on_run = None  # may answer a request in its own way: async (replica, writer, message) -> bool
        self.reset_state()

    def reset_state(self):
        self.born = int(time.time() * 1000)
        self.models = False
        self.adapters = {}
        self.pending = {}
        self.busy = False
        self.orders = 0
        self.running = 0
        self.life = object()

    async def start(self, with_model=True):
        self.reset_state()
        self.models = with_model and self.is_engine
        await self.open()
        self.is_up = True
        self.beating = self.record.task(self.beat())

    async def crash(self):
        """Ends as a killed process does: its connections are reset and its address refuses new ones."""
        if not self.is_up:
            return
        self.is_up = False
        self.life = object()
        self.beating.cancel()
        self.record.note(f"replica {self.name} crashes")
        await self.close()

    def holdings(self):
        if not self.models:
            return []
        return [{"name": "base", "version": 1, "adapters": [f"{a}@{v}" for a, v in sorted(self.adapters.items())]}]

    def publish(self):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seqno": self.orders, "born": self.born}
        if self.is_engine:
            entry.update(phase="both", models=self.holdings(), pending=[f"base/{a}@{v}" for a, v in self.pending.items()])
        self.store.put("servers", self.name, entry)
        self.last_beat = time.monotonic()

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(BEAT_S)

    def report(self):
        return {"phase": "both", "models": self.holdings(), "busy": self.busy, "seqno": self.orders, "queued": 0,
                "running": self.running, "kv_used": 0, "kv_total": 210412, "handles": 0, "born": self.born,
                "pending": [f"base/{a}@{v}" for a, v in self.pending.items()]}

    def _order(self, order):
        adapter = order.get("adapter")
        if "precondition" in order and order["precondition"] != self.orders:
            return 409
        if self.busy:
            return 409
        if not adapter:
            if self.models:
                return 200
            self.orders += 1
            self.busy = True
            self.record.task(self._load_model(self.life))
            return 202
        if order["opcode"] == "unload":
            if adapter in self.adapters:
                self.orders += 1
                del self.adapters[adapter]
            return 200
        if adapter in self.adapters:
            return 200
        if adapter in self.pending:
            return 202
        if len(self.pending) >= 4 or len(self.adapters) + len(self.pending) >= 13 or not self.models:
            return 409
        self.orders += 1
        self.pending[adapter] = 1
        self.record.task(self._load_adapter(adapter, self.life))
        return 202

    async def _load_model(self, life):
        await asyncio.sleep(0.6)  # from the replica's own disk
        if life is self.life:
            self.models, self.busy = True, False

    async def _load_adapter(self, adapter, life):
        await asyncio.sleep(0.25)
        if life is self.life:
            self.adapters[adapter] = self.pending.pop(adapter)

    async def handle(self, reader, writer, message):
        headers = message.headers
        rid = headers.get("request-id", "")
        echo = f"Request-Id: {rid}\r\n" if rid else ""
        refusal = echo + f"Instance-Id: {self.name}\r\nNot-Executed: 1\r\n"
        if headers.get("target-instance", self.name) != self.name:
            self.send(writer, response(421, b"", refusal))
        elif message.target == "/-/order":
            self.send(writer, response(self._order(json.loads(message.body)), {}))
        elif message.target == "/-/report":
            self.send(writer, response(200, self.report()))
        elif message.target == "/health":
            self.send(writer, response(200, b"", f"Instance-Id: {self.name}\r\n"))
        else:
            self.running += 1
            try:
                await self._request(reader, writer, message, rid, echo, refusal)
            finally:
                self.running -= 1
        await writer.drain()

    async def _request(self, reader, writer, message, rid, echo, refusal):
        adapter = message.headers.get("model", "").partition("/")[2]
        if self.is_engine and (not self.models or adapter not in self.adapters):
            is_loading = adapter in self.pending
            self.send(writer, response(503 if is_loading else 421, b"", refusal))
            return
        if self.running > 2 * self.slots:
            self.send(writer, response(503, b"", refusal))
            return
        self.record.note(f"replica {self.name} runs {rid}")
        self.runs.append((self.record.now(), rid))
        if self.on_run is not None and await self.on_run(self, writer, message):
            return
        if not self.is_engine:
            await asyncio.sleep(0.015)
            body = ("done " + rid).encode()
            self.send(writer, response(200, b"" if message.method == "HEAD" else body, echo + "Response-Signature: s1\r\n"))
            return
        await asyncio.sleep(0.08)
        self.send(writer, f"HTTP/1.1 200 OK\r\n{echo}Response-Signature: s1\r\nContent-Type: text/event-stream\r\n"
                  "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        first = int(message.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: tokens of {rid}\n\n".encode()
            self.send(writer, f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.06)
        self.send(writer, b"0\r\n\r\n")


def render(template, values):
    """Fills in deploy/entry.yaml.template as the platform does."""
    def section(part):
        return part[2].replace("{{.}}", str(values[part[1]])) if part[1] in values else ""

    text = re.sub(r"\{\{#(.+?)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.DOTALL)
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", str(value))
    return text


PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def prepare_process():
    """Ends with this program, also if that is killed; has the descriptors of a machine."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    most = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def raise_descriptors():
    """For this program itself, within what the machine allows."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192 if hard == resource.RLIM_INFINITY else min(hard, 8192), hard))


class Host:
    """A process of vanillaspar-entry with the descriptors of a machine of the pages."""

    def __init__(self, index, zone, ports, folder, store_port, record, memory_mb=260):
        self.name = f"front-{index + 1}"
        self.zone = zone
        self.record = record
        self.port, self.ready_port, self.peer_port, self.metrics_port, self.directory_port = (ports.take() for _ in range(5))
        self.path = folder / f"{self.name}.yaml"
        self.log = folder / f"{self.name}.log"
        values = {"node_name": self.name, "zone": zone, "ip": "127.0.0.1", "port_range.0": self.peer_port,
                  "port_range.1": self.metrics_port, "listen_addrs.front": f"127.0.0.1:{self.port}",
                  "listen_addrs.ready_addr": f"127.0.0.1:{self.ready_port}",
                  "listen_addrs.directory": f"127.0.0.1:{self.directory_port}", "limits.cpu_share": 0.25,
                  "limits.memory_mb": memory_mb, "platform.address": f"127.0.0.1:{store_port}", "policies": POLICIES}
        values.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        self.path.write_text(render((ROOT / "deploy" / "entry.yaml.template").read_text(), values))
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(PROGRAM), "--settings", str(self.path)], stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log, cwd=ROOT, preexec_fn=prepare_process)
        self.record.note(f"host {self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready_port), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            return answer.status == 200
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    def __init__(self, folder, record, hosts, engines, desks, routes, memory_mb=260, store_class=Store):
        self.folder = folder
        self.record = record
        self.ports = Ports()
        self.store = store_class(self.ports.take())
        self.config = configuration(routes)
        zones = ("zone-a", "zone-b", "zone-c")
        self.hosts = [Host(i, zones[i % 3], self.ports, folder, self.store.port, record, memory_mb) for i in range(hosts)]
        self.replicas = [Replica(self.ports.take(), f"i-scribe-{i + 1}", "scribe", zones[i % 3], self.store, record, 24)
                         for i in range(engines)]
        self.replicas += [Replica(self.ports.take(), f"i-desk-{i + 1}", "desk", zones[i % 3], self.store, record, 6)
                          for i in range(desks)]

    async def start(self):
        # Cancelled handlers of connections are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        if not PROGRAM.exists():
            raise RuntimeError(f"{PROGRAM.relative_to(ROOT)} is missing: run the build of the deploy file")
        await self.store.open()
        self.store.put("config", "main", self.config)
        for replica in self.replicas:
            await replica.start()
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + 20
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{host.name} isn't ready after 20 s")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    def end(self):
        for host in self.hosts:
            host.end()
        for task in list(self.record.tasks):
            task.cancel()
        for server in (self.store, *self.replicas):
            server.reset_all()
        self.record.file.close()


async def ask(port, record, method, target, headers, body=b"", timeout=7.0):
    """One request on a new connection. Returns (status, headers, body); status 0 if no whole answer came."""
    rid = headers.get("Request-Id", "")
    record.note(f"client sends {rid} {method} {target}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"] + [f"{k}: {v}" for k, v in headers.items()]
        writer.write(("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
        answer = await asyncio.wait_for(read_head(reader), timeout)
        await asyncio.wait_for(read_body(reader, answer), timeout)
        record.note(f"client gets {answer.status} for {rid} {answer.body[-60:]!r}")
        return answer.status, answer.headers, answer.body
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        record.note(f"client gets no whole answer for {rid}: {type(error).__name__}")
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def main(play, name):
    """Runs a case: play(record, folder, has_trouble) returns whether the rule held. Exits with 0, 1 or 2."""
    folder = Path(os.environ.get("CASE_FOLDER", "."))
    import tempfile
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review3-") as work:
        record = Record(folder)
        try:
            held = asyncio.run(play(record, Path(work), has_trouble))
        except Exception as error:  # the case couldn't run
            print(f"{name}: could not run: {error!r}")
            sys.exit(2)
        if record.errors:
            print(f"{name}: {record.errors} errors of its own")
            held = None
    sys.exit(2 if held is None else 0 if held else 1)
