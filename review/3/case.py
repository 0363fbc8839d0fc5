"""Daemons of a zone are stopped and started in turn while orders run."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "donor-app"
ZONE = "ba-hall-a"
TENANTS = {"animal-shelter": "key-of-the-shelter"}
DAEMONS = 3
REPLICAS = 3
SLOTS = 64
# Of `tax-receipt` in the site file of darovna-ops-grown.
ROUTE_TIMEOUT_MS = 2000
DEADLINE_MS = 4000
# Within the time-out of the route.
WORK_S = (1.7, 1.9)
ORDERS_PER_S = 48
FIRST_STOP_S = 3.0
GAP_S = 1.0
STOPPED = 2
GRACE_S = 8.0
RESTART_DELAY_S = 0.5
TRAFFIC_S = 14.0
# Of the rule: requests sent later than this after the signal have no excuse
# for a replica that is still at work when the grace period ends.
EXCUSED_S = 3.0


class Replica:
    """A replica of a plain service."""

    def __init__(self, name, record, runs, seed):
        self.name = name
        self.record = record
        self.runs = runs
        self.random = random.Random(seed)
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, standins.HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await standins.read_head(reader)
                if head is None:
                    break
                await standins.read_body(reader, head)
                attempt = head.header("x-attempt-id")
                self.runs.setdefault(attempt, []).append(self.name)
                work = self.random.uniform(*WORK_S)
                self.record.line(
                    f"{self.name}: runs {attempt}, {work:.2f} s of work")
                await asyncio.sleep(work)
                writer.write(standins.response(200, "OK", {
                    "X-Attempt-Id": attempt,
                    "X-Response-Seal": "seal." + attempt}, b"booked"))
                await writer.drain()
                self.record.line(f"{self.name}: has answered {attempt}")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Orders:
    """Clients that place orders, each on a new connection."""

    def __init__(self, record, balancer, stopped_at, runs):
        self.record = record
        self.balancer = balancer
        self.stopped_at = stopped_at
        self.runs = runs
        self.random = random.Random(7)
        self.outcomes = {}
        self.lost = []

    async def place(self, attempt):
        daemon = self.random.choice(self.balancer.choices())
        sent_at = None
        status = "no connection"
        try:
            reader, writer = await asyncio.open_connection(
                daemon.host, daemon.callers)
            sent_at = self.record.now()
            body = b"receipt for donor " + attempt.encode()
            writer.write((
                f"POST /receipts/new HTTP/1.1\r\nHost: pages.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Authorization: Bearer {TENANTS['animal-shelter']}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            status = await asyncio.wait_for(
                self.read_status(reader), DEADLINE_MS / 1000)
            writer.close()
        except asyncio.TimeoutError:
            status = "deadline"
        except OSError as error:
            status = "closed" if sent_at else type(error).__name__
        self.judge(daemon, attempt, sent_at, status)

    @staticmethod
    async def read_status(reader):
        answer = await standins.read_head(reader)
        if answer is None:
            return "closed"
        try:
            await standins.read_body(reader, answer)
        except asyncio.IncompleteReadError:
            return "closed"
        return answer.first.split(" ")[1]

    def judge(self, daemon, attempt, sent_at, status):
        self.outcomes[status] = self.outcomes.get(status, 0) + 1
        now = self.record.now()
        stop = self.stopped_at.get(daemon.name)
        text = f"client: {attempt} at {daemon.name}: {status}"
        if sent_at is not None and stop is not None:
            text += f", sent {sent_at - stop:.2f} s after its SIGTERM"
        if status != "200":
            self.record.line(text)
        is_planned = (status == "closed" and stop is not None
                      and sent_at - stop > EXCUSED_S
                      and sent_at - stop <= GRACE_S + 1)
        held = now - sent_at if sent_at is not None else 0
        if is_planned and attempt in self.runs and (
                held < ROUTE_TIMEOUT_MS / 1000):
            self.lost.append(attempt)
            self.record.line(
                f"client: LOST: {attempt} was passed on to "
                f"{self.runs[attempt]}; its connection ends without an answer "
                f"{held:.2f} s after it was sent, before the route's time-out")


async def stop_in_turn(record, daemons, stopped_at):
    """SIGTERM, SIGKILL after the grace period, and a new start."""
    async def stop(daemon):
        stopped_at[daemon.name] = record.now()
        record.line(f"{daemon.name}: SIGTERM")
        daemon.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(daemon.ended), GRACE_S)
        except asyncio.TimeoutError:
            record.line(f"{daemon.name}: SIGKILL")
            daemon.send(signal.SIGKILL)
        await daemon.ended
        record.line(f"{daemon.name}: has ended")
        await asyncio.sleep(RESTART_DELAY_S)
        await daemon.start()
        record.line(f"{daemon.name}: started again")

    stops = []
    for daemon in daemons:
        stops.append(asyncio.create_task(stop(daemon)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)


async def play(record, folder, has_trouble):
    store = standins.Store()
    await store.start()
    runs = {}
    for i in range(REPLICAS):
        replica = Replica(f"i-app-{i + 1}", record, runs, i)
        await replica.start()
        store.put_json(f"servers/{replica.name}", standins.entry(
            SERVICE, f"{standins.HOST}:{replica.port}", ZONE, SLOTS))
    store.put_json("op/config", standins.configuration(
        1, [standins.route("receipts", "/receipts/", "unsafe", SERVICE,
                           ROUTE_TIMEOUT_MS, 1)], [SERVICE], TENANTS, 120))
    hosts = [f"127.0.0.{11 + i}" for i in range(DAEMONS)]
    ports = standins.free_ports(4, hosts)
    seeds = [f"{host}:{ports[2]}" for host in hosts]
    daemons = [standins.Daemon(f"edge-{i + 1}", ZONE, host, ports, store.port,
                               seeds, folder, standins.DAROVNA_OPS_GROWN)
               for i, host in enumerate(hosts)]
    balancer = standins.Balancer(daemons, record)
    stopped_at = {}
    orders = Orders(record, balancer, stopped_at, runs)
    tasks = []
    try:
        for daemon in daemons:
            await daemon.start()
        if not all([await daemon.wait_ready() for daemon in daemons]):
            record.line("a daemon is not ready")
            return 2
        tasks.append(asyncio.create_task(balancer.run()))
        begin = record.now()
        stops = None
        placed = []
        while record.now() - begin < TRAFFIC_S:
            placed.append(asyncio.create_task(
                orders.place(f"{len(placed):016x}")))
            if has_trouble and not stops and (
                    record.now() - begin >= FIRST_STOP_S):
                stops = asyncio.create_task(stop_in_turn(
                    record, daemons[:STOPPED], stopped_at))
            await asyncio.sleep(1 / ORDERS_PER_S)
        await asyncio.gather(*placed)
        if stops:
            await stops
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            await daemon.close()
    record.line(f"outcomes: {orders.outcomes}")
    record.line(f"accepted orders that were lost: {len(orders.lost)}")
    return 1 if orders.lost else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
