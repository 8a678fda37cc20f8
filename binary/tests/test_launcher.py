"""The launcher, with a small payload in the place of the program."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

from binary._pack import FOOTER, PackItem, pack, read_items
from binary.build import LAUNCHER, compile_launcher, write_result

PROGRAM = b'#!/bin/sh\necho "$$ $@ $(umask)"\nread line || exit 3\n'
SECONDS = 60
STARTS = 7


def make_payload(extra=b"text"):
    items = [
        PackItem(kind="d", path="part"),
        PackItem(kind="f", path="part/data", data=extra * 50_000),
        PackItem(kind="f", path="part/empty"),
        PackItem(kind="l", path="part/link", target="data"),
        PackItem(kind="x", path="wasabistage", data=PROGRAM),
    ]
    return pack(items)


class LauncherCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        compile_launcher()

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="launcher-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.base = self.folder / "base"
        self.base.mkdir(0o700)
        self.private = self.base / f"wasabistage-{os.geteuid()}"
        self.payload = make_payload()
        self.binary = self.make_binary(self.payload)
        self.unpacked = self.private / self.payload.key

    def make_binary(self, payload):
        binary = self.folder / f"binary-{payload.key[:8]}"
        write_result(payload, LAUNCHER, binary)
        return binary

    def start(self, *arguments, binary=None):
        process = subprocess.Popen(
            [binary or self.binary, *arguments],
            env={"WASABISTAGE_UNPACK_DIR": str(self.base), "PATH": "/usr/bin:/bin"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def run_binary(self, *arguments, binary=None):
        process = self.start(*arguments, binary=binary)
        output, errors = process.communicate("\n", timeout=SECONDS)
        return process.returncode, output, errors

    def assert_refused(self, part, **options):
        code, output, errors = self.run_binary(**options)
        self.assertEqual((code, output), (1, ""))
        self.assertIn(part, errors)
        self.assertIn(";", errors)


class StartTest(LauncherCase):
    def test_becomes_the_program_under_the_same_id(self):
        process = self.start("a", "b c")
        output, _ = process.communicate("\n", timeout=SECONDS)
        mask = os.umask(0)
        os.umask(mask)
        self.assertEqual(output, f"{process.pid} a b c {mask:04o}\n")
        self.assertEqual(process.returncode, 0)
        self.assertEqual(pack(read_items(self.unpacked)).key, self.payload.key)
        self.assertEqual(self.private.stat().st_mode & 0o777, 0o700)

    def test_second_start_uses_what_stands_there(self):
        self.run_binary()
        before = (self.unpacked / "part/data").stat()
        self.run_binary()
        after = (self.unpacked / "part/data").stat()
        self.assertEqual(before.st_ino, after.st_ino)

    def test_seven_starts_at_once(self):
        processes = [self.start() for _ in range(STARTS)]
        for process in processes:
            output, errors = process.communicate("\n", timeout=SECONDS)
            self.assertTrue(output.startswith(f"{process.pid} "), errors)
            self.assertEqual(process.returncode, 0)
        names = {path.name for path in self.private.iterdir()}
        self.assertEqual(names, {"lock", self.payload.key})

    def test_unpacks_again_what_is_not_whole(self):
        def cut():
            os.truncate(self.unpacked / "part/data", 10)

        def remove():
            (self.unpacked / "part/empty").unlink()

        def redirect():
            (self.unpacked / "part/link").unlink()
            (self.unpacked / "part/link").symlink_to("/etc/passwd")

        def open_up():
            (self.unpacked / "wasabistage").chmod(0o777)

        for damage in (cut, remove, redirect, open_up):
            with self.subTest(damage.__name__):
                self.run_binary()
                damage()
                self.assertEqual(self.run_binary()[0], 0)
                key = pack(read_items(self.unpacked)).key
                self.assertEqual(key, self.payload.key)

    def test_does_not_trust_a_part_that_was_left(self):
        (self.private / "part" / "part").mkdir(parents=True)
        self.private.chmod(0o700)
        self.assertEqual(self.run_binary()[0], 0)
        self.assertFalse((self.private / "part").exists())


class RefusalTest(LauncherCase):
    def test_cut_anywhere(self):
        whole = self.binary.read_bytes()
        start = LAUNCHER.stat().st_size
        for length in (start, start + 50, (start + len(whole)) // 2, len(whole) - 1):
            cut = self.folder / "cut"
            cut.write_bytes(whole[:length])
            cut.chmod(0o755)
            self.assert_refused("cut short or damaged", binary=cut)

    def test_damaged_bytes(self):
        whole = self.binary.read_bytes()
        start = LAUNCHER.stat().st_size
        footer = len(whole) - FOOTER.size
        for place in (start + 20, footer - 6, footer - 40, footer, footer + 9):
            damaged = self.folder / "damaged"
            changed = whole[place] ^ 0x55
            damaged.write_bytes(whole[:place] + bytes([changed]) + whole[place + 1 :])
            damaged.chmod(0o755)
            self.assert_refused("cut short or damaged", binary=damaged)
        self.assertFalse(self.unpacked.exists())

    def test_folder_that_others_may_write(self):
        self.private.mkdir()
        self.private.chmod(0o770)
        self.assert_refused("not private")

    def test_link_in_the_place_of_the_folder(self):
        other = self.folder / "other"
        other.mkdir(0o700)
        self.private.symlink_to(other)
        self.assert_refused("cannot open")
        self.assertEqual(list(other.iterdir()), [])

    def test_base_that_others_may_rename_in(self):
        self.base.chmod(0o777)
        self.assert_refused("sticky")

    def test_missing_base(self):
        self.base.rmdir()
        self.assert_refused("WASABISTAGE_UNPACK_DIR")

    @unittest.skipUnless(os.geteuid() == 0, "only root can give a folder away")
    def test_folder_of_another_user(self):
        self.private.mkdir(0o700)
        os.chown(self.private, 12345, 12345)
        self.assert_refused("not private")


class RemovalTest(LauncherCase):
    def test_removes_only_what_no_process_uses(self):
        running = self.start()
        running.stdout.readline()
        self.assertIn("in use", self.run_binary("--unpacked")[1])
        code, _, errors = self.run_binary("--remove-unpacked")
        self.assertEqual(code, 1)
        self.assertIn("still in use", errors)
        self.assertTrue(self.unpacked.exists())
        running.communicate("\n", timeout=SECONDS)
        self.assertIn("unused", self.run_binary("--unpacked")[1])
        self.assertEqual(self.run_binary("--remove-unpacked")[0], 0)
        self.assertFalse(self.unpacked.exists())

    def test_new_version_removes_the_old_once_it_is_unused(self):
        newer = make_payload(b"newer")
        binary = self.make_binary(newer)
        running = self.start()
        running.stdout.readline()
        self.run_binary(binary=binary)
        self.assertTrue(self.unpacked.exists())
        running.communicate("\n", timeout=SECONDS)
        self.run_binary("--remove-unpacked", binary=binary)
        self.run_binary()
        self.run_binary(binary=binary)
        names = {path.name for path in self.private.iterdir()}
        self.assertEqual(names, {"lock", newer.key})


if __name__ == "__main__":
    unittest.main()
