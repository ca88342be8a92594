"""All nodes are killed at once just after one has acknowledged that its endpoint leaves; a liveness
report of that endpoint, sent before, arrives late at the new process."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as kit

HOST, DRAIN, STABILITY = "hulo84.example", 2.0, 3.0


async def case(rig, trouble):
    nodes = [rig.add_node(f"n{i}", "abc"[i % 3], "desk") for i in range(6)]
    book = kit.route(HOST, "/book/", "desk", "non_idempotent", "1500ms")
    await rig.start(kit.config(7, [book], ["desk"]))
    servers = []
    for i, node in enumerate(nodes):
        server = kit.Server(rig.record, "desk", f"i-{i}", node.control, work=0.4)
        await server.open(node.ip)
        server.start_beating()
        servers.append(server)
    await rig.wait_ready()
    await asyncio.sleep(STABILITY + 1)

    # This endpoint never reports `draining`: it sends DELETE, goes on serving, and exits.
    leaving = servers[1]
    leaving.stop_beating()
    late = leaving.beat_body()
    rig.record(f"i-1: this report is late: {late}")
    if await leaving.report({"born": leaving.born}, "DELETE") != 200:
        raise kit.Unfit("the leaving was not acknowledged")
    acknowledged = rig.record.now()
    await asyncio.sleep(0.3)
    if trouble:
        rig.record("all nodes are killed, and start again after 0.5 s")
        for node in nodes:
            node.signal(signal.SIGKILL)
        for node in nodes:
            await node.process.wait()
        await asyncio.sleep(0.5)
        for node in nodes:
            await node.start(rig.temporary)
    started = rig.record.now()
    await rig.wait_ready()
    await asyncio.sleep(max(0.0, started + 2.0 - rig.record.now()))
    await leaving.report(late)
    rig.record(f"the report arrives {rig.record.now() - acknowledged:.1f} s late")
    # All machines have run for longer than `stability` now.
    await asyncio.sleep(max(0.0, started + STABILITY + 1.0 - rig.record.now()))
    answers = []

    async def book_one(n):
        answers.append(await kit.request(rig, nodes[n % 6], HOST, f"/book/{n}", f"b{n:04}", "POST", 1500, b"lesson"))

    began = rig.record.now()
    tasks = []
    for n in range(150):
        if n == 120:
            # It has served for many seconds, and exits, with what it has at work.
            rig.record("i-1 exits")
            leaving.server.close()
            for writer in list(leaving.writers):
                writer.transport.abort()
        tasks.append(asyncio.create_task(book_one(n)))
        await asyncio.sleep(0.03)
    reached = [run for run in leaving.runs if run[0] > max(began, acknowledged + DRAIN)]
    await asyncio.gather(*tasks)
    if 200 not in answers:
        raise kit.Unfit("nothing was served")
    rig.record(f"{len(reached)} of 150 requests reached i-1, which had left, sent {began - acknowledged:.1f} s and more after the "
               f"acknowledgement; {sum(status == 502 for status in answers)} were at work there as it exited, and were lost")
    return len(reached) > 0


kit.main(os.path.dirname(os.path.abspath(__file__)), 89, case)
