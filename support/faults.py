"""Fault injection for a local cluster, clients that generate load meanwhile, and checks of the recorded results."""

import collections
import dataclasses
import http.client
import json
import os
import signal
import threading
import time
import urllib.parse

import cluster

CALL_TIMEOUT_S = 14.0
READ_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.1
FINAL_ANSWER_LIMIT_S = 60.0
RECORD_TIMEOUT_S = 10.0
MAX_RESUMES = 20
NO_ANSWER = 0
# Position of the token index among the dot-separated parts of an event id.
TOKEN_INDEX_PART = 4
REFERENCE_SALT = "reference"


@dataclasses.dataclass
class Answer:
    """One answer to a call; status 0 means that the connection ended without an answer."""

    host: str
    status: int
    text: str
    sent_s: float = 0.0
    answered_s: float = 0.0
    body: dict = dataclasses.field(default_factory=dict)

    @property
    def kind(self):
        """Returns the error kind of a refusal, or an empty string."""
        return self.body.get("kind", "")

    @property
    def run(self):
        """Returns the run field of a refusal, which states whether the request was executed."""
        return self.body.get("run", "")

    def is_final(self):
        """Returns whether retrying the call cannot produce a different answer."""
        if self.status == 200 or self.kind in ("idempotency_key_mismatch", "idempotency_key_expired"):
            return True
        return self.kind == "outcome_unknown" and not self.body.get("retry_after_ms")


@dataclasses.dataclass
class OutageWindow:
    """A period in which connections to a service were cut, so that calls and answers may have been lost."""

    begin_s: float
    end_s: float

    def overlaps(self, answer):
        """Returns whether the window overlaps the time between a call and its answer."""
        return answer.sent_s <= self.end_s and self.begin_s <= answer.answered_s


@dataclasses.dataclass
class Issuance:
    """All answers that one caller received for one idempotency key."""

    workspace: str
    key: str
    answers: list = dataclasses.field(default_factory=list)

    def final(self):
        """Returns the last answer, or one without a host if there is none."""
        return self.answers[-1] if self.answers else Answer("", NO_ANSWER, "")


@dataclasses.dataclass
class StreamResult:
    """The part of one completion that a reader received; end is done, error, refused or cut."""

    workspace: str
    prompt: str
    max_tokens: int
    text: str = ""
    end: str = "cut"
    detail: str = ""
    last_id: str = ""
    request_ids: list = dataclasses.field(default_factory=list)
    resumes: int = 0
    ended_s: float = 0.0

    def tokens(self):
        """Returns the number of tokens of the run up to and including the last event id."""
        return int(self.last_id.split(".")[TOKEN_INDEX_PART]) + 1 if self.last_id else 0


def kill_process(pid):
    """Kills a process with SIGKILL."""
    os.kill(pid, signal.SIGKILL)


def suspend_process(pid):
    """Suspends a process with SIGSTOP until resume_process is called."""
    os.kill(pid, signal.SIGSTOP)


def resume_process(pid):
    """Resumes a suspended process with SIGCONT."""
    os.kill(pid, signal.SIGCONT)


def is_stopped(pid):
    """Returns whether a child process is stopped by a signal."""
    return os.waitid(os.P_PID, pid, os.WSTOPPED | os.WNOHANG | os.WNOWAIT) is not None


def cut_connections(target, duration_ms):
    """Cuts the connections of a target for some time; returns the window that covers the outage."""
    begin = time.time()
    set_fault(target["http"], "down", ms=duration_ms)
    return OutageWindow(begin, time.time() + duration_ms / 1000)


def set_fault(url, fault, **fields):
    """Injects a fault into a stand-in through its HTTP interface; "none" clears all faults."""
    status, text = cluster.http("POST", url + "/fault", {"fault": fault, **fields})
    if status >= 300:
        raise RuntimeError(f"fault {fault} was refused: {status} {text}")


def restart_entry(started, index, register_host=True, environment=None):
    """Restarts an entry host that has exited, optionally with additional environment variables."""
    old = started.description["entries"][index]
    started.processes[old["name"]].wait()
    row = started.start_entry(
        old["name"], old["data_centre"], started.description["platform"]["http"], old["steward_port"], environment
    )
    row["steward_pid"] = old["steward_pid"]
    started.description["entries"][index] = row
    if register_host:
        started.register_host(row)
    return row


def restart_store(started, row, contents=""):
    """Restarts a store that has exited on its old port, empty or with the contents of a file."""
    started.restart_standin(row, [f"--contents={contents}"] if contents else [])


def record(row):
    """Returns the execution record of a stand-in."""
    return json.loads(cluster.http("GET", row["http"] + "/executions", timeout=RECORD_TIMEOUT_S)[1])


