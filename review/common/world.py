"""What the cases share: nodes started as the deploy file says, the project's simulated store, and small HTTP helpers.

Everything listens on loopback addresses. Only processes that were started here are ended, by their ids.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
BOUNDS = {"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 56, "leaseMs": 3000, "reportWindowS": "", "usageLateS": ""}


class CannotRun(Exception):
    """A process did not start, so the case has no result."""


class Record:
    """Lines of record.txt: seconds since the start, who, what."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, who, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f}  {who:<12} {text}\n")
        self.file.flush()


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def fill(template, values):
    """Fills the gaps {{a.b}} of a template as the platform does; an absent value yields nothing."""
    def value(match):
        found = values
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name, "") if isinstance(found, dict) else ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class World:
    """Nodes and a store. `bounds` and `cloud` are the platform's settings of those names."""

    def __init__(self, folder, nodes=3, bounds=None, cloud=None, zones=("z1", "z2", "z3")):
        self.record = Record(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.store_port = free_port()
        self.store_seen_by = {}
        self.bounds, self.cloud = {**BOUNDS, **(bounds or {})}, cloud or {}
        self.zones = zones
        self.nodes = []
        first = os.getpid()
        for index in range(nodes):
            ip = f"127.{20 + index}.{first // 250 % 250 + 1}.{first % 250 + 1}"
            ports = [free_port(ip) for _ in range(5)]
            self.nodes.append({"node": f"front-{index}", "ip": ip, "zone": zones[index % len(zones)],
                               "listen": {name: f"{ip}:{port}" for name, port in
                                          zip(("front", "ready", "control", "directory"), ports)},
                               "internalPorts": [ports[4], ports[4]], "limits": {"linkMbps": 1000.0},
                               "store_port": self.store_port})

    def program(self):
        """The program and arguments of the deploy file's role."""
        deploy = (ROOT / "deploy/system.toml").read_text()
        return re.search(r'^run = "(.*)"$', deploy, re.M)[1].split()

    def start_process(self, name, command, **options):
        log = open(self.directory / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, cwd=ROOT, **options)

    async def start_store(self):
        self.start_process("store", [sys.executable, "platform/soak/store.py", str(self.store_port), "--unnamed-era"])
        for _ in range(100):
            try:
                await self.store("POST", "/standin/remove?key=none")
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("the store did not start")

    async def store(self, method, path, body=b""):
        status, _, answer = await call("127.0.0.1", self.store_port, method, path, body)
        if status != 200:
            raise CannotRun(f"store: {status} for {path}")
        return answer

    async def put(self, key, document):
        await self.store("POST", f"/standin/put?key={key}", base64.b64encode(json.dumps(document).encode()))

    async def remove(self, key):
        await self.store("POST", f"/standin/remove?key={key}")

    def start_node(self, index):
        node = self.nodes[index]
        settings = {**node, "seeds": [other["listen"]["control"] for other in self.nodes[:3]],
                    "platform": {"address": f"127.0.0.1:{node['store_port']}"}, "bounds": self.bounds, "cloud": self.cloud}
        file = self.directory / f"node-{index}.yaml"
        file.write_text(fill((ROOT / "deploy/gateway.conf.template").read_text(), settings))
        command = [word.replace("/etc/ochrespring/node.yaml", str(file)) for word in self.program()]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        self.start_process(f"node-{index}", command)

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    async def await_ready(self, index, seconds=15):
        host, port = self.nodes[index]["listen"]["ready"].split(":")
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if (await call(host, int(port), "GET", "/ochrespring/readyz"))[0] == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {index} is not ready")

    def log_of(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class Message:
    """A request or the head of an answer."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader):
    request = await read_head(reader)
    request.body = await reader.readexactly(int(request.get("content-length", "0")))
    return request


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", "0")))


def render_head(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode("latin-1")


async def call(host, port, method, path, body=b"", headers=None, timeout=5.0):
    """One call on a connection of its own; returns status, head and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(render_head(f"{method} {path} HTTP/1.1",
                                     {"Host": f"{host}:{port}", "Content-Length": len(body), **(headers or {})}) + body)
            head = await read_head(reader)
            return head.status, head, await read_body(reader, head)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def play(folder, case):
    """Runs a case, an async function of the folder that returns (world, list of breaches); exits with its result."""
    async def main():
        worlds = []
        try:
            breaches = await case(worlds.append)
        except (CannotRun, OSError) as error:
            worlds[0].record.note("case", f"cannot run: {error}")
            return CANNOT_RUN
        finally:
            for world in worlds:
                world.end()
        for breach in breaches:
            worlds[0].record.note("BROKEN", breach)
        worlds[0].record.note("case", f"{len(breaches)} breaches; trouble {'on' if TROUBLE else 'off'}")
        return BROKEN if breaches else HELD
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)    # Ends the stand-ins' open connections without a message for each.
