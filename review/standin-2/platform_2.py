"""Stand-ins of the users' platform for the cases from 6 on: the metadata store, replicas, clients, and the start of the
project's own processes. They follow the pages PROTOCOL.md, DEPLOY.md and the news on them; only the standard library is used.
"""
import base64, collections, copy, json, os, pathlib, resource, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time, traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEGIN = time.monotonic()
_, HARD = resource.getrlimit(resource.RLIMIT_NOFILE)
resource.setrlimit(resource.RLIMIT_NOFILE, (HARD, HARD))


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGIN


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, case):
        self.file, self.lock = open(case / "record.txt", "w"), threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} s  {text}\n")
            self.file.flush()


# ---- a strict little HTTP/1.1

class Ended(Exception):
    """The connection has ended before the message was whole."""


class Reader:
    def __init__(self, sock):
        self.sock, self.buf = sock, b""

    def more(self):
        part = self.sock.recv(65536)
        if not part:
            raise Ended()
        self.buf += part

    def head(self):
        while b"\r\n\r\n" not in self.buf:
            self.more()
        text, self.buf = self.buf.split(b"\r\n\r\n", 1)
        first, *lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return first, fields

    def exactly(self, n):
        while len(self.buf) < n:
            self.more()
        out, self.buf = self.buf[:n], self.buf[n:]
        return out

    def line(self):
        while b"\r\n" not in self.buf:
            self.more()
        out, self.buf = self.buf.split(b"\r\n", 1)
        return out

    def chunk(self):
        """The next chunk of a chunked body; empty at its end."""
        n = int(self.line().split(b";")[0], 16)
        out = self.exactly(n)
        self.line()
        return out

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            out = b""
            while part := self.chunk():
                out += part
            return out
        return self.exactly(int(fields.get("content-length", 0)))


def listen(port=0):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((HOST, port))
    s.listen(512)
    return s


class Server:
    """Serves connections, one thread each. handle(reader, sock) serves one request and returns whether to go on."""

    def __init__(self, handle):
        self.handle, self.socks, self.lock, self.closed = handle, set(), threading.Lock(), False
        self.ln = listen()
        self.address = f"{HOST}:{self.ln.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.ln.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.socks.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while not self.closed and self.handle(reader, sock):
                pass
        except (Ended, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.socks.discard(sock)
            sock.close()

    def reset_all(self):
        """Resets all open connections."""
        with self.lock:
            socks = list(self.socks)
        for sock in socks:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.closed = True
        try:
            self.ln.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.ln.close()
        with self.lock:
            socks = list(self.socks)
        for sock in socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def response(status, fields, body=b""):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields) + f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


# ---- the metadata store

class Topic:
    def __init__(self):
        self.first, self.records = 0, []  # records are never expired here

    def newest(self):
        out = {}
        for at, rec in enumerate(self.records):
            n = rec[0]
            key, value = rec[1:1 + n], rec[1 + n:]
            out.pop(key, None)
            if value:
                out[key] = (at, value)
        return out


