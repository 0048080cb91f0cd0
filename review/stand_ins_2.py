"""Stand-ins for the cases from 6 on: endpoints, discovery's agent, clients and the platform, each as the operators' pages
describe it. Only Python's standard library, loopback addresses, and processes that a case starts itself."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
SECOND = 1_000_000_000
CLIENT_WAIT = 0.4
HEARTBEAT = 2.0


class CaseError(Exception):
    """The case could not run as described in its claim."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file, self.start = open(path, "w", encoding="utf-8"), time.monotonic()

    def line(self, who, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {who}: {text}\n")


class Message:
    """A message, with all that its client, the endpoints and the platform have seen of it."""

    def __init__(self, kind, tenant, destination, seconds):
        self.ident, self.key = random_id(), random_id()
        self.kind, self.tenant, self.destination, self.seconds = kind, tenant, destination, seconds
        self.sent = self.answer = self.delivered = self.request = None
        self.calls, self.notices = [], []

    @property
    def due(self):
        return self.sent + self.seconds

    @property
    def accepted(self):
        return self.answer is not None and self.answer.startswith("+")


class World:
    def __init__(self, record):
        self.record, self.messages, self.targets, self.revision = record, {}, [], 1

    def list_json(self):
        return json.dumps({"rev": self.revision, "all": True, "targets": self.targets})


def random_id():
    return f"{random.getrandbits(64):016x}"


def free_address():
    """A loopback address of its own, with a port that is free there now and below the range of the system's own ports."""
    for _ in range(100):
        host = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        port = random.randint(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return host, port
            except OSError:
                continue
    raise CaseError("no free address")


class Endpoint:
    """An endpoint: serves each call in its working time, or hangs, which means that it takes connections and calls,
    answers nothing and resets nothing. When it no longer hangs, it ends the connections with calls from that time."""

    def __init__(self, world, destination, zone, kind, hint, work=(0.13, 0.23)):
        self.world, self.uid, self.destination, self.work = world, f"s-{random_id()[:8]}", destination, work
        self.address, self.hangs, self.server = free_address(), False, None
        self.hung = set()
        world.targets.append({"uid": self.uid, "endpoint": "%s:%d" % self.address, "az": zone, "model": kind,
                              "pod_group": destination, "state": "SERVING", "capacity_hint": hint, "boot_ms": 0})

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def recover(self):
        self.hangs = False
        for writer in list(self.hung):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            while request := await read_http(reader):
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.hung.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        line, headers, body = request
        is_batch = line.startswith("POST /hook/batch ")
        idents = [item["id"] for item in json.loads(body)] if is_batch else [headers.get("x-call-id", "")]
        for ident in idents:
            message = self.world.messages.get(ident)
            if message is None or message.destination != self.destination:
                raise CaseError(f"a call for {ident}, which nobody sent to destination {self.destination}")
            message.calls.append(time.monotonic())
            self.world.record.line(self.uid, f"call {ident}{' (hangs)' if self.hangs else ''}")
        if self.hangs:
            self.hung.add(writer)
            await asyncio.Event().wait()
        await asyncio.sleep(random.uniform(*self.work))
        states = json.dumps([{"id": ident, "state": "ok"} for ident in idents]).encode() if is_batch else b""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(states) + states)
        for ident in idents:
            message = self.world.messages[ident]
            message.delivered = message.delivered or time.monotonic()
            self.world.record.line(self.uid, f"200 {ident}")


class Agent:
    """Discovery's agent: serves the list and watches on it, and answers notices with 204 at once."""

    def __init__(self, world):
        self.world, self.address, self.server = world, free_address(), None

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    async def serve(self, reader, writer):
        try:
            while request := await read_http(reader):
                line, _, body = request
                if line.startswith("POST /v1/notices "):
                    for text in body.decode().splitlines():
                        self.take_notice(json.loads(text))
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "watch=1" in line:
                    await self.watch(line, writer)
                    return
                else:
                    text = self.world.list_json().encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def watch(self, line, writer):
        after = int(line.split("after=")[1].split()[0].split("&")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = "\n" if after >= self.world.revision else self.world.list_json() + "\n"
        while not writer.transport.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(text.encode()), text.encode()))
            await writer.drain()
            await asyncio.sleep(HEARTBEAT)
            text = "\n"

    def take_notice(self, notice):
        message = self.world.messages.get(notice["id"])
        if message is None:
            raise CaseError(f"a notice for the unknown message {notice['id']}")
        message.notices.append((time.monotonic(), notice["state"]))
        self.world.record.line("agent", f"notice {notice['id']} {notice['state']}")


