"""Stand-ins for the cases 6 to 10: engine, back end, membership service and edge nodes, on loopback.

They follow the operators' protocol page. Each case starts the program by the `run` command of the
deploy file as a process of its own, and everything else in its own process, on free ports and in a
temporary folder.
"""

import asyncio
import copy
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

SETTINGS = {
    "Allowed": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 60000, "MaxRetryAfterUs": 1000000, "RetryAfter": True},
    "Az": 0,
    "Callers": {"MarksRetry": True},
    "Classes": [
        {"Name": "thumbnail", "AimUs": 1700000, "DeadlineUs": 4100000, "Effect": "read_like",
         "LateWorth": 0.2, "Worth": 1.0},
        {"Name": "transcript-search", "AimUs": 2300000, "DeadlineUs": 5700000, "Effect": "read_like",
         "LateWorth": 0.2, "Worth": 2.0},
        {"Name": "playback-token", "AimUs": 1000000, "DeadlineUs": 2500000, "Effect": "read_like",
         "LateWorth": 0.0, "Worth": 3.0},
    ],
    "CountedBy": "request",
    "Family": "server",
    "FamilyInfo": {
        "CallShare": 6.25, "CallerIdleUs": 30000000, "ClassCalls": [True, False, True],
        "ClassSkipWorth": [0.3, 0.0, 0.5], "ClientsTotal": 3, "Cores": 2, "DeepChecks": False,
        "DepWindowUs": 5000000, "Downstream": "one_for_all", "FreshStart": False, "Halt": "silent",
        "HeapKb": 19110.0, "HeededUs": 1000000, "KeyKb": 206.11,
        "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"], "PassesDeadline": True,
        "RegistryFollows": False, "RunFactor": 4.0, "Say": "silent", "ShareForUs": 0,
        "StaysForUs": 200000, "TellsGone": False,
    },
    "Me": 0,
    "OverShareWorth": 0.1,
    "Rules": {"AnswerSlackUs": 80000, "DrainGraceUs": 2000000, "FallMultiple": 8.0, "StartCapacity": 0.23,
              "TipAfterUs": 1500000, "WarmUpUs": 18000000},
    "Servers": 1, "Tenants": [], "TickUs": 2000, "Tier": 0, "Tiers": ["workers"], "Zones": ["garching"],
}


class Impossible(Exception):
    """The case could not run."""


def unix_ms():
    return time.time() * 1e3


