"""Measures of this node, as histograms."""

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

_MICROSECONDS = 1_000_000
_HIGHEST = 3_600_000_000
_DIGITS = 2
_PERCENTILES = (50, 95, 99)


class Meter:
    """Counts and times what callers get.

    :param gauges: read when the metrics are asked for.
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
        self._times = {
            name: HdrHistogram(1, _HIGHEST, _DIGITS)
            for name in ('first_token', 'request')
        }
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def note_first(self, seconds: float) -> None:
        """Record the time to the first token."""
        self._record('first_token', seconds)

    def note_end(self, seconds: float, tokens: int, outcome: Outcome) -> None:
        """Record a request's end."""
        self._record('request', seconds)
        self._tokens += tokens
        self._outcomes[outcome.value] += 1

    def read(self, name: str) -> float:
        """Read a gauge."""
        return self._gauges[name]()

    def expose(self) -> bytes:
        """Write all measures in the usual text exposition."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all measures, for the exposition library."""
        for name, histogram in self._times.items():
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

    def _record(self, name: str, seconds: float) -> None:
        micros = min(_HIGHEST, max(1, int(seconds * _MICROSECONDS)))
        self._times[name].record_value(micros)


def _summarise(name: str, histogram: HdrHistogram) -> Iterator[Metric]:
    count = histogram.get_total_count()
    total = histogram.get_mean_value() * count / _MICROSECONDS
    yield SummaryMetricFamily(name, 'Seconds.', count, total)
    quantiles = GaugeMetricFamily(
        f'{name}_quantile', 'Seconds at a percentile.', labels=['percentile']
    )
    for percentile in _PERCENTILES:
        at = histogram.get_value_at_percentile(percentile) / _MICROSECONDS
        quantiles.add_metric([str(percentile)], at)
    yield quantiles
