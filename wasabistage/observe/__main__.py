"""Print the reference page of the metrics."""

from wasabistage.observe import describe_metrics

if __name__ == "__main__":
    print(describe_metrics(), end="")
