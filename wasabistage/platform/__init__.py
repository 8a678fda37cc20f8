"""Adapter to the users' platform: names, formats and calls; it decides nothing.

Every name of the platform's wire stands in this folder alone. Fields are decoded here,
once, into types of this project.
"""

from wasabistage.platform._adapter import UsersPlatform

__all__ = ["UsersPlatform"]
