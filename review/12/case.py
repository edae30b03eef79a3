"""Answers of killed servers are passed on as whole ones; see claim.txt."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import server as s  # noqa: E402
import world as w  # noqa: E402

ROUNDS = 8


class Process(w.Server):
    """A server in a process of its own."""

    def __init__(self, world, zone):
        super().__init__(world, "kafi81c", zone, 6)
        self.lines = []

    async def start(self):
        path = os.path.join(os.path.dirname(os.path.abspath(s.__file__)), "server.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, path, self.address, self.id, stdout=asyncio.subprocess.PIPE)
        await self.process.stdout.readline()
        self.reading = asyncio.create_task(self.read())
        self.register()

    async def read(self):
        while line := await self.process.stdout.readline():
            self.lines.append(line.decode().strip())
            self.world.record.add(f"{self.id} {self.lines[-1]}")

    def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


async def one_round(world, number, servers):
    rid = w.request_id()
    asking = asyncio.create_task(w.get(
        world.gateways[number % len(world.gateways)].front, f"/bogo153/{number}",
        [("Host", "nylo40.example"), ("X-Request-Id", rid), ("X-Deadline-Ms", "3000"),
         ("Authorization", f"Token {world.key}"), ("Connection", "close")]))
    while not (running := [x for x in servers if f"runs {rid}" in x.lines]):
        await asyncio.sleep(0.002)
        if asking.done():
            break
    await asyncio.sleep(random.uniform(0.1, 0.25))
    if world.trouble() and running:
        world.record.add(f"{running[0].id} is killed while it answers {rid}")
        running[0].kill()
    status, fields, body = await asking
    whole = b"".join(s.body_of(rid))
    world.record.add(f"request {rid}: {status}, stamp {w.field_of(fields, 'X-Server-Stamp')}, "
                     f"{'cut' if body is None else len(body)} of {len(whole)} bytes")
    return status // 100 == 2 and body is not None and body != whole


async def case(world):
    await world.start(gateways=3, models=3, plain=0)
    servers = []
    try:
        for zone in world.zones:
            servers.append(Process(world, zone))
            await servers[-1].start()
        world.servers.extend(servers)
        await world.until_ready()
        await asyncio.sleep(4.0)
        broken = 0
        for number in range(ROUNDS):
            broken += await one_round(world, number, servers)
            for dead in [x for x in servers if x.process.returncode is not None]:
                servers.remove(dead)
                world.servers.remove(dead)
                servers.append(Process(world, dead.zone))
                await servers[-1].start()
                world.servers.append(servers[-1])
                asyncio.get_running_loop().call_later(
                    3.6, world.store.remove, f"servers/{dead.id}")
            await asyncio.sleep(1.0)
        if not world.alive():
            raise RuntimeError("a process of the system has ended")
        result = f"successes with a body that isn't whole: {broken} of {ROUNDS} requests"
        world.record.add(result)
        print(result)
        return 1 if broken else 0
    finally:
        for server in servers:
            server.kill()


sys.exit(w.run(case))
