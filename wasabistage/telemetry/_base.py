"""Base of the metrics sinks."""

from abc import ABC, abstractmethod


class Metrics(ABC):
    """Sink of metrics."""

    @abstractmethod
    def count(self, name, value=1, label=""):
        """Add to a counter.

        :param name: its name.
        :param value: how much to add.
        :param label: last part of the metric's name, such as a rank.
        """

    @abstractmethod
    def gauge(self, name, value):
        """Set a gauge.

        :param name: its name.
        :param value: the new value.
        """

    @abstractmethod
    def time(self, name, seconds, label=""):
        """Record a duration.

        :param name: its name.
        :param seconds: the duration.
        :param label: last part of the metric's name, such as a rank.
        """
