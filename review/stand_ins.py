"""Stand-ins for the parties around a gateway, as PROTOCOL, DEPLOY and LATER describe them: clients, endpoints, and
discovery's agent, which also receives the notices. They use loopback addresses and the real clock, and run in one
asyncio loop. Only the standard library of Python 3 is used.

Everything that is sent, answered and run is written to the record, one line each, with the seconds since its start.
"""

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
# How long a client waits for the answer to a request (PROTOCOL, "Clients to couriers").
CLIENT_WAIT = 0.4
# How often an agent sends an empty line on an open watch (PROTOCOL, "Discovery").
HEARTBEAT = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run: nothing was learned about the rule."""


class Record:
    """The record of a run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, text):
        self.file.write(f"{self.now():9.3f} {who:<10} {text}\n")
        self.file.flush()


def free_address():
    """A loopback address for one party alone, with a free port. Connections of others leave from 127.0.0.1, so none of
    them can take the port before the party listens."""
    host = f"127.{random.randint(64, 191)}.{random.randint(0, 255)}.{random.randint(1, 254)}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, probe.getsockname()[1]


async def read_http(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Message:
    """One message as its client, the endpoints and the platform see it."""

    def __init__(self, ident, kind, destination, seconds):
        self.id, self.kind, self.destination, self.seconds = ident, kind, destination, seconds
        self.sent = None
        self.answer = None
        self.calls = []  # the times at which the last byte of a call arrived
        self.delivered = None  # the time at which a first line with 200 was written
        self.notices = []  # (time, state)

    @property
    def taken_on(self):
        return self.answer is not None and self.answer.startswith("+")

    @property
    def due(self):
        return self.sent + self.seconds

    @property
    def ended(self):
        times = [at for at, _ in self.notices] + ([self.delivered] if self.delivered is not None else [])
        return min(times, default=None)


class World:
    """What all stand-ins share: the record, the messages and the list of endpoints."""

    def __init__(self, record):
        self.record = record
        self.messages = {}
        self.revision = 1
        self.targets = []

    def list_json(self):
        return json.dumps({"rev": self.revision, "all": True, "targets": self.targets})


class Endpoint:
    """An endpoint of a destination. `mode` may change at any time:

    - `serve`: answers each call with 200 after its work;
    - `hang`: goes silent: takes connections and calls, answers nothing, resets nothing. What it has read before it
      returns is dropped when it returns.
    """

    def __init__(self, world, uid, destination, zone, kind, hint, work=(0.13, 0.23)):
        self.world, self.uid, self.destination, self.work = world, uid, destination, work
        self.mode = "serve"
        self.server, self.open = None, set()
        self.host, self.port = free_address()
        world.targets.append({"uid": uid, "endpoint": f"{self.host}:{self.port}", "az": zone, "model": kind,
                              "pod_group": destination, "state": "SERVING", "capacity_hint": hint, "boot_ms": 0})

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def refuse(self):
        """The process is down: its connections are reset, and new ones are refused."""
        self.server.close()
        self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while request := await read_http(reader):
                await self.call(request, writer)
        except ConnectionError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def call(self, request, writer):
        world, (line, headers, body) = self.world, request
        path = line.split(" ")[1]
        if path == "/hook/batch":
            ids = [item["id"] for item in json.loads(body)]
        else:
            ids = [headers.get("x-call-id", "")]
        for ident in ids:
            message = world.messages.get(ident)
            if message is None:
                raise CaseError(f"a call for the unknown message {ident}")
            message.calls.append(world.record.now())
            world.record.line(self.uid, f"call {ident} ({self.mode})")
        if self.mode == "hang":
            while self.mode == "hang":
                await asyncio.sleep(0.05)
            writer.transport.abort()
            raise ConnectionResetError
        await asyncio.sleep(random.uniform(*self.work))
        if path == "/hook/batch":
            answer = json.dumps([{"id": ident, "state": "ok"} for ident in ids]).encode()
        else:
            answer = b""
        if writer.transport.is_closing():
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        for ident in ids:
            message = world.messages[ident]
            if message.delivered is None:
                message.delivered = world.record.now()
            world.record.line(self.uid, f"200 {ident}")


class Agent:
    """Discovery's agent: serves the list and watches on it, and takes notices, each answered 204 at once."""

    def __init__(self, world, name):
        self.world, self.name, self.server = world, name, None
        self.host, self.port = free_address()
        self.open = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    async def retire(self):
        """TERMS, "Reconfiguration": takes no new connections, and closes the open ones after 1.5 s."""
        self.server.close()
        self.world.record.line(self.name, "takes no new connections")
        await asyncio.sleep(1.5)
        for writer in list(self.open):
            writer.transport.abort()
        self.world.record.line(self.name, "has closed its open connections")

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while request := await read_http(reader):
                line, _, body = request
                if line.startswith("POST /v1/notices"):
                    for text in body.decode().splitlines():
                        self.take_notice(json.loads(text))
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "watch=1" in line:
                    await self.watch(line, writer)
                    return
                else:
                    text = self.world.list_json().encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        except ConnectionError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def watch(self, line, writer):
        after = int(line.split("after=")[1].split()[0].split("&")[0])
        self.world.record.line(self.name, f"watch opened after={after}")
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
        message.notices.append((self.world.record.now(), notice["state"]))
        self.world.record.line(self.name, f"notice {notice['id']} {notice['state']}")


class Clients:
    """The clients of one gateway: they keep their connections, and open another one when all are busy."""

    def __init__(self, world, listen):
        self.world, self.listen, self.idle = world, listen, []

    async def ping(self):
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), CLIENT_WAIT)
            writer.close()
            return line.decode().strip()
        except (OSError, asyncio.TimeoutError):
            return ""

    async def hand_in(self, kind, destination, seconds, body):
        """Hands in one message and returns it. Without an answer within 400 ms, or with a connection that ends first,
        its `answer` stays None; a connection that ended between requests gets one more try."""
        ident = f"{random.getrandbits(64):016x}"
        message = Message(ident, kind, destination, seconds)
        self.world.messages[ident] = message
        fields = f"c={kind},t=vidzeme-radars,d={int(seconds * 1000)},k={random.getrandbits(64):016x},dest={destination}"
        words = [b"ENQUEUE", b"0" * 16, ident.encode(), fields.encode(), body]
        request = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        message.sent = self.world.record.now()
        deadline = time.monotonic() + CLIENT_WAIT
        for _ in range(2):
            kept = connection = None
            try:
                while self.idle:
                    kept = self.idle.pop()
                    if not kept[0].at_eof() and not kept[1].is_closing():
                        break
                    kept = None
                left = deadline - time.monotonic()
                connection = kept or await asyncio.wait_for(asyncio.open_connection(*self.listen), left)
                reader, writer = connection
                writer.write(request)
                line = await asyncio.wait_for(reader.readline(), max(deadline - time.monotonic(), 0.001))
            except (OSError, asyncio.TimeoutError):
                line = b""
            if line.endswith(b"\n"):
                message.answer = line.decode().strip()
                self.idle.append(connection)
                break
            if connection is not None:
                connection[1].close()
            if kept is None or time.monotonic() >= deadline:
                break
        self.world.record.line("client", f"{ident} {kind} dest={destination} bytes={len(body)} -> {message.answer}")
        return message


