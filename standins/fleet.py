"""Starts a whole deployment on loopback: stand-ins and entry instances.

Each process is started by the test, the demo or the benchmark that uses this module,
and ended by its process id. Every fleet has a loopback address of its own, so that
several may run at a time with the ports of the declarations.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

import httpx
import trio

from standins._engine_state import EngineParams
from wasabistage.declarations import ServiceKind, check_folder
from wasabistage.entry import TrioTimerService
from wasabistage.operators import publish_deployment
from wasabistage.reference import HttpLogClient, make_http_client

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
ENTRY_PORT = 20001
PEER_PORT = 20101
LOG_PORT = 20201
LIST_PORT = 20202
START_SECONDS = 60.0
STOP_SECONDS = 20.0
PEER_KEY = "0123456789abcdef0123456789abcdef"
SETTINGS = """\
[entry]
name = {name}
deployment = {deployment}
failure_domain = {domain}

[listen]
listen = {listen}
peer_listen = {peer_listen}
peers = {peers}
peer_key = {peer_key}

[platform]
log = {log}
live_list = {live_list}

[output]
log_file = {log_file}

[bounds]
drain_timeout = {drain_timeout}s

[timing]
{timing}
"""


@dataclass
class FleetProcess:
    """One process of a fleet.

    :ivar name: its name.
    :ivar arguments: its command line.
    :ivar ready_url: URL that answers once it serves; empty for none.
    :ivar process: the running process, or ``None``.
    """

    name: str
    arguments: list
    ready_url: str = ""
    process: subprocess.Popen | None = None


@dataclass
class FleetOptions:
    """How a fleet is built.

    :ivar folder: folder of declaration files.
    :ivar entries: number of entry instances.
    :ivar engine: parameters of the engines.
    :ivar drain_timeout: entries' drain bound, in seconds.
    :ivar timing: further lines of the entries' ``[timing]`` section.
    :ivar link_rate: bytes a second of the stores' links; 0 takes the declared rate.
    :ivar servers: names of the backend servers to keep; empty for all.
    :ivar stores: names of the stores to keep; ``None`` for all.
    :ivar without: mechanism that the entries run without, a name of
        :mod:`standins.unsafe_entry`; empty for none.
    :ivar program: command line that runs ``wasabistage``.
    """

    folder: Path = ROOT / "examples" / "padavu"
    entries: int = 7
    engine: EngineParams = field(default_factory=EngineParams)
    drain_timeout: int = 20
    timing: str = ""
    link_rate: float = 0.0
    servers: tuple = ()
    stores: tuple | None = None
    without: str = ""
    program: tuple = (sys.executable, "-m", "wasabistage")


class Fleet:
    """A deployment of processes on a loopback address of its own.

    :param options: a :class:`FleetOptions`.
    """

    def __init__(self, options=None):
        self.options = options or FleetOptions()
        self.host = _own_loopback()
        self.folder = tempfile.TemporaryDirectory(prefix="fleet-")
        self.processes = {}
        self.http = httpx.Client(timeout=10.0, trust_env=False)
        self.deployment = self._localize()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def _localize(self):
        result = check_folder(self.options.folder)
        if result.deployment is None:
            raise ValueError("\n".join(str(item) for item in result.problems))
        deployment = result.deployment

        def local(item):
            return replace(item, address=item.address.replace(LOOPBACK, self.host))

        def kept(items, names):
            return {key: local(items[key]) for key in items if key in names}

        options = self.options
        servers = kept(deployment.servers, options.servers or deployment.servers)
        stores = deployment.stores if options.stores is None else options.stores
        return replace(
            deployment,
            services={
                name: service
                for name, service in deployment.services.items()
                if any(_serves_it(item, service) for item in servers.values())
            },
            servers=servers,
            stores=kept(deployment.stores, stores),
            weight_store=local(deployment.weight_store),
        )

    @property
    def log_address(self):
        """Address of the log, ``IP:PORT``."""
        return f"{self.host}:{LOG_PORT}"

    @property
    def list_address(self):
        """Address of the live list, ``IP:PORT``."""
        return f"{self.host}:{LIST_PORT}"

    def entry_address(self, index):
        """Return the callers' address of an entry.

        :param index: number of the entry, from 1.
        :return: ``IP:PORT``.
        """
        return f"{self.host}:{ENTRY_PORT + index - 1}"

    def peer_address(self, index):
        """Return the peer address of an entry.

        :param index: number of the entry, from 1.
        :return: ``IP:PORT``.
        """
        return f"{self.host}:{PEER_PORT + index - 1}"

    @property
    def entry_names(self):
        """Names of the entry instances."""
        return [f"entry-{index}" for index in range(1, self.options.entries + 1)]

    def start(self):
        """Start the stand-ins, publish the list, start the entries, wait for all."""
        self._define_standins()
        for name in list(self.processes):
            self.spawn(name)
        for name in list(self.processes):
            self.wait_ready(name)
        self.set_list()
        self._define_entries()
        for name in self.entry_names:
            self.spawn(name)
        for name in self.entry_names:
            self.wait_ready(name)

    def _define_standins(self):
        self._add("log", "log", self.log_address, "/streams/config/records")
        self._add("livelist", "livelist", self.list_address, "/instances")
        if self.deployment.weight_store.address:
            self._add(
                "weights", "weights", self.deployment.weight_store.address, "/ready"
            )
        for store in self.deployment.stores.values():
            rate = self.options.link_rate or store.link_rate
            extra = [f"--memory={store.memory}", f"--disk={store.disk}"]
            extra.append(f"--link_rate={rate}")
            self._add(store.name, "store", store.address, "/load", extra)
        for server in self.deployment.servers.values():
            if server.kind is ServiceKind.MODEL:
                extra = self._engine_options(server)
                self._add(server.name, "engine", server.address, "/load", extra)
            else:
                self._add(server.name, "service", server.address, "/load")

    def _engine_options(self, server):
        params = replace(
            self.options.engine,
            slots=server.slots,
            checks_fencing=server.checks_fencing,
            weight_store=self.deployment.weight_store.address,
        )
        models = [
            f"{name}@{self.deployment.models[name].version}" for name in server.models
        ]
        options = [f"--{key}={value}" for key, value in vars(params).items() if value]
        if not params.checks_fencing:
            options.append("--checks_fencing=False")
        return [f"--models={','.join(models)}", *options]

    def _add(self, name, kind, address, ready_path, extra=()):
        arguments = [sys.executable, "-m", "standins", kind, f"--address={address}"]
        self.processes[name] = FleetProcess(
            name, arguments + list(extra), f"http://{address}{ready_path}"
        )

    def _define_entries(self):
        domains = self.deployment.failure_domains
        for index, name in enumerate(self.entry_names, start=1):
            path = Path(self.folder.name) / f"{name}.ini"
            peers = [
                self.peer_address(other)
                for other in range(1, self.options.entries + 1)
                if other != index
            ]
            text = SETTINGS.format(
                name=name,
                deployment=self.deployment.name,
                domain=domains[(index - 1) % len(domains)],
                listen=self.entry_address(index),
                peer_listen=self.peer_address(index),
                peers=", ".join(peers),
                peer_key=PEER_KEY,
                log=self.log_address,
                live_list=self.list_address,
                log_file=Path(self.folder.name) / f"{name}.log",
                drain_timeout=self.options.drain_timeout,
                timing=self.options.timing,
            )
            path.write_text(text, encoding="utf-8")
            command = [*self.options.program, "entry"]
            if self.options.without:
                module = "standins.unsafe_entry"
                command = [sys.executable, "-m", module, self.options.without]
            arguments = [*command, str(path)]
            url = f"http://{self.entry_address(index)}/v1/entries"
            self.processes[name] = FleetProcess(name, arguments, url)

    def publish(self, deployment=None, **options):
        """Publish a deployment through the log.

        :param deployment: the deployment; ``None`` for the fleet's own.
        :param options: further arguments of ``publish_deployment``.
        :return: the outcome of the publication.
        """
        chosen = deployment or self.deployment
        return trio.run(partial(self.publish_async, chosen, **options))

    async def publish_async(self, deployment, **options):
        """Publish a deployment from within trio; see :meth:`publish`."""
        async with make_http_client() as client:
            log = HttpLogClient(client, self.log_address)
            timers = TrioTimerService()
            return await publish_deployment(log, deployment, timers, **options)

    def wait_served(self, seconds=START_SECONDS):
        """Wait until every entry has a configuration and knows its servers.

        :param seconds: longest wait.
        :raises RuntimeError: if one does not serve in time.
        """
        end = time.monotonic() + seconds
        waiting = set(range(1, self.options.entries + 1))
        while waiting and time.monotonic() < end:
            waiting = {index for index in waiting if not self._serves(index)}
            time.sleep(0.05)
        if waiting:
            raise RuntimeError(f"entries {sorted(waiting)} do not serve")

    def _serves(self, index):
        """Tell whether an entry answers a call of each kind of service."""
        kinds = {}
        for service in self.deployment.services.values():
            for call in service.calls.values():
                if service.kind is ServiceKind.MODEL or call.idempotent:
                    kinds.setdefault(service.kind, (service, call))
        try:
            return all(self._answers(index, *item) for item in kinds.values())
        except httpx.HTTPError:
            return False

    def _answers(self, index, service, call):
        """Tell whether an entry answers one idempotent call."""
        key = f"demo-{next(iter(self.deployment.accounts))}-key"
        headers = {"Authorization": f"Bearer {key}"}
        url = f"http://{self.entry_address(index)}"
        if service.kind is ServiceKind.MODEL:
            url += "/v1/chat/completions"
            messages = [{"role": "user", "content": "ready?"}]
            body = {"model": service.name, "messages": messages, "max_tokens": 1}
            answer = self.http.post(url, headers=headers, json=body)
        else:
            url += f"/v1/services/{service.name}" + call.path.replace("/*", "/ready")
            answer = self.http.request(call.method, url, headers=headers)
        return answer.status_code == 200

    def spawn(self, name):
        """Start one process.

        :param name: name of the process.
        """
        item = self.processes[name]
        output = open(Path(self.folder.name) / f"{name}.out", "a", encoding="utf-8")
        item.process = subprocess.Popen(
            item.arguments, cwd=ROOT, stdout=output, stderr=output
        )
        output.close()

    def wait_ready(self, name):
        """Wait until a process answers.

        :param name: name of the process.
        :raises RuntimeError: if it ended or did not answer in time.
        """
        item = self.processes[name]
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if item.process.poll() is not None:
                raise RuntimeError(f"{name} ended: {self.output(name)}")
            try:
                self.http.get(item.ready_url, timeout=2.0)
                return
            except httpx.HTTPError:
                time.sleep(0.05)
        raise RuntimeError(f"{name} did not start: {self.output(name)}")

    def output(self, name):
        """Return what a process wrote.

        :param name: name of the process.
        :return: the last part of its output, a string.
        """
        path = Path(self.folder.name) / f"{name}.out"
        return path.read_text(encoding="utf-8")[-4000:]

    def logs(self, name):
        """Return the log lines of an entry.

        :param name: name of the entry.
        :return: a string.
        """
        return (Path(self.folder.name) / f"{name}.log").read_text(encoding="utf-8")

    def signal(self, name, number):
        """Send a signal to a process.

        :param name: name of the process.
        :param number: the signal.
        """
        self.processes[name].process.send_signal(number)

    def kill(self, name):
        """Kill a process and wait for its end.

        :param name: name of the process.
        """
        self.signal(name, signal.SIGKILL)
        self.processes[name].process.wait(STOP_SECONDS)

    def pause(self, name):
        """Pause a process.

        :param name: name of the process.
        """
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Let a paused process go on.

        :param name: name of the process.
        """
        self.signal(name, signal.SIGCONT)

    def terminate(self, name, seconds=STOP_SECONDS):
        """Ask a process to stop and wait for its end.

        :param name: name of the process.
        :param seconds: longest wait.
        :return: its exit code.
        """
        self.signal(name, signal.SIGTERM)
        return self.processes[name].process.wait(seconds)

    def restart(self, name):
        """Start a process again that has ended.

        :param name: name of the process.
        """
        self.spawn(name)
        self.wait_ready(name)

    def stop(self):
        """End every process of the fleet."""
        running = [
            item.process
            for item in self.processes.values()
            if item.process is not None and item.process.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait()
        self.http.close()
        self.folder.cleanup()

    def fault(self, name, **faults):
        """Order faults from a stand-in.

        :param name: name of the stand-in.
        :param faults: fields of :class:`standins._faults.Faults`.
        """
        self.post(name, "/faults", faults)

    def address_of(self, name):
        """Return the address of a stand-in.

        :param name: its name.
        :return: ``IP:PORT``.
        """
        return self.processes[name].ready_url.split("/")[2]

    def post(self, name, path, body=None):
        """Post to a stand-in.

        :param name: its name.
        :param path: path with the leading slash.
        :param body: JSON body.
        :return: the decoded answer.
        """
        url = f"http://{self.address_of(name)}{path}"
        return self.http.post(url, json=body).json()

    def get(self, name, path):
        """Get from a stand-in.

        :param name: its name.
        :param path: path with the leading slash.
        :return: the decoded answer.
        """
        return self.http.get(f"http://{self.address_of(name)}{path}").json()

    def put(self, name, path, body=None):
        """Put to a stand-in.

        :param name: its name.
        :param path: path with the leading slash.
        :param body: JSON body.
        :return: the decoded answer.
        """
        url = f"http://{self.address_of(name)}{path}"
        return self.http.put(url, json=body).json()

    def set_list(self, leaving=()):
        """Set what the live list shows.

        :param leaving: names of the instances that are leaving.
        """
        listed = []
        domains = self.deployment.failure_domains
        for index, name in enumerate(self.entry_names, start=1):
            domain = domains[(index - 1) % len(domains)]
            address = self.entry_address(index)
            listed.append((name, "entry", address, self.peer_address(index), domain))
        for server in self.deployment.servers.values():
            kind = "engine" if server.kind is ServiceKind.MODEL else "service"
            place = server.failure_domain
            listed.append((server.name, kind, server.address, "", place))
        for store in self.deployment.stores.values():
            place = store.failure_domain
            listed.append((store.name, "store", store.address, "", place))
        body = [
            {
                "name": name,
                "kind": kind,
                "address": address,
                "peer_address": peer_address,
                "failure_domain": domain,
                "state": "leaving" if name in leaving else "live",
            }
            for name, kind, address, peer_address, domain in listed
        ]
        self.put("livelist", "/witness/instances", body)


def _serves_it(server, service):
    """Tell whether a backend server serves a service."""
    return service.name in server.services or service.model in server.models


def _own_loopback():
    """Return a loopback address that no other fleet on this machine uses."""
    pid = os.getpid()
    serial = _own_loopback.serial = getattr(_own_loopback, "serial", 0) + 1
    return f"127.{1 + serial % 100}.{pid // 250 % 250}.{1 + pid % 250}"
