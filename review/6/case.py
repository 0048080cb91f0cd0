"""Half of the endpoints hang while a courier is told to end: what its restart finds untried is given up. See claim.txt."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins_2 import (  # noqa: E402
    BROKEN, HELD, SECOND, Agent, CaseError, Clients, Courier, Endpoint, Message, free_address, run_case)

DESTINATIONS, HANGING, ENDPOINTS_EACH = 10, 5, 2
# The tenant that each destination belongs to, by the tenants' shares.
TENANTS = ["vidzeme-radars", "kurzeme-laiks", "vidzeme-radars", "latgale-meteo", "vidzeme-radars",
           "vidzeme-radars", "kurzeme-laiks", "latgale-meteo", "vidzeme-radars", "vidzeme-radars"]
FULL_LOAD_PER_S = 17  # 51 messages a second for 3 couriers.
RATE_PER_S = 1.3 * FULL_LOAD_PER_S
HANG_AT, TERM_AT, HANG_S = 6.0, 11.0, 18.0
KILL_AFTER, START_AFTER_KILL = 3.7, 0.6
FRONT_STOPS_AFTER = 0.3
TRAFFIC_UNTIL = HANG_AT + HANG_S + 4
# An end this long before a message's time is up is early.
EARLY_S = 0.1
# Fewer messages than this are too few to speak of over half of them.
LEAST_FOUND = 10
# Name, effect, worth, aim, deadline, window for repeats and share of messages, as the site has them.
CLASSES = [("tile-update", "read_like", 1.0, 2, 16, 5, 0.45),
           ("storm-alert", "idempotency_key", 2.0, 2, 28, 15, 0.38),
           ("licence-payment", "non_idempotent", 5.0, 4, 28, 5, 0.17)]
SECONDS = {name: deadline for name, _, _, _, deadline, _, _ in CLASSES}
UNSAFE = {name for name, effect, *_ in CLASSES if effect == "non_idempotent"}
SETTINGS = {
    "Balancers": 3, "Family": "deliver", "Discovery": "push", "WeightSource": "rough", "WorthBy": "request",
    "Tick": 5_000_000, "Rank": 1, "Tier": 0, "Tiers": ["partner-systems"], "Locality": 1, "OverShareWorth": 0.2,
    "Zones": ["hall-a", "hall-b", "hall-c"], "MachineTypes": ["bulk-partner", "partner"],
    "ClientHabits": {"MarksRetry": True},
    "FamilyInfo": {"CallsOut": 7, "Decay": "halves", "FeeByZone": [0.0, 0.03, 0.06], "KindBatch": [10, 1],
                   "OwnLimits": [True, True], "RefusalCost": 0.0},
    "Lanes": [{"Name": name, "Effect": effect, "Group": "all", "Worth": worth, "Aim": aim * SECOND,
               "Deadline": deadline * SECOND, "RepeatWindow": window * SECOND, "LateShare": 0.5, "Stream": False}
              for name, effect, worth, aim, deadline, window, _ in CLASSES],
    "Permissions": {"Cancel": True, "ConnIdle": 10 * SECOND, "ConnectTimeout": 1_500_000_000, "CpuUsPerRequest": 0.0,
                    "CpuUsPerS": 400_000, "MaxRetryAfter": 3 * SECOND, "MaxStreams": 8,
                    "MostHeld": int(5.7 * FULL_LOAD_PER_S), "Peers": False, "Probes": True, "RetryAfter": True,
                    "SecondCopies": False, "SendCap": 12},
    "Projects": [{"Name": "vidzeme-radars", "Fraction": 0.54, "QuotaPerS": 25.0},
                 {"Name": "kurzeme-laiks", "Fraction": 0.24, "QuotaPerS": 11.0},
                 {"Name": "latgale-meteo", "Fraction": 0.22, "QuotaPerS": 10.0}],
    "Report": {"Fields": [], "Source": "silent"},
    "Rules": {"AnswerSlack": 20_000_000, "AskEvery": 10 * SECOND, "Cold": 11 * SECOND, "ColdFrom": 0.14,
              "Fall": 2 * SECOND, "StopSendingWithin": 2 * SECOND, "TipMultiple": 2.5},
}
LIMITS = {"cores": 1.0, "memory_mb": 48, "sockets": 384, "disk_mb": 3}


async def case(world, folder, has_trouble, couriers):
    record = world.record
    endpoints = [Endpoint(world, destination, f"hall-{'abc'[destination % 3]}",
                          "bulk-partner" if destination % 3 == 0 else "partner", 6.0)
                 for destination in range(DESTINATIONS) for _ in range(ENDPOINTS_EACH)]
    agent, listen = Agent(world), free_address()
    for server in (agent, *endpoints):
        await server.listen()
    couriers.append(Courier(world, folder, "first", listen, agent, LIMITS, SETTINGS))
    await couriers[0].start()
    await couriers[0].ready(30)
    clients = Clients(world, listen)
    start = time.monotonic()
    traffic = asyncio.ensure_future(send_traffic(clients, start))

    await sleep_until(start + HANG_AT)
    hanging = [endpoint for endpoint in endpoints if endpoint.destination < HANGING] if has_trouble else []
    for endpoint in hanging:
        endpoint.hangs = True
    record.line("case", f"{len(hanging)} of {len(endpoints)} endpoints hang")

    await sleep_until(start + TERM_AT)
    couriers[0].signal(signal.SIGTERM)
    asyncio.get_running_loop().call_later(FRONT_STOPS_AFTER, setattr, clients, "opens_new", False)
    if not await couriers[0].ended(KILL_AFTER):
        couriers[0].signal(signal.SIGKILL)
        await couriers[0].ended(1)
    await sleep_until(start + TERM_AT + KILL_AFTER + START_AFTER_KILL)
    couriers.append(Courier(world, folder, "second", listen, agent, LIMITS, SETTINGS))
    found = [message for message in world.messages.values()
             if message.accepted and not message.calls and not message.notices]
    await couriers[1].start()
    await couriers[1].ready(10)
    ready = time.monotonic()
    found = [message for message in found if message.due - ready >= message.seconds / 2]
    clients.opens_new = True

    await sleep_until(start + HANG_AT + HANG_S)
    for endpoint in hanging:
        endpoint.recover()
    record.line("case", "no endpoint hangs any more")
    await traffic
    end = max((message.due for message in found), default=time.monotonic()) + 0.6
    while time.monotonic() < end and not all(message.calls or message.notices for message in found):
        await asyncio.sleep(0.1)
    if any(courier.process.returncode is not None for courier in couriers[1:]):
        raise CaseError("the second process has ended")
    return judge(record, found, has_trouble)


async def send_traffic(clients, start):
    names, weights = [name for name, *_ in CLASSES], [share for *_, share in CLASSES]
    handed_in = set()
    while time.monotonic() < start + TRAFFIC_UNTIL:
        name = random.choices(names, weights)[0]
        destination = random.randrange(DESTINATIONS)
        message = Message(name, TENANTS[destination], destination, SECONDS[name])
        task = asyncio.ensure_future(clients.hand_in(message, random.randbytes(200)))
        handed_in.add(task)
        task.add_done_callback(handed_in.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*handed_in)


def judge(record, found, has_trouble):
    """Over half of what was found untried, or of that part of it that may not be repeated, given up early with no call."""
    verdict = HELD
    unsafe = [message for message in found if message.kind in UNSAFE]
    for name, group in (("all", found), ("those that may not be repeated", unsafe)):
        given_up = [message for message in group
                    if not message.calls and message.notices and message.notices[0][0] < message.due - EARLY_S]
        uncalled = [message for message in group if not message.calls]
        record.line("case", f"found untried with half of their time left, {name}: {len(group)}; never called: "
                            f"{len(uncalled)}; given up early with no call: {len(given_up)}")
        if len(group) >= LEAST_FOUND and 2 * len(given_up) > len(group):
            verdict = BROKEN
    if has_trouble and len(found) < LEAST_FOUND:
        raise CaseError("the restart found too few untried messages")
    return verdict


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


run_case(case, FOLDER)
