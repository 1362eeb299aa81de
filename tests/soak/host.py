"""Processes of vanillaspar-entry, each start of one an incarnation."""

import asyncio
import ctypes
import re
import signal
import subprocess
import time

from wire import read_body, read_head

GRACE_S = 8
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def end_with_parent():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Incarnation:
    """One process from its start to its end."""

    def __init__(self, process, host):
        self.process = process
        self.host = host
        self.started = time.monotonic()
        self.killed_at = None
        self.overstayed = False
        self.signals = []

    def state(self):
        """State, resident memory in KB and number of threads, as the kernel tells them."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii", errors="replace") as file:
                lines = [line.split(":")[1].split()[0] for line in file if line.startswith(("State:", "VmRSS:", "Threads:"))]
        except OSError:
            return "gone"
        return ", ".join(lines)

    def signal(self, number):
        if self.process.poll() is None:
            self.signals.append((number, time.monotonic()))
            if number == signal.SIGKILL:
                self.killed_at = time.monotonic()
            self.process.send_signal(number)


class Host:
    def __init__(self, index, ports, program, folder, template, store_port, book):
        self.name = f"front-{index + 1}"
        self.zone = "zone-" + "ab"[index % 2]
        self.port, self.ready_port, self.peer_port, self.metrics_port, self.directory_port = ports
        self.program = program
        self.log = folder / f"{self.name}.log"
        self.path = folder / f"{self.name}.yaml"
        self.template = template
        self.store_port = store_port
        self.book = book
        self.changes = 0
        self.current = None
        self.disturbances = []  # (from, to)
        self.stops = []  # (from, to)
        self.write_settings()

    def write_settings(self):
        def address(port):
            return f"127.0.0.1:{port}"

        values = {"node_name": self.name, "zone": self.zone, "ip": "127.0.0.1", "port_range.0": self.peer_port,
                  "port_range.1": self.metrics_port, "listen_addrs.front": address(self.port),
                  "listen_addrs.ready_addr": address(self.ready_port),
                  "listen_addrs.directory": address(self.directory_port), "limits.cpu_share": 0.25, "limits.memory_mb": 160, "policies": "",
                  "platform.address": address(self.store_port), "bounds.revoke_ms": 5000, "bounds.lease_ms": 3000,
                  "bounds.version_ms": 5000, "bounds.grace_s": GRACE_S, "bounds.retry_ratio": 0.2,
                  "bounds.retry_slack": 52 + self.changes, "bounds.retry_window_s": 10}
        text = self.template
        # A section is there only where the platform has its value.
        text = re.sub(r"\{\{#(.+?)\}\}\n(.*?)\{\{/\1\}\}\n",
                      lambda part: part[2].replace("{{.}}", str(values[part[1]])) if part[1] in values else "", text,
                      flags=re.DOTALL)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        self.path.write_text(text)

    def change_settings(self):
        self.changes += 1
        self.write_settings()

    def start(self):
        with self.log.open("ab") as log:
            process = subprocess.Popen([self.program, "--settings", str(self.path)], stdin=subprocess.DEVNULL,
                                       stdout=log, stderr=log, preexec_fn=end_with_parent)
        self.current = Incarnation(process, self)
        self.book.note(f"{self.name} started, pid {process.pid}")
        return self.current

    def disturbed(self, seconds=0.0):
        now = time.monotonic()
        self.disturbances.append((now, now + seconds))

    def stop_for(self, seconds):
        now = time.monotonic()
        self.disturbances.append((now, now + seconds))
        self.stops.append((now, now + seconds))

    def went_on(self):
        """Ends the newest stop; what waited meanwhile takes a moment more."""
        self.stops[-1] = (self.stops[-1][0], time.monotonic() + 0.5)

    def was_stopped(self, start, end):
        return any(last >= start and first <= end for first, last in self.stops)

    def was_undisturbed(self, start, end):
        return all(last < start or first > end for first, last in self.disturbances)

    def last_line(self):
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1][:400] if lines else ""

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready_port), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            await asyncio.wait_for(read_body(reader, answer), 1)
            return answer.status == 200
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and self.current.process.poll() is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_end(self, seconds):
        """Returns the exit status, or nothing if the process still runs."""
        deadline = time.monotonic() + seconds
        seen = ""
        while time.monotonic() < deadline:
            if (status := self.current.process.poll()) is not None:
                self.book.note(f"{self.name} has ended with status {status}")
                return status
            if (state := self.current.state()) != seen:
                seen = state
                self.book.note(f"{self.name} is on its way out: {state}")
            await asyncio.sleep(0.02)
        return None