class Gateway:
    """A process of the project's gateway, started with `run` of the deploy file."""

    def __init__(self, world, folder, name, door=None):
        self.world, self.folder, self.name, self.door, self.process = world, folder, name, door, None

    async def start(self, listen, agent, targets, limits, settings):
        write_config(self.folder, listen, agent, targets, limits, settings)
        await self.spawn()

    async def spawn(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ, "BALANCER_NAME": "n0", "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_STATE": str(self.folder / "state"), "TMPDIR": str(self.folder / "tmp"),
        }
        config = json.loads((self.folder / "config.json").read_text())
        environment["BALANCER_LISTEN"], environment["BALANCER_DISCOVERY"] = config["listen"], config["discovery"]
        if self.door:
            environment["BALANCER_ADMIN_ADDR"] = "%s:%d" % self.door
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.world.record.line("platform", f"{self.name} started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.world.record.line("platform", f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        """`GET /_ready` at the operators' door."""
        try:
            reader, writer = await asyncio.open_connection(*self.door)
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200" in line


def write_config(folder, listen, agent, targets, limits, settings):
    """Replaces the configuration file, whole at any moment."""
    config = {"name": "n0", "listen": "%s:%d" % listen, "discovery": agent.address,
              "seed": f"{random.getrandbits(64):016x}", "limits": limits,
              "known": {"rev": 1, "all": True, "targets": targets}, "settings": settings}
    (folder / "config.new").write_text(json.dumps(config))
    os.replace(folder / "config.new", folder / "config.json")


SECOND = 1_000_000_000


def lane(name, effect, worth, aim, deadline, window, late):
    return {"Name": name, "Effect": effect, "Group": "all", "Worth": worth, "Aim": aim * SECOND,
            "Deadline": deadline * SECOND, "RepeatWindow": window * SECOND, "LateShare": late, "Stream": False}


def site_settings(**changes):
    """The settings that WIRE shows for head-office-send, with `changes` to top-level keys."""
    return {
        "Balancers": 3, "Family": "deliver", "Discovery": "push", "WeightSource": "rough", "WorthBy": "request",
        "Tick": 5_000_000, "Rank": 1, "Tier": 0, "Tiers": ["partner-systems"], "Locality": 1, "OverShareWorth": 0.2,
        "Zones": ["hall-a", "hall-b", "hall-c"], "MachineTypes": ["bulk-partner", "partner"],
        "ClientHabits": {"MarksRetry": True},
        "FamilyInfo": {"CallsOut": 7, "Decay": "halves", "FeeByZone": [0.0, 0.03, 0.06], "KindBatch": [10, 1],
                       "OwnLimits": [True, True], "RefusalCost": 0.0},
        "Lanes": [lane("tile-update", "read_like", 1.0, 2, 16, 5, 0.5),
                  lane("storm-alert", "idempotency_key", 2.0, 2, 28, 15, 0.4),
                  lane("licence-payment", "non_idempotent", 5.0, 4, 28, 5, 0.5)],
        "Permissions": {"Cancel": True, "ConnIdle": 10 * SECOND, "ConnectTimeout": 1_500_000_000,
                        "CpuUsPerRequest": 0.0, "CpuUsPerS": 400_000, "MaxRetryAfter": 3 * SECOND, "MaxStreams": 8,
                        "MostHeld": 112, "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": False,
                        "SendCap": 12},
        "Projects": [{"Name": "vidzeme-radars", "Fraction": 0.54, "QuotaPerS": 25.0},
                     {"Name": "kurzeme-laiks", "Fraction": 0.24, "QuotaPerS": 11.0},
                     {"Name": "latgale-meteo", "Fraction": 0.22, "QuotaPerS": 10.0}],
        "Report": {"Fields": [], "Source": "silent"},
        "Rules": {"AnswerSlack": 20_000_000, "AskEvery": 10 * SECOND, "Cold": 11 * SECOND, "ColdFrom": 0.14,
                  "Fall": 2 * SECOND, "StopSendingWithin": 2 * SECOND, "TipMultiple": 2.5},
        **changes,
    }


LIMITS = {"cores": 1.0, "memory_mb": 48, "sockets": 384, "disk_mb": 3}


def main(case, folder):
    """Runs `case(world, temporary folder, has_trouble)`, which returns a verdict and says why on the record. Exits with
    0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", random.getrandbits(32)))
    random.seed(seed)
    record.line("case", f"trouble={int(has_trouble)} seed={seed}")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    for name in ("state", "tmp"):
        (temporary / name).mkdir()
    gateways = []

    async def run():
        world = World(record)
        failures = []
        # A `CaseError` in a task of a stand-in must not pass unnoticed.
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context.get("exception") or context["message"]))
        task = asyncio.ensure_future(asyncio.wait_for(case(world, temporary, has_trouble, gateways), 115))
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            verdict = await task
        finally:
            for gateway in gateways:
                await gateway.end()
        if any(isinstance(failure, CaseError) for failure in failures):
            raise failures[0]
        return verdict

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # Any other failure is one of the case, not of the rule.
        record.line("case", f"could not run: {error!r}")
        verdict = NOT_RUN
    for log in sorted(temporary.glob("*.log")):
        record.file.write(f"--- {log.name}\n{log.read_text(errors='replace')}")
    record.file.write({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[verdict] + "\n")
    record.file.close()
    shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(verdict)
