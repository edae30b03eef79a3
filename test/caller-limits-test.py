#!/usr/bin/env python3
"""Tests one gateway process against clients that violate its limits.

Each test starts the program with a memory limit, a fake key-value service and a fake target on
loopback, runs a crowd of one kind of client, and checks that the process is alive, that its memory
and descriptors stayed within the limits of its settings, and that an ordinary request is answered
afterwards. No check depends on the speed of the machine.
"""

import base64
import http.client
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARIES = os.path.join(ROOT, "build", "bin")
# Limits of the process under test.
MEMORY_MB = 64
MAX_FDS = 500
MAX_HEADER_BYTES = 16 << 10
MAX_BODY_BYTES = 1 << 20
# Clients that send without an end stop after this many bytes.
ENDLESS_CLIENTS = 8
ENDLESS_BYTES = 24 << 20
BODY_CLIENTS = 90
HEAD_CLIENTS = 90
# Connections that one misbehaving client opens, at most.
CONNECTIONS_PER_CLIENT = 3
PIPELINE_CLIENTS = 60
PIPELINE_BYTES = 4 << 20
# Whole lines of a head that one write sends, and the pause after it, so that the gateway reads them
# apart.
LINES_AT_ONCE = 20
LINES_PAUSE_S = 0.001
IDLE_CONNECTIONS = 600
# Time for which a crowd goes on.
CROWD_S = 6.0
PIPELINE_S = 14.0
# Limit of waits; it is generous, because no check depends on it.
TIMEOUT_S = 60.0
PIECE = 64 << 10
HOST = "shop.example"


def listening_socket(address="127.0.0.1"):
    """Returns a listening socket on a free port."""
    listener = socket.socket()
    listener.bind((address, 0))
    listener.listen(16)
    return listener


def free_ports(count):
    """Returns free ports; they are reserved together, so that they differ."""
    listeners = [listening_socket() for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the fake servers: HTTP/1.1 without a log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Writes no log."""

    def body(self):
        """Reads the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body, **fields):
        """Sends an answer."""
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """A fake key-value service that holds the items in memory."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.changed = threading.Condition()

    def put(self, key, value):
        """Writes one item; returns the revision."""
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {"key": key, "revision": self.revision, "created": created, "value": value}
            self.changed.notify_all()
            return self.revision

    def put_json(self, key, value):
        """Writes one item whose value is JSON."""
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def listed(self, prefix, after=-1):
        """Returns the items of a prefix that were written after a revision."""
        return [i for k, i in sorted(self.items.items()) if k.startswith(prefix) and i["revision"] > after]

    def handler(self):
        """Returns the class that handles calls of the service."""
        store = self

        class StoreHandler(Handler):
            """Implements lists, watches, commits and leases."""

            def answer(self, body):
                """Sends a JSON answer."""
                self.reply(200, json.dumps(body).encode(), Content_Type="application/json", Store_Era="1")

            def do_GET(self):
                """Lists or watches a prefix."""
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                prefix = query.get("prefix", "")
                with store.changed:
                    if url.path == "/-/kv-watch":
                        after = int(query["after"])
                        store.changed.wait_for(
                            lambda: store.listed(prefix, after), int(query.get("wait-ms", 0)) / 1000.0
                        )
                        answer = {"events": store.listed(prefix, after), "as-of": store.revision}
                    else:
                        answer = {"items": store.listed(prefix), "has-more": False, "as-of": store.revision}
                self.answer(answer)

            def do_POST(self):
                """Commits, or grants or keeps a lease."""
                body = self.body()
                if self.path != "/-/kv-txn":
                    self.answer({"lease": 1})
                    return
                revision = store.revision
                for put in json.loads(body)["puts"]:
                    revision = store.put(put["key"], put["value"])
                self.answer({"revision": revision, "items": []})

            def do_DELETE(self):
                """Ends a lease."""
                self.answer({})

        return StoreHandler


class Target:
    """A fake target; while it is held, it reads no request to its end and gives no answer."""

    def __init__(self):
        self.free = threading.Event()
        self.free.set()

    def handler(self):
        """Returns the class that handles requests."""
        target = self

        class TargetHandler(Handler):
            """Answers each request with a short body."""

            def do_POST(self):
                """Answers when the target isn't held."""
                target.free.wait(TIMEOUT_S)
                self.body()
                self.reply(200, b"done", X_Request_Id=self.headers.get("X-Request-Id", ""), X_Server_Stamp="1")

            do_GET = do_POST

        return TargetHandler


