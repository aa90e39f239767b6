"""Stand-ins of the outside systems of one backend, and the processes of a case.

Everything listens on 127.0.0.1. The stand-ins follow the protocol page of the real backend: an edge
node that speaks FastCGI, the engine, the back end (the catalogue), and the membership service.
"""

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/release/merlinshelf"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up as planned; it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.origin = time.monotonic()
        self.line(f"trouble: {'yes' if TROUBLE else 'no'}")

    def line(self, text):
        at = (time.monotonic() - self.origin) * 1e3
        print(f"{at:9.1f} {text}", file=self.file, flush=True)

    def section(self, title, path, count=60):
        """Appends the last lines of a log."""
        self.line(title)
        try:
            with open(path, encoding="utf-8", errors="replace") as log:
                for line in log.readlines()[-count:]:
                    print("          | " + line.rstrip(), file=self.file, flush=True)
        except OSError as error:
            self.line(f"no log: {error}")


def free_port():
    """A free port below those that the system gives to outgoing connections: an instance that is
    started anew must find its own port free."""
    for _ in range(1000):
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


def example_config():
    with open(os.path.join(ROOT, "examples", "config.json"), encoding="utf-8") as file:
        return json.load(file)


def close_quietly(writer):
    try:
        writer.close()
    except RuntimeError:
        pass  # the event loop has ended


