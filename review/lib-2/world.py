"""Stand-ins of the platform's store, of servers and of requesters, for the
cases of the second review, and the starting and ending of the project's own
process.

The stand-ins speak what the users' page PROTOCOL says and nothing beyond it.
All addresses are loopback addresses. Nothing is written outside the folder of
the case and a temporary folder.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "bin", "lycheeplank-gateway")
METRICS_PORT = 9464  # stands in the command of the deploy file
HEARTBEAT_S = 1.2
MAX_HEAD = 1 << 20


class CannotRun(Exception):
    """The case can't run here; it shows nothing."""


class Record:
    """record.txt of a case: what was sent, answered and run, with the time in
    seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))


# ---------------------------------------------------------------- messages


async def read_head(reader):
    """Returns the first line and the header fields (names in lower case)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for known, value in fields:
        if known == name.lower():
            return value
    return default


async def read_chunks(reader):
    """Returns the body and whether its last chunk came."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except asyncio.IncompleteReadError as error:
        return body + error.partial, False
    except (ConnectionError, ValueError):
        return body, False


async def read_sized(reader, size):
    try:
        return await reader.readexactly(size), True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except ConnectionError:
        return b"", False


class Request:
    def __init__(self, line, fields, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        return field(self.fields, name, default)


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        line, fields = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    if "chunked" in (field(fields, "transfer-encoding") or ""):
        body, whole = await read_chunks(reader)
    else:
        body, whole = await read_sized(
            reader, int(field(fields, "content-length", "0")))
    return Request(line, fields, body) if whole else None


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def head_of(status, fields):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % pair for pair in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_of(status, fields, body=b""):
    return head_of(status, list(fields) + [("Content-Length", len(body))]) + body


def json_answer(status, value):
    return answer_of(status, [("Content-Type", "application/json")],
                     json.dumps(value).encode())


async def serve(address, handle):
    """Serves handle(request, writer) -> bytes, or None if the handler has
    written all itself and the connection is to end. An address "fd:N" names a
    listening socket that the process has inherited."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await handle(request, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    if host == "fd":
        return await asyncio.start_server(
            on_connection, sock=socket.socket(fileno=int(port)),
            limit=MAX_HEAD)
    return await asyncio.start_server(on_connection, host, int(port),
                                      limit=MAX_HEAD)


# -------------------------------------------------------------------- store


class Store:
    """The platform's store: items with revisions, watches, conditional
    changes and leases."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve(self.address, self.handle)
        asyncio.ensure_future(self.end_leases())

    async def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items \
            else self.revision
        self.items[key] = {"key": key,
                           "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created,
                           "lease": lease}
        self.history.append(dict(self.items[key]))
        await self.notify()
        return self.revision

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision,
                             "deleted": True})
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, l in self.leases.items() if l[1] < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            await self.remove(key)
        return True

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        given = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            given[name] = value.replace("%2F", "/").replace("%2f", "/")
        if path == "/-/kv-key":
            item = self.items.get(given["key"])
            return json_answer(404, {}) if item is None else json_answer(
                200, dict(item, **{"as-of": self.revision}))
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(given.get("prefix", ""))
                          and k > given.get("after", ""))
            return json_answer(200, {
                "items": [self.items[k] for k in keys[:500]],
                "has-more": len(keys) > 500, "as-of": self.revision})
        if path == "/-/kv-watch":
            return await self.watch(given)
        body = json.loads(request.body) if request.body else {}
        if path == "/-/kv-txn":
            return await self.commit(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttl-ms"])
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1e3]
            return json_answer(200, {"lease": self.next_lease, "ttl-ms": ttl})
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return json_answer(404, {})
            lease[1] = time.monotonic() + lease[0] / 1e3
            return json_answer(200, {"ttl-ms": lease[0]})
        if path.startswith("/-/kv-lease-end/"):
            ended = await self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_answer(200 if ended else 404, {})
        return json_answer(404, {})

    async def watch(self, given):
        after = int(given["after"])
        prefix = given.get("prefix", "")
        until = time.monotonic() + int(given["wait-ms"]) / 1e3
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events,
                                         "as-of": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        rows = body.get("precondition", [])
        now = [self.items.get(r["key"]) for r in rows]
        if any((i["revision"] if i else 0) != r["revision"]
               for i, r in zip(now, rows)):
            return json_answer(412, {"items": [i for i in now if i]})
        puts = body.get("puts", [])
        if any(p.get("lease", 0) not in self.leases
               for p in puts if p.get("lease", 0)):
            return json_answer(404, {})
        for put in puts:
            await self.put(put["key"], base64.b64decode(put["value"]),
                           put.get("lease", 0))
        for key in body.get("remove", []):
            await self.remove(key)
        return json_answer(200, {"revision": self.revision})


# ------------------------------------------------------------------ servers


def stamp_of(request_id):
    return "mac.%08x" % (sum(ord(c) * 31 ** i
                             for i, c in enumerate(request_id)) & 0xFFFFFFFF)


def answer_fields(request):
    """The header fields of a server's answer to a request."""
    identity = request.get("x-request-id", "")
    return [("X-Request-Id", identity), ("X-Server-Stamp", stamp_of(identity))]