class FakeServer(http.server.ThreadingHTTPServer):
    """A server that reports no connections that the gateway has closed."""

    request_queue_size = 256
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Reports nothing."""


def serve(handler):
    """Starts a server in threads of its own; returns it."""
    server = FakeServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Client:
    """A connection to the gateway that records nothing and never raises."""

    def __init__(self, port, number, read_buffer=None, timeout_s=1.0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.timeout_s = timeout_s
        if read_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, read_buffer)
        self.socket.settimeout(timeout_s)
        self.open = True
        try:
            # The clients come from several addresses.
            self.socket.bind((f"127.0.1.{number % 8 + 1}", 0))
            self.socket.connect(("127.0.0.1", port))
        except OSError:
            self.open = False

    def send(self, data):
        """Sends all bytes; returns whether the connection took them."""
        view = memoryview(data)
        while self.open and view:
            try:
                view = view[self.socket.send(view):]
            except OSError:
                self.open = False
        return self.open

    def is_open(self):
        """Returns whether the gateway has kept the connection open; reads what has arrived."""
        if not self.open:
            return False
        self.socket.setblocking(False)
        try:
            while True:
                if not self.socket.recv(4096):
                    self.open = False
                    break
        except BlockingIOError:
            pass
        except OSError:
            self.open = False
        if self.open:
            self.socket.settimeout(self.timeout_s)
        return self.open

    def close(self):
        """Closes the connection."""
        self.socket.close()


def head(fields, method="POST"):
    """Returns the head of a request as callers of the platform send it."""
    lines = [f"{method} /work HTTP/1.1", f"Host: {HOST}", "X-Request-Id: c", "X-Deadline-Ms: 20000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class CallerLimitsTest(unittest.TestCase):
    """Guards against a process that ends, hangs or exceeds its machine because of its callers."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store()
        self.target = Target()
        store = serve(self.store.handler())
        target = serve(self.target.handler())
        self.addCleanup(self.target.free.set)
        for server in (store, target):
            self.addCleanup(server.server_close)
            self.addCleanup(server.shutdown)
        self.port, directory, self.ready, control, self.metrics = free_ports(5)
        self.control = control
        self.configure(target.server_address[1])
        path = os.path.join(self.folder.name, "settings.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(
                {
                    "node": "n1",
                    "zone": "z1",
                    "listen": {
                        "front": f"127.0.0.1:{self.port}",
                        "directory": f"127.0.0.1:{directory}",
                        "ready": f"127.0.0.1:{self.ready}",
                        "control": f"127.0.0.1:{control}",
                    },
                    "infra": {"address": f"127.0.0.1:{store.server_address[1]}"},
                    "limits": {"memory-mb": MEMORY_MB, "max-fds": MAX_FDS, "cpu-share": 1.0},
                },
                file,
            )
        self.log = open(os.path.join(self.folder.name, "log"), "w+", encoding="utf-8")
        self.addCleanup(self.log.close)
        environment = {
            **os.environ,
            "LYCHEEPLANK_CONFIG": path,
            "LYCHEEPLANK_METRICS_PORT": str(self.metrics),
        }
        self.process = subprocess.Popen(
            [os.path.join(BINARIES, "lycheeplank-gateway")],
            env=environment,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.most_descriptors = 0
        self.wait(lambda: self.ask() == 200, "the gateway serves")

    def configure(self, target_port):
        """Writes the configuration and the entry of the target."""
        self.store.put_json(
            "op/config",
            {
                "version": 1,
                "limits": {
                    "max-header-bytes": MAX_HEADER_BYTES,
                    "max-body-bytes": MAX_BODY_BYTES,
                    "header-timeout-ms": 20000,
                    "idle-timeout-ms": 60000,
                },
                "routes": [
                    {
                        "name": "work",
                        "host": HOST,
                        "prefix": "/work",
                        "type": "idempotent",
                        "service": "plain",
                        "public": True,
                        "timeout-ms": 20000,
                        "goal-ms": 20000,
                    }
                ],
                "services": [{"name": "plain", "max-conns": 300}],
            },
        )
        self.store.put_json(
            "servers/t1",
            {
                "service": "plain",
                "address": f"127.0.0.1:{target_port}",
                "zone": "z1",
                "version": "1",
                "state": "ready",
                "batch-size": 300,
                "warmup-ms": 0,
                "sequence": 1,
                "born": 1,
            },
        )

    def wait(self, condition, what):
        """Waits until a condition holds."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertIsNone(self.process.poll(), f"the gateway has ended before {what}")
            self.assertLess(time.monotonic(), end, f"timed out waiting until {what}")
            time.sleep(0.1)

    def ask(self, port=None, path="/work", body=b"small", method="POST"):
        """Sends one request; returns the status of the answer, 0 without one."""
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port, timeout=10)
        try:
            connection.request(
                method, path, body, {"Host": HOST, "X-Request-Id": "ordinary", "X-Deadline-Ms": "9000"}
            )
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def memory_kib(self, name):
        """Returns a line of the process's status in KiB."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            return next((int(line.split()[1]) for line in status if line.startswith(name + ":")), 0)

    def is_over_memory(self):
        """Returns whether the process has used more memory than its limit; a crowd ends then."""
        if self.process.poll() is not None:
            return True
        self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        # Some room, so that the measurement shows more than that the limit was crossed.
        return self.memory_kib("VmHWM") > 4 * MEMORY_MB * 1024

    def run_crowd(self, count, behave, for_s=CROWD_S):
        """Runs clients in threads for some time: behave(number, is_over) per client."""
        stopping = threading.Event()
        end = time.monotonic() + for_s

        def is_over():
            return stopping.is_set() or time.monotonic() > end

        threads = [threading.Thread(target=behave, args=(number, is_over), daemon=True) for number in range(count)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            if self.is_over_memory():
                stopping.set()
            time.sleep(0.05)
        for thread in threads:
            thread.join()

    def send_endless(self, start, piece, port=None, pause_s=0.0):
        """Runs clients that send a start, and then the same piece again and again."""

        def behave(number, is_over):
            for _ in range(CONNECTIONS_PER_CLIENT):
                client = Client(port or self.port, number)
                client.send(start)
                sent = 0
                while sent < ENDLESS_BYTES and not is_over() and client.send(piece):
                    sent += len(piece)
                    time.sleep(pause_s)
                client.close()
                if is_over():
                    break

        self.run_crowd(ENDLESS_CLIENTS, behave)
        self.check()

    def send_and_stall(self, count, data):
        """Runs clients that send the same bytes and then keep their connections open."""

        def behave(number, is_over):
            for _ in range(CONNECTIONS_PER_CLIENT):
                client = Client(self.port, number)
                client.send(data)
                while client.is_open() and not is_over():
                    time.sleep(0.1)
                client.close()
                if is_over():
                    break

        self.run_crowd(count, behave)

    def check(self):
        """Asserts that the process is alive and within its limits, and answers."""
        self.assertIsNone(self.process.poll(), "the gateway has ended")
        highest = self.memory_kib("VmHWM")
        print(
            f"{self.id().rsplit('.', maxsplit=1)[-1]}: highest {highest // 1024} MiB, now"
            f" {self.memory_kib('VmRSS') // 1024} MiB, descriptors {self.most_descriptors}",
            flush=True,
        )
        self.assertLessEqual(highest, MEMORY_MB * 1024, "the process has used more memory than its machine has")
        self.assertLessEqual(self.most_descriptors, MAX_FDS, "the process has more descriptors than its limit")
        self.wait(lambda: self.ask() == 200, "an ordinary request is answered")
        self.wait(lambda: self.ask(self.ready, "/-/readyz", None, "GET") == 200, "the process reports that it is ready")
        self.assertIsNone(self.process.poll(), "the gateway has ended")

    CHUNKED = head(["Transfer-Encoding: chunked"])

    def test_endless_trailers(self):
        line = b"X-Trailer: " + b"t" * 100 + b"\r\n"
        self.send_endless(self.CHUNKED + b"4\r\nbody\r\n0\r\n", line * (PIECE // len(line)))

    def test_endless_trailer_line(self):
        self.send_endless(self.CHUNKED + b"4\r\nbody\r\n0\r\nX-Trailer: ", b"t" * PIECE)

    def test_endless_chunk_extension(self):
        self.send_endless(self.CHUNKED + b"4;name=", b"e" * PIECE)

    def test_endless_chunk_extension_at_the_peer_address(self):
        self.send_endless(self.CHUNKED + b"4;name=", b"e" * PIECE, self.control)

    def test_endless_chunk_extension_at_the_metrics_address(self):
        self.send_endless(self.CHUNKED + b"4;name=", b"e" * PIECE, self.metrics)

    def test_endless_lines_of_a_head(self):
        line = b"X-Line: " + b"h" * 100 + b"\r\n"
        self.send_endless(head([])[:-2], line * LINES_AT_ONCE, pause_s=LINES_PAUSE_S)

    def test_bodies_that_stop_short_with_a_length(self):
        data = head([f"Content-Length: {MAX_BODY_BYTES}"]) + b"b" * (MAX_BODY_BYTES - 64)
        self.send_and_stall(BODY_CLIENTS, data)
        self.check()

    def test_bodies_that_stop_short_in_chunks(self):
        chunk = b"%x\r\n" % (PIECE - 64) + b"b" * (PIECE - 64) + b"\r\n"
        self.send_and_stall(BODY_CLIENTS, self.CHUNKED + chunk * (MAX_BODY_BYTES // PIECE))
        self.check()

    def test_whole_bodies_at_once(self):
        self.target.free.clear()
        data = head([f"Content-Length: {MAX_BODY_BYTES}"]) + b"b" * MAX_BODY_BYTES
        self.send_and_stall(BODY_CLIENTS, data)
        self.target.free.set()
        self.check()

    def test_heads_that_stop_short(self):
        data = head(["X-Filler: " + "h" * (MAX_HEADER_BYTES - 1024)])[:-4]
        self.send_and_stall(HEAD_CLIENTS, data)
        self.check()

    def test_pipelined_requests_with_unread_answers(self):
        piece = f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 1000

        def behave(number, is_over):
            client = Client(self.port, number, 4096, PIPELINE_S)
            sent = 0
            while sent < PIPELINE_BYTES and not is_over() and client.open:
                client.send(piece)
                sent += len(piece)
            # The answers stay unread.
            while not is_over():
                time.sleep(0.1)
            client.close()

        self.run_crowd(PIPELINE_CLIENTS, behave, PIPELINE_S)
        self.check()

    def test_idle_connections(self):
        clients = []
        for number in range(IDLE_CONNECTIONS):
            clients.append(Client(self.port, number))
            if number % 50 == 0:
                self.assertFalse(self.is_over_memory())
        end = time.monotonic() + CROWD_S / 2
        while time.monotonic() < end:
            self.assertFalse(self.is_over_memory())
            time.sleep(0.1)
        # One ordinary caller is served beside the idle connections.
        self.wait(lambda: self.ask() == 200, "an ordinary request is answered beside idle connections")
        for client in clients:
            client.close()
        self.check()


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BINARIES = sys.argv.pop(1)
    unittest.main(verbosity=2)
