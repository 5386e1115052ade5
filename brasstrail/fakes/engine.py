"""A fake inference engine: an HTTP server on top of the batching model.

It implements the contract in docs/CONTRACTS.md: chat completions, streamed or in one
response, cancel, resume, delayed load reports, cache events that are delayed and
partly lost, export and import of KV cache blocks, and orders to load or unload models.
`POST /fake/set` injects faults. `GET /fake/seen` lists the jobs that were submitted,
for test checks.
"""

import asyncio
import collections
import dataclasses
import hashlib
import os
import random
import time

import click
import orjson
from tornado import httpclient, httpserver, web

from brasstrail.core import errors
from brasstrail.fakes import announcer, batching
from brasstrail.protocol import chat

DEFAULT_OUTPUT_TOKENS = 32
LOAD_REPORT_DELAY_S = 1.0
CACHE_EVENT_DELAY_S = 0.5
CACHE_EVENT_LOSS_RATE = 0.02
BLOCK_EXPORT_BYTES = 4096
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass
class Faults:
    """The faults injected at present.

    `slowdown` multiplies the time of each step. `crash_on` makes the engine crash when
    a prompt contains that text. `silent` stops all answers, `stalled` stops token
    streams only. `reports` false makes load reports fail with status 503.
    """

    slowdown: float = 1.0
    crash_on: str = ""
    silent: bool = False
    stalled: bool = False
    reports: bool = True


class Crashed(Exception):
    """The engine crashes while it takes a request: its connections are closed."""


class Engine:
    """State of a fake engine.

    Parameters
    ----------
    speed : `batching.Speed`.
    models : names of the models that it serves.
    seed : seeds the random loss of cache events.
    exit_on_crash : whether a crash ends the process; otherwise it drops all requests
        and closes connections.
    draws_lengths : whether answers end at a length derived from the prompt, instead of
        the bound that the caller set.

    Attributes
    ----------
    streams : queues by request id; an item is the number of tokens generated so far,
        or None once the request was cancelled or the engine crashed.
    load_samples : (monotonic time in seconds, load report), oldest first.
    cache_events : (monotonic time in seconds, action, block) of each event not lost.
    events_read : number of events of `batch` that were recorded or lost so far.
    """

    def __init__(self, speed, models, seed=0, exit_on_crash=False, draws_lengths=False):
        self.batch = batching.Batch(speed)
        self.models = list(models)
        self.random = random.Random(seed)
        self.exit_on_crash = exit_on_crash
        self.draws_lengths = draws_lengths
        self.faults = Faults()
        self.streams = {}
        self.submitted_jobs = []
        self.orders = []
        self.load_samples = collections.deque([(0.0, self.batch.load())])
        self.cache_events = []
        self.events_read = 0
        self.work_available = asyncio.Event()
        self.crashed = False

    async def run(self):
        """Run steps while there are requests, and record samples of the load."""
        while not self.crashed:
            if not self.batch.running and not self.batch.waiting:
                self.work_available.clear()
                await self.work_available.wait()
            self.batch.slowdown = self.faults.slowdown
            step_s, decoded = self.batch.step()
            self.record_sample()
            await asyncio.sleep(step_s)
            while self.faults.stalled or self.faults.silent:
                await asyncio.sleep(0.02)
            for job in decoded:
                self.queue_token(job)

    def record_sample(self):
        """Record the load and new cache events, which are published after a delay.

        A cache event is lost with probability `CACHE_EVENT_LOSS_RATE`.
        """
        now = time.monotonic()
        self.load_samples.append((now, self.batch.load()))
        while (
            len(self.load_samples) > 1
            and self.load_samples[1][0] < now - LOAD_REPORT_DELAY_S
        ):
            self.load_samples.popleft()
        fresh = self.batch.events[self.events_read :]
        self.events_read = len(self.batch.events)
        for action, block in fresh:
            if self.random.random() >= CACHE_EVENT_LOSS_RATE:
                self.cache_events.append((now, action, block))

    def queue_token(self, job):
        """Append the number of tokens generated so far to the request's queue."""
        queue = self.streams.get(job.request_id)
        if queue is not None and not job.cancelled:
            queue.put_nowait(job.generated)

    def submit(self, json_object, request_id):
        """Add a chat request to the batch and return its job."""
        chat_request = chat.read_request(json_object)
        text, _ = chat.prompt_text(json_object["messages"])
        if self.faults.crash_on and self.faults.crash_on in text:
            self.crash(request_id, chat_request.prompt_tokens)
        digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
        output_tokens = self.output_length(chat_request, digest)
        resumed_from = self.count_resumed_tokens(json_object, digest, output_tokens)
        job = batching.Job(
            request_id,
            digest,
            chat_request.prompt_tokens,
            chat_request.prefix,
            output_tokens,
            generated=resumed_from,
            resumed_from=resumed_from,
            at=time.time(),
        )
        self.streams[request_id] = asyncio.Queue()
        self.submitted_jobs.append(job)
        self.batch.add(job)
        self.work_available.set()
        return job

    def output_length(self, chat_request, digest):
        """Return the length of the answer in tokens."""
        bound = chat_request.max_tokens or DEFAULT_OUTPUT_TOKENS
        if not self.draws_lengths:
            return bound
        return batching.draw_output_length(digest, bound)

    def count_resumed_tokens(self, json_object, digest, output_tokens):
        """Return the number of tokens in the partial answer that is to be resumed."""
        text = (json_object.get("resume") or {}).get("text", "")
        tokens = 0
        length = 0
        while length < len(text) and tokens < output_tokens:
            length += len(batching.token_text(digest, tokens))
            tokens += 1
        return tokens

    def crash(self, request_id, prompt_tokens):
        """Crash: end the process, or drop all requests and end their streams."""
        if self.exit_on_crash:
            os._exit(3)
        self.submitted_jobs.append(batching.Job(request_id, b"", prompt_tokens, (), 0))
        self.crashed = True
        self.batch = batching.Batch(self.batch.speed)
        for queue in self.streams.values():
            queue.put_nowait(None)
        raise Crashed()

    def load_report(self):
        """Return the load about `LOAD_REPORT_DELAY_S` before the last sample."""
        return self.load_samples[0][1]

    def events_after(self, number):
        """Return the cache events after `number` that are older than the delay."""
        published_before = time.monotonic() - CACHE_EVENT_DELAY_S
        events = []
        for index, (when, action, block) in enumerate(self.cache_events):
            if index >= number and when <= published_before:
                events.append({"number": index + 1, "action": action, "block": block})
        return events


