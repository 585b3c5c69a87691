"""Stand-ins for the cases of the second review: a command channel, video servers, clients and the start of
session managers, by the protocol page. All of them listen on loopback addresses of this process alone."""
import asyncio
import ctypes
import json
import os
import resource
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SET_UP, RINGING, ACCEPT, RELEASE, RELEASED, NOTE, MOVE, TEST, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 51, 52, 53, 60
PLAN, WAIT, TITLE, NOTE_NAME, REPORT, RUNG_PARAM, VALUE, CAUSE, DESCRIPTION = (
    129, 132, 141, 150, 156, 162, 165, 171, 174)


def end_with_parent():
    """In a process that a case starts: it is killed when the case ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG; an exec keeps it


def address(last):
    """A loopback address that belongs to this process."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8 & 127)}.{pid & 255}.{last}"


class Record:
    """record.txt of a case: one line for each thing sent, answered or run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


def encode(kind, call, parameters=()):
    body = bytes([kind]) + struct.pack(">Q", call)
    for code, value in parameters:
        value = bytes([value]) if code == CAUSE else value if isinstance(value, bytes) else str(value).encode()
        body += bytes([code]) + struct.pack(">H", len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body):
    kind, call = body[0], struct.unpack(">Q", body[1:9])[0]
    parameters, at = {}, 9
    while at < len(body):
        length = struct.unpack(">H", body[at + 1:at + 3])[0]
        parameters[body[at]] = body[at + 3:at + 3 + length]
        at += 3 + length
    return kind, call, parameters


class Session:
    def __init__(self, call, plan, title, connection, rung=0):
        self.call, self.plan, self.title, self.connection, self.rung = call, plan, title, connection, rung
        self.standing = False


class ServerConnection(asyncio.Protocol):
    """One connection to a video server."""

    def __init__(self, server):
        self.server, self.buffer, self.transport = server, b"", None

    def connection_made(self, transport):
        self.transport = transport
        self.server.opened(self)

    def data_received(self, data):
        if self.server.vanished_connection(self):
            return
        self.buffer += data
        while len(self.buffer) >= 2:
            length = struct.unpack(">H", self.buffer[:2])[0]
            if len(self.buffer) < 2 + length:
                return
            body, self.buffer = self.buffer[2:2 + length], self.buffer[2 + length:]
            self.server.message(self, *decode(body))

    def connection_lost(self, _):
        self.server.closed(self)

    def send(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)


class Server:
    """A video server: accepts each set-up that it has a place for, keeps the session until its end, answers
    tests, and sends no note, as its link is never short. Subclass or set `on_set_up` for another answer."""

    def __init__(self, world, name, group, host, kind="std-2core", zone="hall-a", connection_cap=None):
        self.world, self.name, self.group, self.host, self.kind, self.zone = world, name, group, host, kind, zone
        self.cap = connection_cap
        self.connections, self.dead, self.sessions, self.set_ups = [], set(), {}, []
        self.unsent_releases = []  # sent on the next connection opened
        self.on_set_up = None
        self.load = 0.0
        self.listens = False
        self.accepted = 0  # connections that are open
        self.port = 0
        self.since_ms = 0
        self.fillers = []

    def log(self, text):
        self.world.record(f"server {self.name}: {text}")

    async def listen(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((self.host, self.port))
        self.port = self.socket.getsockname()[1]
        self.socket.listen(128)
        self._serve()

    def _serve(self):
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self._accept_connection)
        self.listens = True

    def _accept_connection(self):
        loop = asyncio.get_running_loop()
        try:
            accepted, _ = self.socket.accept()
        except OSError:
            return
        self.accepted += 1
        if self.cap and self.accepted >= self.cap:
            self._refuse_connections()
        loop.create_task(loop.connect_accepted_socket(lambda: ServerConnection(self), accepted))

    def _refuse_connections(self):
        """It holds every connection that it accepts: further ones are refused."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
        self.listens = False
        self.log(f"holds {self.accepted} connections, all that it accepts")

    def entry(self, status="Ready"):
        return {"name": self.name, "address": f"{self.host}:{self.port}", "zone": self.zone, "type": self.kind,
                "group": self.group, "status": status, "weight": 1, "since_ms": self.since_ms}

    def opened(self, connection):
        self.connections.append(connection)
        for call, cause in self.unsent_releases:
            self.log(f"sends the release of {call:016x} on a new connection, cause {cause}")
            connection.send(encode(RELEASE, call, [(CAUSE, cause)]))

    def closed(self, connection):
        if connection in self.connections:
            self.connections.remove(connection)
        self.dead.discard(connection)
        for call in [c for c, s in self.sessions.items() if s.connection is connection and not s.standing]:
            del self.sessions[call]  # the set-ups open on it are given up
        self.accepted -= 1
        if not self.listens and self.accepted < self.cap and not self.world.ended:
            asyncio.get_running_loop().create_task(self.listen())

    def vanished_connection(self, connection):
        """A connection of a process that is no more: whatever comes on it is answered by a reset."""
        if connection not in self.dead:
            return False
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.transport.abort()
        self.log("resets a connection of its earlier process, on which something came")
        return True

    def message(self, connection, kind, call, parameters):
        if kind == TEST:
            return connection.send(encode(TESTED, call, [(CAUSE, 1), (REPORT, f"busy:{self.load:.2f}")]))
        if kind == SET_UP:
            session = Session(call, parameters[PLAN].decode(), parameters[TITLE].decode(), connection,
                              int(parameters.get(RUNG_PARAM, b"0")))
            self.set_ups.append((self.world.record.now(), call))
            self.log(f"gets the set-up of {call:016x}, {session.plan} {session.title} rung {session.rung}")
            self.sessions[call] = session
            if self.on_set_up:
                return self.on_set_up(self, session)
            return self.world.later(0.02, lambda: self.accept(session))
        if kind == RELEASE:
            cause = parameters[CAUSE][0]
            self.log(f"gets the release of {call:016x}, cause {cause}")
            self.sessions.pop(call, None)
            self.unsent_releases = [r for r in self.unsent_releases if r[0] != call]
            return connection.send(encode(RELEASED, call))
        if kind == RELEASED:
            self.unsent_releases = [r for r in self.unsent_releases if r[0] != call]
        if kind == RUNG and call in self.sessions:
            self.sessions[call].rung = int(parameters[RUNG_PARAM])

    def accept(self, session):
        if self.sessions.get(session.call) is not session or session.connection not in self.connections:
            return
        session.standing = True
        self.log(f"answers {session.call:016x}: the session stands")
        session.connection.send(encode(ACCEPT, session.call, [(DESCRIPTION, f"{session.call:016x}\r\nt={self.name}\r\n")]))

    def refuse(self, session, cause):
        self.sessions.pop(session.call, None)
        self.log(f"answers {session.call:016x} with a release, cause {cause}")
        session.connection.send(encode(RELEASE, session.call, [(CAUSE, cause)]))

    def end(self, call, cause=16):
        """The session has come to its end: sent on the connection of its set-up, or else on any open one, and
        also on the next connection opened."""
        session = self.sessions.pop(call)
        open_ones = [c for c in self.connections if not c.transport.is_closing()]
        on = session.connection if session.connection in open_ones else open_ones[-1] if open_ones else None
        self.log(f"{call:016x} ends, cause {cause}; " + ("sends its release" if on else "no connection is open"))
        self.unsent_releases.append((call, cause))
        if on:
            on.send(encode(RELEASE, call, [(CAUSE, cause)]))

    def standing(self):
        return [s for s in self.sessions.values() if s.standing]

    # ---- a machine that gives no sign ----
    def fall_silent(self):
        """Open connections remain open and silent, and new ones never come up: nothing is read, and the full
        queue of the listening socket makes the kernel drop what asks for a connection."""
        self.log("falls silent")
        loop = asyncio.get_running_loop()
        for connection in self.connections:
            connection.transport.pause_reading()
        loop.remove_reader(self.socket.fileno())
        self.listens = False
        self.socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def _reopen(self):
        self.socket.listen(128)
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self._serve()

    def be_heard_again(self):
        """The machine was only cut off: what was sent to it arrives now."""
        self.log("is heard again")
        self._reopen()
        for connection in self.connections:
            connection.transport.resume_reading()

    def lose_process(self):
        self.log(f"its process is gone, and its {len(self.standing())} standing sessions with it")
        self.sessions = {}

    def return_cold(self):
        """A new process at the same address, which knows nothing of the old one's connections."""
        self.log("returns with a new process")
        self.dead = set(self.connections)
        self.connections = []
        self._reopen()
        for connection in self.dead:
            connection.transport.resume_reading()


