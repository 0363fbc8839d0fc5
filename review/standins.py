"""Stand-ins of the operators' platform for the cases of this review.

The store, plain replicas, callers and the platform's balancer, as the
operators' pages (PROTOCOL, DEPLOY) describe them, on loopback addresses and
the real clock. Python 3 with its standard library only.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
CASE_TIMEOUT_S = 110.0
PROGRAM = "target/EdgeDaemon/zincstep-edge"


def free_ports(count, hosts=(HOST,)):
    """Returns ports that are free on each of the hosts."""
    ports = []
    held = []
    while len(ports) < count:
        port = 0
        try:
            for host in hosts:
                one = socket.socket()
                held.append(one)
                one.bind((host, port))
                port = one.getsockname()[1]
            ports.append(port)
        except OSError:  # In use on another host.
            pass
    for one in held:
        one.close()
    return ports


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Message:
    """The head of an HTTP/1.1 request or response."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; returns None where the connection ended before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, head):
    """Reads a body with a length or in chunks."""
    if head.header("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(head.header("content-length", "0")))


def response(status, reason, headers, body=b""):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: items, ranges, watches, conditions and leases."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.create_task(self.expire_leases())

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {
            "privateKey": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "made": made,
            "lease": lease,
        }
        self.notify(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify(
                {"privateKey": key, "revision": self.revision, "gone": True})

    def notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end < now:
                    self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ", 2)
                status, answer = await self.call(method, target, body)
                writer.write(response(status, "x", {
                    "Content-Type": "application/json", "Store-Era": "1"},
                    json.dumps(answer).encode()))
                await writer.drain()
                if head.header("connection").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-key":
            item = self.items.get(fields["privateKey"])
            return (200, dict(item, at=self.revision)) if item else (
                404, {"at": self.revision})
        if path == "/kv-range":
            prefix, after = fields["pathPrefix"], fields.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return await self.watch(fields)
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, fields):
        after, prefix = int(fields["after"]), fields["pathPrefix"]
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["privateKey"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, change):
        checks = change.get("expectedRevision", [])
        present = [self.items.get(c["privateKey"]) for c in checks]
        held = all((item["revision"] if item else 0) == check["revision"]
                   for item, check in zip(present, checks))
        if not held:
            return 412, {"items": [i for i in present if i],
                         "revision": self.revision}
        for item in change.get("put", []):
            lease = item.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for item in change.get("put", []):
            self.put(item["privateKey"], base64.b64decode(item["value"]),
                     item.get("lease", 0))
        for key in change.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Daemon:
    """One process of the deploy file, with its settings.

    `sheet` has the figures of the deployment's sheet.
    """

    def __init__(self, name, domain, host, ports, store, seeds, folder, sheet):
        self.name = name
        self.host = host
        self.callers, self.admin, self.peer, self.forward = ports
        self.log = open(os.path.join(folder, name + ".log"), "wb")
        # As `env` of the deploy file gives them.
        self.settings = {
            "ZINCSTEP_NAME": name,
            "ZINCSTEP_FAILURE_DOMAIN": domain,
            "ZINCSTEP_LISTEN": f"{host}:{self.callers}",
            "ZINCSTEP_ADMIN_LISTEN": f"{host}:{self.admin}",
            "ZINCSTEP_PEER_LISTEN": f"{host}:{self.peer}",
            "ZINCSTEP_FORWARD_LISTEN": f"{host}:{self.forward}",
            "ZINCSTEP_STORE": f"{HOST}:{store}",
            "ZINCSTEP_SEEDS": ",".join(seeds),
            "ZINCSTEP_DRAIN_NOTICE_MS": sheet["drainMs"],
            "ZINCSTEP_KEY_REVOCATION_MS": sheet["revokeMs"],
            "ZINCSTEP_FAIL_CLOSED": "true",
            "ZINCSTEP_STOP_GRACE_S": sheet["graceS"],
            "ZINCSTEP_RETRY_RATIO": sheet["retryBudgetRatio"],
            "ZINCSTEP_RETRY_SLACK": sheet["retrySlack"],
            "ZINCSTEP_RETRY_WINDOW_S": sheet["retryWindowS"],
            "ZINCSTEP_FIRST_START": "true",
            "ZINCSTEP_MEMORY_MB": sheet["memoryMb"],
            "ZINCSTEP_LINK_MBPS": sheet["linkMbps"],
        }
        self.process = None
        self.ended = None

    async def start(self):
        if self.process is not None:
            # Only the first start of the whole system is one.
            self.settings["ZINCSTEP_FIRST_START"] = "false"
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, stdout=self.log, stderr=self.log,
            env=dict(self.settings, PATH=os.environ.get("PATH", "")))
        self.ended = asyncio.create_task(self.process.wait())

    def running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.running():
            self.process.send_signal(number)

    async def ready(self):
        """Asks as the platform does: whether the daemon answers 200."""
        if not self.running():
            return False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.admin), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.log.close()


