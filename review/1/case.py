"""A new configuration crosses an upgrade. See claim.txt."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import *  # noqa: E402, F403

# A message is lost if it has not ended this long after its time. PROTOCOL says 300 ms, STANDING half a second; the longer
# of the two counts here, and 50 ms more as for every limit.
OVERDUE = 0.55
# The upgrade begins at this time. The new configuration comes this long after the start of the new process.
UPGRADE_AT, CROSSING = 3.0, 0.05
# The platform asks the new process whether it is ready each time after this interval.
READY_INTERVAL = 0.1
# Clients hand in messages until then.
TRAFFIC_END = 12.0
# The destination whose endpoints refuse connections, and for how long: 7.1 to 14 s in the incident record.
STRUCK, STRUCK_FROM, STRUCK_FOR = 3, 2.0, 14.0
# Deadlines are shorter than on the site, as on the short days.
LANES = [lane("tile-update", "read_like", 1.0, 1, 4, 3, 0.5),
         lane("storm-alert", "idempotency_key", 2.0, 1, 6, 5, 0.4),
         lane("licence-payment", "non_idempotent", 5.0, 2, 6, 3, 0.5)]


async def upgrade(old, new, note_started, note_ready):
    await new.spawn()
    note_started()
    await asyncio.sleep(READY_INTERVAL)
    while not await new.is_ready():
        await asyncio.sleep(READY_INTERVAL)
    new.world.record.line("platform", f"{new.name} says yes")
    note_ready()
    old.signal(signal.SIGTERM)
    await asyncio.sleep(3.7)
    await old.end()


async def case(world, folder, has_trouble, gateways):
    record = world.record
    endpoints = [Endpoint(world, f"s-{number:08x}", destination, f"hall-{'abc'[number % 3]}", "partner", 12.0)
                 for number, destination in enumerate([1, 1, 2, 2, 3, 3, 4, 4, 5, 5], start=0x5be2a001)]
    struck = [endpoint for endpoint in endpoints if endpoint.destination == STRUCK]
    agents = [Agent(world, "agent-1"), Agent(world, "agent-2")]
    for party in [*endpoints, *agents]:
        await party.listen()
    listen = free_address()
    clients = Clients(world, listen)
    settings = site_settings(Lanes=LANES)
    old = Gateway(world, folder, "old", free_address())
    new = Gateway(world, folder, "new", free_address())
    gateways += [old, new]
    await old.start(listen, agents[0], world.targets, LIMITS, settings)
    while await clients.ping() != "+PONG":
        if record.now() > 30:
            raise CaseError("the gateway did not get ready")
        await asyncio.sleep(0.05)
    start = record.now()

    async def at(seconds):
        await asyncio.sleep(start + seconds - record.now())

    async def traffic():
        tasks = []
        while record.now() < start + TRAFFIC_END:
            kind = random.choices(LANES, (45, 38, 17))[0]
            seconds = kind["Deadline"] / SECOND
            message = clients.hand_in(kind["Name"], random.randint(1, 5), seconds, random.randbytes(200))
            tasks.append(asyncio.create_task(message))
            await asyncio.sleep(random.expovariate(10))
        await asyncio.gather(*tasks)

    async def outage():
        await at(STRUCK_FROM)
        record.line("endpoints", f"those of destination {STRUCK} refuse connections")
        for endpoint in struck:
            await endpoint.refuse()
        await asyncio.sleep(STRUCK_FOR)
        for endpoint in struck:
            await endpoint.listen()

    async def reconfigure(program):
        """Replaces the file, and sends SIGHUP to the program, which is ready and in its second second at least."""
        write_config(folder, listen, agents[1], world.targets, LIMITS, settings)
        record.line("platform", "configuration replaced: discovery is agent-2")
        program.signal(signal.SIGHUP)
        await agents[0].retire()

    ready_at = []
    background = [asyncio.create_task(traffic()), asyncio.create_task(outage())]
    await at(UPGRADE_AT)
    started = asyncio.Event()
    replaced = asyncio.create_task(upgrade(old, new, started.set, lambda: ready_at.append(record.now())))
    if has_trouble:
        await started.wait()
        await asyncio.sleep(CROSSING)
        if ready_at:
            raise CaseError("the new process was ready before the configuration was replaced")
        await reconfigure(old)
    else:
        await at(UPGRADE_AT + 2.0)
        if not ready_at or record.now() < ready_at[0] + 1:
            raise CaseError("the new process was not ready in time")
        await reconfigure(new)
    await background[0]
    await at(TRAFFIC_END + 6 + 1)
    await replaced
    if new.process.returncode is not None:
        raise CaseError(f"the new process ended with {new.process.returncode}")
    background[1].cancel()
    return judge(world, record)


def judge(world, record):
    taken_on = [message for message in world.messages.values() if message.taken_on]
    if len(taken_on) < 50:
        raise CaseError(f"only {len(taken_on)} messages were taken on")
    lost = [message for message in taken_on if message.ended is None or message.ended > message.due + OVERDUE]
    for message in lost:
        end = "never" if message.ended is None else f"{message.ended - message.due:.3f} s late"
        record.line("verdict", f"lost: {message.id} {message.kind} dest={message.destination} sent={message.sent:.3f} "
                               f"due={message.due:.3f} calls={len(message.calls)} ended={end}")
    record.line("verdict", f"taken on {len(taken_on)}, lost {len(lost)}")
    return BROKEN if lost else HELD


main(case, FOLDER)