def metric(url, name):
    """Returns the sum of all metric values whose name and labels begin with the given text."""
    lines = [line for line in cluster.http("GET", url + "/metrics")[1].splitlines()]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith("lycheeplank_" + name))


def targets(started, kind):
    """Returns the cluster.json rows of all targets of a kind."""
    return [row for row in started.description["targets"] if row["kind"] == kind]


def caller_headers(started, workspace, **more):
    """Returns the HTTP headers of a caller in a workspace."""
    return {"Authorization": "Bearer " + started.keys[workspace], "Content-Type": "application/json", **more}


def send_call(started, index, workspace, key, payload, call="issue", deadline_ms=None):
    """Sends a service call once, without retries, through one host; returns an Answer."""
    entry = started.description["entries"][index]
    headers = caller_headers(started, workspace, **{"Idempotency-Key": key})
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    sent = time.time()
    try:
        status, text = cluster.http(
            "POST",
            f"{entry['http']}/v1/services/{cluster.SERVICE}/{call}",
            payload,
            headers,
            timeout=CALL_TIMEOUT_S,
        )
    except (OSError, http.client.HTTPException) as error:
        return Answer(entry["name"], NO_ANSWER, str(error), sent, time.time())
    body = json.loads(text) if status != 200 else {}
    return Answer(entry["name"], status, text, sent, time.time(), body)


def start_call(started, index, workspace, key, payload, deadline_ms):
    """Sends a service call without reading the answer; returns the connection, to be passed to finish_call."""
    url = urllib.parse.urlparse(started.description["entries"][index]["http"])
    connection = http.client.HTTPConnection(url.hostname, url.port, timeout=CALL_TIMEOUT_S)
    headers = caller_headers(started, workspace, **{"Idempotency-Key": key, "X-Deadline-Ms": str(deadline_ms)})
    connection.request("POST", f"/v1/services/{cluster.SERVICE}/issue", json.dumps(payload), headers)
    return connection


def finish_call(started, index, connection):
    """Waits for the answer to a call that start_call sent; returns an Answer."""
    response = connection.getresponse()
    text = response.read().decode()
    connection.close()
    body = json.loads(text) if response.status != 200 else {}
    return Answer(started.description["entries"][index]["name"], response.status, text, body=body)


def issue(started, workspace, key, payload, first=0, limit_s=FINAL_ANSWER_LIMIT_S, deadline_ms=None, hosts=None):
    """Retries a call through the given hosts (default: all) in turn until its answer is final or time is up."""
    done = Issuance(workspace, key)
    limit = time.monotonic() + limit_s
    hosts = hosts or range(len(started.description["entries"]))
    index = first
    while time.monotonic() < limit:
        host = hosts[index % len(hosts)]
        answer = send_call(started, host, workspace, key, payload, deadline_ms=deadline_ms)
        done.answers.append(answer)
        if answer.is_final():
            break
        index += 1
        time.sleep(RETRY_DELAY_S)
    return done


