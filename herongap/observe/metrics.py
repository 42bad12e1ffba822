"""Counters and gauges of one front for Prometheus, read when they are scraped; nothing is counted twice."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

TEXT = "text/plain; version=0.0.4; charset=utf-8"


class MetricsCollector:
    """Reads a host's and an overload guard's own books; `host`, `overload_guard` and `feed` (None without
    etcd) are those of a daemon.
    """

    def __init__(self, host, overload_guard, feed=None):
        self.host, self.overload_guard, self.feed = host, overload_guard, feed
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def text(self) -> bytes:
        """All metrics in the text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator:
        counts = self.host.counts
        verdicts = CounterMetricFamily(
            "herongap_answers", "Viewings answered, by verdict", labels=["verdict"]
        )
        for verdict in ("plays", "blocked", "aborted", "gone"):
            verdicts.add_metric([verdict], counts[verdict])
        yield verdicts
        yield CounterMetricFamily("herongap_viewings", "Viewings taken", value=counts["asked"])
        yield CounterMetricFamily("herongap_tune_ins", "Tune-ins sent to streamers", value=counts["tune_ins"])
        yield CounterMetricFamily(
            "herongap_late_starts", "Starts torn down as too late", value=counts["late"]
        )
        refused = CounterMetricFamily(
            "herongap_turned_away", "Requests not taken, by cause", labels=["cause"]
        )
        for cause, count in sorted(self.overload_guard.rejected.items()):
            refused.add_metric([cause], count)
        yield refused
        held = GaugeMetricFamily("herongap_held", "Viewings held now, by state", labels=["state"])
        for state, count in sorted(Counter(life.state.value for life in self.host.viewings.values()).items()):
            held.add_metric([state], count)
        yield held
        yield GaugeMetricFamily(
            "herongap_connections", "Connections of clients", value=self.overload_guard.open_connections
        )
        yield GaugeMetricFamily(
            "herongap_lag_seconds", "How late the process is", value=self.overload_guard.lag
        )
        listed = Counter(standing.name.lower() for standing in self.host.statuses.values())
        streamers = GaugeMetricFamily(
            "herongap_streamers", "Streamers listed, by standing", labels=["standing"]
        )
        for standing, count in sorted(listed.items()):
            streamers.add_metric([standing], count)
        yield streamers
        if self.feed:
            yield from self._followed(self.feed.status())

    def _followed(self, told: dict) -> Iterator:
        state = GaugeMetricFamily("herongap_list_state", "1 for the follower's state", labels=["state"])
        state.add_metric([told["state"]], 1)
        yield state
        yield GaugeMetricFamily("herongap_list_revision", "Where the list stands", value=told["revision"])
        age = float("nan") if told["age"] is None else told["age"]
        yield GaugeMetricFamily("herongap_list_age_seconds", "Since it was last confirmed", value=age)
        yield GaugeMetricFamily("herongap_list_bad", "Keys with a refused value", value=len(told["bad"]))
        seen = CounterMetricFamily("herongap_list_followed", "What the follower met", labels=["what"])
        for what, count in told["counts"].items():
            seen.add_metric([what], count)
        yield seen
        rank, live = told["place"] or (None, 0)
        yield GaugeMetricFamily("herongap_controllers_live", "Controllers known to live", value=live)
        yield GaugeMetricFamily(
            "herongap_has_rank", "1 where this one has a place among them", value=rank is not None
        )
        if told["budgets"]:
            yield from self._divided(told["budgets"])

    def _divided(self, budgets: dict) -> Iterator:
        text = {
            "whole": "The whole, as known here", "mine": "What may be used here now",
            "use": "What is used here, what may be left of an earlier process with it",
            "want": "What could be used here", "doubt": "1 while the outcome of a commit is unknown",
            "open": "1 unless its uses are being counted", "parts": "Controllers that have a part",
        }  # fmt: skip
        for key, what in text.items():
            family = GaugeMetricFamily(f"herongap_budget_{key}", what, labels=["budget"])
            for name, b in budgets.items():
                value = len(b["parts"]) if key == "parts" else b[key]
                family.add_metric([name], float("nan") if value is None else value)
            yield family
        yield CounterMetricFamily(
            "herongap_budget_unknown", "Commits without an answer", value=self.feed.budgets.unknown_outcomes
        )
