"""Stand-ins of the platform and its servers, and the gateways under test.

The stand-ins speak what PROTOCOL says: the store (`Store`), servers that run
models (`ModelServer`) and plain ones (`PlainServer`). They run in the script's
own event loop; the gateways are separate processes, started with the command
of the deploy file. All addresses are loopback ones.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


class Record:
    """Collects what was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.path = path
        self.start = now()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now() - self.start:9.3f} s  {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Network:
    """Addresses for this run: one loopback address a machine."""

    def __init__(self):
        self.base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next = 1

    def address(self):
        self.next += 1
        return f"{self.base}.{self.next}"


class HttpRequest:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Returns the start line and the fields of a message; None at its end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields.append((name, value.strip()))
    return lines[0], fields


def field_of(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_request(reader):
    start, fields = await read_head(reader)
    method, target, _ = start.split(" ")
    length = int(field_of(fields, "content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return HttpRequest(method, target, fields, body)


def answer_bytes(status, body=b"", fields=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        fields = list(fields) + [("Content-Type", "application/json")]
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + body


class Item:
    def __init__(self, key, value, revision, created, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def json(self):
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """The platform's metadata store. A gateway reaches it through an address
    of its own, so that a case can tell the callers apart."""

    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        # Called with (host, request) for each call that isn't a watch; returns
        # whether its answer is lost and it isn't carried out now.
        self.loses = None
        # Times of the machines' writing calls, those without an answer too.
        self.writing = []
        # Time that the answers to transactions and to calls for leases take.
        self.write_s = self.ANSWER_S
        self.handlers = []

    async def listen(self, host, address, port):
        async def serve(reader, writer):
            await self._serve(host, reader, writer)

        self.handlers.append(await asyncio.start_server(serve, address, port))

    # Changes.

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.events.append((self.revision, key, item.json()))
        self._notify()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append(
                (self.revision, key, {"key": key, "revision": self.revision, "deleted": True})
            )
            self._notify()

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if until <= now():
                self.end_lease(lease, "expired")

    def end_lease(self, lease, why):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.record.add(f"store: {key} removed, lease {lease} {why}")
            self.remove(key)

    async def run(self):
        while True:
            self.expire()
            await asyncio.sleep(0.005)

    def txn(self, host, body):
        """Executes a transaction; returns status and answer."""
        self.expire()
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                current = [item.json()] if item else []
                return 412, {"items": current, "as-of": self.revision}
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", []):
            value = base64.b64decode(row["value"])
            revision = self.put(row["key"], value, row.get("lease", 0))
            if body.get("precondition"):
                self.record.add(
                    f"store: {host} wrote {row['key']} under a condition, "
                    f"revision {revision}, lease {row.get('lease', 0)}"
                )
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    # Calls.

    async def _serve(self, host, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if not await self._answer(host, request, reader, writer):
                    # The connection returns nothing further.
                    await reader.read()
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, host, request, reader, writer):
        url = urlsplit(request.target)
        if url.path in ("/-/kv-txn", "/-/kv-lease") or request.method == "DELETE":
            self.writing.append(now())
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/kv-watch":
            status, answer = await self._watch(query)
        elif self.loses and self.loses(host, request):
            return False
        else:
            status, answer = self._call(host, request, url.path, query)
        is_write = url.path in ("/-/kv-txn", "/-/kv-lease")
        await asyncio.sleep(self.write_s if is_write else self.ANSWER_S)
        writer.write(answer_bytes(status, answer))
        await writer.drain()
        return True

    def _call(self, host, request, path, query):
        self.expire()
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item.json(), "as-of": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(
                k for k in self.items
                if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
            )
            return 200, {
                "items": [self.items[k].json() for k in keys[:500]],
                "has-more": len(keys) > 500,
                "as-of": self.revision,
            }
        if path == "/-/kv-txn":
            return self.txn(host, json.loads(request.body))
        if path == "/-/kv-lease":
            ttl = json.loads(request.body)["ttl-ms"]
            return 200, {"lease": self.grant(ttl), "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000.0, ttl)
            return 200, {}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease, f"ended by {host}")
            return 200, {}
        return 404, {}

    def grant(self, ttl):
        self.next_lease += 1
        self.leases[self.next_lease] = (now() + ttl / 1000.0, ttl)
        return self.next_lease

    async def _watch(self, query):
        prefix = query.get("prefix", "")
        after = int(query["after"])
        until = now() + int(query["wait-ms"]) / 1000.0
        while True:
            events = [e for r, k, e in self.events if r > after and k.startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server that registers itself and serves HTTP."""

    def __init__(self, world, service, zone, batch):
        self.world = world
        self.service = service
        self.zone = zone
        self.batch = batch
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.address = f"{world.network.address()}:8300"
        self.state = "ready"
        self.writes = 0
        self.writers = set()
        self.down = False

    def entry(self):
        self.writes += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "1", "batch-size": self.batch, "state": self.state,
            "warmup-ms": 0, "sequence": self.writes, "born": self.born,
        }

    def register(self):
        self.world.store.put(f"servers/{self.id}", self.entry())

    async def start(self):
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    async def crash(self):
        """Ends at once: connections are cut, new ones are refused."""
        self.world.record.add(f"{self.id} crashes")
        self.down = True
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Starts again under the same id; what it counted is gone."""
        self.down = False
        self.born = int(time.time() * 1000)
        self.writes = 0
        await self.start()
        self.world.record.add(f"{self.id} starts again, born {self.born}")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stamp(self, request):
        return [
            ("X-Request-Id", request.field("X-Request-Id")),
            ("X-Server-Stamp", f"{self.id}.{request.field('X-Request-Id')}"),
            ("X-Server-Load", f"1,0,{self.batch}"),
        ]

    def misdirected(self, request):
        named = request.field("X-Expect-Instance")
        return named is not None and named != self.id


class PlainServer(Server):
    """Runs plain requests; `runs` lists the ids."""

    def __init__(self, world, service, zone):
        super().__init__(world, service, zone, 6)
        self.runs = []

    async def answer(self, request, writer):
        if self.misdirected(request):
            writer.write(answer_bytes(421, b"", [("X-Not-Run", "1")]))
            return
        self.runs.append(request.field("X-Request-Id"))
        await asyncio.sleep(0.015)
        writer.write(answer_bytes(200, b"x" * 800, self.stamp(request)))


class ModelServer(Server):
    """Takes orders as PROTOCOL says; `orders` lists those that arrived."""

    LOAD_S = 0.29

    def __init__(self, world, service, zone, model, version):
        super().__init__(world, service, zone, 64)
        self.model = model
        self.version = version
        self.sequence = 0
        self.fence = 0
        self.busy = False
        self.orders = []
        self.runs = []

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def entry(self):
        return {**super().entry(), "phase": "both", "models": self.models()}

    async def answer(self, request, writer):
        path = urlsplit(request.target).path
        if path == "/-/report":
            writer.write(answer_bytes(200, {
                "phase": "both", "models": self.models(), "busy": self.busy,
                "sequence": self.sequence, "queued": 0, "active": 0, "kv-used": 0,
                "kv-total": 78177, "handles": 0, "born": self.born,
            }))
        elif path == "/-/order":
            status = self.take_order(request)
            writer.write(answer_bytes(status, b""))
        else:
            await self.run(request, writer)

    async def run(self, request, writer):
        """Streams three events; rejects requests of others and other weights."""
        named = request.field("X-Expect-Version")
        if self.misdirected(request) or (named and int(named) != self.version):
            writer.write(answer_bytes(421, b"", [("X-Not-Run", "1")]))
            return
        self.runs.append((now(), request.field("X-Request-Id"), self.version))
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.stamp(request):
            head += f"{name}: {value}\r\n"
        head += f"X-Weight-Versions: {self.version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in (1, 2, 3):
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {'y' * 60}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")

    def take_order(self, request):
        order = json.loads(request.body)
        status = self.judge_order(request, order)
        self.orders.append((now(), order.get("holder"), order.get("fence"),
                            order.get("version"), status))
        self.world.record.add(
            f"{self.id}: order version {order.get('version')} of holder "
            f"{order.get('holder')}, epoch number {order.get('fence')}, "
            f"precondition {order.get('precondition')} -> {status}")
        if status == 202:
            self.sequence += 1
            self.busy = True
            asyncio.get_running_loop().create_task(self.load(order["version"]))
        return status

    def judge_order(self, request, order):
        if self.misdirected(request):
            return 421
        if not order.get("holder") or not order.get("fence"):
            return 400
        if order.get("op") != "version" or order["version"] > self.world.named:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if self.version == order["version"]:
            return 200
        expected = order.get("precondition", self.sequence)
        if self.busy or expected != self.sequence:
            return 409
        return 202

    async def restart(self):
        self.sequence = 0
        self.fence = 0
        self.busy = False
        await super().restart()

    async def load(self, version):
        await asyncio.sleep(self.LOAD_S)
        self.version = version
        self.busy = False
        self.register()


class Gateway:
    """One process of the system, started as the deploy file says."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = world.network.address()
        self.store = f"{world.network.address()}:8562"
        self.front = f"{self.ip}:8005"
        self.ready = f"{self.ip}:8006"
        self.process = None

    def settings(self):
        seeds = [f"{g.ip}:8007" for g in self.world.gateways[:3]]
        zones = "".join(f"  {z}: region-1\n" for z in self.world.zones)
        bounds = "".join(f"  {k}: {v}\n" for k, v in self.world.bounds.items())
        listed = "".join(f"  - {s}\n" for s in seeds)
        return (
            f"node: {self.name}\nrole: entry\nmachine-class: front\n"
            "serves:\n  - front\n  - directory\n  - control\n"
            f"bind-ip: {self.ip}\nzone: {self.zone}\nregion: region-1\nzones:\n{zones}"
            f"listen:\n  front: {self.front}\n  ready: {self.ready}\n"
            f"  control: {self.ip}:8007\n  directory: {self.ip}:8008\n"
            f"port-range:\n  - 7740\n  - 7755\nseeds:\n{listed}"
            "first-start: true\ncounts-as-loss: false\n"
            "limits:\n  cpu-share: 0.25\n  vcpus: 1\n  memory-mb: 110\n"
            "  max-fds: 4100\n  net-mbps: 1000.0\n  disk-mb: 0\n"
            "data-dir: null\ndiscovery: platform\ningress: directory\nheartbeat-ms: 1200\n"
            "policies:\n  - base\n  - drain\n  - config\n  - cost\n  - retry\n"
            "  - recover\n  - kvcache\n  - stream\n  - engine\n  - tenants\n  - platform\n"
            "tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n"
            f"bounds:\n{bounds}"
            f"infra:\n  address: {self.store}\n  form: kv\n  writes-per-s: 400\n"
            "  reads-per-s: 2000\n  retention-s: 20\n  value-bytes: 1048576\n"
            "  min-ttl-ms: 1000\n"
        )

    async def listen_store(self):
        host, port = self.store.split(":")
        await self.world.store.listen(self.name, host, int(port))

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        path = os.path.join(self.world.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LYCHEEPLANK_CONFIG"] = path
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT)
        self.world.record.add(f"{self.name} started")

    def signal(self, number):
        self.world.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    def __init__(self, folder, zones=("bunya", "atherton", "paluma")):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.zones = list(zones)
        self.network = Network()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.bounds = {
            "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000,
            "sync-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
            "apply-ms": 2000, "downgrade-ms": 250, "skew-ms": 5000,
            "strict-revoke": "false", "revoke-ms": 5000, "budget-ratio": 0.2,
            "budget-window-s": 10, "budget-slack": 54, "recover-s": 12,
            "transit-ms": 120, "retry-after-s": 20, "need-fence": "true",
            "lease-ms": 3000, "thaw-ms": 300, "version-ms": 6000,
            "version-all-ms": 8400, "ttl_max_s": 5,
        }
        self.store = Store(self.record)
        self.gateways = []
        self.servers = []
        self.named = 1
        self.model = "daka510000"
        self.key = "jnbanfqasnmgkcuyj8pj"
        self.tasks = []

    def config(self, version, **changes):
        return {
            "version": version,
            "routes": [
                {"name": "r-stream", "host": "nylo40.example", "prefix": "/kafi500/",
                 "type": "stream", "timeout-ms": 15000, "goal-ms": 800, "priority": 1,
                 "service": "huvo11a", "attempts": 1, "public": False, "sticky": True,
                 "resumable": False, "gap-target-ms": 400},
                {"name": "r-once", "host": "nylo40.example", "prefix": "/dehu792/",
                 "type": "non_idempotent", "timeout-ms": 600, "goal-ms": 100,
                 "priority": 2, "service": "kafi81c", "attempts": 1, "public": False},
                {"name": "r-read", "host": "nylo40.example", "prefix": "/bogo153/",
                 "type": "idempotent", "timeout-ms": 3000, "goal-ms": 300,
                 "priority": 2, "service": "kafi81c", "attempts": 2, "public": False},
            ],
            "services": [
                {"name": "huvo11a", "health-path": "/healthz", "max-conns": 360,
                 "protocol": "h1", "tls": False,
                 "backend": {"batch-size": 64, "kv-capacity": 78177,
                             "kv-token-bytes": 163840, "net-mbps": 550000.0,
                             "moves": True, "replicas": True, "managed": True,
                             "stride": 6, "max-inflight": 12, "pin-ms": 4000.0,
                             "hold-ms": 2000.0, "handle_s": 5.0,
                             "models": [{"name": self.model}]}},
                {"name": "kafi81c", "health-path": "/healthz", "max-conns": 100,
                 "protocol": "h1", "tls": False},
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "bozi300", "api-keys": [self.key], "priority": 1}],
            **changes,
        }

    def name_version(self, version):
        self.named = version
        self.store.put(f"op/version/{self.model}", {"model": self.model, "version": version})
        self.record.add(f"operator: {self.model} version {version} named")

    async def start(self, gateways, models=6, plain=3):
        self.tasks.append(asyncio.create_task(self.store.run()))
        self.store.put("op/config", self.config(7))
        self.store.put(f"op/version/{self.model}", {"model": self.model, "version": 1})
        for i in range(models):
            zone = self.zones[i % len(self.zones)]
            self.servers.append(ModelServer(self, "huvo11a", zone, self.model, 1))
        for i in range(plain):
            self.servers.append(PlainServer(self, "kafi81c", self.zones[i % len(self.zones)]))
        for server in self.servers:
            await server.start()
        for i in range(gateways):
            zone = self.zones[i % len(self.zones)]
            self.gateways.append(Gateway(self, f"front-{zone}-{i // len(self.zones) + 1}", zone))
        for gateway in self.gateways:
            await gateway.listen_store()
        for gateway in self.gateways:
            gateway.start()
        self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        """Servers write their entries about every heartbeat-ms."""
        await asyncio.sleep(0.6)
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if f"servers/{server.id}" in self.store.items and not server.down:
                    server.register()

    async def until_ready(self, limit=15.0):
        end = now() + limit
        for gateway in self.gateways:
            while True:
                try:
                    status, _, _ = await get(gateway.ready, "/-/readyz", [])
                    if status == 200:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                if now() > end:
                    raise RuntimeError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.05)
        self.record.add("all machines are ready")

    def alive(self):
        return all(g.process.poll() is None for g in self.gateways)

    def stop(self):
        for gateway in self.gateways:
            gateway.end()
        self.record.write()
        self.temporary.cleanup()


async def exchange(address, data, limit=20.0, no_body=False):
    """Sends bytes on a new connection and reads one answer. Returns status,
    fields and body; the body is None if the answer isn't whole."""
    host, port = address.split(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), limit)
    try:
        writer.write(data)
        start, fields = await asyncio.wait_for(read_head(reader), limit)
        status = int(start.split(" ")[1])
        if no_body:
            return status, fields, b""
        body = await asyncio.wait_for(read_body(reader, fields), limit)
        return status, fields, body
    finally:
        writer.close()


async def read_body(reader, fields):
    try:
        if (field_of(fields, "transfer-encoding") or "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += chunk[:-2]
        length = field_of(fields, "content-length")
        if length is not None:
            return await reader.readexactly(int(length))
        return await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def get(address, target, fields, **more):
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    if field_of(fields, "Host") is None:
        lines = f"Host: {address}\r\n" + lines
    head = f"GET {target} HTTP/1.1\r\n{lines}\r\n"
    return await exchange(address, head.encode(), **more)


async def ask_stream(world, gateway):
    """Sends one request for a stream; returns status and body."""
    rid = request_id()
    status, _, body = await exchange(gateway.front, (
        "POST /kafi500/2f HTTP/1.1\r\nHost: nylo40.example\r\n"
        f"X-Request-Id: {rid}\r\nX-Model: {world.model}\r\nX-Token-Count: 1460,8\r\n"
        "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
        "X-Deadline-Ms: 15000\r\nConnection: close\r\n"
        f"Authorization: Token {world.key}\r\nContent-Length: 4\r\n\r\nbody").encode())
    world.record.add(f"request {rid} to {gateway.name}: {status}, "
                     f"{'whole' if body is not None else 'not whole'}")
    return status, body


def request_id():
    return f"{random.getrandbits(64):016x}"


def run(case):
    """Runs a case's coroutine with a world; returns the script's status."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def main():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 110)
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            world.record.add(f"the case couldn't run: {error!r}")
            print(f"couldn't run: {error!r}")
            return 2
        finally:
            world.stop()

    if not os.path.exists(os.path.join(ROOT, "target/bin/lycheeplank-gateway")):
        print("target/bin/lycheeplank-gateway is missing")
        return 2
    return asyncio.run(main())
