"""A fleet with more video servers than a session manager keeps connections: the ends of playbacks."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world as w

USUAL, GROWN = 18, 96  # 18 video servers today; up to sixteen times as many (288) are named
SESSIONS = 96  # of this session manager, the same in both
SOCKETS = 256  # the least that the pages name
PLANS = [("triage", 1500000, 5000000, 1.0), ("escalation", 800000, 4000000, 2.0)]


async def case(world):
    count = GROWN if w.TROUBLE else USUAL
    servers = [w.Server(world, f"s-{i:03d}", i, w.address(12 + i)) for i in range(count)]
    calls = {}
    for i in range(SESSIONS):
        server, call = servers[i % count], 0xA0FE000000000000 + i * 0x101
        session = w.Session(call, "triage", f"title{i % count:03d}", None, 2)
        session.standing = True
        server.sessions[call] = session
        calls[call] = server
    for server in servers:
        await server.listen()
    channel = w.Channel(world, w.address(2))
    await channel.listen()
    channel.events.append(channel.event([s.entry() for s in servers], snapshot=True))
    site = w.settings(PLANS, ["hall-a"], cells=count, floors=[0, 1])
    manager = await world.start_manager("n1", w.address(1), channel, channel.events[:], site, sockets=SOCKETS)
    client = await w.Client(world, "viewers").connect(manager.host, manager.port)
    for call, server in calls.items():  # the playbacks that play when the day begins are handed over
        client.offer(call, "triage", server.sessions[call].title, server.group, 3, 2, 40000, extras=f";at:{server.name}")
    await asyncio.sleep(2)
    descriptors = len(os.listdir(f"/proc/{manager.process.pid}/fd"))
    world.record(f"{sum(1 for s in servers if s.connections)} of {count} video servers have a connection to the session "
                 f"manager, which holds {descriptors} of {SOCKETS} descriptors")
    # Every 0.7 s a playback comes to its end, in no particular order.
    order = list(calls)
    random.Random(7).shuffle(order)
    ends = {}

    def late():
        for call, (ended, sent) in ends.items():
            told = client.got(call, "end")
            limit = (1.0 if sent else 8.0) + 0.05
            at = told[0] if told else world.record.now()
            if at - ended > limit + 0.05:
                yield call, at - ended, bool(told)

    for call in order[:16]:
        server = calls[call]
        ends[call] = (world.record.now(), bool(server.connections))
        server.end(call)
        await asyncio.sleep(0.7)
    await asyncio.sleep(9)
    for call, after, told in late():
        world.breaks(f"{call:016x} at {calls[call].name} came to its end; its viewer was "
                     f"{'told' if told else 'not yet told'} {after:.1f} s after")
    descriptors = len(os.listdir(f"/proc/{manager.process.pid}/fd"))
    world.record(f"the session manager holds {descriptors} of {SOCKETS} descriptors")


w.run_case(case, seconds=25)