class Channel:
    """The command channel. `answer_delay`: seconds from a `resume` to the first line that answers it."""

    def __init__(self, world, host, answer_delay=0.0):
        self.world, self.host, self.delay = world, host, answer_delay
        self.events, self.writers, self.first = [], {}, 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def event(self, endpoints, snapshot=False):
        number = self.first + len(self.events) + 1
        return {"cursor": number, "nodes": {"index": number, "snapshot": snapshot, "endpoints": endpoints}}

    def last(self):
        return self.first + len(self.events)

    def tell(self, endpoints):
        event = self.event(endpoints)
        self.events.append(event)
        self.world.record("channel: event %d: %s" % (
            event["cursor"], ", ".join(f"{e['name']} {e['status']} since {e['since_ms']}" for e in endpoints)))

    async def serve(self, reader, writer):
        try:
            line = await reader.readline()
            sent = int(line.split()[1])
            self.world.record(f"channel: {line.decode().strip()}")
            if self.delay:
                await asyncio.sleep(self.delay)
            heartbeat = 0.0
            while not self.world.ended and not writer.is_closing():
                if sent < self.last():
                    for event in self.events[sent - self.first:]:
                        writer.write((json.dumps(event) + "\n").encode())
                        self.world.record(f"channel: sends event {event['cursor']}")
                        sent = event["cursor"]
                if time.monotonic() >= heartbeat:
                    writer.write(f"{sent}\n".encode())
                    heartbeat = time.monotonic() + 1
                await writer.drain()
                if reader.at_eof() or writer.is_closing():
                    break
                await asyncio.sleep(0.02)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.world.record("channel: a connection ends")
            writer.close()