class BaseHandler(web.RequestHandler):
    """Base class of the request handlers; applies the faults that affect all paths."""

    def initialize(self, engine):
        self.engine = engine

    async def prepare(self):
        if self.engine.crashed:
            self.request.connection.stream.close()
            raise web.Finish()
        while self.engine.faults.silent:
            await asyncio.sleep(0.02)

    def read_json(self):
        """Return the JSON object of the request body."""
        return orjson.loads(self.request.body or b"{}")

    def write_json(self, json_object):
        """Finish the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(json_object))


class ChatHandler(BaseHandler):
    """POST /v1/chat/completions."""

    async def post(self):
        request_id = self.request.headers.get("X-Request-Id", str(id(self)))
        try:
            json_object = self.read_json()
            if json_object.get("model") not in self.engine.models:
                self.set_status(404)
                return self.write_json({"error": {"message": "no such model"}})
            job = self.engine.submit(json_object, request_id)
        except Crashed:
            self.request.connection.stream.close()
            raise web.Finish() from None
        except (errors.BadRequest, orjson.JSONDecodeError) as error:
            self.set_status(400)
            return self.write_json({"error": {"message": str(error)}})
        self.job = job
        self.set_header("Content-Type", "text/event-stream")
        payloads = [payload async for payload in self.payloads(job, json_object)]
        if job.cancelled or self.engine.crashed:
            return self.request.connection.stream.close()
        if json_object.get("stream"):
            return self.finish()
        self.set_header("Content-Type", "application/json")
        self.finish(chat.whole_answer(payloads))

    def on_connection_close(self):
        """Cancel the job when the client closes the connection."""
        job = getattr(self, "job", None)
        if job is not None:
            self.engine.batch.cancel(job.request_id)
            self.engine.streams[job.request_id].put_nowait(None)

    async def payloads(self, job, json_object):
        """Yield the payload of each event; also write it if the answer is streamed."""
        stream = bool(json_object.get("stream"))
        queue = self.engine.streams[job.request_id]
        number = job.resumed_from
        while number < job.to_generate:
            if await queue.get() is None or job.cancelled:
                break
            last = number + 1 == job.to_generate
            payload = self.payload(job, json_object["model"], number, last)
            number += 1
            yield payload
            if stream:
                await self.send(payload)
        self.engine.streams.pop(job.request_id, None)
        if stream and number == job.to_generate:
            await self.send(chat.STREAM_END)

    async def send(self, payload):
        """Write one event unless the connection is closed."""
        if not self.request.connection.stream.closed():
            self.write(chat.event(payload))
            await self.flush()

    def payload(self, job, model, number, last):
        """Return the payload of the event for token `number`."""
        choice = {
            "index": 0,
            "delta": {"content": batching.token_text(job.digest, number)},
            "finish_reason": "stop" if last else None,
        }
        chunk = {
            "id": f"chatcmpl-{job.request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "choices": [choice],
        }
        if last:
            chunk["usage"] = {
                "prompt_tokens": job.prompt_tokens,
                "completion_tokens": job.to_generate,
                "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
            }
        return orjson.dumps(chunk)


class CancelHandler(BaseHandler):
    """POST /v1/cancel with {"request_id": ...}."""

    def post(self):
        request_id = self.read_json().get("request_id", "")
        found = self.engine.batch.cancel(request_id)
        queue = self.engine.streams.get(request_id)
        if queue is not None:
            queue.put_nowait(None)
        self.write_json({"cancelled": found})


class LoadHandler(BaseHandler):
    """GET /v1/load."""

    def get(self):
        if not self.engine.faults.reports:
            raise web.HTTPError(503)
        self.write_json(self.engine.load_report())


class CacheEventsHandler(BaseHandler):
    """GET /v1/cache/events?after=NUMBER."""

    def get(self):
        after = int(self.get_query_argument("after", "0"))
        events = self.engine.events_after(after)
        self.write_json({"events": events, "last": len(self.engine.cache_events)})


class ExportHandler(BaseHandler):
    """POST /v1/kv/export with {"blocks": [...]}; the response is opaque bytes."""

    def post(self):
        wanted = self.read_json()["blocks"]
        held = [block for block in wanted if block in self.engine.batch.prefix_cache]
        self.set_header("Content-Type", "application/octet-stream")
        head = orjson.dumps(held) + b"\n"
        self.finish(head + bytes(BLOCK_EXPORT_BYTES * len(held)))


class ImportHandler(BaseHandler):
    """POST /v1/kv/import with the bytes of an export."""

    def post(self):
        held = orjson.loads(self.request.body.split(b"\n", 1)[0])
        self.engine.batch.store_blocks(held)
        self.write_json({"imported": len(held)})


class OrdersHandler(BaseHandler):
    """POST /v1/orders with {"fencing", "action", "model"}."""

    def post(self):
        order = self.read_json()
        self.engine.orders.append(order)
        if order.get("action") == "load" and order["model"] not in self.engine.models:
            self.engine.models.append(order["model"])
        if order.get("action") == "unload" and order["model"] in self.engine.models:
            self.engine.models.remove(order["model"])
        self.write_json({"models": self.engine.models})


class SetFaultsHandler(BaseHandler):
    """POST /fake/set with fields of `Faults`."""

    async def prepare(self):
        """Respond while `silent` is set, so it can be cleared, and after a crash."""

    def post(self):
        changes = self.read_json()
        self.engine.faults = dataclasses.replace(self.engine.faults, **changes)
        self.write_json(dataclasses.asdict(self.engine.faults))


class SubmittedJobsHandler(BaseHandler):
    """GET /fake/seen: all jobs ever submitted, and all orders."""

    async def prepare(self):
        """Respond even while `silent` is set or after a crash, for test checks."""

    def get(self):
        jobs = [
            {
                "request_id": job.request_id,
                "prompt_tokens": job.prompt_tokens,
                "prefilled": job.prefilled,
                "cached_tokens": job.cached_tokens,
                "prefix": job.prefix,
                "at": job.at,
                "generated": job.generated,
                "to_generate": job.to_generate,
                "cancelled": job.cancelled,
            }
            for job in self.engine.submitted_jobs
        ]
        self.write_json({"jobs": jobs, "orders": self.engine.orders})


def make_app(engine):
    """Return the web application of a fake engine."""
    routes = [
        (r"/v1/chat/completions", ChatHandler),
        (r"/v1/cancel", CancelHandler),
        (r"/v1/load", LoadHandler),
        (r"/v1/cache/events", CacheEventsHandler),
        (r"/v1/kv/export", ExportHandler),
        (r"/v1/kv/import", ImportHandler),
        (r"/v1/orders", OrdersHandler),
        (r"/fake/set", SetFaultsHandler),
        (r"/fake/seen", SubmittedJobsHandler),
    ]
    return web.Application(
        [(path, handler, {"engine": engine}) for path, handler in routes],
        log_function=lambda handler: None,
    )


def start(engine, port, address="127.0.0.1"):
    """Start the HTTP server and the engine; return the server and the engine's task."""
    server = httpserver.HTTPServer(make_app(engine), max_body_size=MAX_BODY_BYTES)
    server.listen(port, address)
    return server, asyncio.get_running_loop().create_task(engine.run())


