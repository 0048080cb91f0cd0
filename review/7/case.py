"""Idle clients fill the places while others send many commands at once: the commands behind a refused one get no answer.
See claim.txt."""

import asyncio
import pathlib
import random
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from site_2 import DEADLINES, DESTINATIONS, KINDS, LIMITS, TENANTS, ZONES, settings  # noqa: E402
from stand_ins_2 import (  # noqa: E402
    BROKEN, CLIENT_WAIT, HELD, Agent, CaseError, Courier, Endpoint, Message, enqueue_request, free_address, run_case)

DESCRIPTORS = 256
ROUNDS, BETWEEN_ROUNDS = 20, 0.4
# Clients may hold a third of the descriptors. Their connections rest for less than 2 s.
KEPT, REST = 40, 0.3
# Idle clients: as many as fill the descriptors, and a few at most that come while the courier is held up.
IDLE_CLIENTS, MORE_IDLE_CLIENTS = 140, 8
# The courier is held up for less than 0.15 s.
HELD_UP, HELD_UP_MARGIN = 0.13, 0.01
# Each burst is written at once. The network delivers it in two pieces, the second one this much later.
BURSTS, COMMANDS, PIECES_APART = 20, 5, 0.03


class Link:
    """A client's connection by a network that delivers in pieces."""

    def __init__(self):
        self.socket, self.buffer, self.unsent = socket.socket(), b"", None
        self.socket.setblocking(False)

    async def connect(self, address):
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(self.socket, address), CLIENT_WAIT)

    def write(self, data, first):
        """Writes all of the data: `first` bytes arrive at once, and the rest in a second piece."""
        self.unsent = asyncio.ensure_future(self.deliver(data[:first], data[first:]))

    async def deliver(self, *pieces):
        for number, piece in enumerate(pieces):
            await asyncio.sleep(PIECES_APART * number)
            await asyncio.get_running_loop().sock_sendall(self.socket, piece)

    async def line(self, until):
        """Returns the next line; None at the end of the stream."""
        while b"\r\n" not in self.buffer:
            left = max(until - time.monotonic(), 0.001)
            data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.socket, 4096), left)
            if not data:
                return None
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    async def was_read(self):
        """Returns whether all that was written was read at the other end: nothing was reset."""
        try:
            await self.unsent
            await asyncio.sleep(0.05)
        except OSError:
            return False
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0

    def close(self):
        if self.unsent:
            self.unsent.cancel()
        self.socket.close()


async def case(world, folder, has_trouble, couriers):
    record = world.record
    endpoints = [Endpoint(world, destination, ZONES[destination % 3], KINDS[destination % 3 > 0], 50.0, (0.005, 0.02))
                 for destination in range(DESTINATIONS)]
    agent, listen = Agent(world), free_address()
    for server in (agent, *endpoints):
        await server.listen()
    couriers.append(Courier(world, folder, "only", listen, agent, {**LIMITS, "sockets": DESCRIPTORS}, settings()))
    await couriers[0].start()
    await couriers[0].ready(30)
    lost = 0
    for number in range(ROUNDS):
        lost += await one_round(world, number, couriers[0], listen, has_trouble)
        await asyncio.sleep(BETWEEN_ROUNDS)
    if couriers[0].process.returncode is not None:
        raise CaseError("the courier has ended")
    record.line("case", f"requests that were read and got no answer on a connection that was ended: {lost}")
    return BROKEN if lost else HELD


async def one_round(world, number, courier, listen, has_trouble):
    """Returns the number of lost requests."""
    kept = []
    for _ in range(KEPT):
        link = Link()
        await link.connect(listen)
        link.write(b"*1\r\n$4\r\nPING\r\n", 14)
        if await link.line(time.monotonic() + 1) != "+PONG":
            raise CaseError("no answer to PING")
        kept.append(link)
    await asyncio.sleep(REST)
    idle = connect_idle(listen, IDLE_CLIENTS) if has_trouble else []
    await asyncio.sleep(0.02)
    courier.process.send_signal(signal.SIGSTOP)
    resume_at = time.monotonic() + HELD_UP - HELD_UP_MARGIN
    try:
        idle += connect_idle(listen, random.randint(1, MORE_IDLE_CLIENTS)) if has_trouble else []
        # The connections that have rested longest are used first.
        bursts = [asyncio.ensure_future(burst(world, number, link, resume_at - random.uniform(0.002, 0.028)))
                  for link in kept[:BURSTS]]
        await asyncio.sleep(max(0.0, resume_at - time.monotonic()))
    finally:
        courier.process.send_signal(signal.SIGCONT)
    lost = sum(await asyncio.gather(*bursts))
    for connection in idle + kept:
        connection.close()
    return lost


def connect_idle(address, count):
    """Clients that connect and send nothing."""
    connections = []
    for _ in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(address)
        connections.append(connection)
    return connections


async def burst(world, number, link, at):
    """Sends several commands at once, and returns how many of them were lost."""
    messages = []
    for _ in range(COMMANDS):
        destination = random.randrange(DESTINATIONS)
        messages.append(Message("tile-update", TENANTS[destination], destination, DEADLINES["tile-update"]))
    requests = [enqueue_request(message, random.randbytes(200)) for message in messages]
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    for message in messages:
        message.sent = time.monotonic()
        world.messages[message.ident] = message
    # The first piece ends within the second command.
    link.write(b"".join(requests), len(requests[0]) + len(requests[1]) // 2)
    until, end = time.monotonic() + CLIENT_WAIT, "all answered"
    try:
        for message in messages:
            message.answer = await link.line(until)
            if message.answer is None:
                end = "the end of the stream"
                break
    except asyncio.TimeoutError:
        end = "no answer in time"
    except OSError as error:
        end = f"a reset: {error!r}"
    unanswered = [message for message in messages if message.answer is None]
    # A connection that ended before any answer was ended between two requests, and the client sends them once more.
    is_lost = end == "the end of the stream" and messages[0].answer is not None and await link.was_read()
    if unanswered:
        answers = [message.answer for message in messages]
        world.record.line("client", f"round {number}, burst of {[message.ident for message in messages]}: {answers}, "
                                    f"then {end}{', nothing reset' if is_lost else ''}")
    return len(unanswered) if is_lost else 0


run_case(case, FOLDER)
