"""The entry process: tasks, caller API, peer protocol."""
