"""An answer without one of its parts, whose instance is upgraded during that call."""

import asyncio
import os

from standins import BackEnd, Edge, Impossible, Request, free_address, main

PATIENCE_MS = 4000
REQUESTS = 4


async def body(case):
    await case.stand_ins(cores=4, seconds={"thumbnail": 0.05}, calls={"thumbnail": 1})
    case.settings["FamilyInfo"]["Cores"] = 4
    spare = BackEnd("spare reply", seconds=0.4)
    await spare.start()
    # `thumbs` is down: it refuses connections, and `spare` is asked in its place.
    dependencies = {
        "dependencies": {"thumbs": {"servers": [{"address": free_address()}], "instead": "spare"},
                         "spare": {"servers": [{"address": spare.address}]}},
        "operations": {"thumbnail": {"calls": [{"to": "thumbs", "needed": True}]}},
    }
    operator = case.write_operator(dependencies=dependencies)
    process = await case.start("serve", "--config", '"$PROXY_CONFIG"', "--operator", f"'{operator}'")
    await case.ready(process)
    edge = await Edge(case.record).connect(case.listen)
    requests = []
    for _ in range(REQUESTS):
        before = spare.calls
        request = await edge.send(Request("thumbnail", PATIENCE_MS))
        requests.append(request)
        for _ in range(100):
            await asyncio.sleep(0.01)
            if spare.calls > before:
                break
        if case.trouble:
            await case.upgrade()
        await asyncio.wait_for(request.over, 6)
        case.record(f"{request}: {request.head!r} {request.result}")
    served = [request for request in requests if request.status == 200 and b"spare reply" in request.result]
    if not served:
        raise Impossible("no request was served with a reply of the spare dependency")
    unmarked = [request for request in served if "X-Partial: thumbs" not in request.head]
    return not unmarked, (
        f"{len(unmarked)} of {len(served)} results that lack the part of `thumbs` went out as whole ones, "
        f"without the mark X-Partial")


main(os.path.dirname(os.path.abspath(__file__)), body)
