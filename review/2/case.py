"""Requests with one part in their prompts crash the replicas that begin to
write an answer on it."""

import asyncio
import json
import os
import random
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SERVICE = "zincstep-writers"
ZONE = "ba-hall-a"
TENANTS = {"animal-shelter": "key-of-the-shelter",
           "parish-food-bank": "key-of-the-food-bank"}
DAEMONS = 2
REPLICAS = 12
LAYERS = 40
LOAD_S = 3.0
# The figures of an engine in `fleetbench wire`, for a model that one replica
# can hold.
ENGINE = {
    "slots": 192, "kvCapacity": 100000, "kvTokenBytes": 590000,
    "linkMbps": 480000.0, "stride": 2,
    "models": [{"name": "daka510000", "pace": 1.0, "load_s": LOAD_S,
                "warmupS": 1.0}],
    "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
    "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
    "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6,
    "delays": [], "usual": {"prompt": 772, "answer": 80}, "layers": LAYERS,
    "layer_mb": 1000.0, "act_bytes": 29500, "pipe_mbps": 9000.0,
    "kinds": [{"name": "h100", "mb": 72000.0, "pace": 1.4, "read_x": 1.0}]}
FIRST_EVENT_S = 0.04
EVENT_GAP_S = 0.03
EVENTS = 40
# A replica crashes so long after it began to write; 70 and 78 ms in the
# operators' record.
CRASH_AFTER_S = 0.07
REPLICA_BACK_S = 3.0
HEARTBEAT_S = 1.2
STREAMS_PER_S = 30
POISON_SHARE = 0.03
POISON_PART = "5c1e07a2"
CALM_S = 4.0
POISON_S = 20.0
TRAFFIC_S = 26.0
# Of the rule.
CONTACT_S = 3.0
CRASHES = 5
TOLERATED = 3


class Model:
    """What the replicas share: the record of crashes and of requests."""

    def __init__(self, store, record, has_poison):
        self.store = store
        self.record = record
        self.has_poison = has_poison
        self.crashes = []
        # Times at which requests with the part reached a replica.
        self.reached = []
        self.started = 0


class Replica:
    """A model replica: starts empty, loads layers on an order, and writes
    streams. All its connections are reset when it crashes."""

    def __init__(self, model):
        self.model = model
        self.port = 0
        self.writers = set()

    async def start(self, holds_layers):
        self.model.started += 1
        self.name = f"i-{self.model.started:04x}"
        self.born = int(time.time() * 1000)
        self.is_alive = True
        self.is_busy = False
        self.sequence = 0
        self.running = 0
        self.layers = [0, LAYERS] if holds_layers else None
        self.server = await asyncio.start_server(
            self.serve, standins.HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def state(self):
        """What it tells of itself in its entry and in reports."""
        layers = self.layers and {
            "from": self.layers[0], "targetVersion": self.layers[1],
            "configVersion": 1}
        return {"stage": "dual", "models": [], "layers": layers,
                "routeType": "h100", "born": self.born}

    def register(self):
        entry = standins.entry(SERVICE, f"{standins.HOST}:{self.port}", ZONE,
                               ENGINE["slots"])
        entry.update(self.state(), sequence=self.sequence)
        self.model.store.put_json(f"servers/{self.name}", entry)

    async def crash(self, attempt):
        if not self.is_alive:
            return
        self.is_alive = False
        self.model.crashes.append(self.model.record.now())
        self.model.record.line(
            f"{self.name}: crashes under {attempt}, crash "
            f"{len(self.model.crashes)}")
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        name = self.name
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.model.store.delete, f"servers/{name}")
        await asyncio.sleep(REPLICA_BACK_S)
        await self.start(False)

    async def load(self, layers):
        self.is_busy = True
        await asyncio.sleep(LOAD_S * (layers[1] - layers[0]) / LAYERS)
        self.is_busy = False
        if self.is_alive:
            self.layers = layers
            self.register()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_alive:
                head = await standins.read_head(reader)
                if head is None:
                    break
                body = await standins.read_body(reader, head)
                target = head.first.split(" ")[1]
                if head.header("x-expect-instance") != self.name:
                    writer.write(standins.response(
                        421, "Misdirected Request",
                        {"X-Instance-Id": self.name}))
                elif target == "/report":
                    self.answer_json(writer, 200, dict(
                        self.state(), busy=self.is_busy,
                        sequence=self.sequence, queued=0,
                        running=self.running, kvUsed=1000, kvTotal=4000000,
                        handles=0, pace=1.0, stalled=[]))
                elif target == "/order":
                    self.order(writer, json.loads(body))
                else:
                    await self.stream(writer, head)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_json(self, writer, status, value):
        writer.write(standins.response(
            status, "x", {"Content-Type": "application/json"},
            json.dumps(value).encode()))

    def order(self, writer, order):
        if order["op"] != "place":
            self.answer_json(writer, 404, {})
        elif self.is_busy or order["expectedRevision"] != self.sequence:
            self.answer_json(writer, 409, {})
        else:
            self.sequence += 1
            self.answer_json(writer, 202, {})
            asyncio.create_task(
                self.load([order["from"], order["targetVersion"]]))

    async def stream(self, writer, head):
        attempt = head.header("x-attempt-id")
        parts = [p.split(":")[0]
                 for p in head.header("x-prompt-prefix").split(",")]
        is_poison = POISON_PART in parts[:-1]
        if self.layers != [0, LAYERS]:
            writer.write(standins.response(
                421, "Misdirected Request", {"X-Attempt-Id": attempt}))
            return
        if is_poison:
            self.model.reached.append((self.model.record.now(), attempt))
            self.model.record.line(
                f"{self.name}: gets {attempt}, which has the part")
        self.running += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            if is_poison and self.model.has_poison:
                asyncio.get_running_loop().call_later(
                    CRASH_AFTER_S, lambda: asyncio.create_task(
                        self.crash(attempt)))
            writer.write((
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Response-Seal: seal.{attempt}\r\n"
                f"Content-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\n\r\n").encode())
            last = int(head.header("last-event-id") or "0")
            for number in range(last + 1, EVENTS + 1):
                event = f"id: {number}\ndata: token\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def reset(writer):
    """Resets a connection, as the end of its process does."""
    connection = writer.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        writer.transport.abort()
    except OSError:
        pass


