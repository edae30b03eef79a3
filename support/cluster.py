"""Starts and stops a small cluster of stand-ins, entry hosts and stewards on the loopback interface."""

import dataclasses
import hashlib
import json
import os
import re
import secrets
import signal
import subprocess
import time
import urllib.error
import urllib.request
from http.client import HTTPException

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05
MODEL = "wording"
SERVICE = "registry"
WORKSPACES = ("co-operative", "authority", "visitor")


@dataclasses.dataclass
class Options:
    """Size and settings of a cluster; rates are per second, and sizes are in the unit that the name ends with."""

    directory: str
    binaries: str
    entries: int = 3
    engines: int = 4
    services: int = 2
    stores: int = 2
    policy: str = "estimate"
    objective: str = "ttft_weight: 1, recompute_weight: 0.02, link_weight: 0.0"
    config: str = ""
    cache_blocks: int = 24
    block_tokens: int = 2000
    prefill_rate: float = 20000.0
    token_ms: float = 5.0
    max_runs: int = 16
    report_lag_ms: float = 100.0
    event_lag_ms: float = 100.0
    kv_bytes_per_token: int = 1000
    link_rate: float = 100e6
    disk_rate: float = 50e6
    memory_bytes: int = 1 << 30
    disk_bytes: int = 8 << 30
    call_ms: float = 5.0
    rate_writes: float = 500.0
    list_lag_ms: float = 500.0
    ignore_fencing: bool = False
    own_weights: bool = False
    weights_ms: float = 400.0
    steward: bool = True


def http(method, url, body=None, headers=None, timeout=5.0):
    """Sends a request; returns (status, body), also for error statuses.

    Raises OSError if the connection fails or the response is incomplete.
    """
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
    except HTTPException as error:
        raise ConnectionError(f"the answer was cut off: {error!r}") from error


