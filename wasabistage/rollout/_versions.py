"""Which weight version each backend server is to run, and which it says it runs."""

from wasabistage.rollout._messages import RoutableServers
from wasabistage.utils import Sentinel

NO_VERSION = Sentinel("NO_VERSION", "no server reports a weight version to be served")


class VersionView:
    """Declared targets beside the servers' own reports.

    Only what a server says itself counts. Both tables hold declared servers only.

    :param serve_old: whether the version declared before may serve new requests.
    """

    def __init__(self, serve_old=False):
        self.serve_old = serve_old

    def reset(self):
        """Forget every target and report.

        :return: the view itself.
        """
        self.targets_ = {}
        self.runs_ = {}
        self.old_versions_ = {}
        self.config_version_ = 0
        return self

    def declare(self, event):
        """Take over the targets of a configuration.

        :param event: a :class:`TargetsChanged`.
        :return: whether they are now in force; an older configuration is ignored.
        """
        if event.config_version < self.config_version_:
            return False
        self.config_version_ = event.config_version
        for server, target in event.targets.items():
            known = self.targets_.get(server)
            same_model = known is not None and known.model == target.model
            if same_model and known.version != target.version:
                self.old_versions_[target.model] = known.version
        self.targets_ = dict(event.targets)
        self.runs_ = {n: runs for n, runs in self.runs_.items() if n in self.targets_}
        return True

    def report(self, event):
        """Note what a server says that it runs.

        :param event: a :class:`ServerRuns`; an older one is ignored.
        """
        if event.server not in self.targets_:
            return
        known = self.runs_.get(event.server)
        if known is None or event.asked_at >= known.asked_at:
            self.runs_[event.server] = event

    def routable(self, query, being_ordered):
        """Name the servers that a new request may use.

        :param query: a :class:`RoutableQuery`.
        :param being_ordered: names of servers to leave out.
        :return: :class:`RoutableServers`, or :data:`NO_VERSION`.
        """
        known = [name for name in query.servers if self.model(name) == query.model]
        free = [name for name in known if name not in being_ordered]
        servers = tuple(name for name in free if self.runs_declared(name))
        old = tuple(name for name in free if self.runs_old(name))
        if not servers and not old:
            return NO_VERSION
        return RoutableServers(
            version=self.targets_[known[0]].version,
            servers=servers,
            old_version=self.old_versions_[query.model] if old else "",
            old_servers=old,
        )

    def reporting_peers(self, server, since):
        """Name the servers of the same model that reported lately.

        :param server: name of a server.
        :param since: monotonic time from which on a report counts, in seconds.
        :return: a list of names, with the server's own if it reported.
        """
        return [
            name
            for name, runs in self.runs_.items()
            if self.model(name) == self.model(server) and runs.asked_at >= since
        ]

    def serves(self, server):
        """Tell whether a server may serve new requests.

        :param server: name of the server.
        :return: ``True`` if it reports a version that may.
        """
        return self.runs_declared(server) or self.runs_old(server)

    def runs_declared(self, server):
        """Tell whether a server reports the declared version.

        :param server: name of the server.
        :return: ``True`` if it does and isn't loading.
        """
        return self._runs_version(server, self.targets_[server].version)

    def runs_old(self, server):
        """Tell whether a server reports the version declared before, if that serves.

        :param server: name of the server.
        :return: ``True`` if it does and isn't loading.
        """
        old = self.old_versions_.get(self.model(server))
        return self.serve_old and bool(old) and self._runs_version(server, old)

    def model(self, server):
        """Return the model that a server is to run.

        :param server: name of the server.
        :return: name of the model; empty if the server isn't declared.
        """
        target = self.targets_.get(server)
        return target.model if target else ""

    def _runs_version(self, server, version):
        runs = self.runs_.get(server)
        if runs is None or runs.runs is None or runs.loading:
            return False
        return runs.runs.model == self.model(server) and runs.runs.version == version
