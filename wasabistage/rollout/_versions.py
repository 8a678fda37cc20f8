"""Declared and reported weight versions of the backend servers."""

from wasabistage.rollout._messages import RoutableServers
from wasabistage.utils import Sentinel

NO_VERSION = Sentinel(
    "NO_VERSION", "no server reports a weight version that may serve new requests"
)


class VersionView:
    """Declared targets of the servers, and the servers' own reports.

    Only a server's own report counts as evidence of what it runs. Servers that are not
    declared have neither a target nor a report here.

    :param serve_old: whether servers that report the version declared before may serve
        new requests.
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

    def set_targets(self, event):
        """Replace the targets by those of a configuration.

        :param event: a :class:`TargetsChanged`.
        :return: whether the targets are now in force; an older configuration is
            ignored.
        """
        if event.config_version < self.config_version_:
            return False
        self.config_version_ = event.config_version
        for server, target in event.targets.items():
            previous = self.targets_.get(server)
            self._record_old_versions(
                previous.versions if previous else {}, target.versions
            )
        self.targets_ = dict(event.targets)
        self.reports_ = {
            n: item for n, item in self.reports_.items() if n in self.targets_
        }
        return True

    def record_report(self, event):
        """Record what a server reports to run.

        :param event: a :class:`ServerReported`; ignored if a newer one is known.
        """
        if event.server not in self.targets_:
            return
        latest = self.reports_.get(event.server)
        if latest is None or event.asked_at >= latest.asked_at:
            self.reports_[event.server] = event

    def select_routable(self, query, excluded):
        """Select the servers that a new request may use.

        :param query: a :class:`RoutableQuery`.
        :param excluded: names of servers that may not be used.
        :return: :class:`RoutableServers`, or :data:`NO_VERSION`.
        """
        model = query.model
        declared = [name for name in query.servers if model in self.get_models(name)]
        usable = [name for name in declared if name not in excluded]
        servers = tuple(
            name for name in usable if self.reports_declared_version(name, model)
        )
        old = tuple(name for name in usable if self.reports_old_version(name, model))
        if not servers and not old:
            return NO_VERSION
        return RoutableServers(
            version=self.targets_[declared[0]].versions[model],
            servers=servers,
            old_version=self.old_versions_[model] if old else "",
            old_servers=old,
        )

    def find_reporting_peers(self, server, since):
        """Find the servers that share a model with a server and reported recently.

        :param server: name of the server.
        :param since: earliest time of a report that counts, monotonic, in seconds.
        :return: a list of names; includes ``server`` itself if it reported.
        """
        models = self.get_models(server)
        return [
            name
            for name, report in self.reports_.items()
            if report.asked_at >= since and not models.isdisjoint(self.get_models(name))
        ]

    def can_serve(self, server):
        """Return whether a server may serve new requests for all of its models.

        :param server: name of the server.
        :return: ``True`` if the server reports a version that may serve for each model.
        """
        return all(
            self.reports_declared_version(server, model)
            or self.reports_old_version(server, model)
            for model in self.get_models(server)
        )

    def reports_declared_version(self, server, model):
        """Return whether a server reports the declared version of a model.

        :param server: name of the server.
        :param model: name of one of its models.
        :return: ``True`` if it does and is not loading.
        """
        version = self.targets_[server].versions[model]
        return self._reports_version(server, model, version)

    def reports_old_version(self, server, model):
        """Return whether a server reports and may serve the version declared before.

        :param server: name of the server.
        :param model: name of one of its models.
        :return: ``True`` if it does, ``serve_old`` is set and it is not loading.
        """
        old = self.old_versions_.get(model)
        return (
            self.serve_old and bool(old) and self._reports_version(server, model, old)
        )

    def get_models(self, server):
        """Return the models that a server is to run.

        :param server: name of the server.
        :return: a set-like view of names; empty if the server is not declared.
        """
        target = self.targets_.get(server)
        return target.versions.keys() if target else {}.keys()

    def differs_from_target(self, server, since):
        """Return whether a server's recent report does not match its target.

        :param server: name of a declared server.
        :param since: earliest time of a report that counts, monotonic, in seconds.
        :return: ``True`` if it does not match; ``False`` also without a recent report.
        """
        report = self.reports_.get(server)
        if report is None or report.asked_at < since:
            return False
        return not self.targets_[server].is_met_by(report.runs)

    def _record_old_versions(self, before, after):
        for model in before.keys() & after.keys():
            if before[model] != after[model]:
                self.old_versions_[model] = before[model]

    def _reports_version(self, server, model, version):
        report = self.reports_.get(server)
        if report is None or report.runs is None or report.loading:
            return False
        return report.runs.versions.get(model) == version
