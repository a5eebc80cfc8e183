"""The play of cases 1 and 3: servers send more behind a whole answer (`garble`), late, on the connection of the next request.

Three nodes, three ordinary servers, clients that send requests which may run at most once. With the disruption, two of the
three servers owe GARBLED_SHARE of their connections some bytes behind a whole answer, and send them right before the answer
to the next request on that connection.
"""
import asyncio
import collections
import random

from world import TROUBLE, World, free_port, read_body, read_head, read_request, render_head

CLIENTS = 31              # as on the site lonja-central
REQUESTS_PER_S = 45.0     # lot-ticket and sale-receipt there, at twice the usual (`burst`, x = 2)
WORK = 0.06               # seconds
SLOTS, QUEUE = 6, 24
GARBLED_SHARE = 0.03      # of the answers of a server that garbles
GARBLE_FOR, GARBLE_PAUSE, GARBLE_TIMES = 5.0, 2.0, 4
HOST, SERVICE = "lonja.example", "boleteria"


def route(name, prefix, attempts):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 300, "priority": 2, "service": SERVICE, "maxAttempts": attempts, "allowAnonymous": False,
            "sessionAffinity": False, "resumable": False}


CONFIGURATION = {"version": 7, "routes": [route("r-one", "/ticket-one/", 1), route("r-two", "/ticket-two/", 2)],
                 "services": [{"name": SERVICE, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1",
                               "tls": False}],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                            "idleTimeoutMs": 15000}}


class Server:
    """`surplus` makes the bytes that are owed from the bytes of the answer that they stand behind."""

    def __init__(self, world, number, surplus):
        self.world, self.record, self.id, self.surplus = world, world.record, f"i-{number:04d}", surplus
        self.port = free_port()
        self.random = random.Random(number)
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.garbles = False
        self.runs = collections.Counter()   # by request id
        self.entry = {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": f"z{number}", "version": "v1",
                      "slots": SLOTS, "state": "ready", "coldRemainingMs": 0, "sequence": 1}

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        await self.world.put(f"servers/{self.id}", self.entry)

    async def serve(self, reader, writer):
        owed = b""    # what this server sends too much, late
        try:
            while True:
                request = await read_request(reader)
                if owed:
                    self.record.note(self.id, f"sends what it owes behind an earlier answer, before that to {request.get('x-request-id')}")
                    writer.write(owed)
                    owed = b""
                answer = await self.answer(request)
                writer.write(answer)
                await writer.drain()
                if self.garbles and self.random.random() < GARBLED_SHARE:
                    owed = self.surplus(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        """The whole answer to a request; all of them carry its id."""
        name = request.get("x-request-id")
        echo = {"X-Request-Id": name, "X-Instance-Id": self.id, "X-Server-Load": f"{self.running},{self.waiting},{SLOTS}"}
        if request.get("x-expect-instance", self.id) != self.id:
            return render_head("HTTP/1.1 421 Misdirected Request", {**echo, "Content-Length": 0})
        if self.waiting >= QUEUE:
            return render_head("HTTP/1.1 503 Service Unavailable", {**echo, "X-Not-Executed": "1", "Content-Length": 0})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs[name] += 1
            self.record.note(self.id, f"runs {name}")
            await asyncio.sleep(WORK)
            self.running -= 1
        body = f"ticket of {name} by {self.id} ".encode().ljust(800, b".")
        return render_head("HTTP/1.1 200 OK", {**echo, "X-Response-Seal": f"seal-{name}-{self.id}",
                                               "Content-Length": len(body)}) + body


class Client:
    """Keeps a connection to one node and sends requests with an id of their own; never repeats one."""

    def __init__(self, world, number, answers):
        self.world, self.number, self.answers = world, number, answers
        self.node = world.nodes[number % len(world.nodes)]
        self.random = random.Random(1000 + number)
        self.streams = None

    async def run(self, until):
        loop, sent = asyncio.get_running_loop(), 0
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S / CLIENTS))
            sent += 1
            await self.send(f"{self.number:04x}{sent:012x}")

    async def send(self, name):
        prefix = "/ticket-one/" if int(name, 16) % 2 else "/ticket-two/"
        body = b"a lot ticket"
        self.world.record.note("client", f"sends {name} to {self.node['node']}{prefix}")
        try:
            if self.streams is None:
                host, port = self.node["listen"]["front"].split(":")
                self.streams = await asyncio.open_connection(host, int(port))
            reader, writer = self.streams
            writer.write(render_head(f"POST {prefix}2f HTTP/1.1", {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": 3000,
                                                                  "Content-Length": len(body)}) + body)
            head = await read_head(reader)
            self.answers[name] = (head.status, await read_body(reader, head))
            if head.get("connection").lower() == "close":
                writer.close()
                self.streams = None
        except (asyncio.IncompleteReadError, ConnectionError):
            self.answers[name] = (0, b"")
            self.streams = None
        status, got = self.answers[name]
        self.world.record.note("client", f"gets {status or 'a closed connection'} for {name} {got[:30].decode('latin-1')}")


async def play_tickets(keep, folder, surplus):
    """Returns how often each request ran, and the status and body that each client got."""
    world = World(folder, bounds={"budgetSlack": 52})
    keep(world)
    await world.start_store()
    await world.put("op/config", CONFIGURATION)
    servers = [Server(world, number, surplus) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    for index in range(3):
        world.start_node(index)
    for index in range(3):
        await world.await_ready(index)
    await asyncio.sleep(11.0)    # longer than contactMs, and than the window of the retry budget, in which a node spends no slack
    answers = {}
    loop = asyncio.get_running_loop()
    until = loop.time() + GARBLE_TIMES * (GARBLE_FOR + GARBLE_PAUSE)
    clients = [asyncio.create_task(Client(world, number, answers).run(until)) for number in range(CLIENTS)]
    for _ in range(GARBLE_TIMES):
        await asyncio.sleep(GARBLE_PAUSE)
        for server in servers[:2]:
            server.garbles = TROUBLE
        await asyncio.sleep(GARBLE_FOR)
        for server in servers[:2]:
            server.garbles = False
    await asyncio.gather(*clients)
    await asyncio.sleep(1.0)
    runs = sum((server.runs for server in servers), collections.Counter())
    statuses = collections.Counter(status for status, _ in answers.values())
    world.record.note("case", f"{len(answers)} requests, statuses {dict(statuses)}")
    return runs, answers
