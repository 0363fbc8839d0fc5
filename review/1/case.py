"""A replica answers before it has read a long body, and reads on later."""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

ROUNDS = 3
# Bytes of the second tenant's body, which holds the text of a request here and
# there, between empty lines.
FORGED_BODY_BYTES = 4_000_000
FORGED_GAP_BYTES = 20_000
FORGED_ID = "f0f0f0f0f0f0f0f0"
SERVICE = "donor-app"
ZONE = "ba-hall-a"
TENANTS = {"animal-shelter": "key-of-the-shelter",
           "parish-food-bank": "key-of-the-food-bank"}
# Within the limit of 4,194,304 bytes that the configuration states.
LONG_BODY_BYTES = 2_000_000
# The replica rejects longer requests before they are in.
LONG_REQUEST_BYTES = 100_000
# Windows of the platform's links are small, and segments are those of
# Ethernet, not of the loopback device.
RECEIVE_BUFFER_BYTES = 64 << 10
SEGMENT_BYTES = 1460
READS_ON_AFTER_S = 0.3
BODY_TIMEOUT_S = 4.0


class Replica:
    """A replica of a plain service that serves one request at a time on each
    connection."""

    def __init__(self, record, sent, rejects_early):
        self.record = record
        # Bodies of the callers, by attempt id.
        self.sent = sent
        self.rejects_early = rejects_early
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
        except OSError as error:
            self.record.line(f"replica: connection {number} lost: {error}")
        finally:
            connection.close()

    async def receive(self, connection):
        """Receives some bytes; none at the end of the connection."""
        return await asyncio.get_running_loop().sock_recv(connection, 65536)

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
        self.record.line(
            f"replica: connection {number} gets the head of {attempt}, "
            f"tenant {headers.get('x-tenant')}, length {length}")
        is_early = self.rejects_early and length > LONG_REQUEST_BYTES
        if is_early:
            await self.reject(connection, attempt)
            self.record.line(
                f"replica: {attempt} rejected as not executed, "
                f"{len(body)} of {length} bytes of its body read")
            await asyncio.sleep(READS_ON_AFTER_S)
        body = await self.read_body(connection, number, attempt, body, length)
        if body is None:
            return None
        body, rest = body[:length], body[length:]
        self.check(number, attempt, body)
        if not is_early and length > LONG_REQUEST_BYTES:
            await self.reject(connection, attempt)
        elif not is_early:
            self.record.line(f"replica: runs {attempt}")
            if attempt not in self.sent:
                self.unsent += 1
                self.record.line(
                    f"replica: UNASKED: no client has sent {attempt}: "
                    f"{lines[0]}, tenant {headers.get('x-tenant')}")
            await self.send(connection, standins.response(200, "OK", {
                "X-Attempt-Id": attempt, "X-Response-Seal": "seal." + attempt},
                b"receipt of " + attempt.encode()))
        return rest

    async def read_body(self, connection, number, attempt, body, length):
        while len(body) < length:
            try:
                part = await asyncio.wait_for(
                    self.receive(connection), BODY_TIMEOUT_S)
            except asyncio.TimeoutError:
                part = b""
            if not part:
                self.record.line(
                    f"replica: connection {number} ends after {len(body)} of "
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
        self.record.line(
            f"replica: UNASKED: connection {number}, where the rest of the "
            f"body of {attempt} is due, from byte {at}: {body[at:at + 300]!r}")

    async def reject(self, connection, attempt):
        await self.send(connection, standins.response(
            503, "Service Unavailable",
            {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"too long"))

    async def send(self, connection, data):
        await asyncio.get_running_loop().sock_sendall(connection, data)


async def call(record, daemon, name, key, method, target, body, timeout_ms):
    """Sends one request as a client does and returns its status."""
    reader, writer = await asyncio.open_connection(daemon.host, daemon.callers)
    head = (f"{method} {target} HTTP/1.1\r\nHost: pages.example\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: {timeout_ms}\r\n"
            f"Authorization: Bearer {key}\r\n")
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    record.line(f"client: sends {name}: {method} {target}, "
                f"{len(body)} bytes of body")
    writer.write(head.encode() + b"\r\n" + body)
    status = "no answer"
    try:
        answer = await asyncio.wait_for(
            standins.read_head(reader), timeout_ms / 1000 + 1)
        if answer is not None:
            content = await standins.read_body(reader, answer)
            status = answer.first.split(" ")[1]
            record.line(f"client: {name} gets {status}, {content[:60]!r}")
        else:
            record.line(f"client: {name}: the connection ends unanswered")
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
        record.line(f"client: {name}: {type(error).__name__}")
    writer.close()
    return status


def forged_body():
    """A body that holds the text of a request, as any body may."""
    forged = (f"POST /find/receipts HTTP/1.1\r\nHost: pages.example\r\n"
              f"X-Attempt-Id: {FORGED_ID}\r\nX-Tenant: animal-shelter\r\n"
              f"Content-Length: 0\r\n\r\n").encode()
    block = b"\r\n" * (FORGED_GAP_BYTES // 2) + forged
    return (block * (FORGED_BODY_BYTES // len(block) + 1))[:FORGED_BODY_BYTES]


async def play(record, folder, has_trouble):
    sent = {}
    store = standins.Store()
    await store.start()
    replica = Replica(record, sent, has_trouble)
    serving = asyncio.create_task(replica.serve())
    store.put_json("servers/i-app-1", standins.entry(
        SERVICE, f"{standins.HOST}:{replica.port}", ZONE, 6))
    store.put_json("op/config", standins.configuration(
        1, [standins.route("find", "/find/", "safe", SERVICE, 1200, 2)],
        [SERVICE], TENANTS))
    ports = standins.free_ports(4)
    daemon = standins.Daemon("edge-1", ZONE, standins.HOST, ports, store.port,
                             [f"{standins.HOST}:{ports[2]}"], folder,
                             standins.DAROVNA_OPS)
    try:
        await daemon.start()
        if not await daemon.wait_ready():
            record.line("the daemon is not ready")
            return 2
        first, second = TENANTS.values()
        for i in range(ROUNDS):
            long_id, short_id = f"{i}a" * 8, f"{i}b" * 8
            line = f"donor list of the shelter, round {i}\n".encode()
            sent[long_id] = (line * (LONG_BODY_BYTES // len(line) + 1))[
                :LONG_BODY_BYTES]
            sent[short_id] = forged_body() if i == ROUNDS - 1 else b""
            await call(record, daemon, long_id, first, "POST", "/find/lists",
                       sent[long_id], 2500)
            status = await call(
                record, daemon, short_id, second,
                "POST" if sent[short_id] else "GET",
                "/find/receipts?donor=7", sent[short_id], 2500)
            record.line(f"round {i}: the other tenant's request: {status}")
            await asyncio.sleep(1.0)
        await asyncio.sleep(BODY_TIMEOUT_S)
    finally:
        await daemon.close()
        serving.cancel()
    record.line(f"bodies that got bytes of other requests: {replica.foreign}")
    record.line(f"requests run that no client sent: {replica.unsent}")
    return 1 if replica.foreign or replica.unsent else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
