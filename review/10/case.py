"""A video server that gives no sign for 6 s and is heard again: the seats of a lesson."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import world as w

SILENT = 6.0  # seconds, of one video server in five
SEATS = 2
PLANS = [("recorded-lesson", 1000000, 5000000, 1.0), ("live-class", 1000000, 3000000, 2.0)]


async def case(world):
    servers = [w.Server(world, f"s-{i:02d}", i, w.address(10 + i)) for i in range(5)]
    for server in servers:
        await server.listen()
    channel = w.Channel(world, w.address(2))
    await channel.listen()
    channel.events.append(channel.event([s.entry() for s in servers], snapshot=True))
    site = w.settings(PLANS, ["quezon-city"], cells=5, floors=[0, 1], tops=[3, 4], seats=[0, SEATS],
                      Rules__RatioSpan=5000000, Rules__ExtraFree=3, Rules__ExtraShare=0.1,
                      Rules__DrainGrace=500000, Limits__StreamsPerConn=100)
    manager = await world.start_manager("n1", w.address(1), channel, channel.events[:], site)
    client = await w.Client(world, "viewers").connect(manager.host, manager.port)
    lesson, asked = "3c55e01b9a77d204", 0

    def ask(again=False):
        nonlocal asked
        asked += 1
        call = 0x11FE000000000000 + asked
        client.offer(call, "live-class", lesson, home=0, copies=3, top=4, left_ms=3000,
                     extras=";again:1" if again else "", hint=60000)
        return call

    def held():
        return [(s.name, x.call) for s in servers for x in s.standing() if x.title == lesson]

    watching = [ask() for _ in range(SEATS)]
    for call in watching:
        if not await client.wait(call, "accept", 3):
            raise RuntimeError("a set-up was not answered")
    extra = ask()
    if not await client.wait(extra, "end", 3):
        raise RuntimeError("a set-up beyond the seats was not refused")
    silent = next(s for s in servers if s.name == held()[0][0])
    if w.TROUBLE:
        silent.fall_silent()
    began = world.record.now()
    heard = False
    gone = set()
    while world.record.now() < began + 16 and not world.broken:
        await asyncio.sleep(0.05)
        at = world.record.now() - began
        if w.TROUBLE and at >= SILENT and not heard:
            heard = True
            silent.be_heard_again()
        for call in list(watching):  # whoever was told that the playback is over comes again
            if client.got(call, "end") and call not in gone:
                gone.add(call)
                world.later(0.6, lambda: watching.append(ask(again=True)))
        # Until two seconds after the end of the silence nothing is asked of the session manager.
        if at > SILENT + 2 and len(held()) > SEATS:
            world.breaks(f"{SEATS} seats, and {len(held())} sessions of the lesson that this session manager set up and "
                         f"never released: " + ", ".join(f"{call:016x} at {name}" for name, call in held()))


w.run_case(case, seconds=18)