class Cluster:
    """A cluster on the loopback interface; it owns the processes that it starts."""

    def __init__(self, options):
        self.options = options
        self.description = {}
        self.processes = {}
        self.standin_flags = {}
        self.operator_key = secrets.token_hex(16)
        self.token_secret = secrets.token_hex(16)
        self.keys = {name: secrets.token_hex(16) for name in WORKSPACES}

    def start(self):
        """Starts all processes and waits until the entry hosts are ready; returns the content of cluster.json."""
        os.makedirs(self.options.directory, exist_ok=True)
        platform = self._start_platform()
        targets = self._start_targets(self._start_weights(platform))
        stores = self._start_stores()
        entries = [self._start_entry(index, platform["http"]) for index in range(self.options.entries)]
        for entry in entries:
            self._register_host(platform["http"], entry)
        if self.options.steward:
            for entry in entries:
                entry["steward_pid"] = self._start_steward(entry, platform["http"])
        self.description = {
            "entries": entries,
            "targets": targets,
            "stores": stores,
            "platform": platform,
            "workspaces": [{"name": name, "key": key} for name, key in self.keys.items()],
            "operator_key": self.operator_key,
            "token_secret": self.token_secret,
        }
        self.save()
        self.apply(self.document())
        self._wait_ready()
        return self.description

    def save(self):
        """Writes cluster.json."""
        path = os.path.join(self.options.directory, "cluster.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.description, file, indent=1)

    def start_process(self, name, arguments, environment=None):
        """Starts a program; its stdout and stderr go to <name>.out and <name>.log in the cluster's folder."""
        base = os.path.join(self.options.directory, name)
        with open(base + ".log", "ab") as log, open(base + ".out", "wb") as out:
            process = subprocess.Popen(
                arguments,
                stdout=out,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
                start_new_session=True,
            )
        self.processes[name] = process
        return process

    def _wait_output(self, name, pattern):
        path = os.path.join(self.options.directory, name + ".out")
        limit = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit:
            with open(path, encoding="utf-8") as file:
                found = re.search(pattern, file.read())
            if found:
                return found
            if self.processes[name].poll() is not None:
                break
            time.sleep(POLL_S)
        raise RuntimeError(f"{name} did not start; see {path[:-4]}.log")

    def _start_standin(self, kind, name, flags, port=0):
        program = os.path.join(self.options.binaries, "lycheeplank-standin")
        self.standin_flags[name] = flags
        process = self.start_process(name, [program, kind, "--name", name, f"--port={port}"] + flags)
        port = self._wait_output(name, r"listening port=(\d+)").group(1)
        return {"name": name, "kind": kind, "http": f"http://{LOOPBACK}:{port}", "pid": process.pid}

    def restart_standin(self, row, more_flags=()):
        """Restarts a stand-in that has exited, on its old port and without any of its state."""
        self.processes[row["name"]].wait()
        flags = self.standin_flags[row["name"]]
        port = int(row["http"].rpartition(":")[2])
        limit = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                started = self._start_standin(row["kind"], row["name"], flags + list(more_flags), port)
                break
            except RuntimeError:
                # A connection of another process may occupy the port for a short time.
                if time.monotonic() > limit:
                    raise
                time.sleep(POLL_S)
        self.standin_flags[row["name"]] = flags
        row["pid"] = started["pid"]

    def _start_platform(self):
        options = self.options
        flags = [f"--rate-writes={options.rate_writes}", f"--list-lag={options.list_lag_ms}"]
        return self._start_standin("platform", "platform", flags)

    def _start_weights(self, platform):
        """Returns the URL from which engines load weights: the platform's, or that of a separate weights service."""
        if not self.options.own_weights:
            return platform["http"]
        return self._start_standin("platform", "weights", [f"--weights-ms={self.options.weights_ms}"])["http"]

    def _start_targets(self, platform):
        options = self.options
        engine_flags = [
            f"--model={MODEL}",
            f"--block-tokens={options.block_tokens}",
            f"--cache-blocks={options.cache_blocks}",
            f"--prefill-rate={options.prefill_rate}",
            f"--token-ms={options.token_ms}",
            f"--max-runs={options.max_runs}",
            f"--report-lag={options.report_lag_ms}",
            f"--event-lag={options.event_lag_ms}",
            f"--kv-bytes-per-token={options.kv_bytes_per_token}",
            f"--platform={platform}",
        ]
        if options.ignore_fencing:
            engine_flags.append("--ignore-fencing")
        engines = [self._start_standin("engine", f"engine-{i}", engine_flags) for i in range(options.engines)]
        services = [
            self._start_standin("service", f"service-{i}", [f"--call-ms={options.call_ms}"])
            for i in range(options.services)
        ]
        return engines + services

    def _start_stores(self):
        return [self._start_store(f"store-{i}") for i in range(self.options.stores)]

    def _start_store(self, name):
        options = self.options
        flags = [
            f"--memory-bytes={options.memory_bytes}",
            f"--disk-bytes={options.disk_bytes}",
            f"--link-rate={options.link_rate}",
            f"--disk-rate={options.disk_rate}",
        ]
        return self._start_standin("store", name, flags)

    def _start_entry(self, index, platform):
        return self.start_entry(f"entry-{index}", f"dc-{index % 4 + 1}", platform)

    def start_entry(self, name, data_centre, platform, steward_port=None, environment=None):
        """Starts one entry host, optionally with additional environment variables; returns its row of cluster.json."""
        port = steward_port or free_port()
        program = os.path.join(self.options.binaries, "lycheeplank-entry")
        process = self.start_process(
            name,
            [
                program,
                f"--name={name}",
                f"--data-centre={data_centre}",
                "--http-port=0",
                "--peer-port=0",
                f"--platform={platform}",
                f"--steward=http://{LOOPBACK}:{port}",
                f"--operator-key-digest={digest(self.operator_key)}",
            ],
            {"LYCHEEPLANK_TOKEN_SECRET": self.token_secret, **(environment or {})},
        )
        found = self._wait_output(name, r"http_port=(\d+) peer_port=(\d+)")
        return {
            "name": name,
            "data_centre": data_centre,
            "http": f"http://{LOOPBACK}:{found.group(1)}",
            "peer": f"{LOOPBACK}:{found.group(2)}",
            "pid": process.pid,
            "steward_pid": 0,
            "steward_port": port,
        }

    def _start_steward(self, entry, platform):
        program = os.path.join(self.options.binaries, "lycheeplank-steward")
        if not os.path.exists(program):
            return 0
        process = self.start_process(
            "steward-" + entry["name"],
            [
                program,
                f"--name={entry['name']}",
                f"--data-centre={entry['data_centre']}",
                f"--platform={platform}",
                f"--entry={entry['http']}",
                f"--port={entry['steward_port']}",
            ],
            {"LYCHEEPLANK_TOKEN_SECRET": self.token_secret},
        )
        return process.pid

    def restart_steward(self, entry):
        """Kills the steward of an entry host and restarts it with the host's current address."""
        process = self.processes["steward-" + entry["name"]]
        process.kill()
        process.wait()
        entry["steward_pid"] = self._start_steward(entry, self.description["platform"]["http"])

    @staticmethod
    def _register_host(platform, entry):
        body = {
            "name": entry["name"],
            "role": "entry",
            "peer_address": entry["peer"],
            "http_address": entry["http"],
            "data_centre": entry["data_centre"],
            "leaving": False,
        }
        status, text = http("PUT", f"{platform}/v1/hosts/{entry['name']}", body)
        if status >= 300:
            raise RuntimeError(f"the platform did not add {entry['name']} to the host list: {status} {text}")

    def register_host(self, entry):
        """Adds an entry host to the platform's host list."""
        self._register_host(self.description["platform"]["http"], entry)

    def document(self):
        """Returns the configuration document for this cluster.

        If a configuration file is set, only its targets and stores sections are replaced.
        """
        generated = self._targets_section() + self._stores_section()
        if self.options.config:
            with open(self.options.config, encoding="utf-8") as file:
                kept = split_sections(file.read())
            return "".join(text for name, text in kept.items() if name not in ("targets", "stores")) + generated
        return self._tenant_sections() + generated

    def _tenant_sections(self):
        options = self.options
        workspaces = "".join(
            f"    {name}: {{key_digests: [{digest(key)}], max_running: 512, max_waiting: 4096, "
            f"requests_per_second: 100000}}\n"
            for name, key in self.keys.items()
        )
        return f"""workspaces:
  owner: desk
  entries:
{workspaces}models:
  owner: models
  entries:
    {MODEL}:
      versions: {{v1: 1.0}}
      block_tokens: {options.block_tokens}
      kv_bytes_per_token: {options.kv_bytes_per_token}
      max_tokens: 4096
      objective: {{{options.objective}}}
      policy: {options.policy}
services:
  owner: services
  entries:
    {SERVICE}:
      calls:
        issue: {{repeatable: false, timeout: 10s}}
        callout: {{repeatable: false, timeout: 10s}}
        check: {{repeatable: true, timeout: 10s}}
rules:
  owner: desk
  entries:
    tenants: {{workspaces: [co-operative, authority], models: ["*"], services: ["*"]}}
limits:
  owner: desk
  values: {{retry_share: 0.1}}
"""

    def _targets_section(self):
        options = self.options
        lines = ["targets:\n  owner: machines\n  entries:\n"]
        for index, target in enumerate(self.description["targets"]):
            engine = target["kind"] == "engine"
            fields = [
                f"kind: {target['kind']}",
                f"url: \"{target['http']}\"",
                f"data_centre: dc-{index % 4 + 1}",
                f"serves: {MODEL if engine else SERVICE}",
                f"max_runs: {options.max_runs if engine else 64}",
            ]
            if engine:
                fields += [
                    f"prefill_tokens_per_second: {options.prefill_rate}",
                    f"cache_blocks: {options.cache_blocks}",
                    f"honours_fencing: {str(not options.ignore_fencing).lower()}",
                ]
            lines.append(f"    {target['name']}: {{{', '.join(fields)}}}\n")
        return "".join(lines)

    def _stores_section(self):
        options = self.options
        lines = ["stores:\n  owner: machines\n  entries:\n"]
        for index, store in enumerate(self.description["stores"]):
            lines.append(
                f"    {store['name']}: {{url: \"{store['http']}\", data_centre: dc-{index % 4 + 1}, "
                f"memory_bytes: {options.memory_bytes}, disk_bytes: {options.disk_bytes}, "
                f"link_bytes_per_second: {int(options.link_rate)}, "
                f"disk_bytes_per_second: {int(options.disk_rate)}}}\n"
            )
        if not self.description["stores"]:
            return ""
        return "".join(lines)

    def apply(self, document, base_revision=0, entry=0):
        """Sends a configuration document to an entry host; returns the accepted revision."""
        sections = [{"name": name, "text": text} for name, text in split_sections(document).items()]
        status, body = self.edit(sections, base_revision, entry)
        if status != 200:
            raise RuntimeError(f"the configuration was refused: {status} {body}")
        return json.loads(body)["revision"]

    def edit(self, sections, base_revision, entry=0, timeout=40.0):
        """Sends a configuration edit that replaces sections; returns status and body."""
        return http(
            "POST",
            self.description["entries"][entry]["http"] + "/v1/admin/config",
            {"base_revision": base_revision, "author": "local-cluster", "sections": sections},
            {"Authorization": "Bearer " + self.operator_key},
            timeout=timeout,
        )

    def admin(self, path, entry=0):
        """Sends a GET request to the admin API of an entry host; returns the parsed body."""
        url = self.description["entries"][entry]["http"] + "/v1/admin/" + path
        status, body = http("GET", url, headers={"Authorization": "Bearer " + self.operator_key})
        if status != 200:
            raise RuntimeError(f"{path}: {status} {body}")
        return json.loads(body)

    def wait_until(self, condition, what, timeout=READY_TIMEOUT_S):
        """Polls until a condition holds; raises RuntimeError after the timeout.

        Connection and parse errors of the condition count as not yet holding.
        """
        limit = time.monotonic() + timeout
        while time.monotonic() < limit:
            try:
                if condition():
                    return
            except (OSError, RuntimeError, ValueError, HTTPException):
                pass
            time.sleep(POLL_S)
        raise RuntimeError(f"timed out waiting until {what}")

    def entry_is_ready(self, index):
        """Returns whether an entry host is ready, reaches all targets and sees all entry hosts alive."""
        entry = self.description["entries"][index]
        if http("GET", entry["http"] + "/readyz")[0] != 200:
            return False
        targets = self.admin("targets", index)["targets"]
        hosts = self.admin("hosts", index)["hosts"]
        alive = [host for host in hosts if host["status"] == "alive"]
        return (
            len(targets) == len(self.description["targets"])
            and all(target["status"] == "serving" for target in targets)
            and len(alive) == len(self.description["entries"])
        )

    def _wait_ready(self):
        for index in range(len(self.description["entries"])):
            self.wait_until(lambda i=index: self.entry_is_ready(i), f"entry-{index} is ready")

    def stop(self):
        """Kills all processes that this cluster started and waits until they have exited."""
        signal_processes([process.pid for process in self.processes.values()], signal.SIGKILL)
        for process in self.processes.values():
            process.wait()


def digest(key):
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def free_port():
    """Returns a TCP port that is currently free; another process may take it before it is used."""
    import socket

    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def split_sections(document):
    """Returns the text of each section of a document by name, in document order."""
    sections = {}
    name = None
    for line in document.splitlines(keepends=True):
        found = re.match(r"([a-z_]+):", line)
        if found:
            name = found.group(1)
            sections[name] = ""
        if name:
            sections[name] += line
    return sections


def signal_processes(pids, signal_number):
    """Sends a signal to processes by id, after SIGCONT so that suspended ones handle it too."""
    for pid in pids:
        try:
            os.kill(pid, signal.SIGCONT)
            os.kill(pid, signal_number)
        except ProcessLookupError:
            pass


def is_running(pid):
    """Returns whether a process exists and is not a zombie."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False
