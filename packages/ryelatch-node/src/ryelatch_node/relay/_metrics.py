"""Counters, gauges and latency histograms in the Prometheus text format."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram

from ryelatch_core.events import LineLog, UsageTracker

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_SECOND = 1000
_PERCENTILES = (50, 90, 99)


class RelayMetrics:
    """Collects the metrics of a node.

    :param gauges: functions that read a current value, by metric name without
        the prefix; a name ends with the unit if there is one.
    :param usage: the resource usage of the process.
    """

    def __init__(
        self,
        log: LineLog,
        gauges: Mapping[str, Callable[[], float]],
        usage: UsageTracker | None = None,
    ) -> None:
        self._log = log
        self._gauges = gauges
        self._usage = usage or UsageTracker()
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._times: dict[str, HdrHistogram] = {}

    def record_request(
        self,
        streaming: bool,
        outcome: str,
        seconds: float,
        *,
        forwarded: bool = False,
    ) -> None:
        """Count a completed request and its duration.

        Requests that other nodes forwarded count apart, as those nodes count
        them too.

        :param outcome: the HTTP status, or how the request was interrupted.
        """
        kind = 'stream' if streaming else 'plain'
        if forwarded:
            kind = f'forwarded-{kind}'
        self._outcomes[kind, outcome] += 1
        if kind not in self._times:
            self._times[kind] = HdrHistogram(
                _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS
            )
        self._times[kind].record_value(max(1, int(seconds * _MS_PER_SECOND)))

    def expose(self) -> str:
        """Render all metrics."""
        lines = itertools.chain(
            self._expose_counters(),
            self._expose_times(),
            self._expose_costs(),
            (
                f'ryelatch_{name} {read():g}'
                for name, read in self._gauges.items()
            ),
        )
        return ''.join(f'{line}\n' for line in lines)

    def _expose_counters(self) -> Iterator[str]:
        for (kind, outcome), count in sorted(self._outcomes.items()):
            labels = f'kind="{kind}",outcome="{outcome}"'
            yield f'ryelatch_requests_total{{{labels}}} {count}'
        for event, count in sorted(self._log.counts.items()):
            yield f'ryelatch_events_total{{event="{event}"}} {count}'

    def _expose_costs(self) -> Iterator[str]:
        for name, count in self._usage.list_counts().items():
            yield f'ryelatch_costs_total{{of="{name}"}} {count}'
        for activity, spent in self._usage.list_seconds().items():
            label = f'{{activity="{activity}"}}'
            yield f'ryelatch_processor_seconds_total{label} {spent:g}'

    def _expose_times(self) -> Iterator[str]:
        for kind, histogram in sorted(self._times.items()):
            for percentile in _PERCENTILES:
                value = (
                    histogram.get_value_at_percentile(percentile)
                    / _MS_PER_SECOND
                )
                labels = f'kind="{kind}",quantile="{percentile / 100}"'
                yield f'ryelatch_request_seconds{{{labels}}} {value:g}'
