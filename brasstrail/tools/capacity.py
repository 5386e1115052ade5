"""Computes docs/CAPACITY.md from measured slopes, so that no figure is typed by hand.

For each role at the size that the project is designed for, the page lists what a
process stores and sends, what that costs, which mechanism provides it, and whether
the cost fits the bound.
"""

import dataclasses
import json
import math
import pathlib

DATA_PATH = pathlib.Path("docs/slopes.json")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")
KILOBYTE = 1024
MICROSECONDS_PER_SECOND = 1e6
SECONDS_PER_DAY = 86_400

# The size that the project is designed for.
ENTRIES = 1_900
AGENTS = 7_300
CONTROL_HOSTS = 12
REQUESTS_PER_S = 51_000
TOKENS_PER_S = 24_000_000
TOKEN_INTERVAL_MS = 38
FIRST_TOKEN_MS = 330
WORKSPACES = 5_000
TIERS = 5
MODELS = 4
CHANGES_PER_DAY = 16_000
FAILURES_PER_DAY = 120
RESTARTS_PER_DAY = 660
CONTROL_CORE_SHARE = 0.013
CONTROL_MEMORY_MB = 128
CONTROL_BANDWIDTH_KB_PER_S = 25

# Parameters of the design, which add to that size.
SUBSET_SIZE = 16
REPORTS_PER_S = 2
# `Beat` messages from a member to its control host. The pings of transport sessions
# are called session heartbeats.
HEARTBEATS_PER_S = 2
# Stamps that a control host sends to each attached member.
STAMPS_PER_S = 4
CLASSES = 40
BLOCKS_PER_REPORT = 8
NON_IDEMPOTENT_SHARE = 0.05
# Commands that are committed for each execution record.
COMMANDS_PER_KEY = 3
# Size of the chunk that carries one streamed token.
TOKEN_BYTES = 200
# The most datagrams per second that a gateway reads from others, and the number of
# servers on which it has work.
DATAGRAMS_PER_S = 300
SERVERS_WITH_WORK = 8
DATAGRAM_HEADER_BYTES = 28
# Gateways that are told of a stream, and how long they hold it: for twice the longest
# time limit on the users' sheets. Every request is taken for a stream.
STREAM_HOLDERS = 4
STREAM_TIME_S = 30
# Server choices for each request: one on arrival, and one more if it has to wait.
CHOICES_PER_REQUEST = 2


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a table: a component's load, cost and bound, and whether it fits."""

    part: str
    load: str
    cost: str
    bound: str
    verdict: str
    mechanism: str


