"""Series of faults that overlap, drawn from a seed."""

import asyncio
import signal
import time

from host import GRACE_S

READY_S = 20
ADAPTERS = ("a1", "a1", "a1", "a2")


def handles(process, number):
    """Whether the process has set up its own handling of a signal."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            caught = next(line for line in file if line.startswith("SigCgt")).split()[1]
    except (OSError, StopIteration):
        return False
    return bool(int(caught, 16) >> (number - 1) & 1)


class Faults:
    def __init__(self, hosts, replicas, store, book, rng, has_restores=False):
        self.hosts = hosts
        self.replicas = replicas
        self.store = store
        self.book = book
        self.rng = rng
        self.has_restores = has_restores
        self.busy = set()
        self.is_stopped = False
        self.version = 1

    async def host_series(self):
        steps = (self.term,) * 3 + (self.kill,) * 2 + (self.pause,) * 3 + (self.hup,) * 2 + (self.early, self.paused_term)
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.2, 2.5))
            free = [host for host in self.hosts if host not in self.busy]
            if self.is_stopped or len(free) < 2:
                continue
            host = self.rng.choice(free)
            step = self.rng.choice(steps)
            self.busy.add(host)
            self.book.note(f"fault {step.__name__} at {host.name}")
            self.book.counts[f"fault {step.__name__}"] += 1
            try:
                await step(host)
            finally:
                self.busy.discard(host)

    async def watch_processes(self):
        while True:
            await asyncio.sleep(0.05)
            for host in self.hosts:
                status = host.current.process.poll()
                if status is not None and host not in self.busy:
                    self.fault(host, f"ended by itself with status {status}")
                    await self.restart(host)

    def fault(self, host, text):
        self.book.violate("FAULT", host.name, "-", f"{text}; last line: {host.last_line()}")

    async def restart(self, host):
        host.disturbed(3600)
        host.start()
        await self.await_ready(host)

    async def await_ready(self, host):
        begin = time.monotonic()
        is_ready = await host.wait_ready(READY_S)
        host.disturbances[-1] = (host.disturbances[-1][0], time.monotonic())
        self.book.note(f"{host.name} ready {is_ready} after {time.monotonic() - begin:.2f} s")
        if is_ready:
            return
        status = host.current.process.poll()
        if status is not None:
            self.fault(host, f"didn't start, status {status}")
            host.start()
        else:
            self.fault(host, f"not ready {READY_S} s after its start")

    async def finish(self, host, is_early=False):
        """Waits for the end after a SIGTERM and judges it."""
        status = await host.wait_end(GRACE_S + 1)
        if status is None:
            host.current.overstayed = True
            self.fault(host, f"still runs {GRACE_S + 1} s after SIGTERM")
            host.current.signal(signal.SIGKILL)
            await host.wait_end(5)
        elif status != 0 and not (is_early and status in (-signal.SIGTERM, -signal.SIGINT)):
            self.fault(host, f"ended with status {status} after SIGTERM")

    async def term(self, host):
        host.disturbed(3600)
        host.current.signal(signal.SIGTERM)
        if self.rng.random() < 0.4:
            await asyncio.sleep(self.rng.uniform(0, 1.0))
            second = self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
            self.book.note(f"second signal {second.name} to {host.name}")
            host.current.signal(second)
        await self.finish(host)
        await self.restart(host)

    async def kill(self, host):
        host.disturbed(3600)
        host.current.signal(signal.SIGKILL)
        await host.wait_end(5)
        await asyncio.sleep(self.rng.uniform(0, 1))
        await self.restart(host)

    async def pause(self, host):
        seconds = self.rng.uniform(0.5, 6)
        host.stop_for(seconds + 0.5)
        host.current.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.current.signal(signal.SIGCONT)
        host.went_on()

    async def paused_term(self, host):
        host.disturbed(3600)
        host.stop_for(3)
        host.current.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        host.current.signal(signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        host.current.signal(signal.SIGCONT)
        host.went_on()
        await self.finish(host)
        await self.restart(host)

    async def hup(self, host):
        host.disturbed(1)
        if self.rng.random() < 0.6:
            host.change_settings()
        host.current.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)

    async def early(self, host):
        """A signal in the first milliseconds of a start."""
        host.disturbed(3600)
        host.current.signal(signal.SIGKILL)
        await host.wait_end(5)
        host.start()
        wait_s = self.rng.choice((0.001, 0.005, 0.02, 0.05, 0.1))
        await asyncio.sleep(wait_s)
        number = self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
        is_handled = handles(host.current.process, number)
        self.book.note(f"{number.name} to {host.name} {wait_s} s after its start, handled {is_handled}")
        host.current.signal(number)
        if number == signal.SIGHUP:
            await asyncio.sleep(0.3)
            if host.current.process.poll() == -signal.SIGHUP and not is_handled:
                self.book.counts["ended by SIGHUP before it was handled"] += 1
                await self.restart(host)
                return
            await self.await_ready(host)
            return
        await self.finish(host, is_early=not is_handled)
        await self.restart(host)

    async def network_series(self):
        steps = (self.store_down, self.store_reset, self.store_silent, self.replica_reset, self.replica_reset,
                 self.replica_silent, self.replica_stall, self.replica_stall, self.replica_deaf, self.replica_deaf)
        if self.has_restores:
            steps += (self.store_restore,) * 3
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            if self.is_stopped:
                break
            step = self.rng.choice(steps)
            self.book.note(f"fault {step.__name__}")
            self.book.counts[f"fault {step.__name__}"] += 1
            await step()
            if self.rng.random() < 0.25:
                await asyncio.sleep(self.rng.uniform(6, 14))  # long enough for VERSION to count

    async def store_down(self):
        await self.store.close()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await self.store.open()
        self.store.up_at = time.monotonic()

    async def store_restore(self):
        """The store goes back to a copy; the operator writes what was lost again."""
        age_s = self.store.restore(self.rng.uniform(0.5, 10))
        self.book.note(f"store restored from a copy {age_s:.1f} s old, era {self.store.era}")
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        for adapter, versions in self.book.announced.items():
            if versions:
                version = max(version for version, _ in versions)
                self.store.put("versions", f"base.{adapter}", {"model": "base", "adapter": adapter, "version": version})
        self.store.up_at = time.monotonic()

    async def store_reset(self):
        self.store.reset_all(self.rng.choice((0.5, 1.0)), self.rng.random)

    async def store_silent(self):
        self.store.silence(self.rng.choice((0.3, 1.0)), self.rng.random)

    async def replica_reset(self):
        self.rng.choice(self.replicas).reset_all(self.rng.choice((0.5, 1.0)), self.rng.random)

    async def replica_silent(self):
        self.rng.choice(self.replicas).silence(self.rng.choice((0.5, 1.0)), self.rng.random)

    async def replica_stall(self):
        replica = self.rng.choice(self.replicas)
        replica.stalled_until = time.monotonic() + self.rng.uniform(0.3, 4)

    async def replica_deaf(self):
        """Orders get no answer meanwhile, and are carried out late if their conditions still hold."""
        engine = self.rng.choice([replica for replica in self.replicas if replica.service == "scribe"])
        engine.deaf_until = time.monotonic() + self.rng.uniform(2, 9)

    async def version_series(self):
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.5, 7))
            if self.is_stopped:
                break
            adapter = self.rng.choice(ADAPTERS)
            self.version += self.rng.choice((1, 1, 3))
            self.store.put("versions", f"base.{adapter}", {"model": "base", "adapter": adapter, "version": self.version})
            self.book.announced.setdefault(adapter, []).append((self.version, time.monotonic()))
            self.book.note(f"announced {adapter}@{self.version}")
            self.book.counts["announcements"] += 1
