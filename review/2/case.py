"""A server crashes while it answers; its answer has no length and began before it had read the whole body."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import world as lib  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_BYTES = 3_000_000
TIMEOUT_MS = 10000
PARTS = 400


def body(world):
    routes = [
        {
            "name": "r-upload",
            "host": lib.HOST,
            "prefix": "/boye613/",
            "type": "non_idempotent",
            "timeout-ms": TIMEOUT_MS,
            "goal-ms": 1000,
            "priority": 2,
            "service": "kafi81c",
            "attempts": 1,
            "public": False,
        }
    ]
    services = [{"name": "kafi81c", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False}]
    world.configure(routes, services)
    for name in ("i-1", "i-2", "i-3", "i-4"):
        # Segments and a window of an ordinary network: those of loopback hold nearly four megabytes.
        world.start_server(
            name, "kafi81c", "bunya", kind="summary", first_bytes=8192, pause_s=1.0, parts=PARTS,
            receive_buffer=16384, segment=1448,
        )
    gateway = world.start_gateway("front-bunya-1", "bunya", ["bunya"])
    world.wait_until_ready(gateway)
    request = "9c41d07be2a35f68"
    with socket.create_connection(gateway["front"], timeout=5) as requester:
        fields = {"X-Deadline-Ms": str(TIMEOUT_MS), "Content-Type": "text/plain"}
        requester.sendall(lib.request_head("POST", "/boye613/2f", request, fields, BODY_BYTES))
        requester.sendall(b"y" * BODY_BYTES)
        world.note(f"the requester has sent {request} with {BODY_BYTES} bytes of body")
        if TROUBLE:
            end = time.monotonic() + 5
            while not (begun := [name for name, line in world.runs() if "bytes of its answer are sent" in line]):
                if time.monotonic() > end:
                    raise lib.CannotRun("the server's answer hasn't begun")
                time.sleep(0.01)
            time.sleep(0.3)
            world.servers[begun[0]]["process"].send_signal(signal.SIGKILL)
            world.note(f"server {begun[0]} is killed")
        answer = lib.read_answer(requester, 12)
    whole = b"".join(f"part {number} of the answer to {request}\n".encode() for number in range(PARTS))
    world.note(f"the requester gets: {answer}")
    world.note(f"the server's whole body has {len(whole)} bytes; the requester has {len(answer.body)} of them")
    if not TROUBLE and (answer.status != 200 or answer.body != whole):
        raise lib.CannotRun("without the disruption the answer isn't whole either")
    # MIXED: a success with a body that isn't the server's whole body, which looks complete.
    return answer.status // 100 == 2 and answer.complete and answer.body != whole


lib.run_case(FOLDER, body)
