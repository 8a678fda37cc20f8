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
        self.reports_ = {}
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
            self._note_old(known.versions if known else {}, target.versions)
        self.targets_ = dict(event.targets)
        self.reports_ = {
            n: runs for n, runs in self.reports_.items() if n in self.targets_
        }
        return True

    def report(self, event):
        """Note what a server says that it runs.

        :param event: a :class:`ServerReported`; an older one is ignored.
        """
        if event.server not in self.targets_:
            return
        known = self.reports_.get(event.server)
        if known is None or event.asked_at >= known.asked_at:
            self.reports_[event.server] = event

    def routable(self, query, being_ordered):
        """Name the servers that a new request may use.

        :param query: a :class:`RoutableQuery`.
        :param being_ordered: names of servers to leave out.
        :return: :class:`RoutableServers`, or :data:`NO_VERSION`.
        """
        model = query.model
        known = [name for name in query.servers if model in self.models(name)]
        free = [name for name in known if name not in being_ordered]
        servers = tuple(name for name in free if self.runs_declared(name, model))
        old = tuple(name for name in free if self.runs_old(name, model))
        if not servers and not old:
            return NO_VERSION
        return RoutableServers(
            version=self.targets_[known[0]].versions[model],
            servers=servers,
            old_version=self.old_versions_[model] if old else "",
            old_servers=old,
        )

    def reporting_peers(self, server, since):
        """Name the servers with a model in common that reported lately.

        :param server: name of a server.
        :param since: monotonic time from which on a report counts, in seconds.
        :return: a list of names, with the server's own if it reported.
        """
        models = self.models(server)
        return [
            name
            for name, runs in self.reports_.items()
            if runs.asked_at >= since and not models.isdisjoint(self.models(name))
        ]

    def serves(self, server):
        """Tell whether a server may serve new requests for each of its models.

        :param server: name of the server.
        :return: ``True`` if it reports versions that may.
        """
        return all(
            self.runs_declared(server, model) or self.runs_old(server, model)
            for model in self.models(server)
        )

    def runs_declared(self, server, model):
        """Tell whether a server reports the declared version of a model.

        :param server: name of the server.
        :param model: name of one of its models.
        :return: ``True`` if it does and isn't loading.
        """
        version = self.targets_[server].versions[model]
        return self._runs_version(server, model, version)

    def runs_old(self, server, model):
        """Tell whether a server reports the version declared before, if that serves.

        :param server: name of the server.
        :param model: name of one of its models.
        :return: ``True`` if it does and isn't loading.
        """
        old = self.old_versions_.get(model)
        return self.serve_old and bool(old) and self._runs_version(server, model, old)

    def models(self, server):
        """Return the models that a server is to run.

        :param server: name of the server.
        :return: a set-like view of names; empty if the server isn't declared.
        """
        target = self.targets_.get(server)
        return target.versions.keys() if target else {}.keys()

    def is_due(self, server, since):
        """Tell whether a server reports something else than what is declared.

        :param server: name of a declared server.
        :param since: monotonic time from which on a report counts, in seconds.
        :return: ``True`` if it does; ``False`` also if it didn't report lately.
        """
        runs = self.reports_.get(server)
        if runs is None or runs.asked_at < since:
            return False
        return not self.targets_[server].met_by(runs.runs)

    def _note_old(self, before, after):
        for model in before.keys() & after.keys():
            if before[model] != after[model]:
                self.old_versions_[model] = before[model]

    def _runs_version(self, server, model, version):
        runs = self.reports_.get(server)
        if runs is None or runs.runs is None or runs.loading:
            return False
        return runs.runs.versions.get(model) == version
