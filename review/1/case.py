"""A replica answers before it has read a long body, and reads on later."""

import asyncio
import os
import random
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "donor-app"
# One replica in each zone, as on the sheet of darovna-ops; the daemon is in the
# first.
ZONES = ["ba-hall-a", "ba-hall-b", "tt-hall"]
TENANTS = {"animal-shelter": "key-of-the-shelter",
           "parish-food-bank": "key-of-the-food-bank"}
SLOTS = 6
# Of `gift-confirm` on the sheet of darovna-ops.
ROUTE_TIMEOUT_MS = 1200
DEADLINE_MS = 2500
WORK_S = 0.03
TRAFFIC_S = 13.0
SHORT_PER_S = 40
# Long requests begin when the replicas have answered some short ones.
LONG_FROM_S = 4.0
LONG_EVERY_S = 1.0
LONG_APART_S = 0.01
# Within the limit of 4,194,304 bytes that the configuration states.
LONG_BODY_BYTES = 2_000_000
# A replica rejects longer requests before they are in.
LONG_REQUEST_BYTES = 100_000
# Largest dose of `garble`: one of three replicas is below 0.6 of them; it
# spoils at most this share of its answers, for at most so long.
SPOILT_SHARE = 0.05
SPOILS_S = 6.9
READS_ON_AFTER_S = 0.3
BODY_TIMEOUT_S = 4.0
# Windows of the platform's links are small, and segments are those of
# Ethernet, not of the loopback device.
RECEIVE_BUFFER_BYTES = 64 << 10
SEGMENT_BYTES = 1460
# The long bodies of one tenant hold the text of a request here and there,
# between empty lines.
TEXT_GAP_BYTES = 20_000
TEXT_ID = "f0f0f0f0f0f0f0f0"
SEED = 3


