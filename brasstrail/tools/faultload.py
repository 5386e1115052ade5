"""The load of a fault run: callers and operators that check the replies they get.

Each reply is checked on arrival: an answer must be the one that its own request
produced, and the version of the configuration must never decrease.
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

SUBMITTER_COUNT = 4
CHAT_CALLER_COUNT = 4
OPERATOR_COUNT = 2
REPLY_TIMEOUT_S = 12.0
MAX_TOKENS = 20
CHANGE_PAUSE_S = 0.3
WORKSPACE = "w"


@dataclasses.dataclass
class Submission:
    """A submission and the replies to it.

    `replies` holds (time in seconds since the epoch, status, body) of each attempt.
    `receipt` is that of the answer, or empty. `unknown` is whether a reply stated
    that the outcome cannot be known, and no answer came since.
    """

    key: str
    replies: list = dataclasses.field(default_factory=list)
    receipt: str = ""
    unknown: bool = False


@dataclasses.dataclass
class RunResults:
    """Counts of outcomes, and the violations that were found."""

    counts: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    violations: list = dataclasses.field(default_factory=list)

    def add_violation(self, guarantee, details):
        """Record a violation and print it."""
        self.violations.append((guarantee, details))
        click.echo(f"VIOLATION {guarantee}: {details}")


class Load:
    """The callers and operators of a run.

    `acknowledged_versions` maps the name of each acknowledged change to its version.
    `newest_versions` maps the process id of an entry to the last configuration version
    that it reported.
    """

    def __init__(self, running, rng, results, hosts):
        self.cluster = running
        self.random = rng
        self.results = results
        self.hosts = hosts
        self.submissions = []
        self.acknowledged_versions = {}
        self.newest_versions = {}
        self.stopped = False
        self.number = 0

    def random_entry_port(self):
        """Return the HTTP port of a randomly drawn entry."""
        return self.cluster.ports[self.random.choice(self.hosts)]["http"]

    async def run_submitter(self, number):
        """Send submissions, each repeated with its key until the outcome is known."""
        while not self.stopped:
            self.number += 1
            submission = Submission(f"key-{number}-{self.number}")
            self.submissions.append(submission)
            while (
                not self.stopped and not submission.receipt and not submission.unknown
            ):
                await self.submit(submission)
                await asyncio.sleep(self.random.uniform(0.02, 0.2))

    async def submit(self, submission):
        """Send a submission once and record the reply."""
        reply = await self.cluster.fetch(
            self.random_entry_port(),
            "/services/filing-app/returns",
            b"{}",
            REPLY_TIMEOUT_S,
            headers={
                "Brasstrail-Class": "submit",
                "Brasstrail-Workspace": WORKSPACE,
                "Idempotency-Key": submission.key,
            },
        )
        submission.replies.append((time.time(), reply.code, reply.body or b""))
        if reply.code == 201:
            self.check_receipt(submission, orjson.loads(reply.body))
            return
        self.results.counts[f"submission {reply.code}"] += 1
        if reply.code == 504 and b"outcome_unknown" in reply.body:
            submission.unknown = True

    def check_receipt(self, submission, answer):
        """Check an answer's key, and its receipt against an earlier one."""
        self.results.counts["submission answered"] += 1
        if answer["key"] != submission.key:
            self.results.add_violation("foreign answer", (submission.key, answer))
        if submission.receipt and submission.receipt != answer["receipt"]:
            self.results.add_violation("two answers", (submission.key, answer))
        submission.receipt = answer["receipt"]
        submission.unknown = False

    async def run_chat_caller(self, number):
        """Send chat requests until the load is stopped."""
        while not self.stopped:
            self.number += 1
            await self.send_chat(f"question {number} {self.number}")
            await asyncio.sleep(self.random.uniform(0.02, 0.1))

    async def send_chat(self, text):
        """Send a chat request and compare the answer with the fake engine's output.

        Half of the requests, drawn at random, ask for a stream.
        """
        stream = self.random.random() < 0.5
        body = {
            "model": "assist-1",
            "max_tokens": MAX_TOKENS,
            "stream": stream,
            "messages": [{"role": "user", "content": text}],
        }
        reply = await self.cluster.fetch(
            self.random_entry_port(),
            "/v1/chat/completions",
            orjson.dumps(body),
            REPLY_TIMEOUT_S,
            headers={"Brasstrail-Workspace": WORKSPACE},
        )
        if reply.code != 200:
            self.results.counts[f"chat {reply.code}"] += 1
            return
        answer = parse_answer(reply.body, stream)
        if answer is None:
            self.results.counts["chat broken off"] += 1
        elif answer != expected_answer(text):
            self.results.add_violation("wrong answer", (text, answer))
        else:
            self.results.counts["chat whole"] += 1

    async def run_operator(self, number):
        """Change the configuration until stopped, concurrently with other operators."""
        while not self.stopped:
            self.number += 1
            await self.add_workspace(f"w-{number}-{self.number}")
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def add_workspace(self, name):
        """Add a workspace; repeat the change until it is acknowledged or rejected."""
        version = await self.read_version()
        change = {
            "change_id": name,
            "expected_version": version,
            "workspaces": [{"name": name}],
        }
        while not self.stopped and version is not None:
            host = self.random.choice(self.hosts)
            reply = await self.cluster.call_admin(host, "/config", change)
            self.results.counts[f"change {reply.code}"] += 1
            if reply.code == 200:
                self.acknowledged_versions[name] = orjson.loads(reply.body)["version"]
            if reply.code in (200, 409):
                return
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def read_version(self):
        """Return the version that a random control host confirms, or None."""
        host = self.random.choice(self.hosts)
        reply = await self.cluster.call_admin(host, "/config")
        return orjson.loads(reply.body)["version"] if reply.code == 200 else None

    async def run_watcher(self):
        """Check every 0.1 s that no entry process reports a lower version."""
        while not self.stopped:
            for name in self.hosts:
                await self.check_version(name)
            await asyncio.sleep(0.1)

    async def check_version(self, name):
        """Check and record the configuration version of one entry.

        It may be lower only after a restart, so versions are kept by process id.
        """
        entry_pid = self.cluster.processes[name].pid
        port = self.cluster.ports[name]["http"]
        reply = await self.cluster.fetch(port, "/admin/v1/view", timeout_s=1.0)
        if reply.code != 200:
            return
        version = orjson.loads(reply.body)["version"]
        if version < self.newest_versions.get(entry_pid, 0):
            self.results.add_violation("configuration reverted", (name, version))
        self.newest_versions[entry_pid] = version

    def start(self):
        """Start the callers, operators and the version watcher; return their tasks."""
        jobs = [self.run_submitter(number) for number in range(SUBMITTER_COUNT)]
        jobs += [self.run_chat_caller(number) for number in range(CHAT_CALLER_COUNT)]
        jobs += [self.run_operator(number) for number in range(OPERATOR_COUNT)]
        jobs.append(self.run_watcher())
        return [asyncio.create_task(job) for job in jobs]


def expected_answer(text):
    """Return the answer that the fake engines generate for a text."""
    messages = [{"role": "user", "content": text}]
    prompt, _ = chat.prompt_text(messages)
    digest = hashlib.blake2b(prompt.encode(), digest_size=16).digest()
    return "".join(batching.token_text(digest, each) for each in range(MAX_TOKENS))


def parse_answer(body, stream):
    """Return the text of an answer, or None if the stream is incomplete."""
    if not stream:
        return orjson.loads(body)["choices"][0]["message"]["content"]
    events = chat.EventSplitter().feed(body)
    if not events or events[-1] != chat.STREAM_END:
        return None
    return chat.joined_text(events[:-1])
