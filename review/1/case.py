"""Three callers send the same prompt while the servers' memory is full, and one of the servers crashes."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import world as lib  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 15000
MEMORY_TOKENS = 10000
SERVERS = ("i-1", "i-2", "i-3", "i-4")
PROMPT = (b"Summarise last night's register. " * 200)[:6000]
FIELDS = {
    "X-Model": lib.MODEL,
    "X-Token-Count": "6000,100",
    "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:4200,e4402b7d:1000",
    "X-Deadline-Ms": str(TIMEOUT_MS),
}


def ask(world, gateway, request, prompt, fields):
    with socket.create_connection(gateway["front"], timeout=5) as requester:
        requester.sendall(lib.request_head("POST", "/kafi500/2f", request, fields, len(prompt)) + prompt)
        world.note(f"a requester has sent {request}")
        answer = lib.read_answer(requester, TIMEOUT_MS / 1000)
        world.note(f"the requester of {request} gets: {answer}")


def server_of(world, request):
    """Returns the server at which a request has arrived."""
    end = time.monotonic() + 3
    while time.monotonic() < end:
        for name, line in world.runs():
            if line.endswith(f"{request} arrives"):
                return name
        time.sleep(0.01)
    raise lib.CannotRun(f"{request} hasn't arrived at a server")


def body(world):
    routes = [
        {
            "name": "r-digest",
            "host": lib.HOST,
            "prefix": "/kafi500/",
            "type": "stream",
            "timeout-ms": TIMEOUT_MS,
            "goal-ms": 800,
            "priority": 1,
            "service": "huvo11a",
            "attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gap-target-ms": 400,
        }
    ]
    engine = {
        "batch-size": 64,
        "kv-capacity": MEMORY_TOKENS,
        "kv-token-bytes": 163840,
        "net-mbps": 550000.0,
        "max-inflight": 12,
        "models": [{"name": lib.MODEL}],
    }
    world.configure(
        routes,
        [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False, "backend": engine}],
    )
    for name in SERVERS:
        world.start_server(
            name, "huvo11a", "bunya", kind="engine", slots=64, memory=MEMORY_TOKENS, prefill_per_ms=6.0, token_ms=50, events=8
        )
    gateway = world.start_gateway("front-bunya-1", "bunya", ["bunya"])
    world.wait_until_ready(gateway)
    threads = []

    def send(request, prompt=PROMPT, fields=None):
        thread = threading.Thread(target=ask, args=(world, gateway, request, prompt, fields or FIELDS))
        thread.start()
        threads.append(thread)

    # Two other prompts take a server each until 1.4 s from here.
    for number in (1, 2):
        request = f"00000000000000f{number}"
        parts = f"5c1e07a2:800,77aa0c1{number}:4200,0d0d2e2{number}:1000"
        send(request, b"Another prompt. " * 300, {**FIELDS, "X-Prompt-Prefix": parts})
        server_of(world, request)
    time.sleep(0.5)
    send("00000000000000a1")
    first = server_of(world, "00000000000000a1")
    send("00000000000000a2")
    server_of(world, "00000000000000a2")
    # All memory is in use, so this one waits at the gateway.
    send("00000000000000a3")
    time.sleep(0.6)
    if TROUBLE:
        world.servers[first]["process"].send_signal(signal.SIGKILL)
        world.note(f"server {first} is killed")
    for thread in threads:
        thread.join()
    began = {}
    for name, line in world.runs():
        if "RUNS" in line:
            began.setdefault(line.split(" s  ")[1].split(" ")[0], []).append(name)
    for request, names in sorted(began.items()):
        world.note(f"{request} ran {len(names)} times, at {', '.join(names)}")
    # TWICE: a request that isn't idempotent runs more than once.
    return any(len(names) > 1 for names in began.values())


lib.run_case(FOLDER, body)
