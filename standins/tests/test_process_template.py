"""The settings template of the deploy file, on older platforms and the present one."""

import tempfile
import tomllib
import unittest
from pathlib import Path

import trio

from standins.edge_program import ROOT
from standins.platform_template import (
    FIRST_FIELDS,
    MissingFieldError,
    render_plain,
    render_template,
)
from tools.soak._world import World
from wasabistage.edge._settings import load_edge_settings

PRESENT_FIELDS = {
    **FIRST_FIELDS,
    "bootstrap": True,
    "zones": {"a": "east", "b": "west"},
    "limits": {
        "linkMbps": 100.0,
        "cores": 3,
        "cpuShare": 0.5,
        "memoryMb": 552,
        "maxFds": 8192,
    },
    "bounds": {
        **FIRST_FIELDS["bounds"],
        "versionMs": 8000,
        "evacuateMs": 4000,
        "coldExcess": 1.5,
        "coldSlack": 0,
    },
}


def read_template():
    """Return the text of the template that the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return (ROOT / deploy["roles"]["entry"]["template"]).read_text()


class TemplateTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.ini"
            path.write_text(text)
            return load_edge_settings(path)

    # Guards against a template that older platforms can't fill in (issue 38: no script
    # of review/ started).
    def test_oldest_platform_fills_in_what_is_required(self):
        settings = self.load(render_plain(read_template(), FIRST_FIELDS))
        self.assertEqual(settings.instance.name, "edge-a-1")
        self.assertEqual(settings.bounds.retry_extra, 54.0)
        self.assertEqual(settings.bounds.evacuate_ms, 5000.0)
        self.assertEqual(settings.limits.max_fds, 4096)
        self.assertEqual(settings.listen.notice_port, 0)
        self.assertEqual(settings.regions, {})
        self.assertEqual(settings.capacity, 0.0)

    # Guards against restarted entries that take themselves for new ones, and use a
    # retry budget again that they have spent.
    def test_first_start_is_not_assumed_where_the_platform_does_not_tell(self):
        settings = self.load(render_plain(read_template(), FIRST_FIELDS))
        self.assertFalse(settings.instance.first_start)
        fields = {**PRESENT_FIELDS, "bootstrap": False}
        settings = self.load(render_template(read_template(), fields))
        self.assertFalse(settings.instance.first_start)

    def test_present_platform_fills_in_every_key(self):
        settings = self.load(render_template(read_template(), PRESENT_FIELDS))
        self.assertTrue(settings.instance.first_start)
        self.assertEqual(settings.instance.link_mbps, 100.0)
        self.assertEqual(
            (settings.instance.cores, settings.instance.cpu_share), (3, 0.5)
        )
        self.assertEqual(settings.listen.notice_port, 7275)
        self.assertEqual(settings.bounds.version_ms, 8000.0)
        self.assertEqual(settings.bounds.evacuate_ms, 4000.0)
        self.assertEqual(settings.bounds.cold_excess, 1.5)
        self.assertEqual(settings.bounds.cold_slack, 0.0)
        self.assertEqual(settings.limits.memory_mb, 552.0)
        self.assertEqual(settings.limits.max_fds, 8192)
        self.assertEqual(settings.regions, {"a": "east", "b": "west"})

    def test_plain_placeholder_of_a_newer_field_is_an_error(self):
        with self.assertRaisesRegex(MissingFieldError, "limits.cores"):
            render_plain("cores = {{limits.cores}}", FIRST_FIELDS)


class OldestPlatformTest(unittest.TestCase):
    # Guards against processes that don't start on older platforms (issue 38).
    def test_process_serves_on_the_oldest_platform(self):
        async def main(folder):
            world = World(1, folder, entries=2, plain=2, engines=1)
            for program in world.programs:
                fields = {
                    **FIRST_FIELDS,
                    "nodeName": program.name,
                    "ip": program.ip,
                    "listen": {
                        "front": program.callers,
                        "ready": program.readiness,
                        "control": program.peers,
                        "directory": program.directory,
                    },
                    "platform": {"address": world.store.address},
                    "seeds": [item.peers for item in world.programs],
                }
                text = render_plain(read_template(), fields)
                program.settings_path.write_text(text, encoding="utf-8")
            async with trio.open_nursery() as nursery:
                try:
                    await world.start(nursery)
                    for program in world.programs:
                        await world.call(("read", "app"), program)
                finally:
                    nursery.cancel_scope.cancel()
                    with trio.CancelScope(shield=True):
                        await world.stop()
            return [item.status for item in world.record.sent]

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(trio.run(main, folder), [200, 200])


if __name__ == "__main__":
    unittest.main()
