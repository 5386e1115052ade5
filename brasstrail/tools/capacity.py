"""Computes docs/CAPACITY.md from measured slopes, so that no figure is typed.

The page says, for each role at the size that the project is designed for, what
it holds, what it sends, what that costs, which mechanism carries it, and
whether it fits.
"""

import dataclasses
import json
import math
import pathlib

DATA_PATH = pathlib.Path("docs/slopes.json")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")
KILOBYTE = 1024
MICROSECONDS = 1e6
DAY_S = 86_400

# The size that the project is designed for.
ENTRIES = 1_900
AGENTS = 7_300
CONTROL_HOSTS = 12
REQUESTS = 51_000
TOKENS = 24_000_000
TOKEN_MS = 38
FIRST_TOKEN_MS = 330
WORKSPACES = 5_000
TIERS = 5
MODELS = 4
CHANGES_A_DAY = 16_000
FAILURES_A_DAY = 120
RESTARTS_A_DAY = 660
CORE_SHARE = 0.013
MEMORY_MB = 128
BANDWIDTH_KB = 25

# What the design adds to it.
SUBSET = 16
REPORTS_A_SECOND = 2
BEATS_A_SECOND = 2
STAMPS_A_SECOND = 4
CLASSES = 40
BLOCKS_A_REPORT = 8
ONCE_SHARE = 0.05
COMMANDS_A_KEY = 3
TOKEN_BYTES = 200
# What a gateway reads of others at most, and how many servers it has work on.
DATAGRAMS_A_SECOND = 600
SERVERS_WITH_WORK = 8
DATAGRAM_HEAD_BYTES = 28
# Choices for each request: one at once, and one more where it has to wait.
CHOICES_A_REQUEST = 2


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of a table: a part's load, cost, bound, and the verdict."""

    part: str
    load: str
    cost: str
    bound: str
    verdict: str
    mechanism: str


