"""A worker leaves; then all nodes are killed while the store is down, and a
heartbeat from before the leave arrives late.

The rule is broken if the worker gets requests later than `drain` after its leave
was acknowledged, sent by machines that are in touch again."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import platform_standin as platform  # noqa: E402

HOST = "shop.example"
TOUCH_SECONDS = 3
DOWN_SECONDS = 0.6  # from the kill to the next start of the processes
# In seconds after the acknowledgement of the leave.
STORE_DOWN = (-0.5, 6.0)
KILLED_AT = 0.5
LATE_HEARTBEAT_AT = 5.5
LOAD_UNTIL = 13


class Leaving(platform.Worker):
    """A worker that never says draining: it leaves, serves on, and exits."""

    async def leave(self):
        self._task.cancel()  # no more heartbeats
        late = self.heartbeat("ready")  # sent now, and held up on its way
        status, _ = await platform.call(
            self.node.control, "POST",
            f"/-/rpc?call=workers.leave&of={self.name}", {"born": self._born})
        return late, status

    async def deliver(self, body):
        return (await platform.call(
            self.node.control, "POST",
            f"/-/rpc?call=workers.heartbeat&of={self.name}", body))[0]


async def case(record, logs, trouble):
    store = platform.Store()
    await store.start()
    nodes = [platform.Node(f"side-a-{i + 1}", f"127.0.0.{i + 1}", "a", "shop",
                           store, logs) for i in range(2)]
    for node in nodes:
        record.cleanup.append(node.stop)
        await node.start()
    arrived = {}  # attempt id -> time

    async def answer_leaving(_line, fields, _body):
        arrived[fields["attempt-id"]] = record.now()
        await asyncio.sleep(0.05)
        return 200, b"ok"

    async def answer(_line, _fields, _body):
        await asyncio.sleep(0.05)
        return 200, b"ok"
    leaving = Leaving("i-1", nodes[0], answer_leaving, record)
    other = platform.Worker("i-2", nodes[1], answer, record)
    for worker in (leaving, other):
        await worker.start()
    await store.put_config(platform.config(1, {"shop": platform.route(
        HOST, "/shop/", "shop")}, ["shop"]))
    for node in nodes:
        await platform.wait_until(node.is_ready, f"{node.name} is ready")

    async def both_used():
        await asyncio.gather(*(platform.answered(
            node, HOST, "/shop/warm", f"warm-{record.now():.3f}-{i}")
            for i in range(8) for node in nodes))
        return arrived and other.runs
    await platform.wait_until(both_used, "both workers are used")

    store.busy = trouble
    if trouble:
        record("the store is down (503)")
    await asyncio.sleep(-STORE_DOWN[0])
    late, status = await leaving.leave()
    if status != 200:
        raise platform.CannotRun("the leave was not acknowledged")
    acknowledged = record.now()
    record("the leave of i-1 is acknowledged by side-a-1")

    sent = {}

    async def send(node, attempt):
        sent[attempt] = record.now()
        try:
            await platform.answered(node, HOST, "/shop/x", attempt)
        except (OSError, EOFError, asyncio.TimeoutError):
            pass

    async def load():
        tasks, count = [], 0
        while record.now() < acknowledged + LOAD_UNTIL:
            for node in nodes:
                count += 1
                tasks.append(asyncio.create_task(send(node, f"l-{count}")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
    loading = asyncio.create_task(load())

    async def at(seconds):
        await asyncio.sleep(max(0, acknowledged + seconds - record.now()))
    await at(KILLED_AT)
    if trouble:
        record("SIGKILL to all nodes")
        for node in nodes:
            await node.stop()
        await at(KILLED_AT + DOWN_SECONDS)
        for node in nodes:
            await node.start()
        record("all nodes have been started again")
    await at(LATE_HEARTBEAT_AT)
    record("the late heartbeat arrives: "
           f"{await leaving.deliver(late)} {json.dumps(late)}")
    await at(STORE_DOWN[1])
    store.busy = False
    record("the store is up")
    await loading
    in_touch = acknowledged + STORE_DOWN[1] + TOUCH_SECONDS
    broken = [attempt for attempt, at_time in arrived.items()
              if attempt in sent and sent[attempt] > in_touch
              and at_time > acknowledged + platform.DRAIN_SECONDS]
    early = [attempt for attempt, at_time in arrived.items()
             if at_time > acknowledged + platform.DRAIN_SECONDS]
    record(f"reached i-1 later than drain: {len(early)}; of these sent by "
           f"machines in touch: {len(broken)}")
    return not broken


if __name__ == "__main__":
    sys.exit(platform.run_case(case, FOLDER))