def quoting_body():
    """A body that holds the text of a request, as any body may."""
    text = (f"POST /find/receipts HTTP/1.1\r\nHost: pages.example\r\n"
            f"X-Attempt-Id: {TEXT_ID}\r\nX-Tenant: animal-shelter\r\n"
            f"Content-Length: 0\r\n\r\n").encode()
    block = b"\r\n" * (TEXT_GAP_BYTES // 2) + text
    return (block * (LONG_BODY_BYTES // len(block) + 1))[:LONG_BODY_BYTES]


def plain_body():
    line = b"donor list of the shelter\n"
    return (line * (LONG_BODY_BYTES // len(line) + 1))[:LONG_BODY_BYTES]


class Replica:
    """A replica of a plain service that serves one request at a time on each
    connection."""

    def __init__(self, name, record, sent, rejects_early):
        self.name = name
        self.record = record
        # Bodies of the callers, by attempt id.
        self.sent = sent
        self.rejects_early = rejects_early
        self.answers = 0
        self.spoilt = 0
        self.spoils_until = None
        self.foreign = 0
        self.unsent = 0
        self.connections = 0
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.bind((standins.HOST, 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]

    def line(self, text):
        self.record.line(f"{self.name}: {text}")

    async def serve(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.socket)
            connection.setblocking(False)
            self.connections += 1
            asyncio.create_task(self.handle(connection, self.connections))

    async def handle(self, connection, number):
        try:
            rest = b""
            while rest is not None:
                rest = await self.handle_request(connection, number, rest)
        except OSError:
            pass
        finally:
            connection.close()

    async def receive(self, connection):
        """Receives some bytes; none at the end of the connection."""
        return await asyncio.get_running_loop().sock_recv(connection, 65536)

    async def send(self, connection, data):
        self.answers += 1
        await asyncio.get_running_loop().sock_sendall(connection, data)

    def may_spoil(self):
        if self.spoils_until is None:
            self.spoils_until = self.record.now() + SPOILS_S
        return (self.rejects_early
                and self.record.now() < self.spoils_until
                and self.spoilt + 1 <= SPOILT_SHARE * (self.answers + 1))

    async def handle_request(self, connection, number, received):
        """Handles one request; returns the bytes behind it, or none where the
        connection has ended."""
        # Empty lines before a request line are skipped, as HTTP servers do.
        received = received.lstrip(b"\r\n")
        while b"\r\n\r\n" not in received:
            part = await self.receive(connection)
            if not part:
                return None
            received = (received + part).lstrip(b"\r\n")
        text, body = received.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        attempt = headers.get("x-attempt-id", "none")
        length = int(headers.get("content-length", "0"))
        is_early = length > LONG_REQUEST_BYTES and self.may_spoil()
        if is_early:
            self.spoilt += 1
            await self.send(connection, standins.response(
                503, "Service Unavailable",
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"too long"))
            self.line(
                f"connection {number}: rejects {attempt}, tenant "
                f"{headers.get('x-tenant')}, as not executed, {len(body)} of "
                f"{length} bytes of its body read")
            await asyncio.sleep(READS_ON_AFTER_S)
        body = await self.read_body(connection, number, attempt, body, length)
        if body is None:
            return None
        body, rest = body[:length], body[length:]
        self.check(number, attempt, body)
        if not is_early:
            await self.run(connection, lines[0], headers, attempt)
        return rest

    async def run(self, connection, first_line, headers, attempt):
        self.line(f"runs {attempt}, {first_line}")
        if attempt not in self.sent:
            self.unsent += 1
            self.line(f"UNASKED: no client has sent {attempt}: {first_line}, "
                      f"tenant {headers.get('x-tenant')}")
        await asyncio.sleep(WORK_S)
        await self.send(connection, standins.response(
            200, "OK", {"X-Attempt-Id": attempt,
                        "X-Response-Seal": "seal." + attempt},
            b"receipt of " + attempt.encode()))

    async def read_body(self, connection, number, attempt, body, length):
        while len(body) < length:
            try:
                part = await asyncio.wait_for(
                    self.receive(connection), BODY_TIMEOUT_S)
            except asyncio.TimeoutError:
                part = b""
            if not part:
                self.line(f"connection {number} ends after {len(body)} of "
                          f"{length} bytes of {attempt}")
                self.check(number, attempt, body)
                return None
            body += part
        return body

    def check(self, number, attempt, body):
        """Compares what was read as a request's body with what was sent."""
        sent = self.sent.get(attempt, b"")
        if sent.startswith(body):
            return
        at = next(i for i, (one, other) in enumerate(zip(body, sent))
                  if one != other)
        self.foreign += 1
        self.line(f"UNASKED: connection {number}, where the rest of the body "
                  f"of {attempt} is due, from byte {at}: "
                  f"{body[at:at + 260]!r}")


class Clients:
    """Clients of two tenants."""

    def __init__(self, record, daemon, sent):
        self.record = record
        self.daemon = daemon
        self.sent = sent
        self.outcomes = {}
        self.chance = random.Random(SEED)

    async def call(self, tenant, body):
        """Sends one request on a new connection and notes its status."""
        attempt = f"{len(self.sent):016x}"
        self.sent[attempt] = body
        status = "no answer"
        try:
            reader, writer = await asyncio.open_connection(
                self.daemon.host, self.daemon.callers)
            method = "POST" if body else "GET"
            head = (f"{method} /find/receipts?donor=7 HTTP/1.1\r\n"
                    f"Host: pages.example\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Deadline-Ms: {DEADLINE_MS}\r\n"
                    f"Authorization: Bearer {TENANTS[tenant]}\r\n")
            if body:
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            answer = await asyncio.wait_for(
                standins.read_head(reader), DEADLINE_MS / 1000)
            if answer is not None:
                await standins.read_body(reader, answer)
                status = answer.first.split(" ")[1]
            writer.close()
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            pass
        key = ("long" if body else "short") + " " + status
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        if status != "200":
            self.record.line(f"client: {attempt} of {tenant}, {len(body)} "
                             f"bytes of body, gets {status}")

    async def send_long(self):
        """Now and then a long request of each tenant, about at once."""
        await asyncio.sleep(LONG_FROM_S)
        bodies = [plain_body(), quoting_body()]
        while self.record.now() < self.end:
            calls = []
            for tenant, body in zip(TENANTS, bodies):
                calls.append(asyncio.create_task(self.call(tenant, body)))
                await asyncio.sleep(LONG_APART_S)
            await asyncio.gather(*calls)
            await asyncio.sleep(LONG_EVERY_S)

    async def send_all(self):
        self.end = self.record.now() + TRAFFIC_S
        calls = [asyncio.create_task(self.send_long())]
        while self.record.now() < self.end:
            calls.append(asyncio.create_task(
                self.call(self.chance.choice(list(TENANTS)), b"")))
            await asyncio.sleep(1 / SHORT_PER_S)
        await asyncio.gather(*calls)


async def play(record, folder, has_trouble):
    sent = {}
    store = standins.Store()
    await store.start()
    replicas = [Replica(f"i-app-{i + 1}", record, sent, has_trouble and i == 0)
                for i in range(len(ZONES))]
    serving = [asyncio.create_task(one.serve()) for one in replicas]
    for one, zone in zip(replicas, ZONES):
        store.put_json(f"servers/{one.name}", standins.entry(
            SERVICE, f"{standins.HOST}:{one.port}", zone, SLOTS))
    store.put_json("op/config", standins.configuration(
        1, [standins.route("find", "/find/", "safe", SERVICE,
                           ROUTE_TIMEOUT_MS, 2)], [SERVICE], TENANTS))
    ports = standins.free_ports(4)
    daemon = standins.Daemon("edge-1", ZONES[0], standins.HOST, ports,
                             store.port, [f"{standins.HOST}:{ports[2]}"],
                             folder, standins.DAROVNA_OPS)
    clients = Clients(record, daemon, sent)
    try:
        await daemon.start()
        if not await daemon.wait_ready():
            record.line("the daemon is not ready")
            return 2
        await clients.send_all()
        await asyncio.sleep(BODY_TIMEOUT_S)
    finally:
        await daemon.close()
        for task in serving:
            task.cancel()
    foreign = sum(one.foreign for one in replicas)
    unsent = sum(one.unsent for one in replicas)
    record.line(f"outcomes: {clients.outcomes}")
    record.line(f"answers of {replicas[0].name}: {replicas[0].answers}, "
                f"{replicas[0].spoilt} of them before a long body was in")
    record.line(f"bodies that got bytes of other requests: {foreign}")
    record.line(f"requests run that no client sent: {unsent}")
    return 1 if foreign or unsent else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
