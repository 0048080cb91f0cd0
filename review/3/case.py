"""A planned restart while bad clients hold half-sent long requests. See claim.txt."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import *  # noqa: E402, F403

# The least memory of a scored day.
SMALL = {**LIMITS, "memory_mb": 32, "sockets": 256}
# Bad clients: how many, and how long before SIGTERM they connect. Each sends the first bytes of a request and stays until
# the courier ends the connection.
BAD_CLIENTS, BAD_BEFORE, BAD_BYTES = 70, 0.1, 6000
# Ordinary requests alone before that, in seconds.
QUIET = 0.5
# Ordinary clients: the interval between their connections, and the lengths of the bodies that are handed in on one. New
# connections come for 0.4 s after SIGTERM.
INTERVAL, BODIES, NEW_CONNECTIONS_FOR = 0.025, ([200], [200, 8 << 10]), 0.4
# A connection that ends this long after the request's last byte was written does not cross the request.
NO_CROSSING = 0.1
RESTARTS = 10


async def bad_client(world, number, listen):
    """Stops in the middle of a request and stays, until the courier ends the connection."""
    reader, writer = await asyncio.open_connection(*listen)
    head = b"*5\r\n$7\r\nENQUEUE\r\n$16\r\n%s\r\n$16\r\n%016x\r\n$31\r\nc=tile-update,d=16000,dest=1%s\r\n$40000\r\n"
    writer.write((head % (b"0" * 16, random.getrandbits(64), b" " * 3)).ljust(BAD_BYTES, b"x"))
    begun = world.record.now()
    try:
        line = await reader.readline()
        await reader.read()
    except ConnectionError:
        line = b"a reset"
    world.record.line("bad", f"{number} got {line} after {world.record.now() - begun:.3f} s")
    writer.close()


def enqueue(world, length):
    """A new message and the command that hands it in."""
    destination = random.randint(1, 5)
    message = Message(f"{random.getrandbits(64):016x}", "tile-update", destination, 16.0)
    world.messages[message.id] = message
    fields = f"c=tile-update,t=vidzeme-radars,d=16000,dest={destination}".encode()
    words = [b"ENQUEUE", b"0" * 16, message.id.encode(), fields, random.randbytes(length)]
    return message, b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def hand_in(world, listen, lengths, results):
    """Hands in messages on a connection of their own, their commands at once, and notes which got no answer."""
    commands = [enqueue(world, length) for length in lengths]
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*listen), CLIENT_WAIT)
    except (OSError, asyncio.TimeoutError):
        return
    writer.write(b"".join(command for _, command in commands))
    if writer.transport.get_write_buffer_size():
        raise CaseError("the commands did not fit into the connection's buffer")
    sent = world.record.now()
    end = None
    for (message, _), length in zip(commands, lengths):
        message.sent = sent
        try:
            line = b"" if end else await asyncio.wait_for(reader.readline(), sent + CLIENT_WAIT - world.record.now())
            if line.endswith(b"\n"):
                message.answer = line.decode().strip()
            else:
                end = end or "ended by the courier"
        except asyncio.TimeoutError:
            end = "left by the client"
        except ConnectionError:
            end = "ended by the courier"
        waited = world.record.now() - sent
        world.record.line("client", f"{message.id} bytes={length} sent={sent:.3f} -> {message.answer or end} "
                                    f"after {waited:.3f} s")
        # The excuses for a first request on a connection, and for a close between requests, are not stretched: only a
        # request behind an answered one counts, and both were written at once.
        is_behind_answered = message is not commands[0][0] and commands[0][0].answer is not None
        results.append((message, end == "ended by the courier" and is_behind_answered, waited))
    writer.close()


async def case(world, folder, has_trouble, gateways):
    record, lost, answered = world.record, [], 0
    endpoints = [Endpoint(world, f"s-{number:08x}", destination, f"hall-{'abc'[number % 3]}", "partner", 60.0,
                          work=(0.21, 0.25))
                 for number, destination in enumerate([1, 1, 2, 2, 3, 3, 4, 4, 5, 5], start=0x5be2a001)]
    agent = Agent(world, "agent")
    for party in [*endpoints, agent]:
        await party.listen()
    listen = free_address()
    clients = Clients(world, listen)
    settings = site_settings()
    settings["FamilyInfo"]["CallsOut"] = 14
    gateway = Gateway(world, folder, "gateway")
    gateways.append(gateway)
    await gateway.start(listen, agent, world.targets, SMALL, settings)
    for _ in range(RESTARTS):
        began = record.now()
        while await clients.ping() != "+PONG":
            if record.now() > began + 30:
                raise CaseError("the gateway did not get ready")
            await asyncio.sleep(0.05)
        record.line("platform", "+PONG")
        results, tasks, bad = [], [], []
        term_at = record.now() + QUIET + BAD_BEFORE
        is_told = False
        while record.now() < term_at + NEW_CONNECTIONS_FOR:
            if has_trouble and not bad and record.now() >= term_at - BAD_BEFORE:
                bad = [asyncio.create_task(bad_client(world, number, listen)) for number in range(BAD_CLIENTS)]
            if not is_told and record.now() >= term_at:
                gateway.signal(signal.SIGTERM)
                is_told = True
            tasks.append(asyncio.create_task(hand_in(world, listen, random.choice(BODIES), results)))
            await asyncio.sleep(INTERVAL)
        try:
            await asyncio.wait_for(gateway.process.wait(), term_at + 3.7 - record.now())
            record.line("platform", "the gateway has ended")
        except asyncio.TimeoutError:
            pass
        await gateway.end()
        await asyncio.gather(*tasks)
        for task in bad:
            task.cancel()
        lost += [(message, waited) for message, ended, waited in results if ended and waited > NO_CROSSING]
        answered += sum(message.answer is not None for message, _, _ in results)
        await asyncio.sleep(0.6)
        await gateway.spawn()
    for message, waited in lost:
        record.line("verdict", f"lost: {message.id} sent={message.sent:.3f}, its connection ended with no answer "
                               f"{waited:.3f} s after its last byte")
    record.line("verdict", f"answered {answered}, lost {len(lost)}, {RESTARTS} restarts")
    if answered < 50:
        raise CaseError("too few requests were answered")
    return BROKEN if lost else HELD


main(case, FOLDER)
