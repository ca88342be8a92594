"""CONFIG: a root that the store turns away keeps the nodes below it on an old version."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from mesh import BOUNDS, HOST, CannotRun, Node, StoreProxy, new_attempt, request, run_case

# How long requests are sent after the second configuration, in seconds.
WATCH = 8.0
SEND_GAP = 0.25


def routes(service, with_new):
    """Returns the routes of a version: /warr/ goes to `service`, and /new/ is there or not."""
    common = {"type": "non_idempotent", "timeout": "1500ms", "target_latency": "800ms", "priority": 1, "max_attempts": 2}
    table = {"r-warr": {"host": HOST, "path_prefix": "/warr/", "service": service, **common}}
    if with_new:
        table["r-new"] = {"host": HOST, "path_prefix": "/new/", "service": "claims", **common}
    return table


async def send(mesh, node, path):
    attempt = new_attempt()
    sent_at = mesh.record.now()
    headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}
    answer = await request(node.outbound, "POST", path, headers, b"x" * 300, 3.0)
    mesh.record.line(f"requester at {node.name}: sent {path} {attempt} at {sent_at:.3f}, gets {answer.describe()}")
    return path, attempt, sent_at, answer


async def restart(node):
    node.signal(signal.SIGTERM)
    if not await node.wait_end(BOUNDS["grace"]):
        node.signal(signal.SIGKILL)
    await asyncio.sleep(0.3)
    node.start()


async def main(mesh, trouble):
    record = mesh.record
    await mesh.start_platform()
    await mesh.put_config("r7", routes("records", with_new=False), ["claims", "records"])
    # The store as one machine sees it: the proxy can turn its calls away with 503.
    proxy = StoreProxy(mesh)
    await proxy.start()
    root = Node(mesh, "sidecar-shah-alam-1", "shah-alam", "jobs")
    root.platform_port = proxy.port
    claims = Node(mesh, "sidecar-shah-alam-2", "shah-alam", "claims")
    records = Node(mesh, "sidecar-shah-alam-3", "shah-alam", "records")
    for node in (root, claims, records):
        node.start()
        await asyncio.sleep(1.0)
    endpoints = {node: await mesh.add_endpoint(node, work=0.05) for node in (root, claims, records)}
    await mesh.wait_ready([root, claims, records])
    await mesh.wait_served(claims, "POST", "/warr/first")
    await asyncio.sleep(BOUNDS["stability"] + 1.0)

    if trouble:
        proxy.turn_away()
    await asyncio.sleep(0.5)
    # Planned work: the two other nodes are stopped and started again in turn, while their endpoints go on.
    restarts = [asyncio.create_task(restart(claims))]
    await asyncio.sleep(1.0)
    restarts.append(asyncio.create_task(restart(records)))
    await asyncio.gather(*restarts)
    await mesh.wait_ready([claims, records])
    await asyncio.sleep(max(0.0, records.started_at + BOUNDS["stability"] + 0.3 - record.now()))

    acknowledged_at = await mesh.replace_config("r9", routes("claims", with_new=True), ["claims", "records"])
    tasks = []
    while record.now() < acknowledged_at + WATCH:
        for path in ("/warr/release", "/new/release"):
            tasks.append(asyncio.create_task(send(mesh, claims, path)))
        await asyncio.sleep(SEND_GAP)
    sent = await asyncio.gather(*tasks)
    return find_stale(endpoints[records], acknowledged_at, sent)


def find_stale(records, acknowledged_at, sent):
    """Returns how the rule was broken: requests handled as only the older version allows.

    The machine that took them, and that of the endpoint `records`, are in touch: their processes have run for
    longer than `stability`, and they reach the store, which serves them and the operator.
    """
    bound = acknowledged_at + BOUNDS["config_apply"]
    old_runs = {run["attempt"] for run in records.arrivals}
    late = [one for one in sent if one[2] > bound]
    missing = [one for one in late if one[0] == "/new/release" and one[3].status == 404]
    old = [one for one in late if one[0] == "/warr/release" and one[1] in old_runs]
    broken = []
    if missing:
        last = missing[-1][2] - acknowledged_at
        broken.append(
            f"{len(missing)} requests sent later than {BOUNDS['config_apply']} s after the acknowledgement of r9 were"
            f" refused with 404, though r9 has their route, the last one sent {last:.3f} s after"
        )
    if old:
        last = old[-1][2] - acknowledged_at
        broken.append(
            f"{len(old)} requests sent that late were run by the service 'records', to which only r7 sends them, the"
            f" last one sent {last:.3f} s after"
        )
    return broken


sys.exit(run_case(FOLDER, main))