class Capacity:
    """The figures of the page.

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
        """Return the cost at a size, noting where that is extrapolated."""
        line = self.slopes[name]
        if not min(line["sizes"]) <= size <= max(line["sizes"]):
            self.extrapolated.add(line["what"])
        return max(0.0, line["intercept"] + line["slope"] * size)

    # What each process has to do.

    @property
    def requests_an_entry(self):
        return REQUESTS / ENTRIES

    @property
    def tokens_an_entry(self):
        return TOKENS / ENTRIES

    @property
    def tokens_an_agent(self):
        return TOKENS / AGENTS

    @property
    def agent_links(self):
        """The entries that follow one agent."""
        return ENTRIES * SUBSET * MODELS / AGENTS

    @property
    def entry_links(self):
        """The agents that one entry follows."""
        return SUBSET * MODELS

    @property
    def members_attached(self):
        """The members attached to one control host."""
        return (ENTRIES + AGENTS) / CONTROL_HOSTS

    @property
    def view_changes(self):
        """The commands a second that change the view."""
        a_day = CHANGES_A_DAY + 3 * (FAILURES_A_DAY + RESTARTS_A_DAY)
        return a_day / DAY_S

    # Rows.

    def entry_rows(self):
        """Return the rows of the entry role."""
        relayed = self.bench["entry us of processor a token"]
        unread = self.cost("chunk_passed", TOKEN_BYTES)
        placing = self.cost("placed", self.entry_links) * self.requests_an_entry
        reports = self.cost("reports_taken", self.entry_links) * REPORTS_A_SECOND
        beating = self.cost("heartbeats", self.entry_links)
        control_us = reports + beating
        control_kb = (
            self.cost("report_bytes", BLOCKS_A_REPORT)
            * REPORTS_A_SECOND
            * self.entry_links
        )
        memory_mb = (
            self.bench["idle entry MB"]
            + (
                self.cost("member_memory", ENTRIES + AGENTS)
                + self.cost("workspace_memory", WORKSPACES)
                + self.cost("session_memory", self.entry_links)
            )
            / KILOBYTE
        )
        return [
            cores(
                "relaying tokens",
                f"{self.tokens_an_entry:,.0f} tokens/s",
                relayed * self.tokens_an_entry,
                1.0,
                "sessions with numbered parts; one write a link and turn",
            ),
            cores(
                "the same, passed on unread",
                f"{self.tokens_an_entry:,.0f} tokens/s",
                unread * self.tokens_an_entry,
                1.0,
                "not built: bytes from socket to socket, see below",
            ),
            cores(
                "placing requests",
                f"{self.requests_an_entry:.1f} requests/s, "
                f"{self.entry_links} servers known",
                placing,
                1.0,
                "late binding by offers and grants within a subset",
            ),
            cores(
                "control: reports and heartbeats",
                f"{self.entry_links} links, {REPORTS_A_SECOND} reports/s each",
                control_us,
                CORE_SHARE,
                "reports with news only, encoded once for all followers",
            ),
            bandwidth(
                "control: reports received",
                f"{BLOCKS_A_REPORT} blocks of news a report",
                control_kb,
                "the subset bounds how many agents report; packed reports come next",
            ),
            memory(
                "resident memory, without bodies",
                f"{ENTRIES + AGENTS:,} members, {WORKSPACES:,} workspaces",
                memory_mb,
                "the view; bodies are bounded by entry.max_held_bytes",
            ),
        ]

    def gateway_rows(self):
        """Return the rows of the gateway role, where each knows all servers."""
        told_bytes = self.cost("gossip_bytes", SERVERS_WITH_WORK) + DATAGRAM_HEAD_BYTES
        taking = self.cost("gossip_taken", AGENTS) * DATAGRAMS_A_SECOND
        choosing = self.cost("server_chosen", AGENTS) * self.requests_an_entry
        gather_s = ENTRIES / DATAGRAMS_A_SECOND
        return [
            cores(
                "choosing servers",
                f"{self.requests_an_entry:.1f} requests/s, {AGENTS:,} servers known",
                choosing * CHOICES_A_REQUEST,
                1.0,
                "all servers are looked at; has to become a subset of them",
            ),
            cores(
                "control: hearing of other gateways",
                f"{DATAGRAMS_A_SECOND} datagrams/s, {AGENTS:,} servers known",
                taking,
                CORE_SHARE,
                "changes are gathered for longer; has to become groups of gateways",
            ),
            bandwidth(
                "control: what is heard of other gateways",
                f"{DATAGRAMS_A_SECOND} datagrams/s",
                told_bytes * DATAGRAMS_A_SECOND / KILOBYTE,
                "relays in each data centre and region; each change crosses once",
            ),
            Row(
                "age of the counts of places",
                f"{ENTRIES:,} gateways",
                f"{gather_s:.1f} s",
                "a fraction of the shortest hold, 0.3 s",
                verdict(gather_s <= 0.1),
                "servers divided among groups of gateways, not built",
            ),
        ]

    def agent_rows(self):
        """Return the rows of the agent role."""
        relayed = self.bench["agent us of processor a token"]
        beating = self.cost("heartbeats", self.agent_links)
        sending_kb = (
            self.cost("report_bytes", BLOCKS_A_REPORT)
            * REPORTS_A_SECOND
            * self.agent_links
        )
        offers = REQUESTS / AGENTS * 3
        offering = self.cost("offered", 32) * offers
        memory_mb = (
            self.bench["idle agent MB"]
            + (
                self.cost("member_memory", ENTRIES + AGENTS)
                + self.cost("workspace_memory", WORKSPACES)
                + self.cost("session_memory", self.agent_links)
            )
            / KILOBYTE
        )
        return [
            cores(
                "relaying tokens",
                f"{self.tokens_an_agent:,.0f} tokens/s",
                relayed * self.tokens_an_agent,
                1.0,
                "one call an answer; pieces that came together are one part",
            ),
            cores(
                "taking offers",
                f"{offers:.0f} offers/s, 32 standing",
                offering,
                1.0,
                "entries offer a request to three servers at most",
            ),
            cores(
                "control: heartbeats",
                f"{self.agent_links:.0f} links",
                beating,
                CORE_SHARE,
                "sessions with one ping each 400 ms",
            ),
            bandwidth(
                "control: reports sent",
                f"{self.agent_links:.0f} entries, {REPORTS_A_SECOND} reports/s",
                sending_kb,
                "reports with news only; packed reports come next",
            ),
            memory(
                "resident memory",
                f"{ENTRIES + AGENTS:,} members, {WORKSPACES:,} workspaces",
                memory_mb,
                "the view",
            ),
        ]

    def control_rows(self):
        """Return the rows of the control role."""
        attached = self.members_attached
        serving = (
            self.cost("beats_taken", attached) * BEATS_A_SECOND
            + self.cost("heartbeats", attached)
            + self.cost("change_published", attached) * STAMPS_A_SECOND
        )
        changing = (
            self.cost("change_applied", WORKSPACES)
            + self.cost("change_published", attached)
        ) * self.view_changes
        joins = (FAILURES_A_DAY + RESTARTS_A_DAY) / DAY_S
        once = REQUESTS * ONCE_SHARE
        applying = self.cost("command_applied", 10_000) * once * COMMANDS_A_KEY
        keys_a_day = once * DAY_S
        key_gb = self.cost("key_memory", 32_000) / 32_000 * keys_a_day / KILOBYTE**2
        commits = self.state["commits a second, 64 at once, 3 replicas"]
        pause_s = self.cost("state_dumped", 1_000_000) / MICROSECONDS
        view_kb = self.cost("view_bytes", ENTRIES + AGENTS)
        return [
            cores(
                "serving attached members",
                f"{attached:.0f} members, {BEATS_A_SECOND} beats and "
                f"{STAMPS_A_SECOND} stamps/s",
                serving,
                1.0,
                "a control host serves those attached to it; views as deltas",
            ),
            cores(
                "changes of configuration and members",
                f"{self.view_changes:.2f} changes/s",
                changing,
                1.0,
                "one log; each change is sent once to each member",
            ),
            Row(
                "a member that joins",
                f"{joins * DAY_S:,.0f} a day",
                f"{view_kb:,.0f} KB and "
                f"{self.cost('view_decoded', ENTRIES + AGENTS) / 1000:,.0f} ms",
                "current within 2 s",
                "fits",
                "a whole view, then changes",
            ),
            cores(
                "applying execution records",
                f"{once * COMMANDS_A_KEY:,.0f} commands/s if "
                f"{ONCE_SHARE:.0%} of requests are not idempotent",
                applying,
                1.0,
                "the state machine of each replica",
            ),
            Row(
                "committing execution records",
                f"{once * COMMANDS_A_KEY:,.0f} commands/s",
                f"{commits:,.0f} commands/s measured with 3 replicas",
                "the load",
                verdict(commits >= once * COMMANDS_A_KEY),
                "one log for all; has to become several, split by workspace",
            ),
            Row(
                "memory of execution records",
                f"{keys_a_day:,.0f} keys a day",
                f"{key_gb:,.0f} GB a day",
                "the hosts' memory",
                "does not fit",
                "records in memory; have to move to files, keys as hashes",
            ),
            Row(
                "pause of a snapshot",
                "1,000,000 keys",
                f"{pause_s:.1f} s",
                "less than an election (0.6 s)",
                verdict(pause_s <= 0.6),
                "the whole state at once; has to be written in pieces",
            ),
        ]


def verdict(fits):
    """Return the word for a bound that holds or not."""
    return "fits" if fits else "does not fit"


def cores(part, load, cost_us, bound, mechanism):
    """Return a row for a cost in microseconds of processor a second."""
    share = cost_us / MICROSECONDS
    return Row(
        part,
        load,
        f"{share:.3f} core",
        f"{bound:g} core",
        verdict(share <= bound),
        mechanism,
    )


def bandwidth(part, load, cost_kb, mechanism):
    """Return a row for a cost in kilobytes a second."""
    return Row(
        part,
        load,
        f"{cost_kb:.1f} KB/s",
        f"{BANDWIDTH_KB} KB/s",
        verdict(cost_kb <= BANDWIDTH_KB),
        mechanism,
    )


def memory(part, load, cost_mb, mechanism):
    """Return a row for a cost in megabytes."""
    return Row(
        part,
        load,
        f"{cost_mb:.0f} MB",
        f"{MEMORY_MB} MB",
        verdict(cost_mb <= MEMORY_MB),
        mechanism,
    )


def format_table(rows):
    """Return rows as a table."""
    lines = [
        "| part | load | cost | bound | verdict | mechanism |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(f"| {' | '.join(dataclasses.astuple(row))} |")
    return "\n".join(lines)


def format_slopes(slopes):
    """Return the measured lines as a table."""
    lines = [
        "| what | sizes measured | cost = a + b x size | largest residual |",
        "|---|---|---|---|",
    ]
    for line in slopes.values():
        sizes = ", ".join(f"{size:,}" for size in line["sizes"])
        formula = f"{line['intercept']:.1f} + {line['slope']:.4f}"
        lines.append(
            f"| {line['what']} | {sizes} {line['size_unit']} | "
            f"{formula} {line['cost_unit']} | {line['residual']:.0%} |"
        )
    return "\n".join(lines)


def format_bench(bench):
    """Return the figures of the whole path as a table."""
    lines = ["| figure | value |", "|---|---|"]
    lines += [f"| {name} | {value:.3f} |" for name, value in bench.items()]
    return "\n".join(lines)


PAGE = """\
# Capacity