# Bounds and machines of the sheets that the cases take their settings from.
DAROVNA_OPS = {
    "drainMs": "2000", "revokeMs": "5000", "graceS": "8",
    "retryBudgetRatio": "0.2", "retrySlack": "198", "retryWindowS": "10",
    "memoryMb": "260", "linkMbps": "1000.0"}
DAROVNA_OPS_GROWN = dict(
    DAROVNA_OPS, drainMs="3000", retrySlack="350", memoryMb="512",
    linkMbps="200.0")
TAVUA_ORDERS = dict(DAROVNA_OPS, retrySlack="200")


def entry(service, address, zone, slots, state="ready"):
    """A replica's entry in the store."""
    return {"backend": service, "address": address, "zone": zone,
            "configVersion": "v1", "slots": slots, "state": state,
            "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000)}


def route(name, prefix, kind, service, timeout_ms, attempts, **more):
    return dict({"name": name, "hostname": "pages.example",
                 "pathPrefix": prefix, "routeType": kind,
                 "timeoutMs": timeout_ms, "targetLatencyMs": 150,
                 "priority": 2, "backend": service, "maxAttempts": attempts,
                 "public": False}, **more)


def configuration(version, routes, services, tenants, connections=49):
    """A configuration as the operator writes it."""
    return {"configVersion": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz",
                          "maxConnections": connections, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1}
                        for name, key in tenants.items()]}


class Balancer:
    """The platform's balancer for the daemons of one zone.

    Asks each daemon every second whether it is ready; after two misses it
    sends the daemon no new connections until it answers 200. With fewer than
    half of the zone's daemons in, it uses all of them.
    """

    def __init__(self, daemons, record):
        self.daemons = daemons
        self.record = record
        self.misses = {daemon.name: 0 for daemon in daemons}
        self.last = None

    async def run(self):
        while True:
            ready = await asyncio.gather(*(d.ready() for d in self.daemons))
            for daemon, is_ready in zip(self.daemons, ready):
                self.misses[daemon.name] = (
                    0 if is_ready else self.misses[daemon.name] + 1)
            names = [daemon.name for daemon in self.choices()]
            if names != self.last:
                self.last = names
                self.record.line(f"balancer: new connections to {names}")
            await asyncio.sleep(1.0)

    def choices(self):
        chosen = [d for d in self.daemons if self.misses[d.name] < 2]
        return chosen if 2 * len(chosen) >= len(self.daemons) else self.daemons


def run_case(folder, play):
    """Plays a case and returns its exit status: 1 if the rule was broken, 0 if
    it held, 2 if the case couldn't run.

    `play` gets the record, a temporary folder and whether there is a
    disruption; it ends the processes that it starts.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"disruption: {'yes' if has_trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(asyncio.wait_for(
                play(record, temporary, has_trouble), CASE_TIMEOUT_S))
    except Exception as error:  # The case could not run.
        record.line(f"could not run: {error!r}")
    record.line(f"exit {status}")
    record.close()
    return status
