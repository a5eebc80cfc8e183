"""An answer without a length that is reset on the way must not look complete (`garble`, unframed and early).

Three nodes, two ordinary servers, clients that send long bodies. The servers answer before they have read the body, without
a length, and end the answer by closing their side of the connection; they read on later. With the disruption, one of the
two breaks off GARBLED_SHARE of its answers by a reset.
"""
import asyncio
import collections
import pathlib
import random
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from world import TROUBLE, World, free_port, play, read_head, render_head  # noqa: E402

REQUESTS_PER_S = 12.0
BODY = 4_000_000             # bytes; `maxBodyBytes` is 4,194,304
ANSWER, BROKEN_OFF = 90_000, 60_000   # bytes of a whole answer, and of one that is broken off
GARBLED_SHARE = 0.05
GARBLE_FOR, GARBLE_PAUSE, GARBLE_TIMES = 5.0, 2.0, 6
HOST, SERVICE, PREFIX = "lonja.example", "boleteria", "/sheet/"
CONFIGURATION = {"version": 7, "routes": [
    {"name": "r-sheet", "host": HOST, "pathPrefix": PREFIX, "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 1000,
     "priority": 2, "service": SERVICE, "maxAttempts": 1, "allowAnonymous": False, "sessionAffinity": False, "resumable": False}],
    "services": [{"name": SERVICE, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def answer_to(name):
    return (f"sheet {name} " * (ANSWER // (len(name) + 7) + 1)).encode()[:ANSWER]


class Server:
    def __init__(self, world, number):
        self.world, self.record, self.id = world, world.record, f"i-{number:04d}"
        self.port = free_port()
        self.random = random.Random(number)
        self.garbles = False
        self.running = 0
        self.entry = {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": f"z{number}", "version": "v1",
                      "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1}

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        await self.world.put(f"servers/{self.id}", self.entry)

    async def serve(self, reader, writer):
        try:
            request = await read_head(reader)
            name, self.running = request.get("x-request-id"), self.running + 1
            writer.write(render_head("HTTP/1.1 200 OK", {
                "X-Request-Id": name, "X-Instance-Id": self.id, "X-Server-Load": f"{self.running},0,6",
                "X-Response-Seal": f"seal-{name}-{self.id}", "Connection": "close"}))
            if self.garbles and self.random.random() < GARBLED_SHARE:
                self.record.note(self.id, f"breaks off its answer to {name} after {BROKEN_OFF} of {ANSWER} bytes by a reset")
                writer.write(answer_to(name)[:BROKEN_OFF])
                await writer.drain()
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return
            writer.write(answer_to(name))
            await writer.drain()
            writer.write_eof()
            self.record.note(self.id, f"has answered {name} whole")
            while await reader.read(1 << 18):   # reads on later
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.running -= 1
            writer.close()


async def send(world, name, node, outcomes):
    """Sends one request on a connection of its own and judges the answer."""
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


async def case(keep):
    world = World(HERE, bounds={"budgetSlack": 52})
    keep(world)
    await world.start_store()
    await world.put("op/config", CONFIGURATION)
    servers = [Server(world, number) for number in (1, 2)]
    for server in servers:
        await server.start()
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
        servers[0].garbles = TROUBLE
        await send_for(GARBLE_FOR)
        servers[0].garbles = False
    await asyncio.gather(*requests)
    world.record.note("case", f"{len(outcomes)} requests, statuses {dict(collections.Counter(s for s, _ in outcomes.values()))}")
    return [f"MIXED: {name} was answered {status} with {len(body)} bytes as if whole; the server's whole body has {ANSWER}"
            for name, (status, body) in outcomes.items() if 200 <= status < 300 and body != answer_to(name)]


if __name__ == "__main__":
    play(HERE, case)