async def serve(port, announce, service, models, speed, seed, slots, draws_lengths):
    """Run the engine and announce it until the process ends."""
    httpclient.AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    engine = Engine(speed, models, seed, True, draws_lengths)
    _server, run_task = start(engine, port)
    announcement = announcer.Announcement(
        service, "model", f"http://127.0.0.1:{port}", tuple(models), slots
    )
    if announce:
        await announcer.announce_periodically(announce, announcement)
    await run_task


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--announce", default="", help="The agent's announce address.")
@click.option("--service", default="assist-llm")
@click.option("--model", "models", multiple=True, default=["assist-1"])
@click.option("--prefill-rate", type=float, default=20_000.0)
@click.option("--round-ms", type=float, default=8.0)
@click.option("--cache-blocks", type=int, default=400)
@click.option("--slots", type=int, default=16)
@click.option("--seed", type=int, default=0)
@click.option("--draws-lengths", "draws", is_flag=True)
def main(
    port,
    announce,
    service,
    models,
    prefill_rate,
    round_ms,
    cache_blocks,
    slots,
    seed,
    draws,
):
    """Run a fake model engine."""
    speed = batching.Speed(
        prefill_rate=prefill_rate, step_ms=round_ms, prefix_cache_blocks=cache_blocks
    )
    asyncio.run(serve(port, announce, service, models, speed, seed, slots, draws))


if __name__ == "__main__":
    main()
