"""One spoilt answer from each video server, with a length that does not fit: the ends of playbacks after it."""
import asyncio
import os
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world as w

PLAYBACKS = 45  # at three video servers, of which each runs 35 at most
LIMIT = 8.0 + 0.05
PLANS = [("triage", 1500000, 5000000, 1.0), ("escalation", 800000, 4000000, 2.0)]


async def case(world):
    servers = [w.Server(world, f"s-{i:02d}", i, w.address(10 + i)) for i in range(3)]
    spoils = set()

    def on_set_up(server, session):
        if server not in spoils:
            return world.later(0.02, lambda: server.accept(session))
        spoils.discard(server)
        server.sessions.pop(session.call)
        answer = w.encode(w.ACCEPT, session.call, [(w.DESCRIPTION, f"{session.call:016x}\r\nt={server.name}\r\n")])
        server.log(f"answers {session.call:016x} with {len(answer) - 2} bytes that are said to be 16000")
        session.connection.send(struct.pack(">H", 16000) + answer[2:])

    for server in servers:
        server.on_set_up = on_set_up
        await server.listen()
    channel = w.Channel(world, w.address(2))
    await channel.listen()
    channel.events.append(channel.event([s.entry() for s in servers], snapshot=True))
    site = w.settings(PLANS, ["hall-a"], cells=3, floors=[0, 1], places=35)
    manager = await world.start_manager("n1", w.address(1), channel, channel.events[:], site)
    client = await w.Client(world, "viewers").connect(manager.host, manager.port)
    call = 0x55FE000000000000

    def ask():
        nonlocal call
        call += 1
        client.offer(call, "triage", f"title{call % 9}", 0, 3, 0, 5000)
        return call

    for _ in range(PLAYBACKS):
        await client.wait(ask(), "accept", 1)
    world.record("sessions: " + ", ".join(f"{len(s.standing())} at {s.name}" for s in servers))
    if w.TROUBLE:
        spoils.update(servers)
    for _ in range(40):  # until each server has spoilt one answer
        if not spoils:
            break
        ask()
        await asyncio.sleep(0.25)
    # At each server one playback comes to its end every 0.8 s. Viewers go on coming.
    ends = {}
    for _ in range(15):
        for server in servers:
            if server.standing():
                over = server.standing()[0].call
                ends[over] = (world.record.now(), server)
                server.end(over)
        ask()
        await asyncio.sleep(0.8)
    await asyncio.sleep(LIMIT + 1)
    late = []
    for over, (ended, server) in ends.items():
        told = client.got(over, "end")
        if client.got(over, "accept") and (not told or told[0] > ended + LIMIT):
            late.append((told[0] - ended if told else world.record.now() - ended, over, server, bool(told)))
    world.record(f"{len(ends)} playbacks came to their end")
    for after, over, server, told in sorted(late, key=lambda x: -x[0])[:4]:
        world.breaks(f"{over:016x} at {server.name} came to its end; its viewer was "
                     f"{'told' if told else 'not yet told'} {after:.1f} s after ({len(late)} such ends of {len(ends)})")


w.run_case(case, seconds=32)