class Store:
    """The platform's metadata store. away: it answers no call and resets channels, for clients and replicas alike."""

    def __init__(self, record):
        self.record, self.topics, self.era = record, collections.defaultdict(Topic), 0
        self.cond, self.away = threading.Condition(), False
        self.server = Server(self.handle)
        self.doors = {}  # addresses at which one machine each reaches the store
        self.on_read = lambda machine, topic, records: None

    def door(self, machine):
        """An address of the store for one machine, so that it is known which machine has read what."""
        self.doors[machine] = Server(lambda reader, sock: self.handle(reader, sock, machine))
        return self.doors[machine].address

    def put(self, topic, key, value):
        """A write of the operator or of a replica. Returns False while the store is away."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        with self.cond:
            if self.away:
                return False
            self.topics[topic].records.append(bytes([len(key)]) + key.encode() + value)
            self.cond.notify_all()
            return True

    def copy(self):
        with self.cond:
            return copy.deepcopy(self.topics)

    def go_away(self):
        with self.cond:
            self.away = True
            self.cond.notify_all()
        for server in [self.server, *self.doors.values()]:
            server.reset_all()

    def come_back(self, backup=None):
        """Comes back, with a backup from that copy."""
        with self.cond:
            if backup is not None:
                self.topics, self.era = backup, self.era + 1
            self.away = False
            self.cond.notify_all()

    def handle(self, reader, sock, machine=None):
        first, fields = reader.head()
        body = reader.body(fields)
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        q = {}
        for item in query.split("&"):
            k, _, v = item.partition("=")
            q[k] = v.replace("%2F", "/").replace("%2f", "/")
        with self.cond:
            if self.away:
                return False
            call = {"/-/log-append": self.append, "/-/log-read": self.read, "/-/log-newest": self.latest}.get(path)
            status, out, shown = call(q, body) if call else (404, b"{}", [])
            if status is None or self.away:
                return False
            sock.sendall(response(status, [("Store-Era", self.era), ("Content-Type", "application/json")], out))
            self.on_read(machine, q.get("Topic"), shown)
        return True

    def append(self, q, body):
        name = q["Topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, b"{}", []
        t, records = self.topics[name], []
        while body:
            n = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + n])
            body = body[4 + n:]
        end = len(t.records)
        if "At" in q and int(q["At"]) != end:
            return 412, json.dumps({"End": end}).encode(), []
        t.records += records
        self.cond.notify_all()
        return 200, json.dumps({"Offset": end, "End": end + len(records)}).encode(), []

    def read(self, q, _):
        name, at = q["Topic"], int(q["From"])
        until, era = time.monotonic() + int(q.get("WaitMs", 0)) / 1000, self.era
        while True:
            t = self.topics[name]
            if self.away or era != self.era:
                return None, b"", []
            if at > len(t.records):
                return 410, json.dumps({"First": t.first}).encode(), []
            left = until - time.monotonic()
            if at < len(t.records) or left <= 0:
                break
            self.cond.wait(left)
        out = struct.pack(">QQ", len(t.records), t.first)
        for rec in t.records[at:]:
            out += struct.pack(">I", len(rec)) + rec
        return 200, out, t.records[at:]

    def latest(self, q, _):
        t = self.topics[q["Topic"]]
        after = q.get("after", "").encode()
        newest = sorted((k, v) for k, v in t.newest().items() if k > after)
        items = [{"Key": k.decode("latin-1"), "Value": base64.b64encode(v).decode(), "Offset": at} for k, (at, v) in newest[:500]]
        return 200, json.dumps({"items": items, "More": len(newest) > 500, "End": len(t.records)}).encode(), [bytes([len(k)]) + k + v for k, (_, v) in newest[:500]]


# ---- replicas of a plain service

class Replica:
    """A replica of a plain service: it registers itself, runs requests, and leaves as the pages say."""

    def __init__(self, store, record, name, service, work=0.03, slots=6, beat=1.2, phase=0.0, version="v1", model=None, events=0):
        self.store, self.record, self.name, self.service, self.work, self.slots = store, record, name, service, work, slots
        self.dark, self.back = False, threading.Event()
        self.model, self.events = model, events  # of a model replica: it answers with that many events, one each work seconds
        self.beat, self.version, self.draining, self.gone, self.sequence = beat, version, False, False, 0
        self.born, self.active, self.lock = int(time.time() * 1000), 0, threading.Lock()
        self.arrivals = []  # (time, id)
        self.server = Server(self.handle)
        self.next_beat = time.monotonic() + phase
        self.beats = []
        self.report()
        threading.Thread(target=self.run, daemon=True).start()

    def entry(self):
        models = {"Models": [{"Name": self.model, "Version": 1, "Adapters": []}]} if self.model else {}
        return models | {"Service": self.service, "Address": self.server.address, "Zone": "a", "Version": self.version, "MaxBatchSize": self.slots,
                "Phase": "draining" if self.draining else "ready", "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}

    def report(self):
        self.sequence += 1
        ok = self.store.put("keyed.servers", self.name, self.entry())
        if self.draining or not ok:
            self.record.write(f"{self.name} reports {'draining' if self.draining else 'ready'}: {'accepted' if ok else 'the store is away'}")
        return ok

    def run(self):
        while not self.gone:
            time.sleep(max(self.next_beat - time.monotonic(), 0))
            if self.gone:
                return
            self.report()
            self.next_beat += self.beat

    def drain(self):
        self.draining = True
        return self.report()

    def end(self):
        """The process exits; its entry is removed."""
        self.gone = True
        self.server.close()
        self.store.put("keyed.servers", self.name, b"")
        self.record.write(f"{self.name} has exited")

    def handle(self, reader, sock):
        first, fields = reader.head()
        body = reader.body(fields)
        path = first.split(" ")[1]
        leaving = [("Server-Leaving", 1)] if self.draining else []
        rid = fields.get("medlarfield-request-id")
        if path == "/healthz":
            sock.sendall(response(503 if self.draining else 200, [("Medlarfield-Instance-Id", self.name)] + leaving))
            return True
        if path == "/-/report":
            out = {"Stage": "colocated", "Models": self.entry().get("Models", []), "Busy": False, "Sequence": 0, "Waiting": 0, "Running": self.active,
                   "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": self.born}
            sock.sendall(response(200, leaving + [("Content-Type", "application/json")], json.dumps(out).encode()))
            return True
        if rid is None:
            sock.sendall(response(404, leaving))
            return True
        common = [("Medlarfield-Request-Id", rid), ("Keep-Alive", "timeout=5")] + leaving
        if fields.get("medlarfield-target-instance", self.name) != self.name:
            sock.sendall(response(421, common + [("Medlarfield-Not-Executed", 1), ("Medlarfield-Instance-Id", self.name)]))
            return True
        with self.lock:
            self.arrivals.append((now(), rid))
            full = self.active >= self.slots
            self.active += not full
        if full:
            sock.sendall(response(503, common + [("Medlarfield-Not-Executed", 1)]))
            return True
        self.record.write(f"{self.name} (version {self.version}) runs {rid}" + (f" from event {int(fields['last-event-id']) + 1} on" if "last-event-id" in fields else "") + (", while it leaves" if self.draining else ""))
        try:
            if self.model:
                return self.stream(sock, common, rid, int(fields.get("last-event-id", 0)) + 1)
            time.sleep(self.work)
            sock.sendall(response(200, common + [("Medlarfield-Server-Signature", f"sig-{self.name}-{rid}")], f"answer to {rid}".encode()))
        finally:
            with self.lock:
                self.active -= 1
        return True

    def power_off(self):
        """The machine is without power: it sends nothing any more, not even a reset, and takes no requests."""
        self.gone = self.dark = True
        self.record.write(f"{self.name} (version {self.version}) loses power; {self.active} streams are in progress there")

    def reset_old(self):
        """The machine is back, and answers the next keep-alive probe of each old channel by a reset."""
        self.server.reset_all()
        self.back.set()
        self.record.write(f"old channels to {self.name} are reset")

    def stream(self, sock, common, rid, first):
        head = common + [("Medlarfield-Server-Signature", f"sig-{self.name}-{rid}"), ("Content-Type", "text/event-stream"), ("Medlarfield-Weight-Versions", 1),
                         ("Transfer-Encoding", "chunked")]
        for n in range(first, self.events + 1):
            time.sleep(self.work)
            if self.dark:  # its machine is without power: nothing is sent, and the channel stays as it is
                self.back.wait()
                return False
            event = f"id: {n}\ndata: {self.version} {self.name}\n\n".encode()
            text = "".join(f"{k}: {v}\r\n" for k, v in head) if n == first else None
            start = f"HTTP/1.1 200 X\r\n{text}\r\n".encode() if text else b""
            sock.sendall(start + b"%x\r\n%s\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True


# ---- the project's own processes

SETTINGS = {"GraceS": 8, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "VersionMs": 6000, "StableWindowMs": 3000, "HeartbeatMs": 1200, "MemoryMb": 284, "MaxFds": 4100}


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


class Machine:
    """A process of the role of deploy/system.toml, with settings as deploy/settings.json makes them."""

    def __init__(self, name, store, folder):
        self.name = name
        self.front, self.ready, peers = free_port(), free_port(), free_port()
        b = SETTINGS
        settings = {"name": name, "zone": "a", "listen": f"{HOST}:{self.front}", "status": f"{HOST}:{self.ready}", "store": store.door(name),
                    "peers": f"{HOST}:{peers}", "memory": b["MemoryMb"],
                    "bounds": {"grace": f"{b['GraceS']}s", "settle": f"{b['LeaseMs']}ms", "retries": b["RetryBudgetRatio"], "weights": f"{b['VersionMs']}ms",
                               "stable": f"{b['StableWindowMs']}ms", "heartbeat": f"{b['HeartbeatMs']}ms"}}
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log = open(folder / f"{name}.log", "ab")
        self.start()

    def limit(self):
        """MaxFds and CpuCores of the machine."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (SETTINGS["MaxFds"],) * 2)
        if cores := SETTINGS.get("CpuCores"):
            os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[:cores])

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ} | {"MEDLARFIELD_BOOT": str(self.settings)}
        self.process = subprocess.Popen([str(ROOT / "target/medlard"), "attach"], cwd=ROOT, env=env, stdout=self.log, stderr=self.log, preexec_fn=self.limit)

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.ready), 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def await_ready(machines, timeout=15):
    end = time.monotonic() + timeout
    while not all(m.is_ready() for m in machines):
        if time.monotonic() > end or any(m.process.poll() is not None for m in machines):
            raise RuntimeError("the processes did not become ready")
        time.sleep(0.05)


