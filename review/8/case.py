"""A worker pauses while it reads a large upload; the node that passes the
upload on gets SIGTERM meanwhile.

With TROUBLE=0 the pause is short; the SIGTERM comes as well."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import platform_standin as platform  # noqa: E402

HOST = "photos.example"
UPLOAD_BYTES = 12 << 20
FIRST_BYTES = 1 << 20  # read before the pause
PAUSE_SECONDS = 2.8
SHORT_PAUSE_SECONDS = 1.0
DEADLINE_MS = 6000
SIGTERM_AFTER = 0.3


class SlowReader(platform.Worker):
    """Works on an upload as it arrives, and pauses after its first part."""

    pause = 0.0
    finished = None

    async def _serve(self, reader, writer):
        try:
            while True:
                line, fields = await platform.read_head(reader)
                length = int(fields.get("content-length", 0))
                body = b""
                if length > FIRST_BYTES:
                    body = await reader.readexactly(FIRST_BYTES)
                    self._record(f"worker {self.name} is at work on "
                                 f"{fields['attempt-id']}: {line}")
                    await asyncio.sleep(self.pause)
                body += await reader.readexactly(length - len(body))
                if length > FIRST_BYTES:
                    self._record(f"worker {self.name} has read all of "
                                 f"{fields['attempt-id']}")
                await self._respond(line, fields, body, writer)
        except (OSError, EOFError, asyncio.CancelledError) as error:
            self._record(f"worker {self.name}: its connection ended: {error!r}")
        finally:
            writer.close()


async def case(record, logs, trouble):
    store = platform.Store()
    await store.start()
    node = platform.Node("side-a-1", "127.0.0.1", "a", "photos", store, logs)
    record.cleanup.append(node.stop)
    await node.start()

    async def answer(_line, _fields, _body):
        return 200, b"stored"
    worker = SlowReader("i-1", node, answer, record)
    worker.pause = PAUSE_SECONDS if trouble else SHORT_PAUSE_SECONDS
    await worker.start()
    await store.put_config(platform.config(1, {
        "view": platform.route(HOST, "/view/", "photos", timeout="6000ms"),
        "upload": platform.route(HOST, "/upload/", "photos", kind="upload",
                                 timeout="6000ms")}, ["photos"]))
    await platform.wait_until(node.is_ready, "the node is ready")
    await platform.wait_served(node, HOST, "/view/warm")

    reader, writer = await asyncio.open_connection(*node.outbound)
    start = record.now()
    writer.write(platform.head("POST /upload/photo HTTP/1.1", [
        ("Host", HOST), ("Attempt-Id", "a-1"), ("Deadline-Ms", DEADLINE_MS),
        ("Content-Length", UPLOAD_BYTES)]) + os.urandom(UPLOAD_BYTES))
    await writer.drain()
    record("the caller has sent POST /upload/photo, attempt a-1, "
           f"{UPLOAD_BYTES} bytes, deadline {DEADLINE_MS} ms")

    async def stop_node():
        await asyncio.sleep(SIGTERM_AFTER)
        record("SIGTERM to the node")
        node.signal(signal.SIGTERM)
        await node.process.wait()
        record(f"the node has exited with {node.process.returncode}")
    stopper = asyncio.create_task(stop_node())
    signature = None
    try:
        line, fields = await asyncio.wait_for(platform.read_head(reader),
                                              DEADLINE_MS / 1000 + 2)
        body = await platform.read_body(reader, fields)
        signature = fields.get("response-sig")
        record(f"the caller gets {line}, signature {signature}, {body!r}, "
               f"{record.now() - start:.3f} s after its request")
    except (OSError, EOFError) as error:
        record(f"the connection ends without an answer: {error!r}")
    if record.now() - start > DEADLINE_MS / 1000:
        raise platform.CannotRun("the deadline had passed")
    await asyncio.wait_for(stopper, 10)
    writer.close()
    return signature is not None


if __name__ == "__main__":
    sys.exit(platform.run_case(case, FOLDER))
