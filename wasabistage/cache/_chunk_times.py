"""Model of the time that a chunk takes on a link."""

from dataclasses import dataclass

SMOOTHING_FACTOR = 0.2  # weight of the newest chunk in the moving averages
#: Minimum standard deviation of the sizes, as a fraction of their mean. Sizes that are
#: nearly alike don't tell the latency from the rate.
MIN_RELATIVE_SPREAD = 0.25
#: Minimum fraction of the mean time that is due to the size.
MIN_SIZE_FRACTION = 0.01
#: Maximum ratio of a chunk's size to the mean of those measured. The model says little
#: about much larger chunks.
MAX_GROWTH = 3


@dataclass
class ChunkTimes:
    """Model of the time that a chunk takes: a latency and a time per byte.

    The line is fitted by least squares with exponentially decaying weights.

    :param rate: initial estimate of the rate, in bytes per second.
    :ivar latency: time of a chunk that does not depend on its size, in seconds.
    :ivar is_measured: whether the model rests on a measurement.
    :ivar mean_size: moving average of the sizes, in bytes.
    :ivar mean_seconds: moving average of the times, in seconds.
    :ivar size_variance: moving variance of the sizes.
    :ivar covariance: moving covariance of sizes and times.
    """

    rate: float
    latency: float = 0.0
    is_measured: bool = False
    mean_size: float = 0.0
    mean_seconds: float = 0.0
    size_variance: float = 0.0
    covariance: float = 0.0

    def update(self, size, seconds):
        """Update the model by a chunk.

        :param size: bytes carried, above 0.
        :param seconds: time that the chunk took, above 0.
        """
        if not self.is_measured:
            # The first measurement replaces the initial estimate, which may be far off.
            self.is_measured = True
            self.mean_size, self.mean_seconds = float(size), seconds
        else:
            self._update_moments(size, seconds)
        mean_seconds_per_byte = self.mean_seconds / self.mean_size
        seconds_per_byte = (self.mean_seconds - self.latency) / self.mean_size
        if self.has_spread:
            seconds_per_byte = self.covariance / self.size_variance
        seconds_per_byte = min(
            max(seconds_per_byte, MIN_SIZE_FRACTION * mean_seconds_per_byte),
            mean_seconds_per_byte,
        )
        self.latency = self.mean_seconds - seconds_per_byte * self.mean_size
        self.rate = 1.0 / seconds_per_byte

    def _update_moments(self, size, seconds):
        """Update the moving averages, as in Welford's algorithm with decay."""
        size_change = size - self.mean_size
        seconds_change = seconds - self.mean_seconds
        kept = 1.0 - SMOOTHING_FACTOR
        self.mean_size += SMOOTHING_FACTOR * size_change
        self.mean_seconds += SMOOTHING_FACTOR * seconds_change
        self.size_variance = kept * (
            self.size_variance + SMOOTHING_FACTOR * size_change**2
        )
        self.covariance = kept * (
            self.covariance + SMOOTHING_FACTOR * size_change * seconds_change
        )

    def get_size(self, seconds):
        """Return the size of a chunk whose bytes take a time, without the latency.

        :param seconds: the time, in seconds.
        :return: bytes; at most ``MAX_GROWTH`` times the mean of those measured.
        """
        size = int(self.rate * seconds)
        return min(size, int(MAX_GROWTH * self.mean_size)) if self.is_measured else size

    @property
    def has_spread(self):
        """Whether the sizes differ enough to tell the latency from the rate."""
        return self.size_variance >= (MIN_RELATIVE_SPREAD * self.mean_size) ** 2

    @property
    def throughput(self):
        """Throughput of the mean chunk, in bytes per second."""
        return self.mean_size / self.mean_seconds if self.is_measured else self.rate