def manifest(version, routes, services, tenants=None):
    m = {"Version": version, "Routes": routes, "Services": services,
         "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
    if tenants is not None:
        m["Tenants"] = tenants
    return m


def route(name, prefix, kind, service, timeout=3000, attempts=1, resumable=False):
    return {"Name": name, "Host": "desk.example", "PathPrefix": prefix, "Type": kind, "Service": service, "TimeoutMs": timeout,
            "TargetLatencyMs": 300, "GapAimMs": 300, "Priority": 1, "MaxAttempts": attempts, "Anonymous": False, "Resumable": resumable}


def engines(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 360,
            "Engine": {"MaxBatchSize": 64, "KvCapacity": 113358, "KvTokenBytes": 327680, "Models": [{"Name": "m0"}]}}


def prompt(model, own):
    """Header fields of a prompt of a shared part and a part of its own."""
    return [("Medlarfield-Model", model), ("Medlarfield-Token-Usage", "827,40"), ("Medlarfield-Prompt-Prefix", f"5c1e07a2:650,{own.encode().hex()}:177")]


# ---- clients

def call(machine, method, path, rid, key="key-one", timeout=3.0, fields=(), body=b"{}"):
    """One client attempt on a new channel. Returns (status, fields, body), with status None if the channel ended without a whole answer."""
    try:
        with socket.create_connection((HOST, machine.front), 1) as s:
            s.settimeout(timeout + 1)
            lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Medlarfield-Request-Id: {rid}", f"Medlarfield-Timeout-Ms: {int(timeout * 1000)}"]
            lines += [f"Api-Key: {key}"] * bool(key) + [f"{k}: {v}" for k, v in fields] + [f"Content-Length: {len(body)}", "", ""]
            s.sendall("\r\n".join(lines).encode() + body)
            r = Reader(s)
            first, got = r.head()
            return int(first.split(" ")[1]), got, r.body(got)
    except (OSError, Ended, ValueError) as e:
        return None, {}, str(e).encode()


def take_stream(machine, path, rid, fields, timeout, events):
    """One client attempt at a stream. Appends (id, data) of its events to events; returns whether it ended as complete, and its status."""
    status = None
    try:
        with socket.create_connection((HOST, machine.front), 1) as s:
            s.settimeout(2.4)  # a client gives a stream up after such a gap
            lines = [f"POST {path} HTTP/1.1", "Host: desk.example", f"Medlarfield-Request-Id: {rid}", f"Medlarfield-Timeout-Ms: {int(timeout * 1000)}",
                     "Api-Key: key-one"] + [f"{k}: {v}" for k, v in fields] + ["Content-Length: 2", "", ""]
            s.sendall("\r\n".join(lines).encode() + b"{}")
            r = Reader(s)
            first, got = r.head()
            status = int(first.split(" ")[1])
            if status != 200:
                return False, status
            while part := r.chunk():
                for event in part.decode().split("\n\n")[:-1]:
                    n, data = event.split("\n")[:2]
                    events.append((int(n.split(": ")[1]), data.split(": ", 1)[1]))
            return True, status
    except (OSError, Ended, ValueError):
        return False, status


# ---- the frame of a case

def play(case, scenario):
    """Runs scenario(record, folder, machines, trouble) and exits with its code: 1 rule broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE") != "0"
    record, folder, machines = Record(case), pathlib.Path(tempfile.mkdtemp(prefix="review-")), []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = scenario(record, folder, machines, trouble)
    except Exception as e:
        record.write(f"the case could not run: {e!r} {traceback.format_exc().splitlines()[-4:]}")
    finally:
        for m in machines:
            if m.process.poll() is None:
                m.process.kill()
            m.process.wait()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.write(f"exit code {code}")
    os._exit(code)
