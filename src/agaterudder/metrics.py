"""Counters, gauges and a latency histogram per team and class."""

import itertools
import typing as t

from hdrh import histogram

LOWEST_MILLISECONDS = 1
HIGHEST_MILLISECONDS = 120_000
SIGNIFICANT_DIGITS = 1
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MAX_SERIES = 4096

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of one process.

    At most :data:`MAX_SERIES` series of each type are kept; further ones
    are aggregated under the label value ``other``.
    """

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        series = self._series(self._counters, name, labels)
        self._counters[series] = self._counters.get(series, 0.0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to ``value``."""
        self._gauges[self._series(self._gauges, name, labels)] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in the histogram of the labels."""
        series = self._series(self._histograms, name, labels)
        found = self._histograms.get(series)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[series] = found
        milliseconds = min(int(seconds * 1000), HIGHEST_MILLISECONDS)
        found.record_value(max(milliseconds, LOWEST_MILLISECONDS))

    def render(self) -> str:
        """Return every series in the Prometheus text format."""
        lines = itertools.chain(
            self._lines(self._counters),
            self._lines(self._gauges),
            self._histogram_lines(),
        )
        return "".join(f"agaterudder_{line}\n" for line in lines)

    def _series(
        self,
        existing: t.Mapping[tuple[str, Labels], t.Any],
        name: str,
        labels: dict[str, str],
    ) -> tuple[str, Labels]:
        series = (name, tuple(sorted(labels.items())))
        if series in existing or len(existing) < MAX_SERIES:
            return series
        return (name, tuple((label, "other") for label in sorted(labels)))

    def _lines(
        self, existing: dict[tuple[str, Labels], float]
    ) -> t.Iterator[str]:
        for (name, labels), value in existing.items():
            yield f"{name}{_render_labels(labels)} {value:g}"

    def _histogram_lines(self) -> t.Iterator[str]:
        for (name, labels), found in self._histograms.items():
            for quantile in QUANTILES:
                seconds = found.get_value_at_percentile(quantile) / 1000
                extended = labels + (("quantile", f"{quantile / 100:g}"),)
                yield f"{name}_seconds{_render_labels(extended)} {seconds:g}"
            count = found.get_total_count()
            yield f"{name}_seconds_count{_render_labels(labels)} {count}"


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
