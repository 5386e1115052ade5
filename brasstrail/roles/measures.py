"""Definitions of all metrics: their names, kinds, units, labels and help texts.

In the export a counter's name ends in `_total` and a histogram's in `_seconds`, unless
it is one of milliseconds, whose name ends in `_ms`.
`metrics.Metrics` rejects metrics that are not defined here, and the page
`docs/METRICS.md` is generated from this list.
"""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """The kind of a metric; the value is its type in the export."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "summary"


@dataclasses.dataclass(frozen=True)
class Measure:
    """The definition of a metric. `labels` are the names of its labels."""

    name: str
    kind: Kind
    unit: str
    help_text: str
    labels: tuple[str, ...] = ()

    @property
    def exported_name(self):
        """The metric's name in the export, without the product's prefix."""
        if self.name.endswith("_ms"):
            return self.name
        endings = {Kind.COUNTER: "_total", Kind.HISTOGRAM: "_seconds", Kind.GAUGE: ""}
        return self.name + endings[self.kind]


def counter(name, unit, help_text, *labels):
    """Return the definition of a counter."""
    return Measure(name, Kind.COUNTER, unit, help_text, labels)


def gauge(name, unit, help_text, *labels):
    """Return the definition of a gauge, with one value for each value of a label."""
    return Measure(name, Kind.GAUGE, unit, help_text, labels)


def latency(name, help_text, *labels):
    """Return the definition of a histogram of latencies in seconds."""
    return Measure(name, Kind.HISTOGRAM, "seconds", help_text, labels)


MEASURES = (
    # All processes.
    gauge("intake_held_bytes", "bytes", "What others make the process hold."),
    gauge("intake_connections", "connections", "Opened by others and open now."),
    counter(
        "intake_refusals", "requests", "Requests refused, connections closed.", "reason"
    ),
    # Entries.
    counter(
        "requests", "requests", "Requests that ended.", "outcome", "service", "tier"
    ),
    latency("whole_answer", "Arrival to the end of a whole answer.", "service", "tier"),
    latency("first_byte", "Arrival to the first token.", "service", "tier"),
    latency("waiting", "Time in the queue before a server was bound."),
    counter("decisions", "decisions", "Decisions on waiting work.", "decision", "tier"),
    gauge("requests_waiting", "requests", "Requests that wait for a server."),
    gauge("requests_open", "requests", "Requests under way."),
    gauge("held_bytes", "bytes", "Request and answer bytes held in memory."),
    # Agents.
    counter("runs", "runs", "Runs at the agent's server.", "outcome"),
    gauge("agent_running", "requests", "Requests that the server runs."),
    gauge("agent_offers", "offers", "Offers of entries that stand."),
    gauge("agent_open", "0 or 1", "Whether the agent takes new work."),
    gauge("agent_health", "ratio", "The server's pace against its usual one."),
    # Control hosts.
    counter("config_changes", "changes", "Changes of the configuration."),
    gauge("control_leads", "0 or 1", "Whether this host leads the log."),
    gauge("control_index", "records", "The index of the last applied record."),
    gauge("control_members", "processes", "Entries and agents that are known."),
    gauge("control_keys", "keys", "Idempotency keys in the ledger."),
    gauge("control_voters", "replicas", "Replicas that vote, as far as is known here."),
    gauge("control_learners", "replicas", "Replicas that do not vote yet."),
    gauge(
        "control_voters_missing",
        "replicas",
        "Other voters that this host has not heard for two seconds.",
    ),
    gauge("control_leaderless_ms", "ms", "Since this host last knew a leader."),
    gauge("control_document_version", "version", "The document that is applied here."),
    gauge("control_confirmed_age_ms", "ms", "Since a quorum answered; -1: never."),
    gauge("control_followers", "gateways", "Gateways that follow this host."),
    gauge("control_servers", "servers", "Backend servers that are known here."),
    gauge("control_servers_silent", "servers", "Of these, those that are silent."),
    counter("control_documents", "calls", "Documents of operators.", "outcome"),
    counter("control_announcements", "calls", "Calls of backend servers.", "outcome"),
    latency("control_commit", "A document's arrival to the commit's outcome."),
    gauge("control_rollouts", "roll-outs", "Roll-outs in progress."),
    counter("control_rollout_steps", "steps", "Steps decided at the leader.", "state"),
    # Gateways.
    counter("gateway_requests", "requests", "Requests that ended.", "outcome", "tier"),
    counter(
        "gateway_sized_requests",
        "requests",
        "Requests that ended, by the expected time at a server against its mean.",
        "outcome",
        "tier",
        "size",
    ),
    latency("gateway_request", "Arrival to the end of a request.", "tier"),
    latency("gateway_wait", "Arrival to the binding to a server.", "tier"),
    Measure(
        "gateway_wait_error_ms",
        Kind.HISTOGRAM,
        "ms",
        "Difference of the predicted and the actual wait for a server.",
        ("tier",),
    ),
    latency(
        "gateway_predicted_wait",
        "The wait for a server that is predicted at an attempt.",
        "tier",
        "size",
    ),
    latency("gateway_first_event", "Arrival to a stream's first event.", "tier"),
    counter("gateway_refusals", "requests", "Refusals by their reason.", "reason"),
    counter("gateway_sendings", "sendings", "Requests sent to servers."),
    counter(
        "gateway_distance_sendings", "sendings", "Sendings by distance.", "distance"
    ),
    counter(
        "gateway_distance_bytes",
        "bytes",
        "Bytes of bodies sent to servers and received, by distance.",
        "distance",
    ),
    counter("gateway_failed_sendings", "sendings", "Sendings that failed.", "reason"),
    counter("gateway_retries", "retries", "Retries asked of the budget.", "outcome"),
    counter("gateway_crashes", "crashes", "Crashes of servers seen here.", "reason"),
    gauge("gateway_crash_records", "crashes", "Crashes of servers that are known."),
    gauge("gateway_held_requests", "requests", "Request contents at their limit."),
    gauge("gateway_held_parts", "parts", "Parts of prompts that are held back."),
    counter("gateway_part_holds", "parts", "Parts held and let in again.", "change"),
    gauge(
        "gateway_server_limit", "requests/s", "The limit that a server names.", "server"
    ),
    gauge("gateway_servers_resting", "servers", "Servers that have asked for rest."),
    gauge("gateway_servers_leaving", "servers", "Servers that say that they leave."),
    counter(
        "gateway_load_reports",
        "answers",
        "Answers with a load report, by whether it tells the host factor.",
        "host_factor",
    ),
    gauge(
        "gateway_host_factor",
        "ratio",
        "How long work takes on a server's host, as reported; 1 is as usual.",
        "server",
    ),
    gauge(
        "gateway_report_trust",
        "ratio",
        "Weight of a server's reports against measured times, 0 to 1.",
        "server",
    ),
    counter("gateway_rests", "answers", "Answers that ask for rest."),
    counter("gateway_limit_changes", "changes", "Changes of limits of servers."),
    counter("gateway_trials", "requests", "Tries of held parts asked for.", "outcome"),
    counter("gateway_origins", "streams", "Streams taken up, by who knew.", "source"),
    gauge("gateway_streams_known", "streams", "Streams whose beginning is known."),
    gauge("gateway_rollouts", "roll-outs", "Roll-outs in progress that are known."),
    counter("gateway_new_version", "requests", "Sent to versions in roll-out.", "end"),
    gauge("gateway_running", "requests", "Requests under way."),
    gauge("gateway_waiting", "requests", "Requests that wait for a server."),
    gauge("gateway_held_bytes", "bytes", "Bytes of request bodies held in memory."),
    gauge("gateway_peers", "gateways", "Other gateways that are known."),
    gauge("gateway_servers", "servers", "Backend servers that are known."),
    gauge("gateway_document_version", "version", "The document in force."),
    gauge("gateway_ready", "0 or 1", "Whether the readiness check passes."),
    gauge("gateway_lease_age_ms", "ms", "Age of the lease; -1: there was none."),
    gauge("gateway_connections_opened", "connections", "Opened to servers so far."),
    gauge("gateway_datagrams", "datagrams", "Sent to other gateways so far."),
    gauge("gateway_datagrams_unsent", "datagrams", "Not taken by the system so far."),
    # All processes.
    gauge("log_lines_left_out", "lines", "Log lines left out under load so far."),
    gauge("peer_bytes_sent_within", "bytes", "Sent to processes of the same region."),
    gauge("peer_bytes_sent_between_regions", "bytes", "Sent to processes of others."),
)
BY_NAME = {each.name: each for each in MEASURES}