async def register(store, identity, service, address, **more):
    """Writes a server's entry and keeps it up like the server's check-ins."""
    entry = {"service": service, "address": address, "zone": "bunya",
             "version": "v1", "batch-size": 8, "state": "ready",
             "warmup-ms": 0, "phase": "both", "models": [], "sequence": 1,
             "born": int(time.time() * 1000)}
    entry.update(more)
    await store.put("servers/" + identity, entry)

    async def check_in():
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            entry["sequence"] += 1
            await store.put("servers/" + identity, entry)

    return entry, asyncio.ensure_future(check_in())


# --------------------------------------------------------------- requesters


class Answer:
    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body = status, fields, body
        # The answer's framing says that all of it came.
        self.whole = whole

    def get(self, name):
        return field(self.fields, name)


async def read_answer(reader, method="GET"):
    line, fields = await read_head(reader)
    status = int(line.split(" ")[1])
    if "chunked" in (field(fields, "transfer-encoding") or ""):
        body, whole = await read_chunks(reader)
    elif field(fields, "content-length") is not None:
        body, whole = await read_sized(reader,
                                       int(field(fields, "content-length")))
    else:
        body, whole = await reader.read(), False
    return Answer(status, fields, body, whole)


class Connection:
    """A requester's connection, kept open between requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address):
        host, port = address.rsplit(":", 1)
        return Connection(*await asyncio.open_connection(
            host, int(port), limit=MAX_HEAD))

    async def ask(self, method, target, fields, body=b"", timeout=20.0):
        """Returns the answer; None if the connection ends without one."""
        lines = ["%s %s HTTP/1.1" % (method, target)]
        lines += ["%s: %s" % pair for pair in fields]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        try:
            self.writer.write(
                ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await self.writer.drain()
            return await asyncio.wait_for(read_answer(self.reader, method),
                                          timeout)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.TimeoutError):
            return None

    def close(self):
        self.writer.close()


# ------------------------------------------------------------ the processes


def free_net():
    """Returns the first three numbers of a loopback network of which the
    first addresses have the ports of a host free."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for last in range(1, 4):
                for port in (METRICS_PORT, 8000, 8002, 8005, 8009):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (net, last), port))
                with socket.socket(type=socket.SOCK_DGRAM) as probe:
                    probe.bind(("%s.%d" % (net, last), 7700))
            return net
        except OSError:
            continue
    raise CannotRun("no loopback address with free ports")


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