class Client:
    """A connection of viewers to a session manager. `answers` holds what came for each session, with its time."""

    def __init__(self, world, name):
        self.world, self.name, self.answers, self.is_open = world, name, {}, False

    async def connect(self, host, port):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.is_open = True
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                self.world.record(f"client {self.name}: gets {line.decode().strip()}")
                self.answers.setdefault(message["call"], []).append((self.world.record.now(), message))
        except OSError:
            pass
        self.is_open = False
        if not self.world.ended:
            self.world.record(f"client {self.name}: its connection ends")

    def send(self, message):
        self.writer.write((json.dumps(message) + "\n").encode())

    def offer(self, call, plan, title, home, copies, top, left_ms, extras="", hint=None):
        fields = {"class": plan, "left": str(left_ms), "key": title,
                  "extras": f"home:{home};copies:{copies};top:{top};viewer:{call:016x}{extras}"}
        if hint:
            fields["hint"] = str(hint)
        self.world.record(f"client {self.name}: offers {call:016x} {plan} {title}{extras}")
        self.send({"op": "offer", "call": f"{call:016x}", "with": fields,
                   "desc": f"{call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"})

    def end(self, call, cause=16):
        self.world.record(f"client {self.name}: ends {call:016x}")
        self.send({"op": "end", "call": f"{call:016x}", "with": {}, "why": cause})

    def got(self, call, op):
        """The first message of this type for a session, with its time, or None."""
        return next(((at, m) for at, m in self.answers.get(f"{call:016x}", []) if m["op"] == op), None)

    async def wait(self, call, op, timeout):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if found := self.got(call, op):
                return found
            await asyncio.sleep(0.01)
        return None


