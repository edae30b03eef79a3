"""A machine gets SIGTERM while requests wait in it until a server has memory for them."""

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
GOAL_MS = 2000
MEMORY_TOKENS = 10000
PROMPT = b"Summarise last night's register. " * 180
SERVERS = ("i-1", "i-2", "i-3", "i-4")
GRACE_S = 8.0
LOSS_SLACK_S = 0.2


def ask(world, gateway, request, unanswered):
    fields = {
        "X-Model": lib.MODEL,
        "X-Token-Count": "6000,100",
        "X-Prompt-Prefix": f"5c1e07a2:800,{request[-8:]}:5200",
        "X-Deadline-Ms": str(TIMEOUT_MS),
    }
    with socket.create_connection(gateway["front"], timeout=5) as requester:
        requester.sendall(lib.request_head("POST", "/kafi500/2f", request, fields, len(PROMPT)) + PROMPT)
        sent = time.monotonic()
        world.note(f"a requester has sent {request}")
        answer = lib.read_answer(requester, TIMEOUT_MS / 1000)
        took = time.monotonic() - sent
        world.note(f"the requester of {request} gets, after {took:.1f} s: {answer}")
        if answer.status == 0 and answer.ended.startswith("connection") and took > LOSS_SLACK_S:
            unanswered[request] = time.monotonic()


def body(world):
    route = {
        "name": "r-digest",
        "host": lib.HOST,
        "prefix": "/kafi500/",
        "type": "stream",
        "timeout-ms": TIMEOUT_MS,
        "goal-ms": GOAL_MS,
        "priority": 1,
        "service": "huvo11a",
        "attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap-target-ms": 400,
    }
    engine = {
        "batch-size": 64,
        "kv-capacity": MEMORY_TOKENS,
        "kv-token-bytes": 163840,
        "net-mbps": 550000.0,
        "max-inflight": 12,
        "models": [{"name": lib.MODEL}],
    }
    service = {"name": "huvo11a", "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False}
    world.configure([route], [{**service, "backend": engine}])
    for name in SERVERS:
        # A run takes ten seconds: one to read the prompt, nine for 45 tokens.
        world.start_server(
            name, "huvo11a", "bunya", kind="engine", slots=64, memory=MEMORY_TOKENS, prefill_per_ms=6.0, token_ms=200, events=45
        )
    gateway = world.start_gateway("front-bunya-1", "bunya", ["bunya"])
    world.wait_until_ready(gateway)
    unanswered = {}
    threads = []

    def send(request):
        threads.append(threading.Thread(target=ask, args=(world, gateway, request, unanswered)))
        threads[-1].start()

    # These take the memory of all servers.
    for number in range(len(SERVERS)):
        send(f"00000000000000f{number}")
        time.sleep(0.05)
    time.sleep(0.3)
    stopped = time.monotonic()
    if TROUBLE:
        gateway["process"].send_signal(signal.SIGTERM)
        world.note(f"{gateway['name']} gets SIGTERM")
    # Requesters that still hold the machine's address (three times ttl-s of 0.9 s).
    for number in range(5):
        time.sleep(0.5)
        send(f"00000000000000a{number}")
    for thread in threads:
        thread.join()
    arrived = " ".join(line for _, line in world.runs())
    lost = [
        request
        for request, at in unanswered.items()
        if request not in arrived and at - stopped < GRACE_S + 1.0
    ]
    world.note(f"{len(lost)} requests were read, never passed on to a server, and got no answer: {sorted(lost)}")
    # LOST: around a SIGTERM the connection ends without an answer later than loss-slack-ms after the request.
    return bool(lost)


lib.run_case(FOLDER, body)