class Record:
    """What was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.time()

    def __call__(self, text):
        self.file.write(f"{time.time() - self.started:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def listen(handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Engine:
    """Runs requests for `seconds[class]` on `cores` cores. Notices are numbered and kept."""

    def __init__(self, record, cores=2, seconds=None, calls=None):
        self.record = record
        self.cores = cores
        self.seconds = seconds or {}
        self.calls = calls or {}  # by class, how many calls a run makes
        self.awaited = {}  # id -> (number of the notice, how the call ends)
        self.started_at = time.time()
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.state = "WARM"
        self.notices = []
        self.runs = {}  # id -> [(class, unix ms of its start)]
        self.ended = set()
        self.writer = None
        self.links = 0
        self.busy = 0
        self.free = asyncio.Semaphore(cores)

    async def start(self):
        self.server, self.address = await listen(self.serve)

    async def serve(self, reader, writer):
        self.links += 1
        try:
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("RUN", "FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                await self.command(words, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def command(self, words, body, writer):
        if words[0] == "ATTACH":
            await self.is_up.wait()
            up = int((time.time() - self.started_at) * 1e3)
            writer.write(f"HELLO {self.state} {up}\r\n".encode())
            for number, notice in self.notices:
                if number > int(words[1]):
                    writer.write(notice)
            self.writer = writer
        elif words[0] == "STAT":
            load = min(1.0, self.busy / self.cores)
            writer.write(f"STATS {words[1]} {load:.3f} {self.busy} 0.1 4\r\n".encode())
        elif words[0] == "RUN":
            self.run(words[1], words[2], body)
        elif words[0] == "FEED" and words[1] in self.awaited:
            self.awaited.pop(words[1])[1].set_result(body)
        elif words[0] == "SKIP" and self.awaited.get(words[1], (None,))[0] == int(words[2]):
            self.awaited.pop(words[1])[1].set_result(None)
        else:
            writer.write(f"NO {words[0]} {words[1]}\r\n".encode())

    def run(self, id, operation, body):
        if id in self.runs:
            self.record(f"engine: RUN {id} once more, passed over")
            return
        self.runs[id] = (operation, unix_ms())
        self.record(f"engine: runs {id} ({operation})")
        asyncio.ensure_future(self.work(id, operation, body))

    def takes(self, operation, body):
        """How long a run is on its core, in seconds."""
        return self.seconds.get(operation, 0.2)

    async def work(self, id, operation, body):
        async with self.free:
            self.busy += 1
            took = self.takes(operation, body)
            await asyncio.sleep(took)
            self.busy -= 1
        result = b"result of " + id.encode() + b" " + body
        for call in range(self.calls.get(operation, 0)):
            reply = await self.need(id, f"call {call} of {id}".encode())
            result += b", without a reply" if reply is None else b", with " + reply
        self.ended.add(id)
        self.notify(lambda n: f"DONE {n} {id} OK {took * 1e3:.0f} {len(result)}\r\n".encode() + result + b"\r\n")

    async def need(self, id, body):
        reply = asyncio.get_running_loop().create_future()
        self.awaited[id] = (self.notices[-1][0] + 1 if self.notices else 1, reply)
        self.notify(lambda n: f"NEED {n} {id} {len(body)}\r\n".encode() + body + b"\r\n")
        return await reply

    def notify(self, text):
        number = self.notices[-1][0] + 1 if self.notices else 1
        self.notices.append((number, text(number)))
        del self.notices[:-4000]
        if self.writer and not self.writer.is_closing():
            self.writer.write(self.notices[-1][1])

    def break_link(self):
        if self.writer:
            self.writer.transport.abort()


class Members:
    """The membership service: each report is answered 204."""

    async def start(self):
        self.server, self.address = await listen(self.serve)

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                await reader.readexactly(int(length.group(1)) if length else 0)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


class BackEnd:
    """The back end that all share: each call succeeds."""

    def __init__(self, name="reply", seconds=0.0):
        self.name, self.seconds, self.calls = name, seconds, 0

    async def start(self):
        self.server, self.address = await listen(self.serve)

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "invoke":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls += 1
                    await asyncio.sleep(self.seconds)
                    reply = self.name.encode() + b" to " + body
                    writer.write(f"{words[1]} ok {len(reply)}\r\n".encode() + reply + b"\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


# FastCGI 1.0, the web server's side.

def fcgi_record(kind, id, content):
    return struct.pack(">BBHHBB", 1, kind, id, len(content), 0, 0) + content


def fcgi_params(fields):
    out = b""
    for name, value in fields.items():
        name, value = name.encode(), str(value).encode()
        for text in (name, value):
            out += bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 0x80000000)
        out += name + value
    return out


class Request:
    """One request: what was sent, and how it was answered."""

    count = 0

    def __init__(self, operation, patience_ms, body=b"page", source=1):
        Request.count += 1
        self.call_id = f"{int.from_bytes(os.urandom(5), 'big'):010x}{Request.count:06x}"
        self.operation, self.patience_ms, self.body, self.source = operation, patience_ms, body, source
        self.written_at = self.answered_at = None
        self.status = self.result = None
        self.end = None  # "answer", "connection ended" or None
        self.over = asyncio.get_running_loop().create_future()

    def fields(self, queue_start):
        return {
            "REQUEST_METHOD": "POST", "SCRIPT_NAME": "/svc/" + self.operation,
            "CONTENT_LENGTH": len(self.body), "HTTP_X_CALL_ID": self.call_id,
            "HTTP_X_QUEUE_START": int(queue_start), "HTTP_X_SOURCE": self.source,
            "HTTP_X_PATIENCE_MS": self.patience_ms, "HTTP_X_HEAP_KB": "20.5",
            "HTTP_X_IMPORTANCE": "0.6250", "HTTP_X_ENTITY": "7f3a9c21e0b4d655",
        }

    def bytes(self, id, queue_start):
        """The head of the request (up to the end of its parameters), and its body."""
        head = fcgi_record(1, id, struct.pack(">HB5x", 1, 1))
        head += fcgi_record(4, id, fcgi_params(self.fields(queue_start))) + fcgi_record(4, id, b"")
        return head, fcgi_record(5, id, self.body) + fcgi_record(5, id, b"")

    def finish(self, end, status=None, result=None):
        if self.end is None:
            self.end, self.status, self.result = end, status, result
            self.answered_at = unix_ms()
            self.over.set_result(None)

    @property
    def answered(self):
        return self.end == "answer"

    def __str__(self):
        what = self.status if self.answered else self.end or "nothing"
        return f"{self.call_id} ({self.operation})-> {what}"


class Edge:
    """A connection of an edge node, on which up to 32 requests may be open."""

    def __init__(self, record, name="edge"):
        self.record, self.name = record, name
        self.open = {}
        self.parts = {}
        self.ended_at = None

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    @property
    def is_open(self):
        return self.ended_at is None

    def begin(self, request):
        id = next(n for n in range(1, 33) if n not in self.open)
        self.open[id] = request
        self.parts[id] = b""
        return id

    async def write(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def send(self, request):
        """Writes a whole request at once."""
        id = self.begin(request)
        head, body = request.bytes(id, unix_ms())
        request.written_at = unix_ms()
        self.record(f"{self.name}: sends {request.call_id} ({request.operation}) as {id}")
        try:
            await self.write(head + body)
        except ConnectionError:
            pass
        return request

    async def read(self):
        try:
            while True:
                _, kind, id, length, padding, _ = struct.unpack(">BBHHBB", await self.reader.readexactly(8))
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == 6:
                    self.parts[id] = self.parts.get(id, b"") + content
                elif kind == 3:
                    self.answered(id, content[4])
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.ended_at = unix_ms()
            self.record(f"{self.name}: the connection ended ({type(error).__name__}), {len(self.open)} open")
            for request in list(self.open.values()):
                request.finish("connection ended")
            self.open.clear()
            self.writer.close()

    def answered(self, id, protocol_status):
        request = self.open.pop(id, None)
        if request is None:
            self.record(f"{self.name}: an answer to {id}, which is not open")
            return
        head, _, body = self.parts.pop(id, b"").partition(b"\r\n\r\n")
        request.head = head.decode()
        found = re.search(rb"Status: (\d+)", head)
        status = int(found.group(1)) if found else {2: 503}.get(protocol_status, 500)
        request.finish("answer", status, body)
        self.record(f"{self.name}: {request}")

    def close(self):
        self.task.cancel()
        self.writer.close()


async def is_live(address):
    """One health check on a connection of its own."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        fields = fcgi_params({"REQUEST_METHOD": "GET", "SCRIPT_NAME": "/status/live"})
        writer.write(fcgi_record(1, 1, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, 1, fields)
                     + fcgi_record(4, 1, b"") + fcgi_record(5, 1, b""))
        return b"Status: 200" in await asyncio.wait_for(reader.read(400), 1)
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