class Engine:
    """The engine of one backend: runs take `run_ms` of real time; operations in `calling` make as
    many calls to the back end as it says, in the middle of the run."""

    def __init__(self, record, name="engine", run_ms=100, calling=None, is_up=True):
        self.record, self.name = record, name
        self.run_ms, self.calling = run_ms, calling or {}
        self.started_at = time.monotonic()
        self.up = asyncio.Event()
        if is_up:
            self.up.set()
        self.link = None
        self.last = 0
        self.kept = []
        self.running = {}
        self.waiting = {}
        self.runs = []  # (id, operation, monotonic time of the RUN command)
        self.attached = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def come_up(self):
        self.started_at = time.monotonic()
        self.record.line(f"{self.name}: is up")
        self.up.set()

    def send(self, text, body=None, writer=None):
        writer = writer or self.link
        if writer is None or writer.is_closing():
            return
        data = text.encode() + b"\r\n"
        if body is not None:
            data += body + b"\r\n"
        try:
            writer.write(data)
        except (ConnectionError, RuntimeError):
            pass

    def notify(self, make, body=None):
        self.last += 1
        text = make(self.last)
        self.kept.append((self.last, text, body))
        del self.kept[:-4000]
        self.send(text, body)

    async def serve(self, reader, writer):
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                words = line.split(" ")
                body = None
                if words[0] in ("RUN", "FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "ATTACH":
                    self.attached += 1
                    await self.up.wait()
                    self.link = writer
                    up_ms = int((time.monotonic() - self.started_at) * 1e3)
                    self.send(f"HELLO WARM {up_ms}", writer=writer)
                    for number, text, kept in self.kept:
                        if number > int(words[1]):
                            self.send(text, kept, writer)
                elif words[0] == "RUN":
                    self.run(words[1], words[2], body)
                elif words[0] == "FEED":
                    self.resume(words[1], b"fed:" + body)
                elif words[0] == "SKIP":
                    if self.waiting.get(words[1], (None, 0))[1] == int(words[2]):
                        self.resume(words[1], b"skipped")
                elif words[0] == "STAT":
                    busy = min(1.0, len(self.running) / 2)
                    self.send(f"STATS {words[1]} {busy} {len(self.running)} 0.1 1", writer=writer)
                else:
                    self.record.line(f"{self.name}: no command: {line}")
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if self.link is writer:
                self.link = None
            close_quietly(writer)

    def run(self, id, operation, body):
        if id in self.running:
            return
        self.runs.append((id, operation, time.monotonic()))
        self.record.line(f"{self.name}: runs {operation} {id}")
        self.running[id] = asyncio.ensure_future(self.execute(id, operation, body))

    async def execute(self, id, operation, body):
        calls = self.calling.get(operation, 0)
        outcome = []
        started = time.monotonic()
        for part in range(calls + 1):
            await asyncio.sleep(self.run_ms / 1e3 / (calls + 1))
            if part < calls:
                future = asyncio.get_running_loop().create_future()
                question = f"call {part} of {id}".encode()
                self.waiting[id] = (future, self.last + 1)
                self.notify(lambda n: f"NEED {n} {id} {len(question)}", question)
                outcome.append(await future)
        took = int((time.monotonic() - started) * 1e3)
        result = b"done " + id.encode() + b" " + body + b"".join(b" " + o for o in outcome)
        del self.running[id]
        self.record.line(f"{self.name}: has done {id}")
        self.notify(lambda n: f"DONE {n} {id} OK {took} {len(result)}", result)

    def resume(self, id, outcome):
        future, _ = self.waiting.pop(id, (None, 0))
        if future is not None and not future.done():
            future.set_result(outcome)
        else:
            self.send(f"NO FEED {id}")


class BackEnd:
    """The back end that calls go to: replies `ok` after `delay_ms`."""

    def __init__(self, record, name="back end", delay_ms=5):
        self.record, self.name, self.delay_ms = record, name, delay_ms
        self.calls = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        open_calls = {}
        try:
            while True:
                words = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
                if words[0] == "invoke":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls.append((words[1], time.monotonic()))
                    self.record.line(f"{self.name}: call for {words[1]}")
                    open_calls[words[1]] = asyncio.ensure_future(
                        self.reply(writer, words[1], body)
                    )
                elif words[0] == "cancel":
                    task = open_calls.pop(words[1], None)
                    if task:
                        task.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for task in open_calls.values():
                task.cancel()
            close_quietly(writer)

    async def reply(self, writer, id, body):
        await asyncio.sleep(self.delay_ms / 1e3)
        reply = self.name.encode() + b" says " + body
        self.record.line(f"{self.name}: replies to {id}")
        try:
            writer.write(f"{id} ok {len(reply)}\r\n".encode() + reply + b"\r\n")
            await writer.drain()
        except ConnectionError:
            pass


class Members:
    """The membership service: answers each report with 204."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = 0
                for line in head.split("\r\n"):
                    if line.startswith("content-length:"):
                        length = int(line.split(":")[1])
                await reader.readexactly(length)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close_quietly(writer)


def fastcgi_record(kind, request, content):
    return struct.pack(">BBHHBB", 1, kind, request, len(content), 0, 0) + content


def fastcgi_request(request, fields, body):
    pairs = b""
    for name, value in fields.items():
        name, value = name.encode(), str(value).encode()
        for part in (name, value):
            size = len(part)
            pairs += bytes([size]) if size < 128 else struct.pack(">I", size | 0x80000000)
        pairs += name + value
    message = fastcgi_record(1, request, struct.pack(">HB5x", 1, 1))
    message += fastcgi_record(4, request, pairs) + fastcgi_record(4, request, b"")
    if body:
        message += fastcgi_record(5, request, body)
    return message + fastcgi_record(5, request, b"")


class Answer:
    """How one request ended: a status with headers and body, or `lost` with the reason."""

    def __init__(self, id, sent_at):
        self.id, self.sent_at = id, sent_at
        self.status = self.lost = None
        self.headers, self.body, self.raw = {}, b"", b""
        self.answered_at = None
        self.finals = 0
        self.done = asyncio.Event()

    def __str__(self):
        if self.status is None:
            return f"{self.id}: no answer ({self.lost or 'still open'})"
        took = (self.answered_at - self.sent_at) * 1e3
        return f"{self.id}: status {self.status} after {took:.0f} ms"


class EdgeNode:
    """An edge node's connection to a backend: FastCGI, up to 32 requests at a time."""

    def __init__(self, record, name="edge node"):
        self.record, self.name = record, name
        self.open = {}
        self.next_request = 1

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self.read())
        return self

    def send(self, operation, body=b"page", patience_ms=4000, source=4):
        if self.task.done():
            raise CannotRun(f"{self.name}: its connection has ended before a request was sent")
        id = secrets.token_hex(8)
        request = self.next_request
        self.next_request += 1
        answer = Answer(id, time.monotonic())
        fields = {
            "REQUEST_METHOD": "POST",
            "SCRIPT_NAME": f"/svc/{operation}",
            "HTTP_X_CALL_ID": id,
            "HTTP_X_QUEUE_START": int(time.time() * 1e3),
            "HTTP_X_SOURCE": source,
            "HTTP_X_PATIENCE_MS": patience_ms,
            "HTTP_X_HEAP_KB": "24.5",
            "HTTP_X_IMPORTANCE": "0.6250",
            "CONTENT_LENGTH": len(body),
        }
        self.open[request] = answer
        self.record.line(f"{self.name}: sends {operation} {id}, waits {patience_ms} ms")
        self.writer.write(fastcgi_request(request, fields, body))
        return answer

    async def read(self):
        reason = "the connection ended"
        try:
            while True:
                header = await self.reader.readexactly(8)
                _, kind, request, length, padding, _ = struct.unpack(">BBHHBB", header)
                content = await self.reader.readexactly(length + padding)
                content = content[:length]
                answer = self.open.get(request)
                if answer is None:
                    self.record.line(f"{self.name}: an answer to no open request: {request}")
                    continue
                if kind == 6:
                    answer.raw += content
                elif kind == 3:
                    del self.open[request]
                    self.finish(answer, content)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            if isinstance(error, ConnectionError):
                reason = "the connection was reset"
        for answer in self.open.values():
            answer.lost = reason
            self.record.line(f"{self.name}: {answer}")
            answer.done.set()
        self.open.clear()

    def finish(self, answer, content):
        answer.answered_at = time.monotonic()
        answer.finals += 1
        protocol_status = content[4]
        if protocol_status == 2:
            answer.status = 503
        else:
            head, _, answer.body = answer.raw.partition(b"\r\n\r\n")
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                answer.headers[name.lower()] = value.strip()
            answer.status = int(answer.headers.get("status", "0").split(" ")[0] or 0)
        self.record.line(f"{self.name}: {answer} {answer.headers}")
        answer.done.set()

    def close(self):
        self.writer.close()
        self.task.cancel()


