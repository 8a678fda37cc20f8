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
        #: Maps the name of an entry to its version and the time since which it reports
        #: that one, monotonic seconds.
        self.reported_since = {}
        #: Maps the name of an entry to the version that it did not give.
        self.refuted_versions = {}

    def observe(self, versions, now):
        """Observe what the entries report that are heard now.

        :param versions: dict of the name of an entry to the version in force there.
        :param now: monotonic time, in seconds.
        """
        known, self.reported_since = self.reported_since, {}
        for name, version in versions.items():
            before = known.get(name)
            is_known = before is not None and before[0] == version
            self.reported_since[name] = before if is_known else (version, now)
        for name in set(self.refuted_versions) - set(versions):
            del self.refuted_versions[name]

    def find_newer(self, own_version, now):
        """Return the entry that has the newest version, if that is newer.

        :param own_version: version in force here.
        :param now: monotonic time, in seconds.
        :return: its name, or ``None``.
        """
        newest, newest_version = None, own_version
        for name, (version, since) in self.reported_since.items():
            is_refuted = version <= self.refuted_versions.get(name, 0)
            is_over = now - since >= CLAIM_TIMEOUT_SECONDS
            if version > newest_version and not (is_refuted or is_over):
                newest, newest_version = name, version
        return newest

    def refute(self, name, version):
        """Record that an entry did not give the version that it has reported.

        :param name: name of the entry.
        :param version: the version.
        """
        self.refuted_versions[name] = version
