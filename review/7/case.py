"""TWICE: a stream goes on at its backup engine while the engine before still works on it.

Two gateways, four engines. For 4 s, two of the engines (share 0.5) lose the answer of one stream in 20 (x 0.05) that they
run: the connection is reset behind an event, and the engine goes on with the run, as an engine may that does not drop a
request when its connection closes."""
import asyncio
import collections
import pathlib
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "shared-2"))
from deployment import TROUBLE, Deployment, Record, free_ports, read_message, run_case  # noqa: E402

EVENTS = 30            # of each stream
EVENT_GAP = 0.08       # seconds between events: a stream lasts 2.4 s
EVENTS_BEFORE_RESET = 10
LOST_EVERY = 20        # one answer in so many is lost: x = 0.05
FAULT_BEGINS, FAULT_LASTS = 6.0, 4.0
STREAMS_END = 12.0
STREAM_GAP = 0.1       # seconds between requests
STILL_WORKING = 0.4    # seconds, of the rule
COPY_EVERY = 0.2

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r", "host": "case.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 6000,
                "targetLatencyMs": 500, "priority": 0, "service": "llm", "maxAttempts": 1, "sessionAffinity": True,
                "resumable": False, "targetGapMs": 400}],
    "services": [{"name": "llm", "healthCheckPath": "/healthz", "maxConnections": 300, "protocol": "h1", "tls": False,
                  "engine": {"slots": 48, "kvCapacityTokens": 305000, "kvTokenBytes": 131072, "linkMbps": 8800000.0,
                             "migrations": True, "backups": True, "stride": 4, "most": 12, "kvHoldS": 5.0, "roleSwitchS": 3.0,
                             "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Engine:
    """A decode engine: streams events, sends copies of runs to their backups, continues a run of which it has the copy."""

    def __init__(self, number, port, record, engines, drops):
        self.id, self.address, self.record, self.engines, self.drops = f"i-{number}", f"127.0.0.1:{port}", record, engines, drops
        self.port, self.copies, self.running, self.runs, self.work = port, {}, set(), 0, collections.defaultdict(list)
        self.lost = 0

    def entry(self):
        return {"service": "llm", "address": self.address, "zone": "z0", "version": "v1", "slots": 48, "state": "ready",
                "coldRemainingMs": 0, "stage": "decode", "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1}

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, _ = await read_message(reader)
                await self.answer(start, headers, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, status, name, more=""):
        return (f"HTTP/1.1 {status} X\r\nX-Request-Id: {name}\r\nX-Instance-Id: {self.id}\r\n"
                f"X-Server-Load: {len(self.running)},0,48\r\n{more}")

    async def answer(self, start, headers, reader, writer):
        name = headers.get("x-request-id", "")
        if not start.startswith("POST /draft/"):
            body = b'{"epoch":1,"nextPageToken":1,"held":[]}'
            writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            return
        source, _, handle = headers.get("x-kv-source", "").rpartition("/")
        copied = self.copies.pop((source, name), None) if source else None
        if headers.get("x-expect-instance") != self.id:
            writer.write(self.head(421, name, "Content-Length: 0\r\n\r\n").encode())
        elif source and (handle != name or copied is None):
            self.record.note(f"{self.id} has no copy of {name}, answers 503")
            writer.write(self.head(503, name, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
        else:
            await self.run(name, headers, writer, int(headers.get("last-event-id", "0")) if source else 0)

    async def run(self, name, headers, writer, after):
        self.runs += 1
        during = FAULT_BEGINS <= self.record.now() < FAULT_BEGINS + FAULT_LASTS
        loses = TROUBLE and not self.drops and not after and during and self.runs % LOST_EVERY == 0
        self.record.note(f"{self.id} {'continues' if after else 'runs'} {name}, after event {after}" + (", its answer will be lost" if loses else ""))
        self.running.add(name)
        gone = False
        backup = next((each for each in self.engines if each.address == headers.get("x-kv-backup")), None)
        writer.write(self.head(200, name, f"X-Response-Seal: {self.id}.{name}\r\nContent-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n").encode())
        try:
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_GAP)
                self.work[name].append(self.record.now())
                if backup is not None and number % max(1, round(COPY_EVERY / EVENT_GAP)) == 0 and not gone:
                    backup.copies[self.address, name] = number
                if loses and number > EVENTS_BEFORE_RESET and not gone:
                    self.lost += 1
                    self.record.note(f"{self.id} loses the answer of {name} by a reset behind event {number - 1}, works on")
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    gone = True
                if writer.transport.is_closing() and not gone:
                    gone = True
                    self.record.note(f"{self.id}: the connection of {name} has closed")
                if gone and self.drops:
                    raise ConnectionResetError
                if not gone:
                    event = f"id: {number}\ndata: {self.id} {name} {number}\n\n".encode()
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.record.note(f"{self.id} has ended the run of {name}")
            if not gone:
                writer.write(b"0\r\n\r\n")
            else:
                raise ConnectionResetError
        finally:
            self.running.discard(name)


async def heartbeat(deployment, engine):
    while True:
        await deployment.put(f"servers/{engine.id}", engine.entry())
        await asyncio.sleep(1.2)


async def send(deployment, record, number, results):
    """One client attempt on its own connection."""
    node = deployment.nodes[number % len(deployment.nodes)]
    name = f"a{number:05d}"
    record.note(f"client sends {name}")
    reader, writer = await asyncio.open_connection("127.0.0.1", node["listen"])
    try:
        writer.write((f"POST /draft/x HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: {name}\r\nX-Model: m\r\nX-Token-Count: 200,{EVENTS * 4}\r\n"
                      f"X-Prompt-Prefix: 5c1e07a2:150,{number:08x}:50\r\nX-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi").encode())
        content = b""
        while not content.endswith(b"0\r\n\r\n"):
            part = await asyncio.wait_for(reader.read(65536), 8)
            if not part:
                break
            content += part
        results[name] = content
        events, whole = content.count(b"\nid: "), content.endswith(b"0\r\n\r\n")
        record.note(f"client has the answer of {name}: {content[9:12].decode()}, {events} events, {'whole' if whole else 'not whole'}")
    except (OSError, asyncio.TimeoutError) as error:
        record.note(f"client has no answer of {name}: {error!r}")
    finally:
        writer.close()


async def main():
    record, deployment = Record(HERE), Deployment(nodes=2)
    tasks, engines = [], []
    try:
        await deployment.start_store()
        await deployment.put("op/config", CONFIGURATION)
        for number, port in enumerate(free_ports(4)):
            engines.append(Engine(number, port, record, engines, drops=number >= 2))
        for engine in engines:
            await asyncio.start_server(engine.serve, "127.0.0.1", engine.port)
            tasks.append(asyncio.create_task(heartbeat(deployment, engine)))
        for index in range(2):
            deployment.start_node(index)
        await deployment.await_ready()
        await asyncio.sleep(1.5)
        record.start = asyncio.get_running_loop().time()
        results, sends, number = {}, [], 0
        while record.now() < STREAMS_END:
            number += 1
            sends.append(asyncio.create_task(send(deployment, record, number, results)))
            await asyncio.sleep(STREAM_GAP)
        await asyncio.gather(*sends)
        broken = 0
        for name in results:
            works = [(engine.work[name][0], engine.work[name][-1], engine) for engine in engines if engine.work.get(name)]
            works.sort(key=lambda entry: entry[0])
            for before, after in zip(works, works[1:]):
                if before[1] > after[0] + STILL_WORKING:
                    broken += 1
                    record.note(f"BROKEN: {name} went on at {after[2].id} from {after[0]:.3f} on, and {before[2].id} worked on it until {before[1]:.3f}")
        answered = sum(1 for content in results.values() if content.startswith(b"HTTP/1.1 200"))
        record.note(f"{number} streams, {answered} begun, {sum(each.lost for each in engines)} answers lost, {broken} worked on at two engines at once")
        if not TROUBLE and answered < number:
            raise RuntimeError("not every stream was served without the disruption")
        return broken
    finally:
        for task in tasks:
            task.cancel()
        deployment.end()


run_case(main)
