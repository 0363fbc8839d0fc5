"""A resumable route is split over a service with layers and one without, as in
the configuration that `fleetbench wire` prints. One machine's process is
killed; its clients resume their streams at another with `Last-Event-Id`."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

ZONES = ["hall-a", "hall-b", "hall-c"]
LAYERS = 4
EVENTS = 15
GAP_S = 0.1
STREAMS = 24
KILL_AFTER_S = 0.8
# A client gives up after the longest of two seconds, four times the objective
# of 500 ms and eight times the pause of 200 ms without a byte.
PATIENCE_S = 2.0
KEY = "n2ctnfzs989anu6wsjnb"


class Streams(s.Replica):
    """Streams numbered events, and continues behind `Last-Event-Id`."""

    def __init__(self, store, name, service, zone, layers):
        super().__init__(store, name, service, zone, slots=192)
        self.layers = layers
        self.starts = {}

    def held(self):
        return {"from": 0, "targetVersion": self.layers, "configVersion": 1}

    def extra_entry(self):
        if not self.layers:
            return {}
        return {"stage": "dual", "models": [], "layers": self.held(),
                "routeType": "h100"}

    async def run(self, method, target, headers, body, writer):
        if target == "/report":
            report = {"stage": "dual", "models": [], "busy": False,
                      "sequence": self.sequence, "queued": 0,
                      "running": self.running, "kvUsed": 0,
                      "kvTotal": 1000000, "handles": 0, "layers": self.held()}
            writer.write(s.response(200, {}, s.json.dumps(report).encode()))
            return
        if target == "/order":
            writer.write(s.response(200, {}, b"{}"))
            return
        after = int(headers.get("last-event-id", "0"))
        self.starts[headers["x-attempt-id"]] = headers.get("last-event-id")
        writer.write(s.message("HTTP/1.1 200 OK", {
            "X-Attempt-Id": headers["x-attempt-id"],
            "X-Response-Seal": "1a", "Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await s.asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")


def configuration():
    engine = {
        "slots": 192, "kvCapacity": 100000, "kvTokenBytes": 4000,
        "linkMbps": 480000.0, "stride": 2,
        "models": [{"name": "daka", "pace": 1.0, "load_s": 1.0,
                    "warmupS": 1.0}],
        "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.005,
        "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
        "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6,
        "delays": [], "usual": {"prompt": 100, "answer": 30},
        "layers": LAYERS, "layer_mb": 1750.0, "act_bytes": 29500,
        "pipe_mbps": 9000.0,
        "kinds": [{"name": "h100", "mb": 72000.0, "pace": 1.0,
                   "read_x": 1.0}]}
    service = {"healthPath": "/healthz", "maxConnections": 898,
               "protocol": "h1", "tls": False}
    return {
        "configVersion": 7,
        "routes": [{"name": "drafts", "hostname": "bakery.example",
                    "pathPrefix": "/drafts/", "routeType": "streaming",
                    "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1,
                    "trafficSplit": [{"backend": "writers", "weight": 50},
                                     {"backend": "writers-b", "weight": 50}],
                    "maxAttempts": 2, "public": False,
                    "sessionAffinity": True, "resumable": True,
                    "gap_aim_ms": 200}],
        "services": [dict(service, name="writers", engine=engine),
                     dict(service, name="writers-b")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "bakery", "apiKeys": [KEY], "priority": 1}]}


async def attempt(daemon, identity, after, received):
    """One try; returns 'complete', or why it ended without being complete."""
    try:
        reader, writer = await s.asyncio.open_connection(daemon.address,
                                                         daemon.port)
    except OSError:
        return "no connection"
    headers = {"Host": "bakery.example", "X-Attempt-Id": identity,
               "X-Deadline-Ms": "20000", "X-Token-Usage": "100,30",
               "Authorization": f"Bearer {KEY}", "Content-Length": "2"}
    if after:
        headers["Last-Event-Id"] = str(after)

    def events(text):
        *whole, rest = text.split(b"\n\n")
        received.extend(int(e.split(b"\n")[0].split(b":")[1]) for e in whole)
        return rest

    async def within(what):
        return await s.asyncio.wait_for(what, PATIENCE_S)

    try:
        writer.write(s.message("POST /drafts/a HTTP/1.1", headers, b"{}"))
        head = (await within(reader.readuntil(b"\r\n\r\n"))).decode()
        status = head.split(" ")[1]
        if status != "200":
            return f"status {status}"
        rest = b""
        if "chunked" in head:
            while True:
                size = int(await within(reader.readuntil(b"\r\n")), 16)
                part = await within(reader.readexactly(size + 2))
                if size == 0:
                    return "complete"
                rest = events(rest + part[:-2])
        size = int(head.lower().split("content-length:")[1].split("\r\n")[0])
        events(await within(reader.readexactly(size)))
        return "complete"
    except s.asyncio.TimeoutError:
        return "given up in silence"
    except (s.asyncio.IncompleteReadError, ConnectionError):
        return "broken off"
    finally:
        writer.close()


async def client(daemons, number, record):
    """Tries at the first daemon, then resumes at the others."""
    received = []
    for tries in range(4):
        daemon = daemons[min(tries, 1)]
        after = received[-1] if received else None
        identity = f"{number:012x}{tries:04x}"
        ended = await attempt(daemon, identity, after, received)
        record.add(f"client {number}: {identity} at {daemon.name}, "
                   f"Last-Event-Id {after}: {ended}, events so far {received}")
        if ended == "complete":
            return received
        await s.asyncio.sleep(0.05)
    return None


async def main(record, folder, started):
    store = s.Store()
    replicas = [Streams(store, f"i-m{n}", "writers", zone, LAYERS)
                for n, zone in enumerate(ZONES)]
    replicas += [Streams(store, f"i-w{n}", "writers-b", zone, 0)
                 for n, zone in enumerate(ZONES)]
    daemons = s.machines(ZONES, folder)
    s.release_ports()
    await store.start()
    store.put_json("op/config", configuration())
    for replica in replicas:
        await replica.start()
    for daemon in daemons:
        daemon.start(store, daemons)
        started.append(daemon)
    for daemon in daemons:
        if not await daemon.wait_ready():
            return None
    clients = [s.asyncio.create_task(client(daemons, n, record))
               for n in range(1, STREAMS + 1)]
    if s.trouble():
        await s.asyncio.sleep(KILL_AFTER_S)
        record.add(f"{daemons[0].name} is killed")
        daemons[0].kill()
    outcomes = [await task for task in clients]
    for replica in replicas:
        for identity, after in sorted(replica.starts.items()):
            record.add(f"{replica.name} ({replica.service}) ran {identity} "
                       f"with Last-Event-Id {after}")
    whole = list(range(1, EVENTS + 1))
    wrong = [n for n, received in enumerate(outcomes, 1)
             if received is not None and received != whole]
    unserved = sum(received is None for received in outcomes)
    record.add(f"of {STREAMS} streams {STREAMS - unserved} are complete; with "
               f"pieces twice or missing: {wrong}")
    if unserved > STREAMS // 2:
        return None
    return not wrong


s.run_case(main, FOLDER, 60)
