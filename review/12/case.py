"""Model servers that start again stop the rollout of weights; see claim.txt."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import world as w  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# srv_crash: the site's days have three rounds on a day, share 0.3 of the 12
# servers each; without for_s it lasts 5 s.
ROUNDS = 3
ROUND_S = 4.0
CRASHED = 3
DOWN_S = 2.0
VERSION_S = 6.0


async def case(world):
    await world.start(gateways=4, models=12)
    models = sorted((s for s in world.servers if isinstance(s, w.ModelServer)),
                    key=lambda s: s.id)
    await world.until_ready()
    await asyncio.sleep(6.0)
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
    for number in range(ROUNDS):
        crashed = random.sample(models, CRASHED) if TROUBLE else []
        for server in crashed:
            await server.crash()
        await asyncio.sleep(0.2)
        world.name_version(number + 2)
        await asyncio.sleep(DOWN_S - 0.2)
        for server in crashed:
            await server.restart()
        await asyncio.sleep(ROUND_S - DOWN_S)
    last = w.now()
    world.name_version(ROUNDS + 2)
    await asyncio.sleep(5 * VERSION_S)
    asking.cancel()
    if not world.alive():
        raise RuntimeError("a process has ended")
    old = [s for s in models if s.version < world.named]
    before = [s for t, s in answers if t < named]
    after = [s for t, s in answers if t > last + VERSION_S]
    result = (f"{len(old)} of {len(models)} servers have no version {world.named} "
              f"{5 * VERSION_S:.0f} s after it was named; streams served before: "
              f"{before.count(200)} of {len(before)}, from version-ms on: "
              f"{after.count(200)} of {len(after)}")
    world.record.add(result)
    print(result)
    # VERSION: more than one server and over a tenth of them.
    return 1 if len(old) > 1 and len(old) > len(models) / 10 else 0


sys.exit(w.run(case))
