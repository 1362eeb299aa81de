"""A stand-in for the platform's store."""

import asyncio
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from wire import Server, response

PREFIX = "/-/objects/"
PAGE = 500
COPY_INTERVAL_S = 0.25
COPY_RETENTION_S = 12


class Store(Server):
    def __init__(self, port):
        super().__init__(port)
        self.revision = 1
        self.objects = {}
        self.events = {}
        self._changed = asyncio.Event()
        self.era = 0
        self.copies = []  # (time, revision, objects, events), the oldest first

    def put(self, kind, name, spec, status=None, finalizers=None):
        """Writes an object as the operator or a replica does."""
        known = self.objects.setdefault(kind, {}).get(name)
        status = known["status"] if known and status is None else status
        finalizers = finalizers or []
        if known and (known["spec"], known["status"], known["meta"]["finalizers"]) == (spec, status, finalizers):
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else int(time.time() * 1000)
        meta = {"name": name, "revision": self.revision, "created": created, "finalizers": finalizers,
                "deleting": False}
        item = {"meta": meta, "spec": spec, "status": status}
        self.objects[kind][name] = item
        self._tell(kind, item, False)
        return item

    def remove(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return
        self.revision += 1
        item = dict(known, meta=dict(known["meta"], revision=self.revision))
        self._tell(kind, item, True)

    def _tell(self, kind, item, deleted):
        self.events.setdefault(kind, []).append({"object": item, "deleted": deleted})
        self._changed.set()
        self._changed = asyncio.Event()

    async def keep_copies(self):
        """Keeps copies of the last seconds for restore()."""
        while True:
            now = time.monotonic()
            self.copies.append((now, self.revision, copy.deepcopy(self.objects), copy.deepcopy(self.events)))
            while now - self.copies[0][0] > COPY_RETENTION_S:
                self.copies.pop(0)
            await asyncio.sleep(COPY_INTERVAL_S)

    def restore(self, age_s):
        """Goes back to the newest copy that is at least so old; its revisions are issued again in a new era."""
        now = time.monotonic()
        old = [each for each in self.copies if now - each[0] >= age_s] or self.copies[:1]
        made_at, revision, objects, events = old[-1]
        self.revision, self.objects, self.events = revision, copy.deepcopy(objects), copy.deepcopy(events)
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return now - made_at

    def _respond(self, writer, status, body):
        self.send(writer, response(status, body, f"Store-Era: {self.era}\r\n" if self.era else ""))

    async def _watch(self, kind, since, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            if since > self.revision:
                return None
            news = [event for event in self.events.get(kind, []) if event["object"]["meta"]["revision"] > since]
            left = deadline - time.monotonic()
            if news or left <= 0:
                return {"events": news, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _read(self, kind, name, query):
        items = self.objects.get(kind, {})
        if "watch" in query:
            wait_ms = int(query.get("wait_ms", ["0"])[0])
            answer = await self._watch(kind, int(query["watch"][0]), wait_ms / 1000)
            return (200, answer) if answer is not None else (410, {})
        if name:
            return (200, items[name]) if name in items else (404, {})
        after = query.get("after", [""])[0]
        names = sorted(each for each in items if each > after)
        page = [items[each] for each in names[:PAGE]]
        return 200, {"items": page, "has_more": len(names) > PAGE, "as_of": self.revision}

    def _write(self, method, kind, name, query, body):
        meta = body.get("meta") or {}
        of_status = name.endswith("/status")
        name = meta.get("name", "") if method == "POST" else name.removesuffix("/status")
        known = self.objects.get(kind, {}).get(name)
        revision = int(query.get("revision", ["0"])[0]) or meta.get("revision", 0)
        if method == "POST":
            if known:
                return 409, known
        elif known is None:
            return 404, {}
        elif revision and revision != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if of_status:
            return 200, self.put(kind, name, known["spec"], body.get("status"), known["meta"]["finalizers"])
        item = self.put(kind, name, body.get("spec"), finalizers=meta.get("finalizers"))
        return (201 if method == "POST" else 200), item

    async def handle(self, reader, writer, message):
        url = urlsplit(message.target)
        if not url.path.startswith(PREFIX):
            self.send(writer, response(404, {}))
            return
        kind, _, name = url.path[len(PREFIX):].partition("/")
        query = parse_qs(url.query)
        if message.method == "GET":
            status, body = await self._read(kind, name, query)
        else:
            status, body = self._write(message.method, kind, name, query, json.loads(message.body or b"{}"))
        self._respond(writer, status, body)
        await writer.drain()
