"""A slow request on a connection of an edge node, and what becomes of the others on it."""

import asyncio
import os
import time

from standins import Edge, Request, fcgi_record, main, unix_ms

SECONDS = 20
PATIENCE_MS = 5000
SLACK_MS = 80 + 50
PIECES, PIECE_SECONDS = 10, 0.25


async def body(case):
    case.settings["FamilyInfo"]["Cores"] = 6
    await case.stand_ins(cores=6, seconds={"transcript-search": 0.35})
    process = await case.start()
    await case.ready(process)
    requests, slow = [], []
    edge = await Edge(case.record).connect(case.listen)
    started = time.time()
    next_slow = started + 2
    while time.time() < started + SECONDS:
        if not edge.is_open:
            edge = await Edge(case.record).connect(case.listen)
        if time.time() >= next_slow:
            next_slow += 5
            request = Request("transcript-search", PATIENCE_MS, body=b"p" * 200)
            slow.append(asyncio.ensure_future(write_slowly(case, edge, request)))
        requests.append(await edge.send(Request("transcript-search", PATIENCE_MS)))
        requests[-1].connection = edge
        await asyncio.sleep(0.1)
    await asyncio.gather(*slow)
    await asyncio.sleep((PATIENCE_MS + SLACK_MS) / 1e3)
    lost = [request for request in requests if is_lost(request)]
    for request in lost:
        case.record(f"lost: {request}, written {request.written_at - requests[0].written_at:.0f} ms after the first")
    return 1000 * len(lost) < 3 * len(requests), (
        f"{len(lost)} of {len(requests)} requests that were written whole and at once had no final answer")


async def write_slowly(case, edge, request):
    """The edge node passes on what the client behind it writes, piece by piece."""
    id = edge.begin(request)
    head, _ = request.bytes(id, unix_ms())
    pause = PIECE_SECONDS if case.trouble else 0
    case.record(f"edge: begins {request.call_id} as {id}, in {PIECES} records of its body, {pause} s apart")
    try:
        await edge.write(head)
        size = -(-len(request.body) // PIECES)
        pieces = [request.body[at:at + size] for at in range(0, len(request.body), size)]
        for piece in [*pieces, b""]:
            await asyncio.sleep(pause)
            if request.end is not None:
                return  # answered before it was written: nothing more is owed
            await edge.write(fcgi_record(5, id, piece))
    except ConnectionError:
        pass


def is_lost(request):
    if request.answered:
        return request.answered_at > request.written_at + PATIENCE_MS + SLACK_MS
    ended_at = request.connection.ended_at
    # What crosses the end of a connection within 50 ms is sent once more, and is not counted.
    return ended_at is None or request.written_at < ended_at - 50


main(os.path.dirname(os.path.abspath(__file__)), body)
