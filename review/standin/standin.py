"""Stand-ins for the platform's store, replicas, KV stores and clients, on loopback addresses.

They follow PROTOCOL.md where the cases need it, and behave like a sound server, client or platform elsewhere. A case
builds a World, which starts `target/medlard attach` as the deploy file does, with settings rendered as
deploy/settings.json would be for a small deployment, and ends every process that it started.
"""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
HEARTBEAT = 1.2      # HeartbeatMs of the small sites
DRAIN = 2.0          # DrainMs
STABLE = 3.0         # StableWindowMs
CONFIG_APPLY = 2.0   # ConfigApplyMs


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as t, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as u:
            t.bind((HOST, 0))
            port = t.getsockname()[1]
            try:
                u.bind((HOST, port))
            except OSError:
                continue
            return port


class Record:
    """The record of a run: one JSON line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 3), "event": event, **fields}) + "\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method, self.headers, self.body, self.writer = method, headers, body, writer
        self.path, _, query = target.partition("?")
        self.target = target
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        h = await reader.readline()
        if h in (b"\r\n", b""):
            return line.decode("latin1").strip(), headers
        name, _, value = h.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            out += chunk
            if size == 0:
                return out
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def response(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body, headers = json.dumps(body).encode(), [("Content-Type", "application/json"), *headers]
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for k, v in headers:
        head += f"{k}: {v}\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP/1.1 server; handle returns the bytes of a response, or None if it has answered or closed."""

    def __init__(self):
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    return
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                out = await self.handle(Request(method, target, headers, body, writer))
                if out is None:
                    if writer.is_closing():
                        return
                else:
                    writer.write(out)
                    await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: a log with keyed topics."""

    def __init__(self, record, era=1):
        super().__init__()
        self.record, self.era, self.down = record, era, False
        self.topics = {}  # name: list of (key, value) for keyed topics, and of bytes for others
        self.changed = asyncio.Event()

    def append(self, topic, entry):
        self.topics.setdefault(topic, []).append(entry)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.topics[topic]) - 1

    def put(self, topic, key, value):
        """Writes the record of a key; None drops the key."""
        raw = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        k = key.encode()
        return self.append(topic, bytes([len(k)]) + k + raw)

    def copy(self):
        return {t: list(r) for t, r in self.topics.items()}

    def newest(self, topic):
        out = {}
        for at, r in enumerate(self.topics.get(topic, [])):
            n = 1 + r[0]
            out[r[1:n].decode()] = (r[n:], at)
        return {k: v for k, v in sorted(out.items()) if v[0]}

    def answer(self, status, body=b""):
        return response(status, body, [("Store-Era", str(self.era))])

    async def handle(self, q):
        if self.down:
            q.writer.transport.abort()
            return None
        await asyncio.sleep(0.004)
        topic = q.query.get("Topic", "")
        log = self.topics.setdefault(topic, [])
        if q.path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return self.answer(403, {})
            if "At" in q.query and int(q.query["At"]) != len(log):
                return self.answer(412, {"End": len(log)})
            at, body = len(log), q.body
            while body:
                n = struct.unpack(">I", body[:4])[0]
                self.append(topic, body[4:4 + n])
                body = body[4 + n:]
            return self.answer(200, {"Offset": at, "End": len(log)})
        if q.path == "/-/log-read":
            start, end = int(q.query["From"]), time.monotonic() + int(q.query.get("WaitMs", 0)) / 1000
            era = self.era
            if start > len(log):
                return self.answer(410, {"First": 0})
            while start >= len(self.topics.get(topic, [])) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    break
                if self.down or self.era != era:
                    q.writer.transport.abort()
                    return None
            log = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(log), 0)
            for r in log[start:]:
                out += struct.pack(">I", len(r)) + r
            return self.answer(200, out)
        if q.path == "/-/log-newest":
            items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": at}
                     for k, (v, at) in self.newest(topic).items() if k > q.query.get("after", "")]
            return self.answer(200, {"items": items, "More": False, "End": len(log)})
        if q.path == "/-/log-trim":
            return self.answer(200, {})
        return self.answer(404, {})

    async def go_down(self, seconds):
        """Is away for a moment: channels are reset."""
        self.down = True
        for w in list(self.writers):
            w.transport.abort()
        await asyncio.sleep(seconds)
        self.down = False

    async def drill(self, copy, seconds):
        """Is away for a moment and comes back from a copy; what was written since is gone, and Store-Era is one higher."""
        await self.go_down(seconds)
        self.topics, self.era = {t: list(r) for t, r in copy.items()}, self.era + 1


class Replica(Server):
    """A replica. It writes its entry each heartbeat, and answers requests whose target it is."""

    def __init__(self, world, name, service, zone="z1", models=None, slots=64, build="v1"):
        super().__init__()
        self.world, self.store, self.record = world, world.store, world.record
        self.name, self.service, self.zone, self.slots, self.build = name, service, zone, slots, build
        self.models, self.phase, self.listed = models, "ready", True
        self.reaches_store, self.sequence, self.orders = True, 0, 0
        self.born = int(time.time() * 1000)
        self.written_at = self.beat_at = time.monotonic()
        self.runs = []     # requests that it has begun to work on
        self.arrivals = [] # all requests with an id, with what became of them
        self.rule = None   # returns a response that the replica gives instead of running the request, or None
        self.extra = []    # headers of all its answers

    def entry(self):
        self.sequence += 1
        e = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": self.build, "MaxBatchSize": self.slots,
             "Phase": self.phase, "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}
        if self.models:
            e.update(Stage="colocated", Models=[{"Name": m, "Version": v, "Adapters": []} for m, v in self.models.items()])
        return e

    def write_entry(self):
        if not self.listed or self.store.down or not self.reaches_store:
            return False
        self.written_at = time.monotonic()
        self.store.put("keyed.servers", self.name, self.entry())
        return True

    async def beat(self):
        while True:
            self.beat_at = time.monotonic()
            self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    def own_headers(self, q):
        return [("Medlarfield-Request-Id", q.get("Medlarfield-Request-Id")), ("Medlarfield-Instance-Id", self.name), *self.extra]

    async def handle(self, q):
        if q.path == "/-/report":
            models = [{"Name": m, "Version": v, "Adapters": []} for m, v in (self.models or {}).items()]
            return response(200, {"Stage": "colocated", "Models": models, "Busy": False, "Sequence": self.orders, "Waiting": 0, "Running": 0,
                                  "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": self.born, "Phase": self.phase}, self.extra)
        if q.path == "/healthz":
            return response(200 if self.phase == "ready" and not self.extra else 503, b"", [("Medlarfield-Instance-Id", self.name), *self.extra])
        if not q.get("Medlarfield-Request-Id"):
            return response(404 if q.path.startswith("/-/") else 400, b"", self.extra)
        arrival = {"t": self.record.now(), "id": q.get("Medlarfield-Request-Id"), "ran": False, "tenant": q.get("Medlarfield-Tenant"),
                   "salt": q.get("Medlarfield-Cache-Salt"), "version": q.get("Medlarfield-Expected-Version")}
        self.arrivals.append(arrival)
        if q.get("Medlarfield-Target-Instance") not in ("", self.name):
            self.record.write("rejected", replica=self.name, id=arrival["id"], status=421)
            return response(421, b"", self.own_headers(q))
        expected = q.get("Medlarfield-Expected-Version")
        if expected and self.models and expected != str(self.models.get(q.get("Medlarfield-Model"))):
            self.record.write("rejected", replica=self.name, id=arrival["id"], status=421)
            return response(421, b"", self.own_headers(q))
        if self.rule:
            out = self.rule(q, arrival)
            if out is not None:
                return out
        arrival["ran"] = True
        self.runs.append(arrival)
        self.record.write("run", replica=self.name, **{k: v for k, v in arrival.items() if k not in ("t", "ran")}, **(self.on_run(q) or {}))
        return await self.run(q)

    def on_run(self, q):
        return {}

    async def run(self, q):
        await asyncio.sleep(0.01)
        signature = ("Medlarfield-Server-Signature", uuid.uuid4().hex)
        if not self.models:
            return response(200, b"answer of " + self.name.encode(), [*self.own_headers(q), signature])
        version = ("Medlarfield-Weight-Versions", str(next(iter(self.models.values()))))
        events = b"".join(b"id: %d\ndata: piece %d\n\n" % (i, i) for i in range(1, 4))
        return response(200, events, [*self.own_headers(q), signature, version, ("Content-Type", "text/event-stream")])


class Engine(Replica):
    """A model replica that caches the parts of prompts under their salt, and notes which request made each."""

    def __init__(self, world, name, service, model, **more):
        super().__init__(world, name, service, models={model: 1}, **more)
        self.cached = {}  # (salt, part) to the tenant and the id of the request that made it
        self.uses = []    # each use of a part: the request's tenant, the maker's tenant, time, salt, part

    def on_run(self, q):
        salt, tenant, rid = q.get("Medlarfield-Cache-Salt"), q.get("Medlarfield-Tenant"), q.get("Medlarfield-Request-Id")
        used, cached = [], True
        for item in q.get("Medlarfield-Prompt-Prefix").split(","):
            part = item.split(":")[0]
            maker = self.cached.get((salt, part))
            cached = cached and maker is not None  # a part is used only if all before it are cached too
            if cached:
                used.append([part, *maker])
                self.uses.append((tenant, maker[0], self.record.now(), salt, part))
            elif maker is None:
                self.cached[(salt, part)] = (tenant, rid)
        return {"used": used}


def across_the_wall(engines, isolated, since=0.0):
    """Returns the uses of KV cache between two tenants one of which is isolated."""
    return [u for e in engines for u in e.uses if u[0] != u[1] and isolated in u[:2] and u[2] > since]


class Prompts:
    """Sends prompts of tenants that share their first two parts; the last one belongs to the request."""

    def __init__(self, node, route, model):
        self.node, self.route, self.model, self.serial = node, route, model, 0

    async def ask(self, tenant):
        self.serial += 1
        parts = f"5c1e07a2:800,91bd3f06:410,e44{self.serial:05x}:250"
        headers = [("Medlarfield-Model", self.model), ("Medlarfield-Token-Usage", "1460,80"), ("Medlarfield-Prompt-Prefix", parts)]
        return await self.node.ask(self.route, f"key-of-{tenant}", headers)


class World:
    """A small deployment: a store, replicas and instances."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve()
        self.record = Record(self.case / "record.txt")
        self.store = Store(self.record)
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.replicas, self.nodes, self.tasks = [], [], []
        self.served = {}  # requests that were answered 200, by the tenant's key

    async def start(self, config, replicas, nodes=1):
        await self.store.listen()
        self.store.put("keyed.op", "config", config)
        for r in replicas:
            await r.listen()
            self.replicas.append(r)
            self.tasks.append(asyncio.ensure_future(r.beat()))
        self.tasks.append(asyncio.ensure_future(self.expire()))
        for i in range(nodes):
            node = Node(self, f"edge-{i + 1}")
            await node.start()
            self.nodes.append(node)
        for n in self.nodes:
            await n.ready()
        self.record.write("instances ready", nodes=[n.name for n in self.nodes])

    async def expire(self):
        """Removes entries after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.05)
            for r in self.replicas:
                if r.listed and r.name in self.store.newest("keyed.servers") and time.monotonic() - r.written_at > 3 * HEARTBEAT and not self.store.down:
                    self.record.write("entry removed after three heartbeats of silence", replica=r.name)
                    self.store.put("keyed.servers", r.name, None)

    def publish(self, config):
        self.store.put("keyed.op", "config", config)
        self.record.write("manifest confirmed", version=config["Version"])

    async def stop(self):
        for n in self.nodes:
            if n.process.returncode is None:
                n.process.send_signal(signal.SIGTERM)
        for n in self.nodes:
            try:
                await asyncio.wait_for(n.process.wait(), 9)
            except asyncio.TimeoutError:
                n.process.kill()
                await n.process.wait()
        for t in self.tasks:
            t.cancel()
        if os.environ.get("REVIEW_LOGS"):  # keeps what the instances have logged
            shutil.copytree(self.dir, os.environ["REVIEW_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


class Node:
    """An instance, as the deploy file runs it."""

    def __init__(self, world, name, zone="z1"):
        self.world, self.name, self.zone = world, name, zone
        self.front, self.status, self.peers = free_port(), free_port(), free_port()

    async def start(self):
        settings = {
            "name": self.name, "zone": self.zone, "listen": f"{HOST}:{self.front}", "status": f"{HOST}:{self.status}",
            "store": self.world.store.address, "peers": f"{HOST}:{self.peers}", "memory": 284,
            "bounds": {"grace": "8s", "settle": "3000ms", "retries": 0.2, "weights": "6000ms", "heartbeat": "1200ms"},
        }
        path = self.world.dir / f"{self.name}.json"
        path.write_text(json.dumps(settings, indent=2))
        with open(self.world.dir / f"{self.name}.log", "w") as log:
            env = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.world.dir), "MEDLARFIELD_BOOT": str(path)}
            self.process = await asyncio.create_subprocess_exec(str(ROOT / "target/medlard"), "attach", cwd=ROOT, env=env, stdout=log, stderr=log)
        return self

    async def ready(self):
        for _ in range(100):
            try:
                status, _, _ = await call(f"{HOST}:{self.status}", "GET", "/-/readiness")
                if status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise Broken("an instance did not become ready")

    async def ask(self, route, key, headers=(), body=b"", timeout_ms=5000, path="x", method="POST"):
        """Sends one request of a client on a channel of its own and returns its status, headers and body."""
        rid = uuid.uuid4().hex[:16]
        fields = [("Host", route["Host"]), ("Medlarfield-Request-Id", rid), ("Medlarfield-Timeout-Ms", str(timeout_ms)), ("Connection", "close")]
        if key:
            fields.append(("Api-Key", key))
        self.world.record.write("sent", node=self.name, id=rid, route=route["Name"], **({"parts": dict(headers).get("Medlarfield-Prompt-Prefix")} if headers else {}))
        try:
            status, got, answer = await asyncio.wait_for(
                call(f"{HOST}:{self.front}", method, route["PathPrefix"] + path, [*fields, *headers], body), timeout_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as e:
            status, got, answer = 0, {}, repr(e).encode()
        self.world.record.write("answered", id=rid, status=status)
        if status == 200:
            self.world.served[key] = self.world.served.get(key, 0) + 1
        return rid, status, got, answer


async def call(address, method, target, headers=(), body=b""):
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        if not any(k == "Host" for k, _ in headers):
            headers = [("Host", address), ("Connection", "close"), *headers]
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        line, got = await read_head(reader)
        if line is None:
            raise ConnectionError("closed without an answer")
        status = int(line.split(" ")[1])
        return status, got, await read_body(reader, got)
    finally:
        writer.close()


class Broken(Exception):
    """The case could not run."""


def route(name, service, kind="safe", **more):
    r = {"Name": name, "Host": "desk.example", "PathPrefix": f"/{name}/", "Type": kind, "TimeoutMs": 5000, "TargetLatencyMs": 500, "Priority": 1,
         "Service": service, "MaxAttempts": 2, "Anonymous": False, "Sticky": kind == "streaming", "Resumable": kind == "streaming"}
    if kind == "streaming":
        r["GapAimMs"] = 300
    r.update(more)
    return r


def plain_service(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 96, "Protocol": "h1", "Tls": False}


def engine_service(name, model):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 360, "Protocol": "h1", "Tls": False,
            "Engine": {"MaxBatchSize": 64, "KvCapacity": 113358, "KvTokenBytes": 327680, "LinkMbps": 1500000.0, "MaxInflight": 12, "Managed": True,
                       "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": model}]}}


def manifest(version, routes, services, tenants):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}, "Tenants": tenants}


def main(case, play):
    """Plays a case: play(world) returns whether the rule held, and what is seen. Exits with 0, 1 or 2."""
    async def whole():
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        for s in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(s, this.cancel)
        world = World(case)
        try:
            held, seen = await asyncio.wait_for(play(world), 100)
            for n in world.nodes:
                if n.process.returncode is not None:
                    raise Broken(f"{n.name} has ended by itself")
            world.record.write("result", trouble=TROUBLE, held=held, seen=seen)
            print(("held: " if held else "broken: ") + seen)
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as e:  # nothing but a broken rule exits with 1
            print(f"could not run: {e!r}", file=sys.stderr)
            return 2
        finally:
            await world.stop()
    sys.exit(asyncio.run(whole()))