class Capacity:
    """The figures of the page.

    `extrapolated` collects the measurements that were used outside their sizes.

    Parameters
    ----------
    table : the content of the data file.
    """

    def __init__(self, table):
        self.slopes = table["slopes"]
        self.bench = table["bench"]
        self.state = table["state"]
        self.extrapolated = set()

    def cost(self, name, size):
        """Return the cost at a size; record the measurement if it is extrapolated."""
        slope = self.slopes[name]
        if not min(slope["sizes"]) <= size <= max(slope["sizes"]):
            self.extrapolated.add(slope["what"])
        return max(0.0, slope["intercept"] + slope["slope"] * size)

    # Load of each process.

    @property
    def requests_per_entry(self):
        return REQUESTS_PER_S / ENTRIES

    @property
    def tokens_per_entry(self):
        return TOKENS_PER_S / ENTRIES

    @property
    def tokens_per_agent(self):
        return TOKENS_PER_S / AGENTS

    @property
    def entries_per_agent(self):
        """The number of entries that subscribe to one agent."""
        return ENTRIES * SUBSET_SIZE * MODELS / AGENTS

    @property
    def agents_per_entry(self):
        """The number of agents that one entry subscribes to."""
        return SUBSET_SIZE * MODELS

    @property
    def members_per_control_host(self):
        """The number of members attached to one control host."""
        return (ENTRIES + AGENTS) / CONTROL_HOSTS

    @property
    def view_changes_per_s(self):
        """The number of commands per second that change the view.

        Each failure and each restart counts as three commands.
        """
        changes_per_day = CHANGES_PER_DAY + 3 * (FAILURES_PER_DAY + RESTARTS_PER_DAY)
        return changes_per_day / SECONDS_PER_DAY

    # Rows.

    def entry_rows(self):
        """Return the rows of the entry role."""
        relay_us = self.bench["entry us of processor a token"]
        unread_us = self.cost("chunk_passed", TOKEN_BYTES)
        placing_us = (
            self.cost("placed", self.agents_per_entry) * self.requests_per_entry
        )
        reports_us = self.cost("reports_taken", self.agents_per_entry) * REPORTS_PER_S
        heartbeats_us = self.cost("heartbeats", self.agents_per_entry)
        control_us = reports_us + heartbeats_us
        control_kb = (
            self.cost("report_bytes", BLOCKS_PER_REPORT)
            * REPORTS_PER_S
            * self.agents_per_entry
        )
        memory_mb = (
            self.bench["idle entry MB"]
            + (
                self.cost("member_memory", ENTRIES + AGENTS)
                + self.cost("workspace_memory", WORKSPACES)
                + self.cost("session_memory", self.agents_per_entry)
            )
            / KILOBYTE
        )
        return [
            core_row(
                "relaying tokens",
                f"{self.tokens_per_entry:,.0f} tokens/s",
                relay_us * self.tokens_per_entry,
                1.0,
                "sessions with numbered parts; one write per link and event loop turn",
            ),
            core_row(
                "relaying tokens without decoding",
                f"{self.tokens_per_entry:,.0f} tokens/s",
                unread_us * self.tokens_per_entry,
                1.0,
                "not implemented: copying bytes between sockets, see below",
            ),
            core_row(
                "placing requests",
                f"{self.requests_per_entry:.1f} requests/s, "
                f"{self.agents_per_entry} servers known",
                placing_us,
                1.0,
                "late binding by offers and grants within a subset",
            ),
            core_row(
                "control: reports and session heartbeats",
                f"{self.agents_per_entry} links, {REPORTS_PER_S} reports/s each",
                control_us,
                CONTROL_CORE_SHARE,
                "reports carry only new blocks, encoded once for all subscribers",
            ),
            bandwidth_row(
                "control: reports received",
                f"{BLOCKS_PER_REPORT} new blocks per report",
                control_kb,
                "the subset limits the number of agents; packed reports are planned",
            ),
            memory_row(
                "resident memory, without bodies",
                f"{ENTRIES + AGENTS:,} members, {WORKSPACES:,} workspaces",
                memory_mb,
                "the view; bodies are limited by entry.max_held_bytes",
            ),
        ]

    def gateway_rows(self):
        """Return the rows of the gateway role; each gateway considers all servers."""
        datagram_bytes = (
            self.cost("gossip_bytes", SERVERS_WITH_WORK) + DATAGRAM_HEADER_BYTES
        )
        receiving_us = self.cost("gossip_taken", AGENTS) * DATAGRAMS_PER_S
        choosing_us = self.cost("server_chosen", AGENTS) * self.requests_per_entry
        collection_s = ENTRIES / DATAGRAMS_PER_S
        streams_per_s = self.requests_per_entry
        streams_held = streams_per_s * STREAM_TIME_S * (1 + STREAM_HOLDERS)
        streams_us = streams_per_s * (
            self.cost("stream_told", ENTRIES)
            + STREAM_HOLDERS * self.cost("stream_taken", streams_held)
        )
        stream_datagram_bytes = self.cost("stream_bytes", 1) + DATAGRAM_HEADER_BYTES
        streams_kb = (
            2 * streams_per_s * STREAM_HOLDERS * stream_datagram_bytes / KILOBYTE
        )
        return [
            core_row(
                "choosing servers",
                f"{self.requests_per_entry:.1f} requests/s, {AGENTS:,} servers known",
                choosing_us * CHOICES_PER_REQUEST,
                1.0,
                "all servers are compared; has to be limited to a subset",
            ),
            core_row(
                "control: receiving state of other gateways",
                f"{DATAGRAMS_PER_S} datagrams/s, {AGENTS:,} servers known",
                receiving_us,
                CONTROL_CORE_SHARE,
                "changes are collected for longer; gateways have to be grouped",
            ),
            bandwidth_row(
                "control: state received of other gateways",
                f"{DATAGRAMS_PER_S} datagrams/s",
                datagram_bytes * DATAGRAMS_PER_S / KILOBYTE,
                "relays in each data centre and region; one transfer of each change",
            ),
            core_row(
                "control: where streams began, during roll-outs",
                f"{streams_per_s:.1f} streams/s, {STREAM_HOLDERS} holders each",
                streams_us,
                CONTROL_CORE_SHARE,
                "holders drawn by a hash; a service with one version tells nothing",
            ),
            bandwidth_row(
                "control: where streams began, during roll-outs",
                f"{streams_per_s:.1f} streams/s, {STREAM_HOLDERS} holders each",
                streams_kb,
                "one datagram for each stream and holder, sent and received",
            ),
            memory_row(
                "streams that may be taken up",
                f"{streams_held:,.0f} streams, {STREAM_TIME_S} s each",
                self.cost("stream_memory", streams_held) / KILOBYTE,
                "entries expire; the table is bounded",
            ),
            Row(
                "age of the slot counts",
                f"{ENTRIES:,} gateways",
                f"{collection_s:.1f} s",
                "a fraction of the shortest hold time, 0.3 s",
                # The limit of 0.1 s is a third of the shortest hold time.
                verdict(collection_s <= 0.1),
                "servers divided among groups of gateways, not implemented",
            ),
        ]

    def agent_rows(self):
        """Return the rows of the agent role."""
        relay_us = self.bench["agent us of processor a token"]
        heartbeats_us = self.cost("heartbeats", self.entries_per_agent)
        reports_kb = (
            self.cost("report_bytes", BLOCKS_PER_REPORT)
            * REPORTS_PER_S
            * self.entries_per_agent
        )
        offers_per_s = REQUESTS_PER_S / AGENTS * 3
        offers_us = self.cost("offered", 32) * offers_per_s
        memory_mb = (
            self.bench["idle agent MB"]
            + (
                self.cost("member_memory", ENTRIES + AGENTS)
                + self.cost("workspace_memory", WORKSPACES)
                + self.cost("session_memory", self.entries_per_agent)
            )
            / KILOBYTE
        )
        return [
            core_row(
                "relaying tokens",
                f"{self.tokens_per_agent:,.0f} tokens/s",
                relay_us * self.tokens_per_agent,
                1.0,
                "one call per answer; chunks that arrive together form one part",
            ),
            core_row(
                "handling offers",
                f"{offers_per_s:.0f} offers/s, 32 pending",
                offers_us,
                1.0,
                "an entry offers a request to at most three servers",
            ),
            core_row(
                "control: session heartbeats",
                f"{self.entries_per_agent:.0f} links",
                heartbeats_us,
                CONTROL_CORE_SHARE,
                "one ping per session every 400 ms",
            ),
            bandwidth_row(
                "control: reports sent",
                f"{self.entries_per_agent:.0f} entries, {REPORTS_PER_S} reports/s",
                reports_kb,
                "reports carry only new blocks; packed reports are planned",
            ),
            memory_row(
                "resident memory",
                f"{ENTRIES + AGENTS:,} members, {WORKSPACES:,} workspaces",
                memory_mb,
                "the view",
            ),
        ]

    def control_rows(self):
        """Return the rows of the control role."""
        member_count = self.members_per_control_host
        serving_us = (
            self.cost("beats_taken", member_count) * HEARTBEATS_PER_S
            + self.cost("heartbeats", member_count)
            + self.cost("change_published", member_count) * STAMPS_PER_S
        )
        changing_us = (
            self.cost("change_applied", WORKSPACES)
            + self.cost("change_published", member_count)
        ) * self.view_changes_per_s
        joins_per_s = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / SECONDS_PER_DAY
        non_idempotent_per_s = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
        applying_us = (
            self.cost("command_applied", 10_000)
            * non_idempotent_per_s
            * COMMANDS_PER_KEY
        )
        keys_per_day = non_idempotent_per_s * SECONDS_PER_DAY
        key_gb_per_day = (
            self.cost("key_memory", 32_000) / 32_000 * keys_per_day / KILOBYTE**2
        )
        commits_per_s = self.state["commits a second, 64 at once, 3 replicas"]
        pause_s = self.cost("state_dumped", 1_000_000) / MICROSECONDS_PER_SECOND
        view_kb = self.cost("view_bytes", ENTRIES + AGENTS)
        return [
            core_row(
                "serving attached members",
                f"{member_count:.0f} members, {HEARTBEATS_PER_S} heartbeats and "
                f"{STAMPS_PER_S} stamps/s",
                serving_us,
                1.0,
                "a control host serves its attached members; views are sent as deltas",
            ),
            core_row(
                "changes of configuration and members",
                f"{self.view_changes_per_s:.2f} changes/s",
                changing_us,
                1.0,
                "one log; each change is sent once to each member",
            ),
            Row(
                "a member that joins",
                f"{joins_per_s * SECONDS_PER_DAY:,.0f} a day",
                f"{view_kb:,.0f} KB and "
                f"{self.cost('view_decoded', ENTRIES + AGENTS) / 1000:,.0f} ms",
                "current within 2 s",
                "fits",
                "a full view, then changes",
            ),
            core_row(
                "applying execution records",
                f"{non_idempotent_per_s * COMMANDS_PER_KEY:,.0f} commands/s if "
                f"{NON_IDEMPOTENT_SHARE:.0%} of requests are not idempotent",
                applying_us,
                1.0,
                "the state machine of each replica",
            ),
            Row(
                "committing execution records",
                f"{non_idempotent_per_s * COMMANDS_PER_KEY:,.0f} commands/s",
                f"{commits_per_s:,.0f} commands/s measured with 3 replicas",
                "the load",
                verdict(commits_per_s >= non_idempotent_per_s * COMMANDS_PER_KEY),
                "one log for all; has to be split into several by workspace",
            ),
            Row(
                "memory of execution records",
                f"{keys_per_day:,.0f} keys a day",
                f"{key_gb_per_day:,.0f} GB a day",
                "the hosts' memory",
                "does not fit",
                "records are in memory; have to move to files, with keys as hashes",
            ),
            Row(
                "pause of a snapshot",
                "1,000,000 keys",
                f"{pause_s:.1f} s",
                "less than an election (0.6 s)",
                verdict(pause_s <= 0.6),
                "the whole state is written at once; has to be written in pieces",
            ),
        ]


