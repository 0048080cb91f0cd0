"""A request comes a second time, behind a replacement of the process: a payment is made twice. See claim.txt."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from site_2 import (  # noqa: E402
    DEADLINES, DESTINATIONS, EFFECTS, FULL_LOAD_PER_S, KINDS, LIMITS, NAMES, SHARES, TENANTS, ZONES, settings, unsafe)
from stand_ins_2 import (  # noqa: E402
    BROKEN, HELD, Agent, CaseError, Clients, Courier, Endpoint, Message, free_address, run_case)

UNSAFE = unsafe(EFFECTS)
UPGRADE_AT, KILL_AFTER, YES_WITHIN = 6.0, 3.7, 6.0
# The bad clients come once the old process has ended, or would have at the latest.
BAD_CLIENTS_AT = UPGRADE_AT + 4.5
BAD_CLIENTS = 10
# What is owed to a bad client within this time of its connecting is an error line or a close.
BAD_CLIENT_WAIT = 3.0
TRAFFIC_UNTIL = BAD_CLIENTS_AT + 3


async def case(world, folder, has_trouble, couriers):
    record = world.record
    endpoints = [Endpoint(world, destination, ZONES[destination % 3], KINDS[destination % 3 > 0], 6.0)
                 for destination in range(DESTINATIONS) for _ in range(2)]
    agent, listen = Agent(world), free_address()
    for server in (agent, *endpoints):
        await server.listen()
    couriers.append(Courier(world, folder, "first", listen, agent, LIMITS, settings()))
    await couriers[0].start()
    await couriers[0].ready(30)
    clients = Clients(world, listen)
    start = time.monotonic()
    traffic = asyncio.ensure_future(send_traffic(clients, start))

    await sleep_until(start + UPGRADE_AT)
    before = time.monotonic()
    if has_trouble:
        couriers.append(Courier(world, folder, "second", listen, agent, LIMITS, settings()))
        await couriers[1].start()
        await couriers[1].ready(YES_WITHIN)
        couriers[0].signal(signal.SIGTERM)
        if not await couriers[0].ended(KILL_AFTER):
            couriers[0].signal(signal.SIGKILL)
            await couriers[0].ended(1)

    await sleep_until(start + BAD_CLIENTS_AT)
    paid = [message for message in world.messages.values()
            if message.kind in UNSAFE and message.accepted and message.delivered and message.delivered < before]
    if len(paid) < BAD_CLIENTS:
        raise CaseError("too few payments were delivered")
    repeated = paid[-BAD_CLIENTS:]
    await asyncio.gather(*(bad_client(record, listen, message) for message in repeated))
    await traffic
    await asyncio.sleep(2)
    if couriers[-1].process.returncode is not None:
        raise CaseError("the courier has ended")
    return judge(record, world)


async def send_traffic(clients, start):
    handed_in = set()
    while time.monotonic() < start + TRAFFIC_UNTIL:
        name, destination = random.choices(NAMES, SHARES)[0], random.randrange(DESTINATIONS)
        message = Message(name, TENANTS[destination], destination, DEADLINES[name])
        task = asyncio.ensure_future(clients.hand_in(message, random.randbytes(200)))
        handed_in.add(task)
        task.add_done_callback(handed_in.discard)
        await asyncio.sleep(random.expovariate(FULL_LOAD_PER_S))
    await asyncio.gather(*handed_in)


async def bad_client(record, listen, message):
    """Sends a message that was taken on, byte for byte as its client did, and then what is no request."""
    reader, writer = await asyncio.open_connection(*listen)
    writer.write(message.request + b"\x16\x03\x01")
    try:
        answer = (await asyncio.wait_for(reader.readline(), BAD_CLIENT_WAIT)).decode().strip()
    except (ConnectionError, asyncio.TimeoutError):
        answer = ""
    record.line("bad client", f"{message.ident} again, then no request -> {answer}")
    writer.close()


def judge(record, world):
    """A message that may not be repeated was called once more although it had been delivered."""
    verdict = HELD
    for message in world.messages.values():
        if message.kind in UNSAFE and message.delivered is not None:
            late = [call for call in message.calls if call > message.delivered]
            if late:
                record.line("case", f"{message.ident} {message.kind} was delivered, and called again "
                                    f"{late[0] - message.delivered:.3f} s later; calls: {len(message.calls)}")
                verdict = BROKEN
    return verdict


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


run_case(case, FOLDER)
