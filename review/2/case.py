"""DRAIN: a restarted machine forgets that it has acknowledged the leaving of its endpoint."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from mesh import BOUNDS, HOST, CannotRun, Node, new_attempt, request, run_case

# How long a release of a warranty claim works, in seconds: the mean of tgr-klang.toml.
WORK = 0.29
# How long after the acknowledgement the endpoint goes on serving before it exits, in seconds.
LINGER = 7.0
# How late the liveness report arrives, in seconds.
REPORT_DELAY = 2.5
# When requests are sent, in seconds after the acknowledgement.
SEND_FROM, SEND_UNTIL, SEND_GAP = 4.5, 7.5, 0.1

ROUTES = {
    "warr": {
        "host": HOST,
        "path_prefix": "/warr/",
        "type": "non_idempotent",
        "timeout": "1500ms",
        "target_latency": "800ms",
        "priority": 1,
        "service": "claims",
        "max_attempts": 2,
    }
}


async def send(mesh, node):
    """Sends one request and returns its id, with what the requester gets."""
    attempt = new_attempt()
    headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}
    mesh.record.line(f"requester at {node.name}: sends {attempt}")
    answer = await request(node.outbound, "POST", "/warr/release", headers, b"x" * 300, 3.0)
    mesh.record.line(f"requester at {node.name}: {attempt} gets {answer.describe()}")
    return attempt, answer


async def leave(mesh, node, endpoint, trouble):
    """Has the endpoint leave; returns when its leaving was acknowledged.

    With trouble, the endpoint's last report before that is held up on the way, and arrives after the node
    beside it was killed and started again. The endpoint itself goes on running all the while.
    """
    record = mesh.record
    endpoint.stop_beats()
    report, sent_at = endpoint.beat_body(), record.now()
    if trouble:
        record.line(f"endpoint {endpoint.id}: sends report {endpoint.sequence} (ready), which is held up on the way")
    else:
        await endpoint.report("PUT", report, f"(ready, report {endpoint.sequence})")
    await asyncio.sleep(0.1)
    if not await endpoint.report("DELETE", b""):
        raise CannotRun("the leaving was not acknowledged")
    acknowledged_at = record.now()
    if trouble:
        await asyncio.sleep(0.3)
        node.signal(signal.SIGKILL)
        await node.wait_end(2.0)
        await asyncio.sleep(0.3)
        node.start()
        await asyncio.sleep(sent_at + REPORT_DELAY - record.now())
        await endpoint.report("PUT", report, f"(ready, report {endpoint.sequence}, {REPORT_DELAY} s late)")
    return acknowledged_at


async def main(mesh, trouble):
    record = mesh.record
    await mesh.start_platform()
    await mesh.put_config("r7", ROUTES, ["claims", "records"])
    front = Node(mesh, "sidecar-shah-alam-1", "shah-alam", "records")
    back = Node(mesh, "sidecar-puchong-1", "puchong", "claims")
    other = Node(mesh, "sidecar-rawang-1", "rawang", "claims")
    nodes = [front, back, other]
    for node in nodes:
        node.start()
    await mesh.add_endpoint(front, work=0.05)
    leaving = await mesh.add_endpoint(back, work=WORK)
    await mesh.add_endpoint(other, work=WORK)
    await mesh.wait_ready(nodes)
    await mesh.wait_served(front, "POST", "/warr/first")
    await asyncio.sleep(BOUNDS["stability"] + 1.0)

    acknowledged_at = await leave(mesh, back, leaving, trouble)
    await asyncio.sleep(acknowledged_at + SEND_FROM - record.now())

    async def end_endpoint():
        await asyncio.sleep(acknowledged_at + LINGER - record.now())
        await leaving.stop()

    tasks = []
    ending = asyncio.create_task(end_endpoint())
    while record.now() < acknowledged_at + SEND_UNTIL:
        tasks.append(asyncio.create_task(send(mesh, front)))
        await asyncio.sleep(SEND_GAP)
    answers = dict(await asyncio.gather(*tasks))
    await ending
    return find_late(mesh, back, leaving, acknowledged_at, answers)


def find_late(mesh, node, endpoint, acknowledged_at, answers):
    """Returns how the rule was broken: requests that reached the endpoint too late.

    The requester's machine was disturbed at no time. The machine beside the endpoint was last disturbed at
    its start, and only requests count that it sent on when that was longer than `stability` ago.
    """
    in_touch_from = node.started_at + BOUNDS["stability"]
    bound = max(acknowledged_at + BOUNDS["drain"], in_touch_from)
    late = [run for run in endpoint.arrivals if run["at"] > bound and run["attempt"] in answers]
    lost = [run for run in late if not answers[run["attempt"]].status == 200]
    if not late:
        return []
    last = max(run["at"] for run in late) - acknowledged_at
    broken = [
        f"{len(late)} requests reached the endpoint later than {BOUNDS['drain']} s after its leaving was"
        f" acknowledged, the last one {last:.3f} s after"
    ]
    for run in lost:
        broken.append(
            f"{run['attempt']} was one of them: it was {run['outcome']}, and its requester got"
            f" {answers[run['attempt']].describe()}"
        )
    return broken


sys.exit(run_case(FOLDER, main))
