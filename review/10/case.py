"""TWICE: a stream goes on at another server while a slow server still works on it."""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st

SERVICE, KEY = "assist-llm", "k-bookkeeper"
DEADLINE_MS, GOAL_MS, PAUSE_MS = 15_000, 1_000, 500
FIRST_EVENT_S, EVENT_S, EVENTS = 0.4, 0.06, 10
# How long the server before may still work on a request that has gone on elsewhere.
ALLOWED_S = 0.4
SLOW_FACTOR = 8.0
SLOW_S = 6.5
PER_S = 5.0


class Engine(st.Server):
    """A model server that drops a request when its channel closes.

    It notices that when it has the next event to send.
    """

    slots = 4
    factor = 1.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # [attempt, time when the run began, time when it ended or None]
        self.work = []
        self.readers = {}

    async def serve(self, reader, writer):
        self.readers[writer] = reader
        await super().serve(reader, writer)

    def report(self):
        return {**super().report(), "models": [MODEL]}

    async def answer(self, writer, method, path, headers, body):
        if path in ("/v1/report", "/healthz"):
            await super().answer(writer, method, path, headers, body)
            return
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.identity) != self.identity:
            refused = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            await self.write(writer, 421, refused, b"")
            return
        run = asyncio.ensure_future(self.run(writer, attempt, headers))
        await asyncio.shield(run)

    async def run(self, writer, attempt, headers):
        reader = self.readers[writer]
        async with self.room:
            after = int(headers.get("last-event-id") or 0)
            entry = [attempt, time.monotonic(), None]
            self.work.append(entry)
            self.record(f"{self.name} begins {attempt} after event {after}")
            fields = {
                "X-Instance-Id": self.identity,
                "X-Attempt-Id": attempt,
                "X-Server-Signature": f"3e1b.{self.name}.{attempt}",
                "X-Weight-Versions": "1",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            head = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields.items())]
            sent = "\r\n".join([*head, "", ""]).encode()
            for number in range(after + 1, EVENTS + 1):
                is_first = number == after + 1
                await asyncio.sleep(
                    (FIRST_EVENT_S if is_first else EVENT_S) * self.factor
                )
                if writer.is_closing() or reader.at_eof():
                    entry[2] = time.monotonic()
                    self.record(f"{self.name} drops {attempt}: its channel is closed")
                    return
                event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
                self.send(writer, sent + b"%x\r\n%s\r\n" % (len(event), event))
                sent = b""
            self.send(writer, sent + b"0\r\n\r\n")
            entry[2] = time.monotonic()
            self.record(f"{self.name} ends {attempt}")

    def send(self, writer, content):
        with contextlib.suppress(OSError, RuntimeError):
            if not writer.is_closing():
                writer.write(content)


MODEL = {"name": "m", "version": 1, "adapters": []}
RUNTIME = {
    "slots": 4,
    "kv_capacity": 230078,
    "kv_bytes": 18432,
    "link_mbps": 88000.0,
    "migrations": True,
    "backups": True,
    "stride": 5,
    "most": 12,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "kv_ttl_s": 5.0,
    "models": [{"name": "m"}],
}


async def request(record, gateway, attempt):
    headers = {
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
        "X-Model-Id": "m",
        "X-Token-Usage": "1460,50",
        "X-Prefix-Hash": f"5c1e07a2:60,{attempt}:1400",
    }
    record(f"sent {attempt} to {gateway}")
    try:
        answer = await st.call(gateway, "POST", "/review/1", headers, b"{}")
        record(f"answered {attempt} {answer.status} complete={answer.complete}")
    except (OSError, EOFError) as error:
        record(f"no answer to {attempt}: {error!r}")


async def play(record):
    installation = st.Installation(record)
    controls = [f"{ip}:{st.CONTROL}" for ip in installation.core_ips]
    engines = [
        Engine(record, name, SERVICE, f"{installation.net}.{last}", controls, zone)
        for name, last, zone in (
            ("a", 21, "ub-east"),
            ("b", 22, "dk-main"),
            ("c", 23, "ub-west"),
        )
    ]
    try:
        installation.start_all()
        document = st.configuration(
            7,
            [
                st.route(
                    "review",
                    SERVICE,
                    "streaming",
                    timeout_ms=DEADLINE_MS,
                    goal_ms=GOAL_MS,
                    itl_goal_ms=PAUSE_MS,
                    max_attempts=2,
                    sticky=True,
                    resumable=True,
                )
            ],
            [SERVICE],
            [st.tenant("hule930", KEY)],
        )
        document["services"][0]["runtime"] = RUNTIME
        await st.Operator(record, controls).put(document)
        for engine in engines:
            await engine.start()
            engine.begin_beats()
        await installation.wait_ready(installation.ips)
        await asyncio.sleep(3.0)
        gateways = [f"{ip}:{st.FRONTEND}" for ip in installation.ips]
        tasks = []

        async def send_for(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                attempt = f"{len(tasks) + 1:016x}"
                gateway = random.choice(gateways)
                tasks.append(
                    asyncio.ensure_future(request(record, gateway, attempt))
                )
                await asyncio.sleep(1 / PER_S)

        await send_for(6.0)
        if st.TROUBLE:
            engines[0].factor = SLOW_FACTOR
            record("server a works 8 times as long")
        await send_for(SLOW_S)
        engines[0].factor = 1.0
        record("server a works as usual")
        await send_for(3.0)
        await asyncio.gather(*tasks)
        await asyncio.sleep(8.0)
        twice = find_twice(engines)
        for row in twice:
            record("%s went on at %s while %s worked on it for %.0f ms more" % row)
        return bool(twice)
    finally:
        for engine in engines:
            engine.end()
        installation.stop()


def find_twice(engines):
    """Return the runs that went on elsewhere while the one before still worked."""
    runs = [
        (attempt, began, ended, engine.name)
        for engine in engines
        for attempt, began, ended in engine.work
        if ended is not None
    ]
    return [
        (attempt, other[3], name, (ended - other[1]) * 1000)
        for attempt, began, ended, name in runs
        for other in runs
        if other[0] == attempt
        and other[3] != name
        and other[1] > began
        and ended - other[1] > ALLOWED_S
    ]


st.run_case(pathlib.Path(__file__).resolve().parent, play)
