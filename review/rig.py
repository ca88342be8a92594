"""Stand-ins and helpers for the scripts of the second review.

`Platform` is the platform's metadata store, `Server` an endpoint beside a node, `Rig` starts the
nodes with the command and the settings template of the deploy file. All addresses are loopback
addresses: each machine has an address of its own in 127.0.0.0/8. Nothing but the standard library
is used. The files of a run lie in a temporary folder; only `record.txt` is written beside the script.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Bounds and limits of `sites/mallae-stable.toml`, as its sheet gives them.
BOUNDS = {
    "bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_extra": "56",
    "bounds.budget_window": "10s", "limits.link_mbps": "1000.0",
}


def free_port(ip, taken=set()):
    """Returns a port that nothing listens on, and that was not returned before: a port that is free
    again may be drawn twice, and a node refuses two listeners at one address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            taken.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads a message's head; returns its first line and its headers in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


class Platform:
    """The metadata store: objects by kind and name, one revision counter, watches, eras."""

    def __init__(self, record):
        self.record = record
        self.objects = {}          # (kind, name) -> object
        self.history = []          # (revision, kind, deleted, object)
        self.revision = 500
        self.floor = 500           # watches from below get 410
        self.era = 1
        self.changed = asyncio.Condition()
        self.delay = None          # async hook(method, path): waits, or returns a status

    async def open(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        """A write of the operator; the answer is the acknowledgement."""
        await self.change(kind, name, spec=spec)
        self.record(f"operator: {kind}/{name} = {spec.get('version', '')} acknowledged")

    async def change(self, kind, name, spec=None, status=None, deleted=False):
        async with self.changed:
            old = self.objects.get((kind, name))
            if old and not deleted:
                same = (spec is None or spec == old["spec"]) and (status is None or status == old["status"])
                if same:
                    return old
            self.revision += 1
            meta = dict(old["metadata"]) if old else {
                "name": name, "created": self.revision, "finalizers": [], "deleting": False}
            meta["revision"] = self.revision
            made = {"metadata": meta,
                    "spec": spec if spec is not None else (old or {}).get("spec"),
                    "status": status if status is not None else (old or {}).get("status")}
            if deleted:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = made
            self.history.append((self.revision, kind, deleted, made))
            self.changed.notify_all()
            return made

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status = await self.delay(method, target) if self.delay else None
                answer = {}
                if status is None:
                    status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        item = json.loads(body) if body else {}
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            return 200, {"items": [self.objects[kind, n] for n in names], "has_more": False,
                         "store_revision": self.revision}
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "POST":
            name = item["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, await self.change(kind, name, spec=item.get("spec"))
        old = self.objects.get((kind, name))
        if old is None:
            return 404, {}
        wanted = query.get("revision") or item.get("metadata", {}).get("revision")
        if wanted is not None and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            return 200, await self.change(kind, name, deleted=True)
        if len(parts) > 2:
            return 200, await self.change(kind, name, status=item.get("status"))
        return 200, await self.change(kind, name, spec=item.get("spec"))

    async def watch(self, kind, after, wait_ms):
        if after < self.floor or after > self.revision:
            return 410, {}
        era, end = self.era, time.monotonic() + wait_ms / 1000
        while True:
            events = [{"deleted": gone, "object": made} for at, k, gone, made in self.history
                      if at > after and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if era != self.era:
                return 410, {}


class Server:
    """A sound endpoint beside a node: reports itself, and answers each request after its work."""

    def __init__(self, record, service, identity, control, work=0.02, heartbeat=0.87, born=None):
        self.record, self.service, self.identity, self.control = record, service, identity, control
        self.work, self.heartbeat = work, heartbeat
        self.born = born or int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.runs = []             # (time, attempt id)
        self.beating = None
        self.respond = None        # async hook(writer, headers): answers in place of `reply`
        self.extra = {}            # further headers of all answers
        self.writers = set()       # open connections

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port or free_port(ip))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def beat_body(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": "z", "max_concurrency": 6},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"}}

    async def report(self, body=None, method="PUT"):
        body = body if body is not None else self.beat_body()
        status, _, _ = await call(self.control, method, f"/instances/{self.identity}", {}, json.dumps(body).encode(), 2.0)
        self.record(f"{self.identity}: {method} {body.get('status', '')} born {body.get('born')} -> {status}")
        return status

    async def beat(self):
        while True:
            try:
                await self.report()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self.heartbeat)

    def start_beating(self):
        self.beating = asyncio.create_task(self.beat())

    def stop_beating(self):
        if self.beating:
            self.beating.cancel()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                if first.startswith("GET /healthz"):
                    writer.write(f"HTTP/1.1 {200 if self.state == 'ready' else 503} X\r\nInstance-Id: {self.identity}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                attempt = headers.get("attempt-id", "")
                if headers.get("expected-instance") != self.identity:
                    self.record(f"{self.identity}: 421 for {attempt}, meant for {headers.get('expected-instance')}")
                    writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.identity}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs.append((self.record.now(), attempt))
                self.record(f"{self.identity}: runs {attempt}, Deadline-Ms {headers.get('deadline-ms')}")
                await asyncio.sleep(self.work)
                if self.respond:
                    await self.respond(writer, headers)
                    continue
                body = f"{self.identity} ran {attempt}\n".encode()
                extra = "".join(f"{name}: {value}\r\n" for name, value in self.extra.items())
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {attempt}.sig\r\n"
                             f"{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, headers, body=b"", limit=5.0):
    """Sends one request on a connection of its own; returns status, headers and body."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), limit)
    try:
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if "Host" not in headers:
            lines += f"Host: {address}\r\n"
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)

        async def answer():
            first, got = await read_head(reader)
            return int(first.split(" ")[1]), got, await read_body(reader, got, to_end=True)

        return await asyncio.wait_for(answer(), limit)
    finally:
        writer.close()


class Node:
    def __init__(self, name, zone, ip, service, settings, env, command):
        self.name, self.zone, self.ip, self.service = name, zone, ip, service
        self.settings, self.env, self.command = settings, env, command
        self.process, self.log = None, None
        self.ports = {key: f"{ip}:{free_port(ip)}" for key in ("outbound", "inbound", "ready", "control")}
        self.outbound, self.control, self.ready = (self.ports[key] for key in ("outbound", "control", "ready"))

    async def start(self, folder):
        path = os.path.join(folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(self))
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env.update(self.env, BLUEBELLPICK_SETTINGS=path)
        self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)


class Rig:
    """A small deployment: the store and some nodes, each beside one endpoint."""

    def __init__(self, folder, octet):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.octet = octet
        self.platform = Platform(self.record)
        self.nodes = []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        self.command = [os.path.join(ROOT, role["run"].split(" ")[0]), *role["run"].split(" ")[1:]]
        self.env = role.get("env", {})
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.extra_settings = {}

    def settings(self, node):
        values = dict(BOUNDS, node_name=node.name, zone=node.zone, region="region", service=node.service,
                      seeds="", **{"platform.address": self.platform.address})
        values.update({f"listen.{key}": value for key, value in node.ports.items()})
        values.update(self.extra_settings)
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: values.get(match[1], ""), self.template)

    def add_node(self, name, zone, service):
        ip = f"127.{self.octet}.0.{len(self.nodes) + 10}"
        node = Node(name, zone, ip, service, self.settings, self.env, self.command)
        self.nodes.append(node)
        return node

    async def start(self, config):
        await self.platform.open(f"127.{self.octet}.0.2")
        await self.platform.put("config", "main", config)
        for node in self.nodes:
            await node.start(self.temporary)

    async def wait_ready(self, limit=15.0):
        """Waits until all nodes say that they are ready."""
        end = time.monotonic() + limit
        for node in self.nodes:
            while True:
                try:
                    status, _, _ = await call(node.ready, "GET", "/readyz", {}, b"", 1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    raise Unfit(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all nodes are ready")

    async def close(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    node.signal(number)
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Unfit(Exception):
    """The case can't run here."""