This page is computed by `python -m brasstrail.tools.pages` from
`docs/slopes.json`, which `make slopes` measures. No figure is typed by hand, and
a test fails when page and data differ. The measurements are of one machine with six
cores, those of gateways of one with eight that ran other work beside; they are taken
with stand-ins in one process, and costs are processor time.

## The size

{entries:,} entries before {agents:,} servers; {requests:,} requests and
{tokens:,} tokens a second; first token within {first_ms} ms and {token_ms} ms
between tokens for 95 in 100; {workspaces:,} workspaces, {tiers} tiers, {models}
models; {changes:,} changes of configuration a day, in force everywhere within
5 s; {failures} failures and {restarts} restarts a day. For control a node spends
at most {core_share:.1%} of a core, {memory_mb} MB and {bandwidth_kb} KB a second,
and {control_hosts} hosts are set aside.

The design adds: an entry knows {subset} agents of each service; an agent reports
{reports} times a second, with {blocks} blocks of news; {once:.0%} of requests are
not idempotent (an assumption, not a statement of the users).

## Entry

{entry}

## Gateway

{gateway}

## Agent

{agent}

## Control host

{control}

## What breaks first

1. **Execution records.** They are held in memory and replicated by one log.
   The commits a second and the bytes a day pass what a host gives. The log has
   to be split by workspace into several groups over the set-aside hosts, and
   settled records have to move to files with only their hashes in memory.
