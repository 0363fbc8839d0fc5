"""A configuration takes the last key away; clients go on with that key, with
one that never existed, and with none, while the daemons reach the store."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins2 as s  # noqa: E402

ZONES = ["hall-a", "hall-b", "hall-c"]
REVOKE_S = 5.0
SLACK_S = 1.0
KEY = "n2ctnfzs989anu6wsjnb"
NEVER = "zzzzzzzzzzzzzzzzzzzz"


class Orders(s.Replica):
    """A plain service; notes each request that it runs."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ran = []

    async def run(self, method, target, headers, body, writer):
        self.ran.append((s.now(), headers["x-attempt-id"],
                         headers.get("x-tenant")))
        await s.asyncio.sleep(0.02)
        writer.write(s.response(200, {"X-Attempt-Id": headers["x-attempt-id"],
                                      "X-Response-Seal": "1a"}, b"done"))


def configuration(version, tenants):
    return {
        "configVersion": version,
        "routes": [{"name": "orders", "hostname": "bakery.example",
                    "pathPrefix": "/orders/", "routeType": "unsafe",
                    "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1,
                    "backend": "ledger", "maxAttempts": 1, "public": False}],
        "services": [{"name": "ledger", "healthPath": "/healthz",
                      "maxConnections": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants}


async def send(daemon, attempt, key):
    reader, writer = await s.asyncio.open_connection(daemon.address,
                                                     daemon.port)
    headers = {"Host": "bakery.example", "X-Attempt-Id": attempt,
               "X-Deadline-Ms": "3000", "Content-Length": "2"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    writer.write(s.message("POST /orders/a HTTP/1.1", headers, b"{}"))
    first, _, _ = await s.asyncio.wait_for(s.read_message(reader), 5)
    writer.close()
    return int(first.split(" ")[1])


async def main(record, folder, started):
    store = s.Store()
    replicas = [Orders(store, f"i-{n}", "ledger", zone)
                for n, zone in enumerate(ZONES)]
    daemons = s.machines(ZONES, folder)
    s.release_ports()
    await store.start()
    tenants = [{"name": "bakery", "apiKeys": [KEY], "priority": 1}]
    store.put_json("op/config", configuration(7, tenants))
    for replica in replicas:
        await replica.start()
    for daemon in daemons:
        daemon.start(store, daemons)
        started.append(daemon)
    for daemon in daemons:
        if not await daemon.wait_ready():
            return None
    keys = {"its key": KEY, "a key that never existed": NEVER, "no key": None}
    sent = {}

    async def round_of(number):
        for daemon in daemons:
            for kind, (label, key) in enumerate(keys.items()):
                attempt = f"{number:08x}{kind:04x}{daemons.index(daemon):04x}"
                sent[attempt] = (s.now(), label)
                status = await send(daemon, attempt, key)
                record.add(f"{daemon.name}: request {attempt} with {label}: "
                           f"{status}")

    await round_of(1)
    removed = None
    if s.trouble():
        store.put_json("op/config", configuration(9, []))
        removed = s.now()
        record.add("configuration 9 is acknowledged: it has no tenant")
    await s.asyncio.sleep(REVOKE_S + SLACK_S)
    for number in range(2, 5):
        await round_of(number)
        await s.asyncio.sleep(1)
    broken = []
    for replica in replicas:
        for _, attempt, tenant in replica.ran:
            at, label = sent[attempt]
            record.add(f"{replica.name} ran {attempt}, sent with {label}, as "
                       f"tenant {tenant}")
            late = removed is not None and at > removed + REVOKE_S
            # What ran without any key is recorded, and not judged.
            if label == "a key that never existed" or (late and keys[label]):
                broken.append(attempt)
    record.add("requests with a key that was removed or never existed, which "
               f"ran: {len(broken)}")
    return not broken


s.run_case(main, FOLDER, 60)
