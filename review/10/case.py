"""A new version of the configuration allows larger bodies."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import world as w  # noqa: E402

# Without it the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "register.example"
APPLY_S = 2.0
SMALL, LARGE = 16384, 262144
CONNECTIONS = 24


def config(version, body_bytes):
    return {
        "version": version,
        "routes": [{"name": "raise", "host": HOST, "prefix": "/raise/",
                    "service": "register-app", "type": "non_idempotent",
                    "timeout-ms": 5000, "goal-ms": 500, "priority": 0,
                    "attempts": 1, "public": True, "sticky": False,
                    "resumable": False}],
        "services": [{"name": "register-app", "health-path": "/healthz",
                      "max-conns": 100, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": body_bytes,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [],
    }


async def case(world):
    # Without the trouble, the limit is the higher one from the start.
    await world.store.put("op/config",
                          config(3, SMALL if TROUBLE else LARGE))
    ran = set()

    async def handle(request, writer):
        if request.target == "/healthz":
            return w.answer_of(200, [("X-Instance-Id", "i-1")])
        ran.add(request.get("x-request-id"))
        return w.answer_of(200, w.answer_fields(request), b"raised")

    address = world.address(101)
    await w.serve(address, handle)
    await w.register(world.store, "i-1", "register-app", address)
    host = w.Gateway(world, 1)
    host.start()
    await host.until_ready()

    async def ask(connection, number, size):
        name = "%016x" % (0xC000 + number)
        answer = await connection.ask(
            "POST", "/raise/%d" % number,
            [("Host", HOST), ("X-Request-Id", name),
             ("X-Deadline-Ms", "5000")], b"x" * size)
        world.record("request %s, %d bytes: %s, %s" % (
            name, size, answer.status if answer else "no answer",
            "ran" if name in ran else "not run"))
        return answer

    kept = []
    for number in range(CONNECTIONS):
        kept.append(await w.Connection.open(host.front))
        await ask(kept[-1], number, 600)
    await world.store.put("op/config", config(8, LARGE))
    world.record("configuration 8 acknowledged: max-body-bytes %d" % LARGE)
    await asyncio.sleep(APPLY_S + 1.0)
    # One on a new connection shows that the configuration is in force.
    fresh = await w.Connection.open(host.front)
    answer = await ask(fresh, 900, 3 * SMALL)
    if answer is None or answer.status != 200:
        raise w.CannotRun("the new limit isn't in force on new connections")
    denied = []
    for number, connection in enumerate(kept):
        answer = await ask(connection, 100 + number, 3 * SMALL)
        if answer is not None and 300 <= answer.status < 500 and \
                answer.status not in (408, 421, 429) and \
                answer.get("x-server-stamp") is None:
            denied.append(answer.status)
    sent = 2 * CONNECTIONS + 1
    if len(denied) > 5 + sent / 500:
        return ["%d of %d proper requests were ended with %s, %.1f s after "
                "the ack of the version that allows them" %
                (len(denied), sent, sorted(set(denied)), APPLY_S + 1.0)]
    return []


w.run(FOLDER, case, TROUBLE)
