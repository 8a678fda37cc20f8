"""Print the reference page of the settings."""

from wasabistage.settings import describe_settings

if __name__ == "__main__":
    print(describe_settings(), end="")