def route(host, prefix, service, kind="idempotent", timeout="1200ms", priority=1, attempts=2):
    return {"host": host, "path_prefix": prefix, "type": kind, "timeout": timeout, "target_latency": "250ms",
            "priority": priority, "service": service, "max_attempts": attempts}


def config(version, routes, services):
    return {"version": f"r{version}", "routes": {f"r-{i}": r for i, r in enumerate(routes)},
            "services": {name: {"health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                         for name in services},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                       "idle_timeout": "15000ms"}}


async def request(rig, node, host, path, attempt, method="GET", deadline=1500, body=b"", limit=None):
    """Sends a request as a requester does; returns the status, or the name of the failure."""
    headers = {"Host": host, "Attempt-Id": attempt, "Deadline-Ms": str(deadline)}
    sent = rig.record.now()
    try:
        status, _, got = await call(node.outbound, method, path, headers, body, limit or deadline / 1000 + 0.2)
    except asyncio.TimeoutError:
        status, got = "gave up", b""
    except (OSError, asyncio.IncompleteReadError) as error:
        status, got = type(error).__name__, b""
    rig.record(f"request {attempt} to {node.name} at {sent:.3f} s -> {status} {got[:60]!r}")
    return status


def main(folder, octet, case):
    """Runs a case; exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    try:
        rig = Rig(folder, octet)
    except Exception as error:  # such as a missing deploy file
        print("could not run:", repr(error))
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Told to end, the script ends what it has started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(rig, trouble), 110)
        finally:
            await rig.close()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the script is no broken rule
        rig.record(f"could not run: {error!r}")
        print("could not run:", repr(error))
        sys.exit(2)
    rig.record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
