"""Counters, gauges and latency histograms of a process.

Latencies go into HDR histograms, in microseconds, and are shown as quantiles in
the text form that metric collectors read.
"""

import collections

from hdrh import histogram

from brasstrail.roles import measures

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
QUANTILES = (50, 95, 99)
PREFIX = "brasstrail"
US_PER_SECOND = 1_000_000


class UnknownMetric(Exception):
    """A metric is not in `measures`, or not with these labels."""


class Metrics:
    """All metrics of a process; their names and labels are those of `measures`."""

    def __init__(self):
        self.counters = collections.Counter()
        self.histograms = {}
        self.gauges = {}

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        check_measure(name, measures.Kind.COUNTER, labels)
        self.counters[name, tuple(sorted(labels.items()))] += amount

    def gauge(self, name, read):
        """Register a function that gives a gauge's value when it is shown."""
        check_measure(name, measures.Kind.GAUGE, {})
        self.gauges[name] = read

    def record(self, name, seconds, **labels):
        """Add a latency to a histogram."""
        check_measure(name, measures.Kind.HISTOGRAM, labels)
        key = name, tuple(sorted(labels.items()))
        if key not in self.histograms:
            self.histograms[key] = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        microseconds = max(LOWEST_US, int(seconds * US_PER_SECOND))
        self.histograms[key].record_value(microseconds)

    def render(self):
        """Return all metrics as text, with a line of help and type for each name."""
        lines = []
        for measure in measures.MEASURES:
            values = list(self.value_lines(measure))
            if values:
                shown = f"{PREFIX}_{measure.shown_name}"
                lines.append(f"# HELP {shown} {measure.meaning}")
                lines.append(f"# TYPE {shown} {measure.kind}")
                lines.extend(values)
        return "\n".join(lines) + "\n"

    def value_lines(self, measure):
        """Yield the lines of one metric."""
        shown = f"{PREFIX}_{measure.shown_name}"
        if measure.name in self.gauges:
            yield f"{shown} {self.gauges[measure.name]()}"
        for (name, labels), value in sorted(self.counters.items()):
            if name == measure.name:
                yield f"{shown}{label_text(labels)} {value}"
        for (name, labels), kept in sorted(self.histograms.items()):
            if name == measure.name:
                yield from histogram_lines(shown, labels, kept)


def check_measure(name, kind, labels):
    """Raise `UnknownMetric` where a metric is not described so."""
    measure = measures.BY_NAME.get(name)
    if measure is None or measure.kind is not kind:
        raise UnknownMetric(f"{name} is no {kind} of measures.py.")
    if set(labels) != set(measure.labels):
        raise UnknownMetric(f"{name} has the labels {measure.labels}.")


def histogram_lines(shown, labels, kept):
    """Yield the lines of one histogram."""
    for quantile in QUANTILES:
        text = label_text((*labels, ("quantile", f"{quantile / 100:g}")))
        seconds = kept.get_value_at_percentile(quantile) / US_PER_SECOND
        yield f"{shown}{text} {seconds:.6f}"
    yield f"{shown}_count{label_text(labels)} {kept.get_total_count()}"


def gauge_bytes(metrics, hub):
    """Register gauges for the bytes that a hub has sent, by where they went."""
    metrics.gauge("peer_bytes_sent_within", lambda: hub.bytes_sent["within"])
    metrics.gauge(
        "peer_bytes_sent_between_regions", lambda: hub.bytes_sent["between regions"]
    )


def label_text(labels):
    """Return labels in the form that collectors read."""
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
