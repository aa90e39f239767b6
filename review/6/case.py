"""A group that comes with a new fleet file and has longer to leave than those before it."""

import asyncio
import json
import os
import time

import standins
from standins import Edge, Impossible, Request, free_address, is_live, main, unix_ms

PATIENCE_MS, SLACK_MS = 8900, 100 + 50
SHORT_STOP_MS, LONG_STOP_MS = 3200, 9000
ORDINARY_SECONDS, COSTLY_SECONDS = 0.25, 7.0
ORDINARY, RATE, COSTLY = 180, 10, 2


class Engine(standins.Engine):
    def takes(self, operation, body):
        return COSTLY_SECONDS if body == b"costly" else ORDINARY_SECONDS


async def body(case):
    # The class and the times of unterfranken-main.
    case.settings["Classes"][1].update(AimUs=2200000, DeadlineUs=8900000)
    await case.stand_ins(cores=2)
    other = Engine(case.record, cores=2)
    await other.start()
    groups = {"web": group(case, "web", case.engine.address, SHORT_STOP_MS)}
    search = {"search": group(case, "search", other.address, LONG_STOP_MS)}
    write_fleet(case, groups if case.trouble else {**groups, **search})
    agent = await case.start("agent", f"'{case.fleet_file}'")
    await until_live(agent, groups["web"]["listen"])
    if case.trouble:
        write_fleet(case, {**groups, **search})
        await fleet(case, "apply")
    address = search["search"]["listen"]
    await until_live(agent, address)
    await asyncio.sleep(2)  # it is warm
    edge = await Edge(case.record).connect(address)
    requests = []
    for _ in range(ORDINARY):
        requests.append(await edge.send(Request("transcript-search", PATIENCE_MS)))
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(0.5)
    requests += [await edge.send(Request("transcript-search", PATIENCE_MS, body=b"costly")) for _ in range(COSTLY)]
    await asyncio.sleep(0.5)
    drained_at = unix_ms()
    await fleet(case, "drain", "--group", "search", "--wait")
    took = unix_ms() - drained_at
    await asyncio.wait([request.over for request in requests], timeout=(PATIENCE_MS + SLACK_MS) / 1e3)
    lost = [request for request in requests
            if not request.answered or request.answered_at > request.written_at + PATIENCE_MS + SLACK_MS]
    for request in lost:
        case.record(f"lost: {request}, written {drained_at - request.written_at:.0f} ms before the drain")
    return not lost, (
        f"{len(lost)} of {len(requests)} requests that were read before the notice had no final answer; the instance "
        f"ended {took:.0f} ms after the notice, and its stop_ms is {LONG_STOP_MS}")


def group(case, name, engine, stop_ms):
    case.listen = free_address()
    config = os.path.join(case.temporary, f"{name}.json")
    os.rename(case.write_config(engine=engine, stop_ms=stop_ms), config)
    return {"count": 1, "program": os.path.join(case.root, "target/release/merlinshelf"), "config": config,
            "listen": case.listen, "cores": 1, "memory_mb": 192, "descriptors": 1024}


def write_fleet(case, groups):
    case.fleet_file = os.path.join(case.temporary, "fleet.json5")
    folder = os.path.join(case.temporary, "fleet")
    case.agent_socket = os.path.join(folder, "agent")
    with open(case.fleet_file, "w") as file:
        json.dump({"folder": folder, "host": {"memory_mb": 4096, "cores": 8, "descriptors": 16384},
                   "groups": groups}, file)
    case.record("the fleet file has the groups " + ", ".join(groups))


async def fleet(case, *arguments):
    command = await case.command("fleet", *arguments, "--agent", case.agent_socket)
    output, _ = await command.communicate()
    case.record(f"fleet {' '.join(arguments)}: status {command.returncode}: {output.decode().strip()}")
    if command.returncode != 0:
        raise Impossible(f"fleet {arguments[0]} failed")


async def until_live(agent, address):
    until = time.time() + 20
    while not await is_live(address):
        if agent.returncode is not None or time.time() > until:
            raise Impossible("an instance does not become ready")
        await asyncio.sleep(0.2)


main(os.path.dirname(os.path.abspath(__file__)), body)