2. **Tokens through an entry.** Relaying a token costs {entry_token:.0f} us in the
   entry and {agent_token:.0f} us in the agent, which makes
   {all_cores:,.0f} cores for all tokens. Three ways were weighed:
   - *Coalescing* tokens of a stream: two tokens a message halve the cost and add
     {token_ms} ms to every second token, which spends the target. Tokens of
     different streams rarely meet: an agent and an entry share
     {pair:.1f} streams on average.
   - *Passing bytes unread* from socket to socket costs {unread:.0f} us a chunk in
     the kernel and the interpreter alone. The event loop comes on top.
   - *Letting the answer go around the entry* is not possible behind the
     platform's balancer, since the caller's connection ends at the entry.
   Several entry processes a host, one a core, need no change of design: an entry
   holds nothing that another needs. That is the first step; unread bytes the
   second.
3. **Snapshots.** The whole state is written at once, in the event loop. It has
   to be written in pieces before the number of keys passes some ten thousand.

Beyond the sizes measured, and so extrapolated: {extrapolated}.

## The whole path, measured

{bench}

## The replicated state, measured

{state}

## Slopes

{slopes}
"""


def render(table):
    """Return the text of the page for the content of the data file."""
    made = Capacity(table)
    entry, agent, control = made.entry_rows(), made.agent_rows(), made.control_rows()
    entry_token = made.bench["entry us of processor a token"]
    agent_token = made.bench["agent us of processor a token"]
    streams = TOKENS * TOKEN_MS / 1000
    return PAGE.format(
        entries=ENTRIES,
        agents=AGENTS,
        requests=REQUESTS,
        tokens=TOKENS,
        first_ms=FIRST_TOKEN_MS,
        token_ms=TOKEN_MS,
        workspaces=WORKSPACES,
        tiers=TIERS,
        models=MODELS,
        changes=CHANGES_A_DAY,
        failures=FAILURES_A_DAY,
        restarts=RESTARTS_A_DAY,
        core_share=CORE_SHARE,
        memory_mb=MEMORY_MB,
        bandwidth_kb=BANDWIDTH_KB,
        control_hosts=CONTROL_HOSTS,
        subset=SUBSET,
        reports=REPORTS_A_SECOND,
        blocks=BLOCKS_A_REPORT,
        once=ONCE_SHARE,
        entry=format_table(entry),
        agent=format_table(agent),
        gateway=format_table(made.gateway_rows()),
        control=format_table(control),
        entry_token=entry_token,
        agent_token=agent_token,
        all_cores=math.ceil((entry_token + agent_token) * TOKENS / MICROSECONDS),
        pair=streams / (AGENTS * made.agent_links),
        unread=made.cost("chunk_passed", TOKEN_BYTES),
        extrapolated="; ".join(sorted(made.extrapolated)) or "nothing",
        bench=format_bench(made.bench),
        state=format_bench(made.state),
        slopes=format_slopes(made.slopes),
    )


def render_file(path=DATA_PATH):
    """Return the text of the page for a data file."""
    return render(json.loads(path.read_text()))
