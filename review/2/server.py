"""A server of case 2, a process of its own. Usage: server.py PORT ID SEED. SIGUSR1 and SIGUSR2 begin and end its garbling.

It answers a long body before it has read it, without a length, ends the answer by an orderly close of its side, and reads
on later. While it garbles, it breaks off GARBLED_SHARE of its answers by a reset. Writes what it does to standard output.
"""
import asyncio
import pathlib
import random
import signal
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from world import read_head, render_head  # noqa: E402

ANSWER, BROKEN_OFF = 2_000, 1_000   # bytes of a whole answer, and of one that is broken off
GARBLED_SHARE = 0.05


def answer_to(name):
    return (f"sheet {name} " * (ANSWER // (len(name) + 7) + 1)).encode()[:ANSWER]


class Server:
    def __init__(self, name, seed):
        self.id, self.random = name, random.Random(seed)
        self.garbles, self.running = False, 0

    def note(self, text):
        print(f"{time.monotonic()} {self.id} {text}", flush=True)

    async def serve(self, reader, writer):
        self.running += 1
        try:
            request = await read_head(reader)
            name = request.get("x-request-id")
            writer.write(render_head("HTTP/1.1 200 OK", {
                "X-Request-Id": name, "X-Instance-Id": self.id, "X-Server-Load": f"{self.running},0,6",
                "X-Response-Seal": f"seal-{name}-{self.id}", "Connection": "close"}))
            if self.garbles and self.random.random() < GARBLED_SHARE:
                writer.write(answer_to(name)[:BROKEN_OFF])
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                self.note(f"breaks off its answer to {name} after {BROKEN_OFF} of {ANSWER} bytes by a reset")
                return
            writer.write(answer_to(name))
            writer.write_eof()
            self.note(f"has answered {name} whole")
            while await reader.read(1 << 18):   # reads on later
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.running -= 1
            writer.close()


async def main():
    server = Server(sys.argv[2], int(sys.argv[3]))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, setattr, server, "garbles", True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, server, "garbles", False)
    await asyncio.start_server(server.serve, "127.0.0.1", int(sys.argv[1]))
    server.note("serves")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
