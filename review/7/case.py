"""A request crashes the endpoints that run it; others on its path, by another caller, do not."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as kit

HOST, PATH, STABILITY, BACK = "jepu9.example", "/slots/today", 3.0, 2.0
ALIKE = os.environ.get("ALIKE", "1") != "0"


class Endpoint(kit.Server):
    """A sound endpoint that ends when it begins to run the request of the caller `desk`, and is back
    after some seconds, as a new boot."""

    boots, deadly, reached, crashes = 0, False, None, None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await kit.read_head(reader)
                await kit.read_body(reader, headers)
                attempt = headers.get("attempt-id", "")
                if headers.get("expected-instance") != self.identity:
                    writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.identity}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                if headers.get("caller-service") == "desk":
                    self.reached.append((self.record.now(), attempt))
                    self.record(f"{self.identity}: {attempt} arrives")
                    if self.deadly:
                        self.crashes.append(self.record.now())
                        self.record(f"{self.identity}: crashes, for the {len(self.crashes)}. time in all")
                        asyncio.create_task(self.crash())
                        return
                await asyncio.sleep(self.work)
                body = f"{self.identity} ran {attempt}\n".encode()
                writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {attempt}.sig\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        self.stop_beating()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(BACK)
        self.boots += 1
        self.identity = f"{self.name}-{self.boots}"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.open(*self.place)
        self.start_beating()

    async def begin(self, node):
        self.name, self.writers = self.identity, set()
        await self.open(node.ip)
        ip, port = self.address.rsplit(":", 1)
        self.place = (ip, int(port))
        self.start_beating()


async def case(rig, trouble):
    services = ["board", "board", "board", "board", "desk", "desk"]
    nodes = [rig.add_node(f"n{i}", "abc"[i % 3], service) for i, service in enumerate(services)]
    board = kit.route(HOST, "/slots/", "board", "idempotent", "1200ms", attempts=2)
    await rig.start(kit.config(7, [board], ["board", "desk"]))
    reached, crashes = [], []
    for i, node in enumerate(nodes):
        server = Endpoint(rig.record, node.service, f"i{i}", node.control)
        server.deadly, server.reached, server.crashes = trouble, reached, crashes
        await server.begin(node)
    await rig.wait_ready()
    await asyncio.sleep(4)
    done = False

    async def look_ups(node):
        n = 0
        while not done:
            n += 1
            asyncio.create_task(kit.request(rig, node, HOST, PATH, f"{node.name}-{n}", deadline=1200))
            await asyncio.sleep(0.15)

    # The same look-up from machines of another service.
    others = [asyncio.create_task(look_ups(node)) for node in nodes[:4] if ALIKE]
    # The request comes again, with the same path, caller and body, at both machines of that caller.
    sent = {}
    for n in range(14):
        sent[f"deadly-{n}"] = rig.record.now()
        await kit.request(rig, nodes[4 + n % 2], HOST, PATH, f"deadly-{n}", deadline=1200)
        await asyncio.sleep(2.5)
    done = True
    await asyncio.gather(*others)
    if not reached:
        raise kit.Unfit("no request reached an endpoint")
    late = []
    if len(crashes) >= 3:
        # Retries that were sent later than `stability` after the third crash.
        late = sorted({attempt for _, attempt in reached if sent[attempt] > crashes[2] + STABILITY})
    rig.record(f"{len(crashes)} crashes; {len(late)} retries that reached an endpoint were sent later than {STABILITY} s "
               f"after the third: {late}")
    return len(late) > 3


kit.main(os.path.dirname(os.path.abspath(__file__)), 87, case)