class Callers:
    """Threads that issue service calls with new idempotency keys until stopped, and record all answers."""

    def __init__(self, started, name, count=6, workspaces=("co-operative", "authority"), pause_s=0.01, hosts=None):
        self.started = started
        self.name = name
        self.workspaces = workspaces
        self.pause_s = pause_s
        self.hosts = hosts
        self.issuances = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._work, args=(i,)) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def _work(self, caller):
        number = 0
        while not self.stopping.is_set():
            workspace = self.workspaces[(caller + number) % len(self.workspaces)]
            key = f"{self.name}-{caller}-{number}"
            first = caller + number if self.hosts is None else self.hosts[(caller + number) % len(self.hosts)]
            self.issuances.append(issue(self.started, workspace, key, {"learner": number}, first))
            number += 1
            time.sleep(self.pause_s)

    def stop(self):
        """Stops the threads and waits for their final answers; returns the issuances."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.issuances


class StreamReader:
    """Reads one streamed completion and resumes it on other hosts when the connection is cut."""

    def __init__(self, started, workspace, prompt, max_tokens, index=0, resume=True, deadline_ms=None):
        self.started = started
        self.index = index
        self.resume = resume
        self.deadline_ms = deadline_ms
        self.result = StreamResult(workspace, prompt, max_tokens)
        self.tokens_seen = 0
        self.begun = threading.Event()
        self.thread = threading.Thread(target=self._work)
        self.thread.start()

    def join(self):
        """Waits until the stream has ended; returns the result."""
        self.thread.join()
        return self.result

    def wait_tokens(self, count, limit_s=READ_TIMEOUT_S):
        """Waits for a number of tokens; returns whether they arrived within the limit."""
        limit = time.monotonic() + limit_s
        while self.tokens_seen < count and time.monotonic() < limit and self.thread.is_alive():
            time.sleep(0.005)
        return self.tokens_seen >= count

    def _work(self):
        result = self.result
        for _ in range(MAX_RESUMES):
            result.end, result.detail = self._read_once()
            retry = result.end == "cut" or (result.end == "refused" and result.last_id and result.detail == "not_ready")
            if not self.resume or not retry or not result.last_id:
                break
            result.resumes += 1
            self.index += 1
            time.sleep(RETRY_DELAY_S)
        result.ended_s = time.time()

    def _read_once(self):
        entry = self.started.description["entries"][self.index % len(self.started.description["entries"])]
        url = urllib.parse.urlparse(entry["http"])
        connection = http.client.HTTPConnection(url.hostname, url.port, timeout=READ_TIMEOUT_S)
        try:
            return self._exchange(connection)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return "cut", str(error)
        finally:
            connection.close()

    def _exchange(self, connection):
        result = self.result
        headers = caller_headers(self.started, result.workspace)
        if result.last_id:
            headers["Last-Event-ID"] = result.last_id
        body = {
            "model": cluster.MODEL, "prompt": result.prompt, "max_tokens": result.max_tokens, "stream": True
        }
        if self.deadline_ms:
            body["deadline_ms"] = self.deadline_ms
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        result.request_ids.append(response.headers.get("X-Request-Id", ""))
        if response.status != 200:
            return "refused", json.loads(response.read()).get("kind", "")
        return self._read_events(response)

    def _read_events(self, response):
        event_id = ""
        for raw in response:
            line = raw.decode().rstrip("\r\n")
            if line.startswith("id: "):
                event_id = line[4:]
            elif line == "data: [DONE]":
                return "done", ""
            elif line.startswith("data: "):
                event = json.loads(line[6:])
                if "error" in event:
                    return "error", event["error"].get("kind", "")
                if event_id:
                    self.result.text += event["choices"][0]["text"]
                    self.result.last_id = event_id
                    self.tokens_seen += 1
                event_id = ""
        return "cut", "the connection ended"


def load_weights(started, name, version, fence, limit_s=RECORD_TIMEOUT_S):
    """Orders an engine to load a weight version and waits until the engine serves it."""
    url = next(row["http"] for row in started.description["targets"] if row["name"] == name)
    cluster.http("POST", url + "/v1/orders", {"fence": fence, "order": "load_weights", "version": version})
    started.wait_until(
        lambda: json.loads(cluster.http("GET", url + "/v1/orders")[1])["weight_version"] == version,
        f"{name} serves {version}",
        limit_s,
    )


def reference_text(url, prompt, max_tokens, run_id):
    """Runs a prompt directly on an engine; returns the weight version and a tuple of the tokens' texts."""
    body = {
        "model": cluster.MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "run_id": run_id,
        "cache_salt": REFERENCE_SALT,
    }
    status, text = cluster.http("POST", url + "/v1/completions", body, timeout=READ_TIMEOUT_S)
    if status != 200:
        raise RuntimeError(f"no reference text: {status} {text}")
    events = [json.loads(line[6:]) for line in text.splitlines() if line.startswith("data: {")]
    version = next(event["weight_version"] for event in events if event.get("event") == "start")
    return version, tuple(event["text"] for event in events if "index" in event)