SETTINGS = """node: "{node}"
role: "entry"
machine-class: "front"
serves: ["front", "directory", "control"]
bind-ip: "{ip}"
zone: "{zone}"
region: "qld-north"
zones: {{bunya: "qld-north", atherton: "qld-north"}}
listen:
  front: "{ip}:8005"
  ready: "{ip}:8002"
  control: "{ip}:8000"
  directory: "{ip}:8009"
port-range: [7700, 7715]
seeds: ["{net}.1:8000"]
first-start: true
counts-as-loss: false
limits: {{cpu-share: 0.25, vcpus: 1, memory-mb: 110, max-fds: 4100,
  net-mbps: 1000.0, disk-mb: 0}}
data-dir: null
discovery: "platform"
ingress: "directory"
heartbeat-ms: 1200
policies: ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
  "stream", "engine", "tenants", "platform"]
tolerate: {{machines: 1, zones: 0, regions: 0}}
bounds: {{seed-lag-s: 3, addr-reuse-s: 2, contact-ms: 3000, ack-ms: 4000,
  sync-s: 4, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200, apply-ms: 2000,
  downgrade-ms: 250, skew-ms: 5000, strict-revoke: false, revoke-ms: 5000,
  budget-ratio: 0.2, budget-window-s: 10, budget-slack: 54, recover-s: 12,
  transit-ms: 120, retry-after-s: 20, need-fence: true, lease-ms: 3000,
  thaw-ms: 300, version-ms: 6000, version-all-ms: 8400, ttl_max_s: 5}}
infra: {{address: "{store}", form: "kv", writes-per-s: 400, reads-per-s: 2000,
  retention-s: 20, value-bytes: 1048576, min-ttl-ms: 1000}}
"""


class Gateway:
    """One host of the system: the program of the deploy file."""

    def __init__(self, world, number, zone="bunya"):
        self.world = world
        self.ip = "%s.%d" % (world.net, number)
        self.front = self.ip + ":8005"
        self.ready = self.ip + ":8002"
        self.settings = os.path.join(world.temp, "host-%d.yaml" % number)
        with open(self.settings, "w") as file:
            file.write(SETTINGS.format(
                node="front-%s-%d" % (zone, number), ip=self.ip, zone=zone,
                net=world.net, store=world.store.address))
        self.log = os.path.join(world.temp, "host-%d.log" % number)
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            ["target/bin/lycheeplank-gateway", "--metrics-port",
             str(METRICS_PORT)],
            cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=open(self.log, "ab"), stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LYCHEEPLANK_CONFIG": self.settings})
        self.world.processes.append(self.process)

    async def until_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("the gateway ended: " +
                                open(self.log).read()[-500:])
            try:
                connection = await Connection.open(self.ready)
                answer = await connection.ask("GET", "/-/readyz",
                                              [("Host", self.ready)])
                connection.close()
                if answer is not None and answer.status == 200:
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the gateway isn't ready after %d s" % timeout)


class Waitable:
    """An asyncio process with the calls that World.end makes."""

    def __init__(self, process):
        self.process = process

    def poll(self):
        return self.process.returncode

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()

    def wait(self):
        pass


class World:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.processes = []
        # Servers and the store have addresses of their own.
        self.outside = "%s.100" % self.net
        self.store = Store("%s:%d" % (self.outside, free_port(self.outside)),
                           self.record)

    def address(self, last=100):
        ip = "%s.%d" % (self.net, last)
        return "%s:%d" % (ip, free_port(ip))

    def spawn(self, arguments):
        process = subprocess.Popen(arguments, stdin=subprocess.DEVNULL,
                                   stdout=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temp, ignore_errors=True)


def run(folder, case, trouble, limit=110):
    """Runs case(world), which returns what broke the rule (empty: nothing), and
    ends the script with 1, 0 or 2. The record says whether there was trouble."""
    if not os.access(GATEWAY, os.X_OK):
        print("can't run: the deploy file's build is missing")
        sys.exit(2)

    async def main():
        try:
            world = World(folder)
        except CannotRun as error:
            print("can't run: %s" % error)
            return 2
        try:
            world.record("trouble: %s" % ("yes" if trouble else "no"))
            await world.store.start()
            broken = await asyncio.wait_for(case(world), limit)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.record("can't run: %r" % error)
            print("can't run: %r" % error)
            return 2
        finally:
            world.end()
        for line in broken:
            world.record("BROKEN: " + line)
        world.record("result: %s" % ("broken" if broken else "held"))
        print("broken: %s" % broken[0] if broken else "held")
        return 1 if broken else 0

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
