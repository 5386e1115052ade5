"""Tests that only defined metrics are accepted, and how they are exported."""

import re
import unittest

from brasstrail.roles import measures, metrics

NAME = re.compile("^[a-z][a-z0-9_]*$")


class MetricsTest(unittest.TestCase):
    """The recording and the rendering of metrics."""

    def test_undefined_metrics_are_rejected(self):
        recorded = metrics.Metrics()
        with self.assertRaises(metrics.UnknownMetric):
            recorded.count("no_such_metric")
        with self.assertRaises(metrics.UnknownMetric):
            recorded.gauge("gateway_requests", int)
        with self.assertRaises(metrics.UnknownMetric):
            recorded.count("gateway_requests", outcome="answered")

    def test_each_metric_has_a_unique_name_and_a_unit(self):
        names = [each.exported_name for each in measures.MEASURES]
        self.assertEqual(len(names), len(set(names)))
        for each in measures.MEASURES:
            self.assertRegex(each.name, NAME)
            self.assertTrue(each.unit and each.help_text)

    def test_values_are_rendered_with_help_and_type(self):
        recorded = metrics.Metrics()
        recorded.count("gateway_requests", outcome="answered", tier=1)
        recorded.gauge("gateway_running", lambda: 3)
        recorded.record("gateway_request", 0.25, tier=1)
        text = recorded.render()
        self.assertIn("# TYPE brasstrail_gateway_requests_total counter", text)
        shown = 'brasstrail_gateway_requests_total{outcome="answered",tier="1"} 1'
        self.assertIn(shown, text)
        self.assertIn("\nbrasstrail_gateway_running 3\n", text)
        self.assertIn('quantile="0.99"} 0.25', text)


if __name__ == "__main__":
    unittest.main()