def reference_texts(url, prompts, max_tokens, run_id):
    """Runs prompts directly on an engine, in parallel; returns (weight version, tokens' texts) by prompt."""
    found = {}

    def ask(number, prompt):
        found[prompt] = reference_text(url, prompt, max_tokens, f"{run_id}-{number}")

    threads = [threading.Thread(target=ask, args=item) for item in enumerate(prompts)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(found) < len(prompts):
        raise RuntimeError("an engine returned no reference text")
    return found


class Records:
    """The execution records of the stand-ins; the record of a stand-in must be saved before it is killed."""

    def __init__(self, started):
        self.started = started
        self.saved = collections.defaultdict(list)

    def save(self, target):
        """Saves the record of a target that is about to be killed."""
        self.saved[target["kind"]] += self.read(target)

    @staticmethod
    def read(target):
        """Returns the recorded calls of a service or runs of an engine."""
        text = cluster.http("GET", target["http"] + "/executions", timeout=RECORD_TIMEOUT_S)[1]
        return json.loads(text)["calls" if target["kind"] == "service" else "runs"]

    def rows(self, kind, excluded=()):
        """Returns the saved records of a kind of target and the current ones of all targets that are not excluded."""
        rows = list(self.saved[kind])
        for target in targets(self.started, kind):
            if target["name"] not in excluded:
                rows += self.read(target)
        return rows


def request_id_of(attempt):
    """Returns the request id that is part of an attempt id."""
    return attempt.rpartition("-")[0]


def check_issuances(issuances, calls, windows=()):
    """Returns a description of each contradiction between the callers' answers and the services' records."""
    faults = []
    by_key = collections.defaultdict(list)
    for row in calls:
        by_key[row["key"]].append(row)
    by_request = {request_id_of(row["attempt"]): row for row in calls}
    for key, rows in by_key.items():
        if len(rows) > 1:
            faults.append(f"key {key} was executed {len(rows)} times: {rows}")
    for issuance in issuances:
        faults += check_answers(issuance, by_key.get(issuance.key, []), by_request, windows)
    return faults


def check_answers(issuance, rows, by_request, windows):
    """Returns a description of each contradiction between the answers for one key and its records."""
    faults = []
    name = f"key {issuance.key}"
    for answer in issuance.answers:
        if answer.run == "no" and answer.body.get("request_id") in by_request:
            faults.append(f"{name}: {answer.host} reported that it was not run, but it was: {answer.text}")
    successes = [answer for answer in issuance.answers if answer.status == 200]
    if successes and not rows:
        faults.append(f"{name}: answered 200 but never executed")
    if len({answer.text for answer in successes}) > 1:
        faults.append(f"{name}: two different answers: {[answer.text for answer in successes]}")
    after_success = issuance.answers[issuance.answers.index(successes[0]):] if successes else []
    if any(answer.kind == "outcome_unknown" for answer in after_success):
        faults.append(f"{name}: outcome unknown after a successful answer: {after_success}")
    if rows and issuance.answers and all(answer.run == "no" for answer in issuance.answers):
        faults.append(f"{name}: all answers reported that it was not run, but it was: {rows}")
    if not issuance.final().is_final():
        faults.append(f"{name}: no final answer: {issuance.final()}")
    # A final outcome_unknown is valid only if the call was executed, or if the call or an answer may have been lost.
    may_be_lost = any(
        answer.status == NO_ANSWER or any(window.overlaps(answer) for window in windows) for answer in issuance.answers
    )
    if issuance.final().kind == "outcome_unknown" and not rows and not may_be_lost:
        faults.append(f"{name}: outcome unknown, though nothing was sent and no answer was lost: {issuance.answers}")
    return faults


def check_streams(results, texts):
    """Returns a description of each stream whose text differs from all reference runs of its prompt.

    texts maps each prompt to a set of reference runs; a run is the tuple of its tokens' texts. A completed
    stream must have all tokens, any other stream exactly the tokens up to its last event id.
    """
    faults = []
    for result in results:
        references = texts[result.prompt]
        count = result.tokens()
        if result.end == "done" and (result.text, count) not in {("".join(whole), len(whole)) for whole in references}:
            faults.append(f"stream {result.request_ids}: {result.text!r} of {count} tokens is none of {references}")
        if result.end != "done" and result.text not in {"".join(whole[:count]) for whole in references}:
            faults.append(
                f"stream {result.request_ids}: {result.text!r} is not the first {count} tokens of any of {references}"
            )
    return faults


def check_blocks(runs):
    """Returns a description of each use of a block from another workspace or weight version."""
    faults = []
    for run in runs:
        for block in run["blocks"]:
            if block["cache_salt"] != run["cache_salt"] or block["weight_version"] != run["weight_version"]:
                faults.append(f"run {run['run_id']} of {run['cache_salt']}/{run['weight_version']} used {block}")
    return faults


def check_generations(runs, blocks, contents=()):
    """Returns a description of each use of an imported block whose key and generation no store has committed."""
    committed = {(row["key"], row["generation"]) for row in blocks if row["call"] == "commit" and not row["refusal"]}
    committed |= {(row["key"], row["generation"]) for row in contents}
    faults = []
    for run in runs:
        for block in run["blocks"]:
            if block["generation"] and (block["key"], block["generation"]) not in committed:
                faults.append(f"run {run['run_id']} used {block}, which no store has committed")
    return faults


def max_concurrent_loads(records):
    """Returns the maximum number of engines that loaded weights concurrently, according to their records."""
    changes = []
    for loads in ([load for load in record["loads"]] for record in records):
        for load in loads:
            changes.append((load["begun_unix_us"], 1))
            if load["ended_unix_us"]:
                changes.append((load["ended_unix_us"], -1))
    # At equal times the end of a load is counted before the start of another one.
    loading = peak = 0
    for _, change in sorted(changes):
        loading += change
        peak = max(peak, loading)
    return peak


def check_fences(name, orders):
    """Returns a description of each order that an engine accepted after an order with a higher fencing number."""
    faults = []
    highest = 0
    for order in orders:
        if order["taken"] and order["fence"] < highest:
            faults.append(f"{name} accepted {order} after fencing number {highest}")
        highest = max(highest, order["fence"] if order["taken"] else 0)
    return faults
