"""A server fails part of its requests, after it has run them, with 503."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import world as w  # noqa: E402

# Without it the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "register.example"
SERVERS, REQUESTERS, REQUESTS = 7, 42, 1000
WORK_S = 0.06
GREY_SHARE = 0.4  # x of srv_grey
CONFIG = {
    "version": 3,
    "routes": [{"name": "raise", "host": HOST, "prefix": "/raise/",
                "service": "register-app", "type": "non_idempotent",
                "timeout-ms": 3000, "goal-ms": 300, "priority": 0,
                "attempts": 1, "public": True, "sticky": False,
                "resumable": False}],
    "services": [{"name": "register-app", "health-path": "/healthz",
                  "max-conns": 100, "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [],
}


async def case(world):
    await world.store.put("op/config", CONFIG)
    chance = random.Random(63)
    ran = {}

    def server(identity, is_grey):
        async def handle(request, writer):
            if request.target == "/healthz":
                return w.answer_of(200, [("X-Instance-Id", identity)])
            if request.get("x-expect-instance", identity) != identity:
                return w.answer_of(421, [("X-Instance-Id", identity)])
            name = request.get("x-request-id")
            ran[name] = request.target
            await asyncio.sleep(WORK_S)
            failed = is_grey and chance.random() < GREY_SHARE
            status = 503 if failed else 200
            world.record("server %s: %s for %s has run, answers %d" %
                         (identity, name, request.target, status))
            return w.answer_of(status, w.answer_fields(request), b"raised")

        return handle

    for number in range(1, SERVERS + 1):
        address = world.address(100 + number)
        await w.serve(address, server("i-%d" % number,
                                      TROUBLE and number == 1))
        await w.register(world.store, "i-%d" % number, "register-app",
                         address)
    host = w.Gateway(world, 1)
    host.start()
    await host.until_ready()

    async def ask(number, attempt):
        connection = await w.Connection.open(host.front)
        name = "%012x%04x" % (number, attempt)
        answer = await connection.ask(
            "POST", "/raise/walker-%d" % number,
            [("Host", HOST), ("X-Request-Id", name),
             ("X-Deadline-Ms", "3000")], b"overdue")
        connection.close()
        world.record("request %s: %s, Retry-After %s" % (
            name, answer.status if answer else "no answer",
            answer.get("retry-after") if answer else None))
        return name, answer

    refused = []

    async def requester(numbers):
        for number in numbers:
            name, answer = await ask(number, 0)
            if answer is None or answer.status not in (408, 421, 429, 503):
                continue
            if name in ran:
                refused.append((name, answer.status))
            # The status promises that the request hasn't run, so that the
            # requester tries once more.
            await ask(number, 1)

    await asyncio.gather(*[requester(range(first, REQUESTS, REQUESTERS))
                           for first in range(REQUESTERS)])
    targets = list(ran.values())
    twice = [t for t in set(targets) if targets.count(t) > 1]
    world.record("raised twice: %s" % ", ".join(sorted(twice)))
    return ["request %s was answered %d and has run" % entry
            for entry in refused]


w.run(FOLDER, case, TROUBLE)
