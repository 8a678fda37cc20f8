"""Versions of the configuration that other entries say they have in force."""

#: Time for which a newer version counts although the entry that reports it doesn't
#: give it. One that never does must not keep all others from confirming their keys.
CLAIM_TIMEOUT_SECONDS = 2.0


class VersionClaims:
    """Finds the entry that has a newer configuration in force.

    A report with a newer version comes before the configuration itself, and may be
    wrong. Holds a row for each entry that is heard.
    """

    def __init__(self):
        #: Maps the name of an entry to its version and the time since which it is known
        #: to be newer, monotonic seconds.
        self.claimed_since = {}
        #: Maps the name of an entry to the version that it did not give.
        self.refuted_versions = {}

    def find_newer(self, own_version, versions, now):
        """Return the entry that has the newest version, if that is newer.

        :param own_version: version in force here.
        :param versions: dict of the name of an entry to the version in force there.
        :param now: monotonic time, in seconds.
        :return: its name, or ``None``.
        """
        known, self.claimed_since = self.claimed_since, {}
        self.refuted_versions = {
            name: version
            for name, version in self.refuted_versions.items()
            if name in versions
        }
        newest = None
        for name, version in versions.items():
            if version <= max(own_version, self.refuted_versions.get(name, 0)):
                continue
            before = known.get(name)
            is_known = before is not None and before[0] == version
            since = before[1] if is_known else now
            self.claimed_since[name] = (version, since)
            is_open = now - since < CLAIM_TIMEOUT_SECONDS
            if is_open and (newest is None or version > versions[newest]):
                newest = name
        return newest

    def refute(self, name, version):
        """Record that an entry did not give the version that it has reported.

        :param name: name of the entry.
        :param version: the version.
        """
        self.refuted_versions[name] = version
