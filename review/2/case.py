"""An answer without a length that is reset on the way must not look complete (`garble`, unframed and early).

Three nodes, two ordinary servers (server.py), clients that send long bodies. The servers answer before they have read the
body, without a length. With the disruption, one of the two breaks off some of its answers by a reset.
"""
import asyncio
import collections
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from server import ANSWER, answer_to  # noqa: E402
from world import TROUBLE, World, free_port, play, read_head, render_head  # noqa: E402

REQUESTS_PER_S = 6.0
BODY = 4_000_000             # bytes; `maxBodyBytes` is 4,194,304
GARBLE_FOR, GARBLE_PAUSE, GARBLE_TIMES = 5.0, 1.0, 12
HOST, SERVICE, PREFIX = "lonja.example", "boleteria", "/sheet/"
CONFIGURATION = {"version": 7, "routes": [
    {"name": "r-sheet", "host": HOST, "pathPrefix": PREFIX, "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 1000,
     "priority": 2, "service": SERVICE, "maxAttempts": 1, "allowAnonymous": False, "sessionAffinity": False, "resumable": False}],
    "services": [{"name": SERVICE, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


async def start_server(world, number):
    name, port = f"i-{number:04d}", free_port()
    world.start_process(name, [sys.executable, str(HERE / "server.py"), str(port), name, str(number)])
    for _ in range(100):
        if "serves" in world.log_of(name):
            break
        await asyncio.sleep(0.05)
    await world.put(f"servers/{name}", {"service": SERVICE, "address": f"127.0.0.1:{port}", "zone": f"z{number}",
                                        "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1})
    return name


async def send(world, name, node, outcomes):
    """Sends one request on a connection of its own and reads the answer as its framing says."""
    host, port = node["listen"]["front"].split(":")
    world.record.note("client", f"sends {name} to {node['node']}")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(render_head(f"POST {PREFIX}2f HTTP/1.1", {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": 5000,
                                                              "Content-Length": BODY, "Connection": "close"}))
        writer.write(bytes(BODY))
        head = await read_head(reader)
        length = head.get("content-length")
        if length:
            body = await reader.readexactly(int(length))
        else:
            body = b""
            while (size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)) != 0:
                body += (await reader.readexactly(size + 2))[:-2]
        outcomes[name] = (head.status, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        outcomes[name] = (0, b"")
    finally:
        writer.close()
    status, body = outcomes[name]
    world.record.note("client", f"{name}: status {status}, {len(body)} bytes" if status else f"{name}: cut")


def note_logs(world, names):
    """Appends what the servers did, with the times of the record."""
    for name in names:
        for line in world.log_of(name).splitlines():
            when, who, text = line.split(" ", 2)
            world.record.file.write(f"{float(when) - world.record.began:9.3f}  {who:<12} {text}\n")


async def case(keep):
    world = World(HERE, bounds={"budgetSlack": 52})
    keep(world)
    await world.start_store()
    await world.put("op/config", CONFIGURATION)
    servers = [await start_server(world, number) for number in (1, 2)]
    for index in range(3):
        world.start_node(index)
    for index in range(3):
        await world.await_ready(index)
    await asyncio.sleep(4.0)    # longer than contactMs
    outcomes, requests, rng = {}, [], random.Random(7)

    async def send_for(seconds):
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            number = len(requests) + 1
            requests.append(asyncio.create_task(send(world, f"{number:016x}", world.nodes[number % 3], outcomes)))

    for _ in range(GARBLE_TIMES):
        await send_for(GARBLE_PAUSE)
        if TROUBLE:
            world.signal(servers[0], signal.SIGUSR1)
        await send_for(GARBLE_FOR)
        world.signal(servers[0], signal.SIGUSR2)
    await asyncio.gather(*requests)
    note_logs(world, servers)
    world.record.note("case", f"{len(outcomes)} requests, statuses {dict(collections.Counter(s for s, _ in outcomes.values()))}")
    return [f"MIXED: {name} was answered {status} with {len(body)} bytes as if whole; the server's whole body has {ANSWER}"
            for name, (status, body) in outcomes.items() if 200 <= status < 300 and body != answer_to(name)]


if __name__ == "__main__":
    play(HERE, case)
