"""A model server's streams, as a process of its own, so that it can end.

usage: stream_server.py ADDRESS ID PIECES PAUSE_MS

A stream has PIECES events, PAUSE_MS apart, and neither a length nor chunks: it
ends with its connection. It begins behind Last-Event-Id. Ends at SIGTERM, as a server does that leaves.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from world import answer_of, answer_fields, head_of, serve  # noqa: E402


async def main(address, identity, pieces, pause):
    async def handle(request, writer):
        if request.target == "/healthz":
            return answer_of(200, [("X-Instance-Id", identity)])
        if request.get("x-expect-instance", identity) != identity:
            return answer_of(421, [("X-Instance-Id", identity)])
        name = request.get("x-request-id")
        print("run", name, flush=True)
        writer.write(head_of(200, answer_fields(request) +
                             [("Content-Type", "text/event-stream"),
                              ("Connection", "close")]))
        first = int(request.get("last-event-id") or 0) + 1
        for piece in range(first, pieces + 1):
            writer.write(b"id: %d\ndata: piece %d\n\n" % (piece, piece))
            await writer.drain()
            if piece < pieces:
                await asyncio.sleep(pause)
        print("whole", name, flush=True)
        return None

    await serve(address, handle)
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]),
                     int(sys.argv[4]) / 1e3))
