"""Edge processes as separate programs on loopback addresses.

The test or command that uses this module starts each process and ends it by its id.
"""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import sample
from socket import SOCK_DGRAM, socket

import trio

ROOT = Path(__file__).resolve().parent.parent
FIRST_HOST = 10  # the lower ones are the store's and the servers'
HOSTS_PER_NETWORK = 240
SEEDS = 3
GOSSIP_PORT = 7260
SETTINGS = """\
[instance]
name = {name}
failure_domain = {domain}
ip = {ip}
link_mbps = {link_mbps}
first_start = {first_start}

[listen]
callers = {ip}:8580
readiness = {ip}:8586
directory = {ip}:8584
peers = {ip}:8582
gossip_port = {gossip_port}

[records]
store = {store}

[peers]
seeds = {seeds}

[bounds]
{bounds}
"""
LIMITS = """
[limits]
{limits}
"""


def find_network(store_host, store_port):
    """Return the first two numbers of loopback addresses that nobody uses.

    They are drawn, so that programs side by side seldom try the same ones.

    :param store_host: last two numbers of the address of the store of records.
    :param store_port: its port.
    :raises OSError: if all are in use.
    """
    for number in sample(range(20, 250), 200):
        network = f"127.{number}"
        try:
            with socket() as store, socket(type=SOCK_DGRAM) as gossip:
                store.bind((f"{network}.{store_host}", store_port))
                gossip.bind((get_ip(network, 0), GOSSIP_PORT))
        except OSError:
            continue
        return network
    raise OSError("all 127.20 to 127.249 are in use; end the other programs")


class EdgeProgram:
    """One edge process.

    :param number: its number in the fleet, from 0.
    :param network: first two numbers of the loopback addresses, such as ``127.20``.
    :param store: ``IP:PORT`` of the store of records.
    :param folder: folder of its settings and its log.
    :param domains: number of failure domains in the fleet.
    :param bounds: dict of key to value of the section ``[bounds]``.
    :param is_isolated: whether reports neither reach it nor leave it: it listens on
        a port of its own.
    :param limits: dict of key to value of the section ``[limits]``; ``None`` for a file
        without it.
    :param first_start: whether its settings say at every start that the whole fleet
        starts for the first time.
    """

    def __init__(
        self,
        number,
        network,
        store,
        folder,
        domains=4,
        bounds=None,
        is_isolated=False,
        limits=None,
        first_start=False,
    ):
        self.name = f"edge-{number}"
        self.ip = get_ip(network, number)
        self.callers = f"{self.ip}:8580"
        self.readiness = f"{self.ip}:8586"
        self.directory = f"{self.ip}:8584"
        self.peers = f"{self.ip}:8582"
        self.metrics = f"{self.ip}:9464"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.settings_path = Path(folder) / f"{self.name}.ini"
        settings = SETTINGS.format(
            name=self.name,
            domain=f"domain-{number % domains}",
            ip=self.ip,
            first_start=str(first_start).lower(),
            link_mbps=100.0 if number // domains % 10 == 0 else 20.0,
            store=store,
            gossip_port=GOSSIP_PORT + 1 + number if is_isolated else GOSSIP_PORT,
            seeds=",".join(f"{get_ip(network, item)}:8582" for item in range(SEEDS)),
            bounds=format_values(bounds or {}),
        )
        if limits is not None:
            settings += LIMITS.format(limits=format_values(limits))
        self.settings_path.write_text(settings, encoding="utf-8")
        self.process = None
        #: Wall-clock times at which the process was started, in order.
        self.start_times = []
        self.is_frozen = False

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the process, unless it runs."""
        if self.is_running:
            return
        self.start_times.append(time.time())
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wasabistage.platform", str(self.settings_path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.is_frozen = False

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.is_running:
            os.kill(self.process.pid, number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_frozen = number == signal.SIGSTOP

    async def kill(self):
        """Kill the process and wait until it is gone."""
        process = self.process
        if process is not None:
            process.kill()
            while process.poll() is None:
                await trio.sleep(0.01)


def format_values(values):
    """Return the lines of a section.

    :param values: dict of key to value.
    """
    return "\n".join(f"{key} = {value}" for key, value in values.items())


def get_ip(network, number):
    """Return the loopback address of an edge process.

    :param network: first two numbers of the address.
    :param number: number of the process, from 0.
    """
    high, low = divmod(number, HOSTS_PER_NETWORK)
    return f"{network}.{high}.{FIRST_HOST + low}"
