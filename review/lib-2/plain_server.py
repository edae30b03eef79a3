"""A server of a plain service, as a process of its own, so that a case can
end it by a signal.

usage: plain_server.py ADDRESS ID PAUSE_MS

Answers requests with 800 bytes in two parts, PAUSE_MS apart. An answer has no
length and ends with its connection. Prints a line when a request begins to run
and one when the first part has been sent.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from world import answer_of, answer_fields, head_of, serve  # noqa: E402


def body_of(request_id):
    """The server's whole body for a request."""
    line = "entry for %s\n" % request_id
    return (line * (800 // len(line) + 1)).encode()[:800]


async def main(address, identity, pause):
    async def handle(request, writer):
        if request.target == "/healthz":
            return answer_of(200, [("X-Instance-Id", identity)])
        if request.get("x-expect-instance", identity) != identity:
            return answer_of(421, [("X-Instance-Id", identity)])
        name = request.get("x-request-id")
        print("run", name, flush=True)
        body = body_of(name)
        writer.write(head_of(200, answer_fields(request) +
                             [("Content-Type", "text/plain"),
                              ("Connection", "close")]) + body[:400])
        await writer.drain()
        print("half", name, flush=True)
        await asyncio.sleep(pause)
        writer.write(body[400:])
        await writer.drain()
        print("whole", name, flush=True)
        return None

    await serve(address, handle)
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]) / 1e3))