def settings(plans, zones, cells, seats=None, floors=None, tops=None, places=20, sockets=None, probes=True, **more):
    """Settings of a small deployment, by the names of the wire page; times in microseconds."""
    count = len(plans)
    rates = [174.0, 319.0, 584.0, 1071.0, 1965.0]
    result = {
        "Balancers": 3, "Me": 0, "Discovery": "push", "KindOfService": "streams", "Locality": 0, "Tick": 10000,
        "Blend": {"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.3},
        "Callers": {"MarksRetry": False},
        "Classes": [{"Name": name, "Aim": aim, "GiveUp": give_up, "Group": "all", "Idempotency": "free",
                     "LateShare": 0.0, "Stream": True, "Window": 5000000, "Worth": worth}
                    for name, aim, give_up, worth in plans],
        "FamilyInfo": {"AllLinksKb": 9329.0 * cells, "Cabinets": 3, "ClassTop": tops or [4] * count, "Guard": 1.0,
                       "Join": 1.0, "KbPerWeight": 9329.0, "KindSlots": [places], "Live": [False] * count,
                       "LowestRung": floors or [0] * count, "Places": cells, "RatesKb": rates,
                       "ScaleByClass": [1.0] * count, "Seats": seats or [0] * count, "SeenAfter": 779248,
                       "ShortfallCost": 7.0, "SwitchCostS": 0.82, "Tell": 0, "UplinkKb": 44781.0,
                       "WorthByRung": [0.24, 0.46, 0.65, 0.83, 1.0]},
        "Limits": {"Cancel": True, "ConnIdle": 15000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 500000,
                   "DialTimeout": 250000, "MaxRetryAfter": 1000000, "MayDuplicate": False, "MayProbe": probes,
                   "MostHeld": 1000000, "Peers": False, "RetryAfter": True, "SendCap": 5,
                   "StreamsPerConn": 32},
        "Models": ["std-2core"], "Zones": zones, "Weights": "none", "WorthBy": "work",
        "Prices": {"Connection": 0.0, "CrossZone": 0.032, "Probe": 0.0087, "Moves": 0.2, "LateFail": 0.035},
        "Report": {"Fields": ["busy"], "Via": "probe"},
        "Rules": {"Cold": 12000000, "ColdFrom": 0.4, "DrainGrace": 2000000, "Fall": 3000000,
                  "GraceToAnswer": 40000, "MustAskIn": 10000000, "OverloadFactor": 3.0},
    }
    for path, value in more.items():
        part, name = path.split("__")
        result[part][name] = value
    return result


class World:
    def __init__(self, record):
        self.record, self.ended = record, False
        self.processes, self.broken, self.machine_pause = [], [], 0.0
        self.temporary = tempfile.TemporaryDirectory(prefix="violettide-review-")
        self.record("with the disruption" if TROUBLE else "without the disruption")

    def later(self, seconds, what):
        asyncio.get_running_loop().call_later(seconds, what)

    async def sleep_until(self, at):
        await asyncio.sleep(max(0, at - self.record.now()))

    def breaks(self, text):
        self.broken.append(text)
        self.record(f"BROKEN: {text}")

    async def start_manager(self, name, host, channel, known, site, sockets=256, memory_mb=192):
        """Starts one session manager by the line `run` of the deploy file and waits until it passes a test."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        port = probe.getsockname()[1]
        probe.close()
        folder = os.path.join(self.temporary.name, name)
        os.makedirs(folder)
        path = os.path.join(folder, "config.json")
        config = {"name": name, "listen": f"{host}:{port}", "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "channel": f"{channel.host}:{channel.port}",
                  "known": {"cursor": len(known), "cmds": known}, "settings": site}
        with open(path, "w") as file:
            json.dump(config, file)
        environment = dict(os.environ, GW_NAME=name, GW_LISTEN=f"{host}:{port}", GW_CONFIG=path, TMPDIR=folder)
        log = open(os.path.join(folder, "log"), "w")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=lambda: (end_with_parent(), resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))))
        manager = type("Manager", (), {})()
        manager.host, manager.port, manager.process, manager.name = host, port, process, name
        manager.config, manager.path, manager.log = config, path, os.path.join(folder, "log")
        self.processes.append(manager)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                client = await Client(self, f"front of {name}").connect(host, port)
            except OSError:
                if process.returncode is not None:
                    break
                await asyncio.sleep(0.05)
                continue
            client.send({"op": "test", "call": "00000000000000fe", "with": {}, "why": 0})
            found = await client.wait(0xfe, "tested", 5)
            client.writer.close()
            if found and found[1].get("why") == 1:
                return manager
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} did not pass a test")

    async def watch_machine(self):
        """Records how long this process itself was kept from running: the machine may stand still, too."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            self.machine_pause = max(self.machine_pause, now - last)
            last = now

    async def answers_tests(self, manager):
        """Whether the session manager answers a test, passed or failed, within 2 s."""
        try:
            client = await asyncio.wait_for(Client(self, f"front of {manager.name}").connect(manager.host, manager.port), 2)
        except (OSError, asyncio.TimeoutError):
            return False
        client.send({"op": "test", "call": "00000000000000fd", "with": {}, "why": 0})
        found = await client.wait(0xfd, "tested", 2)
        client.writer.close()
        return found is not None

    def finish(self):
        self.ended = True
        for manager in self.processes:
            if manager.process.returncode is None:
                os.kill(manager.process.pid, signal.SIGKILL)
            else:
                self.breaks(f"{manager.name} ended by itself with {manager.process.returncode}")
            with open(manager.log) as log:
                for line in log:
                    self.record(f"log of {manager.name}: {line.strip()}")


class Void(Exception):
    """The run says nothing of the rule."""


def run_case(case, seconds, void_if_hung=True):
    """Runs `case(world)`; exits with 1 if it found the rule broken, 0 if the rule held, 2 if it couldn't run.

    A session manager that was kept from running for some 0.1 s, as by a busy machine, may hang for good: that is
    case 6. A run in which it hangs says nothing of another rule. It is void (`void_if_hung`) and done again, as long
    as there is time for `seconds` more."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    start = time.monotonic()
    record = Record(folder)

    async def once(world):
        watch = asyncio.create_task(world.watch_machine())
        try:
            await case(world)
            for manager in world.processes:
                if void_if_hung and manager.process.returncode is None and not await world.answers_tests(manager):
                    raise Void(f"{manager.name} hangs; the longest pause of the machine was "
                               f"{world.machine_pause * 1000:.0f} ms")
        finally:
            watch.cancel()
            world.finish()
            for manager in world.processes:
                await manager.process.wait()

    while True:
        world = World(record)
        try:
            asyncio.run(asyncio.wait_for(once(world), 112 - (time.monotonic() - start)))
            break
        except Void as void:
            record(f"void: {void}")
            print(f"void: {void}")
            if time.monotonic() - start + seconds > 110:
                sys.exit(2)
        except Exception as error:  # the case itself failed
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            sys.exit(2)
    for text in world.broken:
        print(f"BROKEN: {text}")
    record("the rule was broken" if world.broken else "the rule held")
    print("the rule was broken" if world.broken else "the rule held")
    sys.exit(1 if world.broken else 0)
