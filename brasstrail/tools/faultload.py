"""The callers and operators of a run of faults, and what they must see.

Each reply is checked when it comes: an answer must be the one that its own request
produced, and a version of the configuration must never fall.
"""

import asyncio
import collections
import dataclasses
import hashlib
import time

import click
import orjson

from brasstrail.fakes import batching
from brasstrail.protocol import chat

SUBMITTERS = 4
CHATTERS = 4
OPERATORS = 2
REPLY_LIMIT_S = 12.0
MAX_TOKENS = 20
CHANGE_PAUSE_S = 0.3
WORKSPACE = "w"


@dataclasses.dataclass
class Submission:
    """A submission and the replies that its caller got."""

    key: str
    replies: list = dataclasses.field(default_factory=list)
    receipt: str = ""
    unknown: bool = False


@dataclasses.dataclass
class Tally:
    """Counts of what happened, and the violations that were found."""

    counts: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    violations: list = dataclasses.field(default_factory=list)

    def violated(self, promise, details):
        """Note a violation."""
        self.violations.append((promise, details))
        click.echo(f"VIOLATION {promise}: {details}")


class Load:
    """The callers and operators of a run."""

    def __init__(self, running, draw, tally, hosts):
        self.cluster = running
        self.random = draw
        self.tally = tally
        self.hosts = hosts
        self.submissions = []
        self.changes = {}
        self.versions = {}
        self.stopped = False
        self.number = 0

    def entry_port(self):
        """Return the port of an entry drawn at random."""
        return self.cluster.ports[self.random.choice(self.hosts)]["http"]

    async def submitter(self, number):
        """Submit, and send again with the same key until there is an answer."""
        while not self.stopped:
            self.number += 1
            item = Submission(f"key-{number}-{self.number}")
            self.submissions.append(item)
            while not self.stopped and not item.receipt and not item.unknown:
                await self.submit(item)
                await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def submit(self, item):
        """Send a submission once and note the reply."""
        reply = await self.cluster.fetch(
            self.entry_port(),
            "/services/filing-app/returns",
            b"{}",
            REPLY_LIMIT_S,
            headers={
                "Brasstrail-Class": "submit",
                "Brasstrail-Workspace": WORKSPACE,
                "Idempotency-Key": item.key,
            },
        )
        item.replies.append((time.time(), reply.code, reply.body or b""))
        if reply.code == 201:
            self.note_receipt(item, orjson.loads(reply.body))
            return
        self.tally.counts[f"submission {reply.code}"] += 1
        if reply.code == 504 and b"outcome_unknown" in reply.body:
            item.unknown = True

    def note_receipt(self, item, table):
        """Check a receipt against the key and against an earlier one."""
        self.tally.counts["submission answered"] += 1
        if table["key"] != item.key:
            self.tally.violated("foreign answer", (item.key, table))
        if item.receipt and item.receipt != table["receipt"]:
            self.tally.violated("two answers", (item.key, table))
        item.receipt = table["receipt"]
        item.unknown = False

    async def chatter(self, number):
        """Chat, and compare each answer with what the engine must say."""
        while not self.stopped:
            self.number += 1
            await self.chat(f"question {number} {self.number}")
            await asyncio.sleep(self.random.uniform(0.02, 0.1))

    async def chat(self, text):
        """Send a chat request once and check the reply."""
        stream = self.random.random() < 0.5
        body = {
            "model": "assist-1",
            "max_tokens": MAX_TOKENS,
            "stream": stream,
            "messages": [{"role": "user", "content": text}],
        }
        reply = await self.cluster.fetch(
            self.entry_port(),
            "/v1/chat/completions",
            orjson.dumps(body),
            REPLY_LIMIT_S,
            headers={"Brasstrail-Workspace": WORKSPACE},
        )
        if reply.code != 200:
            self.tally.counts[f"chat {reply.code}"] += 1
            return
        got = read_answer(reply.body, stream)
        if got is None:
            self.tally.counts["chat broken off"] += 1
        elif got != expected_answer(text):
            self.tally.violated("wrong answer", (text, got))
        else:
            self.tally.counts["chat whole"] += 1

    async def operator(self, number):
        """Change the configuration, in a race with the other operators."""
        while not self.stopped:
            self.number += 1
            await self.change(f"w-{number}-{self.number}")
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def change(self, name):
        """Add a workspace; send the change again until its outcome is known."""
        version = await self.read_version()
        table = {
            "change_id": name,
            "expected_version": version,
            "workspaces": [{"name": name}],
        }
        while not self.stopped and version is not None:
            host = self.random.choice(self.hosts)
            reply = await self.cluster.call_admin(host, "/config", table)
            self.tally.counts[f"change {reply.code}"] += 1
            if reply.code == 200:
                self.changes[name] = orjson.loads(reply.body)["version"]
            if reply.code in (200, 409):
                return
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def read_version(self):
        """Return the version that a control host confirms, or None."""
        host = self.random.choice(self.hosts)
        reply = await self.cluster.call_admin(host, "/config")
        return orjson.loads(reply.body)["version"] if reply.code == 200 else None

    async def watcher(self):
        """Check that the version never falls on any entry that lives on."""
        while not self.stopped:
            for name in self.hosts:
                await self.watch(name)
            await asyncio.sleep(0.1)

    async def watch(self, name):
        """Note the version at one entry."""
        life = self.cluster.processes[name].pid
        port = self.cluster.ports[name]["http"]
        reply = await self.cluster.fetch(port, "/admin/v1/view", timeout_s=1.0)
        if reply.code != 200:
            return
        version = orjson.loads(reply.body)["version"]
        if version < self.versions.get(life, 0):
            self.tally.violated("configuration reverted", (name, version))
        self.versions[life] = version

    def start(self):
        """Start all callers and operators; return their tasks."""
        jobs = [self.submitter(number) for number in range(SUBMITTERS)]
        jobs += [self.chatter(number) for number in range(CHATTERS)]
        jobs += [self.operator(number) for number in range(OPERATORS)]
        jobs.append(self.watcher())
        return [asyncio.create_task(job) for job in jobs]


def expected_answer(text):
    """Return what the fake engines answer to a text."""
    messages = [{"role": "user", "content": text}]
    prompt, _ = chat.prompt_text(messages)
    digest = hashlib.blake2b(prompt.encode(), digest_size=16).digest()
    return "".join(batching.token_text(digest, each) for each in range(MAX_TOKENS))


def read_answer(body, stream):
    """Return the text of an answer, or None where it is not whole."""
    if not stream:
        return orjson.loads(body)["choices"][0]["message"]["content"]
    events = chat.EventSplitter().feed(body)
    if not events or events[-1] != chat.STREAM_END:
        return None
    return chat.text_of(events[:-1])