class Case:
    """The processes and the temporary folder of a case; `close` ends them all."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="merlinshelf-review-")
        self.processes = []
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun(f"{PROGRAM} is not built")

    def path(self, *names):
        return os.path.join(self.temp, *names)

    def write(self, name, value):
        path = self.path(name)
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(value if isinstance(value, str) else json.dumps(value))
        os.rename(path + ".new", path)
        return path

    def start(self, arguments, log, environment=None):
        """Starts the program by the deploy file's command, with further arguments."""
        variables = {**os.environ, **(environment or {})}
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"exec {PROGRAM} {arguments}".strip()],
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=open(self.path(log), "a"),
        )
        self.processes.append(process)
        self.record.line(f"starts process {process.pid}: {PROGRAM} {arguments}")
        return process

    async def tool(self, arguments, timeout=30):
        """Runs the command line; its exit code and output."""
        process = await asyncio.create_subprocess_shell(
            f"exec {PROGRAM} {arguments}",
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        try:
            output, _ = await asyncio.wait_for(process.communicate(), timeout)
        except asyncio.TimeoutError:
            process.kill()
            raise CannotRun(f"{arguments} does not end")
        return process.returncode, output.decode(errors="replace")

    def own_processes(self):
        """Processes that were started with a file of this case's folder."""
        found = []
        for name in os.listdir("/proc"):
            if not name.isdigit() or int(name) == os.getpid():
                continue
            try:
                with open(f"/proc/{name}/cmdline", "rb") as file:
                    if self.temp.encode() in file.read():
                        found.append(int(name))
            except OSError:
                pass
        return found

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for _ in range(5):
            left = self.own_processes()
            for pid in left:
                try:
                    os.kill(pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
            if not left:
                break
            time.sleep(0.1)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


async def wait_listening(port, timeout=15):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.02)
    raise CannotRun(f"nothing listens on port {port}")


async def wait_for(condition, timeout, what):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.02)
    raise CannotRun(f"it did not happen in {timeout} s: {what}")


def main(play, file):
    """Plays a case and exits with its verdict."""
    folder = os.path.dirname(os.path.abspath(file))
    case, verdict = None, NOT_RUN
    try:
        case = Case(folder)
        loop = asyncio.new_event_loop()
        verdict = loop.run_until_complete(asyncio.wait_for(play(case), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        if case:
            case.record.line(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    except Exception:
        # Status 1 is for a broken rule alone.
        traceback.print_exc()
    finally:
        if case:
            case.close()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
    if case:
        case.record.line(words[verdict])
    print(words[verdict], flush=True)
    # At once: the stand-ins' connections need no orderly end.
    os._exit(verdict)