def verdict(fits):
    """Return the text for a cost that fits its bound or does not."""
    return "fits" if fits else "does not fit"


def core_row(part, load, cost_us, bound, mechanism):
    """Return a row for a cost in microseconds of processor time per second."""
    share = cost_us / MICROSECONDS_PER_SECOND
    return Row(
        part,
        load,
        f"{share:.3f} core",
        f"{bound:g} core",
        verdict(share <= bound),
        mechanism,
    )


def bandwidth_row(part, load, cost_kb, mechanism):
    """Return a row for a cost in kilobytes per second."""
    return Row(
        part,
        load,
        f"{cost_kb:.1f} KB/s",
        f"{CONTROL_BANDWIDTH_KB_PER_S} KB/s",
        verdict(cost_kb <= CONTROL_BANDWIDTH_KB_PER_S),
        mechanism,
    )


def memory_row(part, load, cost_mb, mechanism):
    """Return a row for a cost in megabytes of memory."""
    return Row(
        part,
        load,
        f"{cost_mb:.0f} MB",
        f"{CONTROL_MEMORY_MB} MB",
        verdict(cost_mb <= CONTROL_MEMORY_MB),
        mechanism,
    )


def format_table(rows):
    """Return rows as a Markdown table."""
    lines = [
        "| part | load | cost | bound | verdict | mechanism |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(f"| {' | '.join(dataclasses.astuple(row))} |")
    return "\n".join(lines)


def format_slopes(slopes):
    """Return the measured slopes as a Markdown table."""
    lines = [
        "| measurement | sizes measured | cost = a + b x size | largest residual |",
        "|---|---|---|---|",
    ]
    for slope in slopes.values():
        sizes = ", ".join(f"{size:,}" for size in slope["sizes"])
        formula = f"{slope['intercept']:.1f} + {slope['slope']:.4f}"
        lines.append(
            f"| {slope['what']} | {sizes} {slope['size_unit']} | "
            f"{formula} {slope['cost_unit']} | {slope['residual']:.0%} |"
        )
    return "\n".join(lines)


def format_figures(bench):
    """Return the figures of a benchmark as a Markdown table."""
    lines = ["| figure | value |", "|---|---|"]
    lines += [f"| {name} | {value:.3f} |" for name, value in bench.items()]
    return "\n".join(lines)


PAGE_TEMPLATE = """\
# Capacity

This page is computed by `python -m brasstrail.tools.pages` from
`docs/slopes.json`, which `make slopes` measures. No figure is typed by hand, and
a test fails if page and data differ. The measurements were taken on one machine with
six cores; those of gateways on one with eight cores that ran other work at the same
time. Members and servers are simulated in one process, and costs are processor time.

## The size

{entries:,} entries before {agents:,} servers; {requests:,} requests and
{tokens:,} tokens a second; first token within {first_ms} ms and {token_ms} ms
between tokens for 95 in 100; {workspaces:,} workspaces, {tiers} tiers, {models}
models; {changes:,} changes of configuration a day, in force everywhere within
5 s; {failures} failures and {restarts} restarts a day. For control a node may use
at most {core_share:.1%} of a core, {memory_mb} MB and {bandwidth_kb} KB a second,
and {control_hosts} hosts are reserved for it.

The design adds: an entry subscribes to {subset} agents of each service; an agent
reports {reports} times a second, with {blocks} new blocks; {once:.0%} of requests are
not idempotent (an assumption, not a requirement that users stated).

## Entry

{entry}

## Gateway

{gateway}

## Agent

{agent}

## Control host

{control}

## What breaks first

1. **Execution records.** They are kept in memory and replicated by one log.
   The commits a second and the bytes a day exceed the capacity of a host. The log
   has to be split by workspace into several groups over the reserved hosts, and
   settled records have to move to files, with only their hashes in memory.
2. **Tokens through an entry.** Relaying a token costs {entry_token:.0f} us in the
   entry and {agent_token:.0f} us in the agent, which is
   {all_cores:,.0f} cores for all tokens. Three alternatives were considered:
   - *Coalescing* tokens of a stream: two tokens in a message halve the cost and add
     {token_ms} ms to every second token, which uses up the latency target. Tokens
     of different streams can rarely be sent together: an agent and an entry share
     {pair:.1f} streams on average.
   - *Copying bytes without decoding* from socket to socket costs {unread:.0f} us a
     chunk in the kernel and the interpreter alone. The cost of the event loop is
     added to that.
   - *Bypassing the entry* with the answer is not possible behind the platform's
     load balancer, since the caller's connection ends at the entry.
   Several entry processes per host, one per core, need no change of design, because
   an entry holds no state that another needs. That is the first step; copying bytes
   without decoding is the second.
3. **Snapshots.** The whole state is written at once, in the event loop. It has
   to be written in pieces before the number of keys exceeds some ten thousand.

These costs are extrapolated beyond the measured sizes: {extrapolated}.

## The whole path, measured

{bench}

## The replicated state, measured

{state}

## Slopes

{slopes}
"""


def render(table):
    """Return the text of the page, computed from the content of the data file."""
    capacity = Capacity(table)
    entry, agent, control = (
        capacity.entry_rows(),
        capacity.agent_rows(),
        capacity.control_rows(),
    )
    entry_token = capacity.bench["entry us of processor a token"]
    agent_token = capacity.bench["agent us of processor a token"]
    streams = TOKENS_PER_S * TOKEN_INTERVAL_MS / 1000
    return PAGE_TEMPLATE.format(
        entries=ENTRIES,
        agents=AGENTS,
        requests=REQUESTS_PER_S,
        tokens=TOKENS_PER_S,
        first_ms=FIRST_TOKEN_MS,
        token_ms=TOKEN_INTERVAL_MS,
        workspaces=WORKSPACES,
        tiers=TIERS,
        models=MODELS,
        changes=CHANGES_PER_DAY,
        failures=FAILURES_PER_DAY,
        restarts=RESTARTS_PER_DAY,
        core_share=CONTROL_CORE_SHARE,
        memory_mb=CONTROL_MEMORY_MB,
        bandwidth_kb=CONTROL_BANDWIDTH_KB_PER_S,
        control_hosts=CONTROL_HOSTS,
        subset=SUBSET_SIZE,
        reports=REPORTS_PER_S,
        blocks=BLOCKS_PER_REPORT,
        once=NON_IDEMPOTENT_SHARE,
        entry=format_table(entry),
        agent=format_table(agent),
        gateway=format_table(capacity.gateway_rows()),
        control=format_table(control),
        entry_token=entry_token,
        agent_token=agent_token,
        all_cores=math.ceil(
            (entry_token + agent_token) * TOKENS_PER_S / MICROSECONDS_PER_SECOND
        ),
        pair=streams / (AGENTS * capacity.entries_per_agent),
        unread=capacity.cost("chunk_passed", TOKEN_BYTES),
        extrapolated="; ".join(sorted(capacity.extrapolated)) or "nothing",
        bench=format_figures(capacity.bench),
        state=format_figures(capacity.state),
        slopes=format_slopes(capacity.slopes),
    )


def render_file(path=DATA_PATH):
    """Read a data file and return the text of the page."""
    return render(json.loads(path.read_text()))