class Case:
    """The installation of one case: the program between its stand-ins."""

    def __init__(self, folder):
        self.folder, self.root = folder, ROOT
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="merlinshelf-review-")
        self.processes = []
        self.settings = copy.deepcopy(SETTINGS)
        self.stop_ms = 3200
        self.record("with the disruption" if self.trouble else "without the disruption")

    async def stand_ins(self, **engine):
        self.engine = Engine(self.record, **engine)
        self.members, self.back_end = Members(), BackEnd()
        for part in (self.engine, self.members, self.back_end):
            await part.start()

    def write_config(self, **changed):
        self.listen = getattr(self, "listen", None) or free_address()
        config = {
            "name": "n0", "listen": self.listen, "engine": self.engine.address,
            "members": self.members.address, "backend": self.back_end.address,
            "seed": "8c1f30d27a5be964", "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": self.settings,
        }
        config.update(changed)
        path = os.path.join(self.temporary, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)
        return path

    async def start(self, *arguments):
        """Starts the program by the deploy file's `run`."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            found = re.search(r'(?m)^run *= *"([^"]*)"', file.read())
        config = self.write_config()
        command = " ".join([found.group(1), *arguments])
        environment = dict(os.environ, PROXY_NAME="n0", PROXY_LISTEN=self.listen, PROXY_CONFIG=config,
                           TMPDIR=self.temporary)
        log = open(os.path.join(self.temporary, "log"), "ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.processes.append(process)
        self.record(f"started process {process.pid}: {command}")
        return process

    async def ready(self, process, seconds=30):
        until = time.time() + seconds
        while time.time() < until:
            if process.returncode is not None:
                raise Impossible(f"the program ended with status {process.returncode}")
            if await is_live(self.listen):
                return
            await asyncio.sleep(0.05)
        raise Impossible("the program does not become ready")

    def write_operator(self, **more):
        """The operators' file with a control socket and upgrades, with its defaults but for the sums."""
        self.control = os.path.join(self.temporary, "control")
        operator = {"control": {"socket": self.control}, "upgrade": {"descriptors": 2048, "memory_mb": 384}}
        operator.update(more)
        path = os.path.join(self.temporary, "operator.json5")
        with open(path, "w") as file:
            json.dump(operator, file)
        return path

    async def command(self, *arguments):
        """Starts a command of the program's own command line."""
        return await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "release", "merlinshelf"), *arguments, cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)

    async def status(self):
        """The report of the process that serves now."""
        command = await self.command("status", "--control", self.control, "--json")
        output, _ = await command.communicate()
        if command.returncode != 0:
            raise Impossible("status: " + output.decode().strip())
        return json.loads(output)

    async def upgrade(self, stage=None):
        """Hands over to a successor; returns at this stage, or at the end."""
        command = await self.command("upgrade", "--control", self.control, "--json")
        while line := await command.stdout.readline():
            self.record("upgrade: " + line.decode().strip())
            if stage and json.loads(line).get("stage") == stage:
                return command
        if await command.wait() != 0:
            raise Impossible("the upgrade failed")
        return command

    async def end(self):
        self.end_instances()
        for process in self.processes:
            # Its successors belong to its process group, also after its own end.
            try:
                os.killpg(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        for process in self.processes:
            await process.wait()
        log = os.path.join(self.temporary, "log")
        if os.path.exists(log):
            with open(log, errors="replace") as file:
                for line in file.read().splitlines()[-60:]:
                    self.record("log: " + line.replace(self.temporary, "TEMP").replace(ROOT, "ROOT"))
        shutil.rmtree(self.temporary, ignore_errors=True)


    def end_instances(self):
        """Ends the agent, then the instances that it started: they have process groups of their own."""
        for process in self.processes:
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
        for number in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open(f"/proc/{number}/cmdline", "rb") as file:
                    if self.temporary.encode() in file.read():
                        os.kill(int(number), signal.SIGKILL)
            except OSError:
                pass


def main(folder, body, limit=110):
    """Runs `body(case)`, which returns whether the rule held and says why."""

    async def run():
        case = Case(folder)
        try:
            held, text = await asyncio.wait_for(body(case), limit)
            verdict = HELD if held else BROKEN
        except Exception as error:  # a fault of the case itself says nothing of the rule
            case.record(traceback.format_exc())
            verdict, text = COULD_NOT_RUN, f"could not run: {type(error).__name__} {error}"
        finally:
            await case.end()
        case.record(("HELD: ", "BROKEN: ", "")[verdict] + text)
        case.record.close()
        print(("HELD: ", "BROKEN: ", "")[verdict] + text)
        return verdict

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)  # without the noise of connections that are open at the end
