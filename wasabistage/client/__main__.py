"""Print the reference page of the errors."""

from wasabistage.client import describe_errors

if __name__ == "__main__":
    print(describe_errors(), end="")