async def call(record, daemon, number, key, is_poison, outcomes):
    """Requests one stream, as a client does, and counts how it ended."""
    attempt = f"{number:016x}"
    shared = POISON_PART if is_poison else f"{0x91000000 + number % 60:08x}"
    second = int(record.now())
    whole = False
    status = "none"
    try:
        reader, writer = await asyncio.open_connection(
            daemon.host, daemon.callers)
        body = f"letter {attempt}".encode()
        writer.write((
            f"POST /letters/new HTTP/1.1\r\nHost: pages.example\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Model: daka510000\r\n"
            f"X-Token-Usage: 780,80\r\n"
            f"X-Prompt-Prefix: 77aa01:40,{shared}:40,{attempt[-8:]}:700\r\n"
            f"X-Deadline-Ms: 20000\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(standins.read_head(reader), 20)
        if head is not None:
            status = head.first.split(" ")[1]
            await asyncio.wait_for(standins.read_body(reader, head), 20)
            whole = True
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    kind = "with the part" if is_poison else "sound"
    outcomes.append((second, kind, status, whole))


def summarize(record, outcomes):
    for begin in range(0, int(TRAFFIC_S), 4):
        sound = [o for o in outcomes
                 if o[1] == "sound" and begin <= o[0] < begin + 4]
        served = sum(1 for o in sound if o[2] == "200" and o[3])
        record.line(f"from second {begin}: {served} of {len(sound)} sound "
                    f"streams complete at the first attempt")


async def play(record, folder, has_trouble):
    store = standins.Store()
    await store.start()
    model = Model(store, record, has_trouble)
    replicas = [Replica(model) for _ in range(REPLICAS)]
    for replica in replicas:
        await replica.start(True)
    configuration = standins.configuration(1, [standins.route(
        "letters", "/letters/", "streaming", SERVICE, 20000, 2,
        resumable=True, gap_aim_ms=200, sessionAffinity=True)],
        [SERVICE], TENANTS, 898)
    configuration["services"][0]["engine"] = ENGINE
    store.put_json("op/config", configuration)
    hosts = [f"127.0.0.{11 + i}" for i in range(DAEMONS)]
    ports = standins.free_ports(4, hosts)
    seeds = [f"{host}:{ports[2]}" for host in hosts]
    daemons = [standins.Daemon(f"edge-{i + 1}", ZONE, host, ports, store.port,
                               seeds, folder, standins.DAROVNA_OPS)
               for i, host in enumerate(hosts)]
    chance = random.Random(11)
    outcomes = []
    try:
        for daemon in daemons:
            await daemon.start()
        if not all([await daemon.wait_ready() for daemon in daemons]):
            record.line("a daemon is not ready")
            return 2
        await asyncio.sleep(2.0)
        keys = list(TENANTS.values())
        calls = []
        begin = record.now()
        while record.now() - begin < TRAFFIC_S:
            is_poison = (chance.random() < POISON_SHARE and CALM_S
                         < record.now() - begin < CALM_S + POISON_S)
            calls.append(asyncio.create_task(call(
                record, chance.choice(daemons), len(calls),
                chance.choice(keys), is_poison, outcomes)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*calls)
    finally:
        for daemon in daemons:
            await daemon.close()
    summarize(record, outcomes)
    late = 0
    if len(model.crashes) >= CRASHES:
        fifth = model.crashes[CRASHES - 1]
        late = sum(1 for at, _ in model.reached if at > fifth + CONTACT_S)
    record.line(f"replicas crashed {len(model.crashes)} times")
    record.line(f"requests with the part that reached replicas later than "
                f"{CONTACT_S:.0f} s after the fifth crash: {late}")
    return 1 if late > TOLERATED else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
