"""Stand-ins and helpers for the scripts of the review. Only Python's standard library is used.

Everything listens on 127.0.0.1. Nodes are the project's own program, started with the command and the
settings template of the deploy file. The store is the project's own stand-in of the platform. Endpoints
and requesters are small stand-ins that follow PROTOCOL.md.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
# The bounds of the small sites (tgr-klang, mallae-stable).
BOUNDS = {
    "stability": 3.0,
    "drain": 2.0,
    "grace": 6.0,
    "loss_slack": 0.2,
    "config_apply": 2.0,
    "heartbeat": 1.5,
}
HOST = "jepu9.example"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns ports below the range from which the kernel takes ports of outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randint(12000, 31000)
        if port in found:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def fill_template(values):
    """Fills in the settings template of the deploy file; a missing value is left empty."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    role = next(iter(deploy["roles"].values()))
    text = (ROOT / role["template"]).read_text()
    filled = re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: str(values.get(match.group(1), "")), text)
    return role["run"].split(), filled


class Node:
    """A node and its ports. The node keeps its ports over restarts."""

    def __init__(self, mesh, name, zone, service):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        self.outbound, self.control, self.inbound, self.ready = free_ports(4)
        self.platform_port = mesh.platform_port
        self.process = None
        self.started_at = None

    def start(self):
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "region": "klang",
            "service": self.service,
            "listen.outbound": f"127.0.0.1:{self.outbound}",
            "listen.control": f"127.0.0.1:{self.control}",
            "listen.inbound": f"127.0.0.1:{self.inbound}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "platform.address": f"127.0.0.1:{self.platform_port}",
            "bounds.grace": "6s",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_budget_extra": "56",
            "bounds.budget_window": "10s",
            "limits.link_mbps": "1000.0",
            **self.mesh.settings,
        }
        command, settings = fill_template(values)
        path = self.mesh.folder / f"{self.name}.ini"
        path.write_text(settings)
        log = open(self.mesh.folder / f"{self.name}.log", "a")
        environment = {"PATH": os.environ["PATH"], "BLUEBELLPICK_SETTINGS": str(path)}
        self.process = subprocess.Popen(
            [str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.started_at = self.mesh.record.now()
        self.mesh.processes.append(self.process)
        self.mesh.record.line(f"platform: starts {self.name}")

    def signal(self, number):
        self.mesh.record.line(f"platform: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def wait_end(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            code = self.process.poll()
            if code is not None:
                self.mesh.record.line(f"{self.name} has ended, code {code}")
                return True
            await asyncio.sleep(0.005)
        return False

    async def is_ready(self):
        try:
            answer = await request(self.ready, "GET", "/readyz", {}, limit=1.0)
        except OSError:
            return False
        return answer.status == 200


class Answer:
    """What a requester has got on its connection."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def describe(self):
        if self.status is None:
            return f"no answer ({self.error})"
        state = "whole" if self.is_complete else f"cut off ({self.error})"
        shown = {key: self.headers[key] for key in ("response-signature", "retry-after") if key in self.headers}
        return f"{self.status} {shown} body {len(self.body)} bytes, {state}"


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, is_response=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


class Connection:
    """A requester's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def exchange(self, method, path, headers, body=b"", limit=10.0):
        answer = Answer()
        lines = [f"{method} {path} HTTP/1.1"] + [f"{key}: {value}" for key, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
            async with asyncio.timeout(limit):
                first, answer.headers = await read_head(self.reader)
                answer.status = int(first.split()[1])
                answer.body = await read_body(self.reader, answer.headers, is_response=True)
                answer.is_complete = True
        except TimeoutError:
            answer.error = "nothing until the time budget"
        except asyncio.IncompleteReadError:
            answer.error = "the connection was closed"
        except OSError as error:
            answer.error = f"the connection failed: {error.strerror or error}"
        return answer

    def close(self):
        self.writer.close()


async def request(port, method, path, headers, body=b"", limit=10.0):
    connection = await Connection.open(port)
    try:
        return await connection.exchange(method, path, headers, body, limit)
    finally:
        connection.close()


def new_attempt():
    return secrets.token_hex(8)


class Endpoint:
    """An endpoint: runs requests, drops one whose connection closes, and reports itself to its node."""

    def __init__(self, mesh, node, service, work):
        self.mesh, self.node, self.service, self.work = mesh, node, service, work
        (self.port,) = free_ports(1)
        self.id = "i-" + secrets.token_hex(4)
        self.sequence = 0
        self.server = None
        self.beats = None
        self.arrivals = []
        self.open_writers = set()
        self.has_exited = False
        # Whether each request leaves lines in the record.
        self.is_recorded = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.beats = asyncio.create_task(self.send_beats())

    async def stop(self):
        """Ends the endpoint: its listener and all its connections are closed."""
        self.mesh.record.line(f"endpoint {self.id} exits")
        self.has_exited = True
        self.stop_beats()
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    def beat_body(self, state="ready"):
        self.sequence += 1
        return json.dumps(
            {
                "address": f"127.0.0.1:{self.port}",
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.node.zone,
                    "max_concurrency": 6,
                },
                "status": {"state": state, "sequence": self.sequence, "warmup_left": "0ms"},
            }
        ).encode()

    async def report(self, method, body, note=""):
        """Sends a liveness report; returns whether the node has acknowledged it within a second."""
        headers = {"Host": "control", "Content-Type": "application/json"}
        try:
            answer = await request(self.node.control, method, f"/instances/{self.id}", headers, body, 1.0)
            status = answer.status
        except OSError:
            status = None
        if method == "DELETE" or note:
            text = f"endpoint {self.id}: {method} /instances/{self.id} {note} -> {status}"
            self.mesh.record.line(text)
        return status is not None and 200 <= status < 300

    async def send_beats(self):
        while True:
            await self.report("PUT", self.beat_body())
            await asyncio.sleep(BOUNDS["heartbeat"])

    async def serve(self, reader, writer):
        self.open_writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.handle(reader, writer, first, headers, body):
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def line(self, text):
        if self.is_recorded:
            self.mesh.record.line(f"endpoint {self.id}: {text}")

    async def handle(self, reader, writer, first, headers, body):
        method, path, _ = first.split()
        attempt = headers.get("attempt-id", "")
        if headers.get("expected-instance", self.id) != self.id:
            self.line(f"{attempt} expects another instance -> 421")
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        arrival = {"at": self.mesh.record.now(), "attempt": attempt, "ended": None, "outcome": "running"}
        self.arrivals.append(arrival)
        self.line(f"{method} {path} {attempt} arrives, {len(body)} bytes, Deadline-Ms {headers.get('deadline-ms')}, and runs")
        work = asyncio.create_task(asyncio.sleep(float(headers.get("x-work-ms", self.work * 1000)) / 1000))
        # Most endpoints drop a request when its connection closes.
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        arrival["ended"] = self.mesh.record.now()
        if gone.done():
            work.cancel()
            cause = "as the endpoint exited" if self.has_exited else "as its connection was closed"
            arrival["outcome"] = f"dropped at work, {cause}"
            self.line(f"{attempt} {arrival['outcome']}")
            return False
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        arrival["outcome"] = "run to its end"
        self.line(f"{attempt} has run to its end -> 200")
        answer = b"done " + attempt.encode() + b"\n"
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: 3e1b.{attempt}\r\nContent-Length: {len(answer)}\r\n\r\n"
        writer.write(head.encode() + answer)
        await writer.drain()
        return True


class StoreProxy:
    """The store as one machine sees it. It can turn the calls of that machine away, as the store may."""

    def __init__(self, mesh):
        self.mesh = mesh
        (self.port,) = free_ports(1)
        self.turns_away = False
        self.refused = 0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def turn_away(self):
        """From now on, answers each call with 503; the calls that wait are cut off."""
        self.turns_away = True
        for writer in list(self.writers):
            writer.transport.abort()
        self.mesh.record.line("store: turns one machine away (503) from now on, and serves all others")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        store = None
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.turns_away:
                    self.refused += 1
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                if store is None:
                    store = await asyncio.open_connection("127.0.0.1", self.mesh.platform_port)
                lines = [first] + [f"{key}: {value}" for key, value in headers.items()]
                store[1].write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                first, headers = await read_head(store[0])
                body = await read_body(store[0], headers, is_response=True)
                headers.pop("transfer-encoding", None)
                headers["content-length"] = str(len(body))
                lines = [first] + [f"{key}: {value}" for key, value in headers.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
            if store:
                store[1].close()


class Mesh:
    """The store, the nodes and the endpoints of one script."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.endpoints = []
        # Further values for the settings template, by their names there.
        self.settings = {}
        (self.platform_port,) = free_ports(1)

    async def start_platform(self):
        log = open(self.folder / "platform.log", "a")
        command = [str(ROOT / "target/release/bluebellpick-standin"), "platform"]
        command += ["--listen", f"127.0.0.1:{self.platform_port}"]
        self.processes.append(subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log))
        for _ in range(200):
            try:
                await request(self.platform_port, "GET", "/objects/config", {"Host": "platform"}, limit=1.0)
                return
            except OSError:
                await asyncio.sleep(0.02)
        raise CannotRun("the stand-in of the platform does not answer")

    def config_spec(self, version, routes, services, tenants):
        spec = {
            "version": version,
            "routes": routes,
            "services": {
                name: {"health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                for name in services
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
        if tenants is not None:
            spec["tenants"] = tenants
        return spec

    async def put_config(self, version, routes, services, tenants=None):
        """Writes the first configuration."""
        item = {"metadata": {"name": "main"}, "spec": self.config_spec(version, routes, services, tenants)}
        headers = {"Host": "platform", "Content-Type": "application/json"}
        answer = await request(self.platform_port, "POST", "/objects/config", headers, json.dumps(item).encode())
        if answer.status not in (200, 201):
            raise CannotRun(f"the first configuration was not written: {answer.describe()}")
        self.record.line(f"operator: configuration {version} is acknowledged")

    async def replace_config(self, version, routes, services, tenants=None):
        """Writes a further configuration; returns when the store has acknowledged it."""
        headers = {"Host": "platform", "Content-Type": "application/json"}
        known = await request(self.platform_port, "GET", "/objects/config/main", headers)
        revision = json.loads(known.body)["metadata"]["revision"]
        spec = self.config_spec(version, routes, services, tenants)
        item = {"metadata": {"name": "main", "revision": revision}, "spec": spec}
        answer = await request(self.platform_port, "PUT", "/objects/config/main", headers, json.dumps(item).encode())
        if answer.status != 200:
            raise CannotRun(f"configuration {version} was not written: {answer.describe()}")
        self.record.line(f"operator: configuration {version} is acknowledged")
        return self.record.now()

    async def add_endpoint(self, node, work):
        endpoint = Endpoint(self, node, node.service, work)
        self.endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    async def wait_ready(self, nodes, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ready = [await node.is_ready() for node in nodes]
            if all(ready):
                self.record.line("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    async def wait_served(self, node, method, path, limit=15.0, headers=None):
        """Waits until a request through `node` is answered with a success."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            sent = {"Host": HOST, "Attempt-Id": new_attempt(), "Deadline-Ms": "1000", "X-Work-Ms": "5"}
            answer = await request(node.outbound, method, path, sent | (headers or {}))
            if answer.status == 200 and answer.is_complete:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no request was served before the test")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record.line(f"logs of the processes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Exit codes of a case's program. `run.sh` turns them into those of the issue; any other code, such as that of an
# error in Python, means that the case could not run.
HELD, BROKEN, COULD_NOT_RUN = 0, 3, 2


def run_case(folder, main):
    """Runs `main(mesh, trouble)`, which returns the sentences that tell how the rule was broken."""
    # A script that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={int(trouble)}")
    mesh = Mesh(record)

    async def bounded():
        async with asyncio.timeout(110):
            return await main(mesh, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        mesh.close()
    for sentence in broken:
        record.line(f"BROKEN: {sentence}")
        print(f"broken: {sentence}")
    if not broken:
        record.line("the rule held")
        print("the rule held")
    return BROKEN if broken else HELD
