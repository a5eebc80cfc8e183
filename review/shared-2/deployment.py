"""A small deployment on loopback: gateways with the deploy file's command, the project's stand-in of the store, and
engines that follow PROTOCOL.md. Processes are ended by their ids."""
import asyncio
import base64
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = TOP / "target" / "bin" / "ochrespring-gateway"
STORE = TOP / "platform" / "soak" / "store.py"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = """node = "{name}"
zone = "{zone}"
listen = "127.0.0.1:{listen}"
ready-listen = "127.0.0.1:{ready}"
directory-listen = "127.0.0.1:{directory}"
peer-listen = "127.0.0.1:{peer}"
view-listen = "127.0.0.1:{view}"
seeds = "{seeds}"
metrics-listen = "127.0.0.1:{metrics}"
store = "127.0.0.1:{store}"
retry-ratio = 0.2
retry-slack = 56
retry-window-s = 10
stop-grace-s = 8
drain-bound-ms = 2000
configuration-bound-ms = 2000
node-lease-ms = 3000
link-mbps = 1000
cloud = ""
duties = ""
usage-window-s = ""
usage-due-s = ""
"""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def read_message(reader):
    """Returns the start line, the headers and the body of a request or an answer with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(port, method, path, body=b"", headers="", timeout=3.0, host="127.0.0.1"):
    """Makes one call on a new connection; returns the status line, the headers and the body."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return await asyncio.wait_for(read_message(reader), timeout)
    finally:
        writer.close()


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Deployment:
    def __init__(self, nodes):
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = []
        ports = free_ports(1 + 6 * nodes)
        self.store = ports.pop()
        names = ("listen", "ready", "directory", "peer", "view", "metrics")
        self.nodes = [{name: ports.pop() for name in names} for _ in range(nodes)]

    def start_process(self, command, log):
        with open(pathlib.Path(self.directory.name) / log, "ab") as output:
            process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start_node(self, index, store=None):
        node = self.nodes[index]
        path = pathlib.Path(self.directory.name) / f"node-{index}.conf"
        seeds = ",".join(f"127.0.0.1:{each['view']}" for each in self.nodes[:3])
        path.write_text(SETTINGS.format(name=f"node-{index}", zone=f"z{index % 3}", seeds=seeds, store=store or self.store, **node))
        node["process"] = self.start_process([str(PROGRAM), "--config", str(path)], f"node-{index}.log")
        return node["process"]

    async def start_store(self):
        self.start_process([sys.executable, str(STORE), str(self.store)], "store.log")
        for _ in range(100):
            try:
                return await call(self.store, "GET", "/ochrespring/kv-range?pathPrefix=x")
            except OSError:
                await asyncio.sleep(0.05)
        raise RuntimeError("the store does not start")

    async def put(self, key, value):
        """Writes as the platform does: servers and the operator."""
        await call(self.store, "POST", f"/standin/put?key={key}", base64.b64encode(json.dumps(value).encode()))

    async def await_ready(self):
        for node in self.nodes:
            for _ in range(200):
                try:
                    if " 200" in (await call(node["ready"], "GET", "/ochrespring/readyz"))[0]:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError("a node does not become ready")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.directory.cleanup()


def run_case(main):
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not PROGRAM.exists():
        print("the gateway is not built")
        sys.exit(2)
    try:
        broken = asyncio.run(asyncio.wait_for(main(), 110))
    except Exception as error:  # Whatever stopped the case, it has not judged the rule.
        print(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
