"""Prometheus metrics of one controller, computed from existing counters and state at each scrape."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsCollector:
    """Collects the counters and state of a daemon's host, overload guard and registry (None without etcd)."""

    def __init__(self, host, overload_guard, streamer_registry=None):
        self.host, self.overload_guard, self.streamer_registry = host, overload_guard, streamer_registry
        self.collectors = CollectorRegistry()
        self.collectors.register(self)

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.collectors)

    def collect(self) -> Iterator:
        """All metric families; called by prometheus_client at each scrape."""
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
        rejected = CounterMetricFamily(
            "herongap_turned_away", "Requests not taken, by cause", labels=["cause"]
        )
        for cause, count in sorted(self.overload_guard.rejected.items()):
            rejected.add_metric([cause], count)
        yield rejected
        held = GaugeMetricFamily("herongap_held", "Viewings held now, by state", labels=["state"])
        for state, count in sorted(
            Counter(viewing.state.value for viewing in self.host.viewings.values()).items()
        ):
            held.add_metric([state], count)
        yield held
        yield GaugeMetricFamily(
            "herongap_connections", "Connections of clients", value=self.overload_guard.open_connections
        )
        yield GaugeMetricFamily(
            "herongap_lag_seconds", "How late the process is", value=self.overload_guard.lag
        )
        listed = Counter(status.name.lower() for status in self.host.statuses.values())
        streamers = GaugeMetricFamily(
            "herongap_streamers", "Streamers listed, by standing", labels=["standing"]
        )
        for status, count in sorted(listed.items()):
            streamers.add_metric([status], count)
        yield streamers
        if self.streamer_registry:
            yield from self._registry_metrics(self.streamer_registry.status())

    def _registry_metrics(self, status: dict) -> Iterator:
        state = GaugeMetricFamily("herongap_list_state", "1 for the follower's state", labels=["state"])
        state.add_metric([status["state"]], 1)
        yield state
        yield GaugeMetricFamily("herongap_list_revision", "Where the list stands", value=status["revision"])
        age = float("nan") if status["age"] is None else status["age"]
        yield GaugeMetricFamily("herongap_list_age_seconds", "Since it was last confirmed", value=age)
        yield GaugeMetricFamily("herongap_list_bad", "Keys with a refused value", value=len(status["bad"]))
        events = CounterMetricFamily("herongap_list_followed", "What the follower met", labels=["what"])
        for what, count in status["counts"].items():
            events.add_metric([what], count)
        yield events
        rank, live = status["place"] or (None, 0)
        yield GaugeMetricFamily("herongap_controllers_live", "Controllers known to live", value=live)
        yield GaugeMetricFamily(
            "herongap_has_rank", "1 where this one has a place among them", value=rank is not None
        )
        if status["budgets"]:
            yield from self._budget_metrics(status["budgets"])

    def _budget_metrics(self, budgets: dict) -> Iterator:
        help_texts = {
            "whole": "The whole, as known here", "mine": "What may be used here now",
            "use": "What is used here, what may be left of an earlier process with it",
            "want": "What could be used here", "doubt": "1 while the outcome of a commit is unknown",
            "open": "1 unless its uses are being counted", "parts": "Controllers that have a part",
        }  # fmt: skip
        for key, help_text in help_texts.items():
            family = GaugeMetricFamily(f"herongap_budget_{key}", help_text, labels=["budget"])
            for name, budget in budgets.items():
                value = len(budget["parts"]) if key == "parts" else budget[key]
                family.add_metric([name], float("nan") if value is None else value)
            yield family
        yield CounterMetricFamily(
            "herongap_budget_unknown",
            "Commits without an answer",
            value=self.streamer_registry.budgets.unknown_outcomes,
        )
