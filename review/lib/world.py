"""Starts gateways of the deploy file, servers and a store on loopback, and records what happens."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import store as store_module

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HERE = os.path.dirname(os.path.abspath(__file__))
BEAT_S = 1.2
HOST = "nylo40.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
MODEL = "daka510000"
READY_TIMEOUT_S = 20.0


class CannotRun(Exception):
    """The case couldn't be set up, which says nothing about the rule."""


def free_address():
    """Returns a loopback address of its own for one machine."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_ports(address, count, kind=socket.SOCK_STREAM):
    """Returns ports that are free on an address."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for one in sockets:
        one.bind((address, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class World:
    def __init__(self, case_folder):
        self.began = time.monotonic()
        self.record_path = os.path.join(case_folder, "record.txt")
        self.record_lock = threading.Lock()
        with open(self.record_path, "w", encoding="utf-8"):
            pass
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.gateways = []
        self.servers = {}
        self.store, self.store_address = store_module.serve(free_address())
        threading.Thread(target=self.watch_servers, daemon=True).start()

    def note(self, text):
        """Writes a line of the record with the time since the start."""
        with self.record_lock, open(self.record_path, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")

    def configure(self, routes, services, tenants=None, version=7):
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": tenants or [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
        }
        self.store.put("op/config", json.dumps(config))

    def spawn(self, command, **more):
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, cwd=ROOT, **more)
        self.processes.append(process)
        return process

    def start_server(self, name, service, zone, **behaviour):
        """Starts a server process and enters it in the store; behaviour: see server.py."""
        address = free_address()
        (port,) = free_ports(address, 1)
        runs = os.path.join(self.folder, name + ".runs")
        with open(runs, "w", encoding="utf-8"):
            pass
        options = {"id": name, "address": address, "port": port, "runs": runs, "began": self.began, **behaviour}
        process = self.spawn([sys.executable, os.path.join(HERE, "server.py"), json.dumps(options)])
        wait_for_port(address, port, process)
        entry = {
            "service": service,
            "address": f"{address}:{port}",
            "zone": zone,
            "version": "v1",
            "batch-size": behaviour.get("slots", 6),
            "state": "ready",
            "warmup-ms": 0,
            "born": int(time.time() * 1000),
            "sequence": 1,
        }
        if behaviour.get("kind") == "engine":
            entry["phase"] = "both"
            entry["models"] = [{"name": MODEL, "version": 1, "adapters": []}]
        self.store.put("servers/" + name, json.dumps(entry))
        self.servers[name] = {"process": process, "runs": runs, "address": f"{address}:{port}", "gone": None}
        self.note(f"server {name} of {service} starts at {address}:{port}")
        return entry

    def watch_servers(self):
        """Removes the entries of servers that have been silent for three check-in intervals."""
        while True:
            time.sleep(0.05)
            for name, server in list(self.servers.items()):
                if server["process"].poll() is None:
                    continue
                if server["gone"] is None:
                    server["gone"] = time.monotonic()
                elif time.monotonic() - server["gone"] > 3 * BEAT_S:
                    self.store.remove("servers/" + name)

    def start_gateway(self, name, zone, zones):
        """Starts a process of the deploy file's only role with settings of a small deployment."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        command = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} isn't built")
        address = free_address()
        front, ready, control, directory = free_ports(address, 4)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(name, zone, zones, address, (front, ready, control, directory)), file, indent=1)
        log = open(os.path.join(self.folder, name + ".log"), "wb")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = self.spawn(command, env={**environment, "LYCHEEPLANK_CONFIG": path}, stdout=log, stderr=log)
        gateway = {"name": name, "process": process, "front": (address, front), "ready": (address, ready)}
        gateway["log"] = log.name
        self.gateways.append(gateway)
        return gateway

    def settings(self, name, zone, zones, address, ports):
        front, ready, control, directory = ports
        return {
            "node": name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front", "control", "directory"],
            "bind-ip": address,
            "zone": zone,
            "region": "qld-north",
            "zones": {one: "qld-north" for one in zones},
            "listen": {
                "front": f"{address}:{front}",
                "ready": f"{address}:{ready}",
                "control": f"{address}:{control}",
                "directory": f"{address}:{directory}",
            },
            "port-range": [7700, 7715],
            "seeds": [f"{address}:{control}"],
            "first-start": True,
            "counts-as-loss": False,
            "limits": {
                "cpu-share": 0.25,
                "vcpus": 1,
                "memory-mb": 110,
                "max-fds": 4100,
                "net-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "ingress": "directory",
            "heartbeat-ms": 1200,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "loss-slack-ms": 200,
                "apply-ms": 2000,
                "budget-ratio": 0.2,
                "budget-window-s": 10,
                "budget-slack": 54,
                "need-fence": True,
                "lease-ms": 3000,
                "thaw-ms": 300,
                "version-ms": 6000,
                "ttl_max_s": 5,
            },
            "infra": {
                "address": self.store_address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "retention-s": 20,
                "value-bytes": 1048576,
                "min-ttl-ms": 1000,
            },
        }

    def wait_until_ready(self, gateway):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if gateway["process"].poll() is not None:
                raise CannotRun(f"{gateway['name']} ended with {gateway['process'].returncode}")
            try:
                with socket.create_connection(gateway["ready"], timeout=1) as one:
                    one.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                    if one.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{gateway['name']} isn't ready")

    def runs(self):
        """Returns the lines that the servers wrote, as (server, line), in order of time."""
        lines = []
        for name, server in self.servers.items():
            with open(server["runs"], encoding="utf-8") as file:
                lines += [(name, line.rstrip("\n")) for line in file]
        return sorted(lines, key=lambda row: row[1])

    def close(self):
        """Ends all processes, copies the servers' lines into the record and removes the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        with self.record_lock, open(self.record_path, "a", encoding="utf-8") as file:
            file.write("at the servers:\n")
            for name, line in self.runs():
                file.write(f"{line}  ({name})\n")
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                shutil.copy(gateway["log"], os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for_port(address, port, process):
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end and process.poll() is None:
        try:
            socket.create_connection((address, port), timeout=1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise CannotRun("a server doesn't listen")


def request_head(method, path, request_id, fields, length=None, key=KEY):
    """Returns the bytes of a requester's head."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"Authorization: Token {key}"] + [f"{name}: {value}" for name, value in fields.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Answer:
    """What a requester reads from its connection, as HTTP frames it."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.ended = "open"

    def __str__(self):
        whole = "complete" if self.complete else "not complete"
        return f"status {self.status}, {len(self.body)} bytes of body, {whole} ({self.ended})"


def read_answer(connection, timeout_s, pace=None):
    """Reads one answer. pace: (bytes, seconds) to read at most so many bytes each time."""
    answer = Answer()
    end = time.monotonic() + timeout_s
    data = b""

    def more():
        nonlocal data
        left = end - time.monotonic()
        if left <= 0:
            answer.ended = "requester's time is over"
            return False
        connection.settimeout(left)
        try:
            if pace:
                time.sleep(pace[1])
            got = connection.recv(pace[0] if pace else 65536)
        except socket.timeout:
            answer.ended = "requester's time is over"
            return False
        except OSError as error:
            answer.ended = f"connection reset ({error.__class__.__name__})"
            return False
        if not got:
            answer.ended = "connection closed"
            return False
        data += got
        return True

    while b"\r\n\r\n" not in data:
        if not more():
            return answer
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    answer.fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
    if answer.fields.get("transfer-encoding") == "chunked":
        while True:
            while b"\r\n" not in data:
                if not more():
                    return answer
            size, rest = data.split(b"\r\n", 1)
            count = int(size, 16)
            while len(rest) < count + 2:
                if not more():
                    answer.body += rest[:count]
                    return answer
                rest = data.split(b"\r\n", 1)[1]
            answer.body += rest[:count]
            data = rest[count + 2 :]
            if count == 0:
                break
    else:
        length = int(answer.fields.get("content-length", "0"))
        parts = [data]
        got = len(data)
        while got < length:
            data = b""
            if not more():
                answer.body = b"".join(parts)
                return answer
            parts.append(data)
            got += len(data)
        answer.body = b"".join(parts)[:length]
    answer.complete = True
    answer.ended = "answer ended"
    return answer


def on_timeout(*_):
    raise CannotRun("the time is over")


def run_case(case_folder, body):
    """Runs a case: body(world) returns whether the rule was broken. Exits with 1, 0 or 2."""
    signal.signal(signal.SIGTERM, on_timeout)
    world = World(case_folder)
    result = 2
    try:
        result = 1 if body(world) else 0
    except CannotRun as error:
        world.note(f"can't run: {error}")
    except Exception as error:  # pylint: disable=broad-except
        world.note(f"can't run: {error.__class__.__name__}: {error}")
        raise
    finally:
        world.note({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no verdict"}[result])
        world.close()
        sys.exit(result)