def enqueue_request(message, body):
    fields = (f"c={message.kind},t={message.tenant},d={int(message.seconds * 1000)},k={message.key},"
              f"dest={message.destination}")
    words = [b"ENQUEUE", b"0" * 16, message.ident.encode(), fields.encode(), body]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Clients:
    """The clients of one courier. They keep their connections, and open another one when all are busy, unless the front
    sends them no new ones (`opens_new`)."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.idle, self.opens_new = [], True

    async def hand_in(self, message, body):
        """Hands in one message. Its `answer` stays None if there was none within 400 ms. A request that crossed the end
        of a kept connection is sent once more on a new one."""
        request = message.request = enqueue_request(message, body)
        for _ in range(2):
            connection, kept = self.take_idle()
            if connection is None and not self.opens_new:
                return
            message.sent = time.monotonic()
            self.world.messages[message.ident] = message
            answer = await self.exchange(connection, request)
            if answer is not None:
                message.answer = answer
                break
            if not kept or time.monotonic() - message.sent >= CLIENT_WAIT:
                break
        self.world.record.line("client", f"{message.ident} {message.kind} dest={message.destination} -> {message.answer}")

    def take_idle(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return (reader, writer), True
        return None, False

    async def exchange(self, connection, request):
        """Writes a request, and returns its answer; None without one in time or if the connection ended first."""
        deadline = time.monotonic() + CLIENT_WAIT
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(*self.address), CLIENT_WAIT)
            reader, writer = connection
            writer.write(request)
            line = await asyncio.wait_for(reader.readline(), max(deadline - time.monotonic(), 0.001))
        except (OSError, asyncio.TimeoutError):
            line = b""
        if line.endswith(b"\n"):
            self.idle.append(connection)
            return line.decode().strip()
        if connection is not None:
            connection[1].close()
        return None


class Courier:
    """A process of the project's gateway, started by the platform with `run` of the deploy file."""

    def __init__(self, world, folder, name, listen, agent, limits, settings):
        self.world, self.folder, self.name, self.listen = world, folder, name, listen
        self.agent, self.limits, self.settings = agent, limits, settings
        self.door, self.process = free_address(), None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        config = {"name": "n0", "listen": "%s:%d" % self.listen, "discovery": "%s:%d" % self.agent.address,
                  "admin_addr": "%s:%d" % self.door, "seed": random_id(), "limits": self.limits,
                  "known": json.loads(self.world.list_json()), "settings": self.settings}
        (self.folder / "config.new").write_text(json.dumps(config))
        os.replace(self.folder / "config.new", self.folder / "config.json")
        environment = {**os.environ, "BALANCER_NAME": "n0", "BALANCER_CONFIG": str(self.folder / "config.json"),
                       "BALANCER_STATE": str(self.folder / "state"), "TMPDIR": str(self.folder / "tmp"),
                       "BALANCER_LISTEN": config["listen"], "BALANCER_DISCOVERY": config["discovery"],
                       "BALANCER_ADMIN_ADDR": config["admin_addr"]}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.world.record.line("platform", f"{self.name} started")

    async def ready(self, within):
        """Waits until the process says at its operators' door that it is ready."""
        end = time.monotonic() + within
        while time.monotonic() < end and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(*self.door)
                writer.write(b"GET /_ready HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line.startswith(b"HTTP/1.1 2"):
                    self.world.record.line("platform", f"{self.name} is ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CaseError(f"{self.name} was not ready within {within} s")

    def signal(self, number):
        if self.process.returncode is None:
            self.world.record.line("platform", f"{signal.Signals(number).name} to {self.name}")
            try:
                self.process.send_signal(number)
            except ProcessLookupError:
                pass

    async def ended(self, within):
        """Returns whether the process has ended within a time."""
        try:
            await asyncio.wait_for(self.process.wait(), within)
            self.world.record.line("platform", f"{self.name} has ended, code {self.process.returncode}")
            return True
        except asyncio.TimeoutError:
            return False


async def read_http(reader):
    """Reads one request: its first line, its headers and its body. None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def run_case(case, folder):
    """Runs `case(world, temporary folder, has trouble, couriers)`, which returns a verdict and adds each courier that it
    starts to the list. Ends these processes, and exits with the verdict, or 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", random.getrandbits(32)))
    random.seed(seed)
    record.line("case", f"trouble={int(has_trouble)} seed={seed}")
    # The path of a local socket, which a replacement of the process needs, has 107 bytes at most.
    folder_of_temporary = tempfile.gettempdir() if len(tempfile.gettempdir()) < 60 else "/tmp"
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-", dir=folder_of_temporary))
    for name in ("state", "tmp"):
        (temporary / name).mkdir()
    couriers, failures = [], []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context.get("exception") or context["message"]))
        task = asyncio.ensure_future(asyncio.wait_for(case(World(record), temporary, has_trouble, couriers), 112))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await task
        finally:
            for courier in couriers:
                if courier.process:
                    courier.signal(signal.SIGKILL)
                    await courier.process.wait()

    try:
        verdict = asyncio.run(run())
        if broken := [failure for failure in failures if isinstance(failure, CaseError)]:
            raise broken[0]
    except (Exception, asyncio.CancelledError) as error:  # A failure of the case says nothing about the rule.
        record.line("case", f"could not run: {error!r}")
        verdict = NOT_RUN
    for log in sorted(temporary.glob("*.log")):
        record.file.write(f"--- {log.name}\n{log.read_text(errors='replace')}")
    text = {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[verdict]
    record.file.write(text + "\n")
    record.file.close()
    shutil.rmtree(temporary, ignore_errors=True)
    print(text)
    sys.exit(verdict)
