"""Print the reference page of the declaration files."""

from wasabistage.declarations import describe_declarations

if __name__ == "__main__":
    print(describe_declarations(), end="")
