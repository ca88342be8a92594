"""LOST: a stopping machine takes requests that it then breaks off before its grace is over."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from mesh import BOUNDS, HOST, Connection, Node, new_attempt, request, run_case

# Two kinds of requests: a report on yields, with the figures of `yield-history` in vidigal-mesh-grown.toml
# (work up to 2500 ms), and a release of a warranty claim, with those of `warr` in tgr-klang.toml (work up to
# 2100 ms), but for the route's timeout, which an operator has raised from 1500 ms.
KINDS = {
    "yield": {"method": "GET", "path": "/yield/report", "work": 2.1, "budget": 8.0, "timeout": 4.0, "bytes": 0},
    "warr": {"method": "POST", "path": "/warr/release", "work": 2.1, "budget": 3.0, "timeout": 3.0, "bytes": 300},
}
# When the requests are sent, in seconds after the SIGTERM, and of which kind. The last one is sent on a
# connection that was opened `OPENED_AT` after the SIGTERM. At most five run at once: the endpoint has six slots.
SENDS = ((0.5, "yield"), (2.0, "warr"), (3.05, "yield"), (3.1, "warr"), (3.15, "yield"), (3.35, "warr"))
OPENED_AT = 3.15
# No request that was sent up to this time after the SIGTERM counts, if its endpoint was still at work in
# the last sixth of `grace`.
EXCUSED_UNTIL = 3.0

ROUTES = {
    "r-yield": {
        "host": HOST,
        "path_prefix": "/yield/",
        "type": "idempotent",
        "timeout": "4000ms",
        "target_latency": "2500ms",
        "priority": 2,
        "service": "claims",
        "max_attempts": 2,
    },
    "r-warr": {
        "host": HOST,
        "path_prefix": "/warr/",
        "type": "non_idempotent",
        "timeout": "3000ms",
        "target_latency": "800ms",
        "priority": 1,
        "service": "claims",
        "max_attempts": 2,
    },
}


async def poll_readiness(mesh, node):
    """Asks for the readiness each second, as the platform does."""
    while True:
        try:
            answer = await request(node.ready, "GET", "/readyz", {"Host": "ready"}, limit=1.0)
            mesh.record.line(f"platform: /readyz of {node.name} -> {answer.status}")
        except OSError as error:
            mesh.record.line(f"platform: /readyz of {node.name} -> {error.strerror}")
        await asyncio.sleep(1.0)


async def send(mesh, node, stopped_at, kind, at):
    """Sends one request `at` seconds after the SIGTERM; returns what is known of it."""
    record, figures = mesh.record, KINDS[kind]
    await asyncio.sleep(stopped_at + min(at, OPENED_AT) - record.now())
    sent = {"kind": kind, "attempt": new_attempt(), "at": None, "answer": None, "answered": None}
    try:
        connection = await Connection.open(node.outbound)
    except OSError as error:
        record.line(f"requester: no connection ({error.strerror}), nothing was sent")
        return sent
    await asyncio.sleep(stopped_at + at - record.now())
    headers = {
        "Host": HOST,
        "Attempt-Id": sent["attempt"],
        "Deadline-Ms": str(int(1000 * figures["budget"])),
        "X-Work-Ms": str(int(1000 * figures["work"])),
    }
    sent["at"] = record.now() - stopped_at
    record.line(f"requester: sends {kind} {sent['attempt']}, {sent['at']:.3f} s after the SIGTERM")
    body = b"x" * figures["bytes"]
    answer = await connection.exchange(figures["method"], figures["path"], headers, body, figures["budget"])
    connection.close()
    sent["answer"], sent["answered"] = answer, record.now() - stopped_at
    record.line(f"requester: {kind} {sent['attempt']} gets {answer.describe()}, {sent['answered']:.3f} s after the SIGTERM")
    return sent


def find_lost(endpoint, stopped_at, sent):
    """Returns how the rule was broken by one request, or None."""
    if sent["at"] is None or sent["answer"].is_complete:
        return None
    runs = [run for run in endpoint.arrivals if run["attempt"] == sent["attempt"]]
    took = sent["answered"] - sent["at"]
    figures = KINDS[sent["kind"]]
    if not runs or took >= min(figures["budget"], figures["timeout"]):
        return None
    grace = BOUNDS["grace"]
    was_at_work_late = any(run["ended"] is None or run["ended"] - stopped_at >= grace * 5 / 6 for run in runs)
    if was_at_work_late and sent["at"] <= EXCUSED_UNTIL:
        return None
    if sent["answered"] > grace + 1.0:
        return None
    return (
        f"{sent['kind']} {sent['attempt']} was sent {sent['at']:.3f} s after the SIGTERM and passed on to an endpoint, and its"
        f" connection ended after {took:.3f} s without an answer; at the endpoint it was {runs[0]['outcome']}"
    )


async def main(mesh, trouble):
    record = mesh.record
    await mesh.start_platform()
    await mesh.put_config("r7", ROUTES, ["claims", "records"])
    front = Node(mesh, "sidecar-shah-alam-1", "shah-alam", "records")
    back = Node(mesh, "sidecar-puchong-1", "puchong", "claims")
    for node in (front, back):
        node.start()
    await mesh.add_endpoint(front, work=0.05)
    endpoint = await mesh.add_endpoint(back, work=0.05)
    await mesh.wait_ready([front, back])
    await mesh.wait_served(front, "POST", "/warr/first")
    # Nothing is disturbed for longer than `stability` before the stop.
    await asyncio.sleep(BOUNDS["stability"] + 1.0)
    polls = asyncio.create_task(poll_readiness(mesh, front))
    await asyncio.sleep(0.1)
    stopped_at = record.now()
    if trouble:
        front.signal(signal.SIGTERM)
    sending = [send(mesh, front, stopped_at, kind, at) for at, kind in SENDS]
    sent = await asyncio.gather(*sending)
    if trouble and not await front.wait_end(stopped_at + BOUNDS["grace"] - record.now()):
        front.signal(signal.SIGKILL)
    polls.cancel()
    # The endpoint notices a moment later that a connection was closed.
    await asyncio.sleep(0.3)
    broken = [find_lost(endpoint, stopped_at, one) for one in sent]
    return [sentence for sentence in broken if sentence]


sys.exit(run_case(FOLDER, main))
