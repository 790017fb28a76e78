"""Metrics of a node."""

from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from ryelatch_core.events import Timeline
from ryelatch_core.outcomes import Outcome

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 95, 99)


class Meter:
    """Counts and times the requests of clients.

    :param gauges: functions that read a gauge, by its name; called when the
        metrics are collected.
    """

    def __init__(
        self,
        timeline: Timeline,
        gauges: dict[str, Callable[[], float]],
    ) -> None:
        self._timeline = timeline
        self._gauges = gauges
        self._tokens = 0
        self._outcomes: Counter[str] = Counter()
        self._histograms = {
            name: HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
            for name in ('first_token', 'request')
        }
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def record_first_token(self, seconds: float) -> None:
        """Record the time from a request to its first token.

        :param seconds: that time.
        """
        self._add_duration('first_token', seconds)

    def record_completion(
        self, seconds: float, tokens: int, outcome: Outcome
    ) -> None:
        """Record that a request has finished.

        :param seconds: how long it took.
        :param tokens: how many it generated.
        """
        self._add_duration('request', seconds)
        self._tokens += tokens
        self._outcomes[outcome.value] += 1

    def read(self, name: str) -> float:
        """Read the current value of a gauge."""
        return self._gauges[name]()

    def expose(self) -> bytes:
        """Write all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, for the Prometheus library."""
        for name, histogram in self._histograms.items():
            yield from _summarise(f'ryelatch_{name}_seconds', histogram)
        yield CounterMetricFamily(
            'ryelatch_tokens', 'Tokens sent to callers.', self._tokens
        )
        outcomes = CounterMetricFamily(
            'ryelatch_requests', 'Requests by outcome.', labels=['outcome']
        )
        for outcome, count in self._outcomes.items():
            outcomes.add_metric([outcome], count)
        yield outcomes
        events = CounterMetricFamily(
            'ryelatch_events', 'Events by name.', labels=['event']
        )
        for event, count in self._timeline.counts.items():
            events.add_metric([event], count)
        yield events
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(
                f'ryelatch_{name}', 'See the operators pages.', read()
            )

    def _add_duration(self, name: str, seconds: float) -> None:
        microseconds = min(
            _MAX_MICROSECONDS, max(1, int(seconds * _MICROSECONDS_PER_SECOND))
        )
        self._histograms[name].record_value(microseconds)


def _summarise(name: str, histogram: HdrHistogram) -> Iterator[Metric]:
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count / _MICROSECONDS_PER_SECOND
    yield SummaryMetricFamily(name, 'Seconds.', count, total)
    quantiles = GaugeMetricFamily(
        f'{name}_quantile', 'Seconds at a percentile.', labels=['percentile']
    )
    for percentile in _PERCENTILES:
        quantile = (
            histogram.get_value_at_percentile(percentile)
            / _MICROSECONDS_PER_SECOND
        )
        quantiles.add_metric([str(percentile)], quantile)
    yield quantiles
