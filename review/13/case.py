"""Entries of another writer stop the rollout of weights; see claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import world as w  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 3
VERSION_S = 6.0


def write_entries(world):
    """Entries of a service that the configuration doesn't name."""
    for number in range(ENTRIES):
        address = f"{world.network.address()}:8300"
        entry = {
            "service": "elsewhere", "address": address, "zone": world.zones[0],
            "version": "1", "batch-size": 64, "state": "ready", "warmup-ms": 0,
            "sequence": 1, "born": 1700000000000, "phase": "both",
            "models": [{"name": world.model, "version": 1, "adapters": []}],
        }
        world.store.put(f"servers/a-other-{number}", entry)
        world.record.add(f"another writer: servers/a-other-{number}, service elsewhere")


async def case(world):
    await world.start(gateways=4, models=12)
    await world.until_ready()
    await asyncio.sleep(6.0)
    if TROUBLE:
        write_entries(world)
    answers = []

    async def ask():
        while True:
            gateway = world.gateways[len(answers) % len(world.gateways)]
            status, body = await w.ask_stream(world, gateway)
            answers.append((w.now(), status if body else None))
            await asyncio.sleep(0.05)

    asking = asyncio.create_task(ask())
    await asyncio.sleep(4.0)
    named = w.now()
    world.name_version(2)
    await asyncio.sleep(5 * VERSION_S)
    asking.cancel()
    if not world.alive():
        raise RuntimeError("a process has ended")
    models = [s for s in world.servers if isinstance(s, w.ModelServer)]
    old = [s for s in models if s.version < 2]
    before = [s for t, s in answers if t < named]
    after = [s for t, s in answers if t > named + VERSION_S]
    result = (f"{len(old)} of {len(models)} servers still have version 1 "
              f"{5 * VERSION_S:.0f} s after version 2; streams served before: "
              f"{before.count(200)} of {len(before)}, from version-ms on: "
              f"{after.count(200)} of {len(after)}")
    world.record.add(result)
    print(result)
    # VERSION: more than one server and over a tenth of them.
    return 1 if len(old) > 1 and len(old) > len(models) / 10 else 0


sys.exit(w.run(case))
