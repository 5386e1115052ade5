"""Counters, gauges and latency histograms of a process.

Latencies are recorded in HDR histograms, in microseconds, and exported as
quantiles in the text format that metric collectors read.
"""

import collections

from hdrh import histogram

from brasstrail.roles import measures

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 3_600_000_000  # 1 h
SIGNIFICANT_DIGITS = 3
QUANTILES = (50, 95, 99)
PREFIX = "brasstrail"
US_PER_SECOND = 1_000_000
# Microseconds in the unit of a histogram.
UNITS_US = {"seconds": US_PER_SECOND, "ms": 1000}


class UnknownMetric(Exception):
    """A metric is not defined in `measures` with this kind and these labels."""


class Metrics:
    """All metrics of a process; `measures` defines their names and labels."""

    def __init__(self):
        self.counters = collections.Counter()
        self.histograms = {}
        self.gauges = {}

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        check_measure(name, measures.Kind.COUNTER, labels)
        self.counters[name, tuple(sorted(labels.items()))] += amount

    def gauge(self, name, read):
        """Register the function that returns a gauge's value for the export.

        For a gauge with a label it returns the values by the label's.
        """
        labels = measures.BY_NAME[name].labels if name in measures.BY_NAME else ()
        check_measure(name, measures.Kind.GAUGE, labels)
        self.gauges[name] = read

    def record(self, name, seconds, **labels):
        """Add a latency in seconds to a histogram."""
        check_measure(name, measures.Kind.HISTOGRAM, labels)
        key = name, tuple(sorted(labels.items()))
        if key not in self.histograms:
            self.histograms[key] = histogram.HdrHistogram(
                LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
            )
        microseconds = max(LOWEST_LATENCY_US, int(seconds * US_PER_SECOND))
        self.histograms[key].record_value(microseconds)

    def render(self):
        """Return all metrics as text, with lines of help and type for each name.

        Metrics without a value are left out.
        """
        lines = []
        for measure in measures.MEASURES:
            values = list(self.value_lines(measure))
            if values:
                metric_name = f"{PREFIX}_{measure.exported_name}"
                lines.append(f"# HELP {metric_name} {measure.help_text}")
                lines.append(f"# TYPE {metric_name} {measure.kind}")
                lines.extend(values)
        return "\n".join(lines) + "\n"

    def value_lines(self, measure):
        """Yield the lines with the values of one metric."""
        metric_name = f"{PREFIX}_{measure.exported_name}"
        if measure.name in self.gauges:
            value = self.gauges[measure.name]()
            by_label = value.items() if measure.labels else ()
            for label, each in by_label:
                text = label_text(((*measure.labels, label),))
                yield f"{metric_name}{text} {each}"
            if not measure.labels:
                yield f"{metric_name} {value}"
        for (name, labels), value in sorted(self.counters.items()):
            if name == measure.name:
                yield f"{metric_name}{label_text(labels)} {value}"
        for (name, labels), latencies in sorted(self.histograms.items()):
            if name == measure.name:
                unit_us = UNITS_US[measure.unit]
                yield from histogram_lines(metric_name, labels, latencies, unit_us)


def check_measure(name, kind, labels):
    """Raise `UnknownMetric` unless a metric is defined with this kind and labels."""
    measure = measures.BY_NAME.get(name)
    if measure is None or measure.kind is not kind:
        raise UnknownMetric(f"{name} is not defined in measures.py as a {kind}.")
    if set(labels) != set(measure.labels):
        raise UnknownMetric(f"{name} must have the labels {measure.labels}.")


def histogram_lines(metric_name, labels, latencies, unit_us):
    """Yield the lines of one histogram: its quantiles in its unit and its count."""
    for quantile in QUANTILES:
        text = label_text((*labels, ("quantile", f"{quantile / 100:g}")))
        value = latencies.get_value_at_percentile(quantile) / unit_us
        yield f"{metric_name}{text} {value:.6f}"
    yield f"{metric_name}_count{label_text(labels)} {latencies.get_total_count()}"


def register_bytes_sent_gauges(metrics, hub):
    """Register gauges for the bytes that a hub sent within and between regions."""
    metrics.gauge("peer_bytes_sent_within", lambda: hub.bytes_sent["within"])
    metrics.gauge(
        "peer_bytes_sent_between_regions", lambda: hub.bytes_sent["between regions"]
    )


def label_text(labels):
    """Return labels in the text format that metric collectors read."""
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
