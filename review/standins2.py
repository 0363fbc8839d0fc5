"""Stand-ins for the cases of the second review: the platform's store, replicas
and clients, and the daemons as processes. Python 3 with its standard library.

All addresses are loopback addresses; ports are free ones that the kernel gives.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "EdgeDaemon", "zincstep-edge")
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 403: "Forbidden",
           404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def now():
    return time.monotonic()


_reserved = []


def free_port():
    """A free port; its socket stays bound until `release_ports`."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((HOST, 0))
    _reserved.append(held)
    return held.getsockname()[1]


def release_ports():
    while _reserved:
        _reserved.pop().close()


class Closed(Exception):
    """The other side closed the connection before a message was complete."""


async def read_message(reader, on_body=None):
    """Reads one request or response: first line, headers (lower case), body.

    `on_body` is called with each part of a body without its framing.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Closed("no head")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = bytearray()

    def add(part):
        body.extend(part)
        if on_body:
            on_body(part)

    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    break
                add(await reader.readexactly(size))
                await reader.readexactly(2)
        else:
            left = int(headers.get("content-length", "0"))
            while left > 0:
                part = await reader.read(min(left, 1 << 16))
                if not part:
                    raise Closed("body cut")
                add(part)
                left -= len(part)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        raise Closed("body cut")
    return lines[0], headers, bytes(body)


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, headers, body=b""):
    headers = dict(headers)
    headers["Content-Length"] = str(len(body))
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}",
                   headers, body)


async def serve(handler, port):
    """Serves connections; `handler` gets reader, writer and ends them."""

    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, HOST, port, limit=1 << 20,
                                      backlog=512)


class Store:
    """The platform's metadata store, as the protocol page describes it."""

    def __init__(self):
        self.port = free_port()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.server = None
        self.acknowledged = []

    async def start(self):
        self.server = await serve(self.handle, self.port)

    def expire(self):
        for lease, (ends, _) in list(self.leases.items()):
            if now() >= ends:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    def bump(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {"privateKey": key,
                           "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "made": made,
                           "lease": lease}
        self.bump(dict(self.items[key]))
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value, separators=(",", ":")).encode())

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.bump({"privateKey": key, "revision": self.revision,
                       "gone": True})

    async def handle(self, reader, writer):
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            await asyncio.sleep(0.004)
            status, answer = await self.answer(method, target, body)
            writer.write(response(status, {"Content-Type": "application/json"},
                                  json.dumps(answer).encode()))
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                return

    async def answer(self, method, target, body):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["privateKey"])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["pathPrefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more": len(keys) > 500, "at": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return self.transact(json.loads(body))
        if url.path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        number = int(url.path.rsplit("/", 1)[1]) if "/kv-" in url.path else 0
        if url.path.startswith("/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (now() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if url.path.startswith("/kv-lease-end/"):
            self.end_lease(number)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query["pathPrefix"], int(query["after"])
        ends = now() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["privateKey"].startswith(prefix)]
            left = ends - now()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            self.expire()

    def transact(self, change):
        for row in change.get("expectedRevision", []):
            item = self.items.get(row["privateKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self.items[r["privateKey"]]
                         for r in change["expectedRevision"]
                         if r["privateKey"] in self.items]
                return 412, {"items": items}
        puts = change.get("put", [])
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for row in puts:
            self.put(row["privateKey"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in change.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Replica:
    """A replica that keeps its entry in the store. `run` answers a request."""

    def __init__(self, store, name, service, zone, slots=6):
        self.store, self.name, self.service, self.zone = (store, name, service,
                                                          zone)
        self.slots = slots
        self.port = free_port()
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.server = None

    def extra_entry(self):
        return {}

    def entry(self):
        entry = {"backend": self.service, "address": f"{HOST}:{self.port}",
                 "zone": self.zone, "configVersion": "v1", "slots": self.slots,
                 "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.sequence}
        entry.update(self.extra_entry())
        return entry

    def register(self):
        self.store.put_json(f"servers/{self.name}", self.entry())

    async def start(self):
        self.server = await serve(self.handle, self.port)
        self.register()

    async def handle(self, reader, writer):
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ", 2)
            expected = headers.get("x-expect-instance", self.name)
            identity = {"X-Attempt-Id": headers.get("x-attempt-id", "")}
            if expected != self.name:
                writer.write(response(421, {**identity,
                                            "X-Instance-Id": self.name}))
            elif target == "/healthz":
                writer.write(response(200, {"X-Instance-Id": self.name}))
            elif "x-attempt-id" not in headers and target != "/report" \
                    and target != "/order":
                writer.write(response(400, {"X-Not-Executed": "1"}))
            else:
                await self.run(method, target, headers, body, writer)
            await writer.drain()
            if headers.get("connection", "").lower() == "close":
                return

    async def run(self, method, target, headers, body, writer):
        raise NotImplementedError


class Daemon:
    """A daemon of the deploy file, as a process."""

    def __init__(self, number, zone, folder):
        self.name, self.zone = f"edge-{number}", zone
        self.port, self.admin, self.peer, self.control = (
            free_port(), free_port(), free_port(), free_port())
        self.address = HOST
        self.folder = folder
        self.process = None
        self.starts = 0

    def environment(self, store, daemons, extra):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env.update({
            "ZINCSTEP_NAME": self.name, "ZINCSTEP_FAILURE_DOMAIN": self.zone,
            "ZINCSTEP_LISTEN": f"{self.address}:{self.port}",
            "ZINCSTEP_ADMIN_LISTEN": f"{self.address}:{self.admin}",
            "ZINCSTEP_PEER_LISTEN": f"{self.address}:{PEER_PORT}",
            "ZINCSTEP_FORWARD_LISTEN": f"{self.address}:{FORWARD_PORT}",
            "ZINCSTEP_STORE": f"{HOST}:{store.port}",
            "ZINCSTEP_SEEDS": ",".join(f"{d.address}:{d.control}"
                                       for d in daemons[:3]),
            "ZINCSTEP_DRAIN_NOTICE_MS": "2000",
            "ZINCSTEP_KEY_REVOCATION_MS": "5000",
            "ZINCSTEP_FAIL_CLOSED": "true", "ZINCSTEP_STOP_GRACE_S": "8",
            "ZINCSTEP_RETRY_RATIO": "0.2", "ZINCSTEP_RETRY_SLACK": "198",
            "ZINCSTEP_RETRY_WINDOW_S": "10",
            "ZINCSTEP_FIRST_START": "true" if self.starts == 0 else "false",
            "ZINCSTEP_MEMORY_MB": "260", "ZINCSTEP_LINK_MBPS": "1000.0"})
        env.update(extra)
        return env

    def start(self, store, daemons, **extra):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [DAEMON], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env=self.environment(store, daemons, extra))
        log.close()
        self.starts += 1

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def resident_mb(self):
        """Memory that the process holds, as the kernel counts it."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address,
                                                           self.admin)
            writer.write(message("GET /readyz HTTP/1.1",
                                 {"Host": "x", "Connection": "close"}))
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return first.split(" ")[1] == "200"
        except (OSError, Closed, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=10):
        ends = now() + limit
        while now() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


# The ports between daemons are the same on all machines; each machine is an
# address of its own.
PEER_PORT = 0
FORWARD_PORT = 0


def machines(zones, folder):
    """One daemon for each zone named, each at an address of its own."""
    global PEER_PORT, FORWARD_PORT
    PEER_PORT, FORWARD_PORT = free_port(), free_port()
    daemons = []
    for number, zone in enumerate(zones, 1):
        daemon = Daemon(number, zone, folder)
        daemon.address = f"127.0.{10 + number}.1"
        daemons.append(daemon)
    return daemons


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self.path = path
        self.begun = now()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now() - self.begun:8.3f} {text}")

    def write(self):
        with open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, folder, limit=110, name="record.txt"):
    """Runs `main(record, temporary folder)`; it returns whether the rule held,
    or None where the case could not run. Exits as the issue asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, name))
    record.add(f"TROUBLE={'1' if trouble() else '0'}")
    started = []
    verdict = None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(
                asyncio.wait_for(main(record, temporary, started), limit))
        except Exception as error:  # Reported as a case that could not run.
            record.add(f"could not run: {error!r}")
        finally:
            for daemon in started:
                daemon.kill(signal.SIGCONT)
                daemon.kill()
            for daemon in started:
                if daemon.process:
                    daemon.process.wait()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for name in os.listdir(temporary):
                    with open(os.path.join(temporary, name), "rb") as log, \
                            open(os.path.join(keep, name), "wb") as out:
                        out.write(log.read())
    record.add({True: "held", False: "BROKEN", None: "could not run"}[verdict])
    record.write()
    print(record.lines[-1])
    sys.exit({True: 0, False: 1, None: 2}[verdict])
