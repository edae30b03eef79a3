#!/usr/bin/env python3
"""Tests rollouts with stewards and engines as separate processes."""

import json
import os
import signal
import sys
import tempfile
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "support"))

import cluster  # noqa: E402

BINARIES = os.path.join(ROOT, "build", "bin")
MODEL = "wording"
ENGINES = 10
MAX_LOADING = 2
ROLLOUT_TIMEOUT_S = 90
POLL_S = 0.05


class LoadMonitor(threading.Thread):
    """Records the maximum number of engines that load weights concurrently."""

    def __init__(self, test):
        super().__init__(daemon=True)
        self.test = test
        self.max_loading = 0
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.wait(POLL_S):
            loading = sum(1 for engine in self.test.engines() if engine["loading"])
            self.max_loading = max(self.max_loading, loading)


class StewardTest(unittest.TestCase):
    """Each test starts its own cluster."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        options = cluster.Options(
            directory=self.folder.name, binaries=BINARIES, entries=3, engines=ENGINES, ignore_fencing=True
        )
        self.cluster = cluster.Cluster(options)
        try:
            self.cluster.start()
            self.wait(lambda: len(self.owners()) == 4, 30, "all partitions have owners")
        except Exception:
            self.cluster.stop()
            raise

    def tearDown(self):
        self.cluster.stop()
        self.folder.cleanup()

    def platform(self, method, key, body=None):
        url = self.cluster.description["platform"]["http"] + "/v1/kv?key=" + key
        return cluster.http(method, url, body)

    def wait(self, condition, seconds, what):
        limit = time.monotonic() + seconds
        while not condition():
            self.assertLess(time.monotonic(), limit, what)
            time.sleep(POLL_S)

    def owners(self):
        """Returns the name of the owner of each partition that has one."""
        answers = [self.platform("GET", f"rollout-owners/{index}") for index in range(4)]
        return [body.split()[0] for status, body in answers if status == 200]

    def engines(self):
        rows = []
        for target in self.cluster.description["targets"]:
            if target["kind"] == "engine":
                rows.append(json.loads(cluster.http("GET", target["http"] + "/v1/orders")[1]))
        return rows

    def versions(self):
        return [engine["weight_version"] for engine in self.engines()]

    def start_rollout(self, version):
        record = {"model": MODEL, "version": version, "state": "running", "done": 0, "total": 0, "detail": ""}
        self.assertEqual(self.platform("PUT", "rollouts/" + MODEL, record)[0], 200)

    def record(self):
        return json.loads(self.platform("GET", "rollouts/" + MODEL)[1])

    def wait_done(self, version):
        self.wait(lambda: self.record()["state"] != "running", ROLLOUT_TIMEOUT_S, "the rollout ends")
        self.assertEqual(self.record()["state"], "done", self.record())
        self.assertEqual(set(self.versions()), {version})

    def steward_of(self, name):
        return self.cluster.processes["steward-" + name]

    def owning_steward(self):
        return self.steward_of(self.owners()[0])

    def owned_partitions(self):
        """Returns the total number of owned partitions according to the stewards' metrics."""
        total = 0
        for entry in self.cluster.description["entries"]:
            url = f"http://127.0.0.1:{entry['steward_port']}/metrics"
            for line in cluster.http("GET", url)[1].splitlines():
                if line.startswith("lycheeplank_partitions_owned "):
                    total += int(line.split()[1])
        return total

    def interrupt_rollout(self, action):
        """Starts a rollout and, once one engine has the new version, applies an action to the owners' stewards."""
        self.start_rollout("v2")
        self.wait(lambda: "v2" in self.versions(), 30, "the rollout starts")
        self.assertIn("v1", self.versions())
        for name in self.owners_to_interrupt():
            action(self.steward_of(name))

    def owners_to_interrupt(self):
        """Returns all owners' names; if every steward is an owner, omits one without orders, so that it takes over."""
        names = set(self.owners())
        if len(names) == len(self.cluster.description["entries"]):
            names.remove(next(entry["name"] for entry in self.cluster.description["entries"] if not self.sent_orders(entry)))
        return names

    def sent_orders(self, entry):
        """Returns the number of orders that the steward of a host has sent."""
        text = cluster.http("GET", f"http://127.0.0.1:{entry['steward_port']}/metrics")[1]
        return sum(int(line.split()[1]) for line in text.splitlines() if line.startswith("lycheeplank_orders_sent "))

    def test_metrics_tell_who_owns_the_partitions(self):
        self.wait(lambda: self.owned_partitions() == 4, 10, "the metrics show all partitions")

    def test_a_rollout_goes_on_after_its_owner_is_killed(self):
        monitor = LoadMonitor(self)
        monitor.start()
        self.interrupt_rollout(lambda process: process.kill())
        self.assertEqual(self.record()["state"], "running")
        self.wait_done("v2")
        monitor.stopped.set()
        monitor.join()
        self.assertLessEqual(monitor.max_loading, MAX_LOADING)
        self.assertGreater(monitor.max_loading, 0)

    def test_a_frozen_owner_wakes_up_to_a_new_owner(self):
        monitor = LoadMonitor(self)
        monitor.start()
        frozen = []

        def freeze(process):
            frozen.append(process)
            process.send_signal(signal.SIGSTOP)

        try:
            self.interrupt_rollout(freeze)
            self.wait_done("v2")
            self.start_rollout("v3")
        finally:
            for process in frozen:
                process.send_signal(signal.SIGCONT)
        self.wait_done("v3")
        time.sleep(2)
        self.assertEqual(set(self.versions()), {"v3"})
        monitor.stopped.set()
        monitor.join()
        self.assertLessEqual(monitor.max_loading, MAX_LOADING)

    def test_a_steward_that_is_asked_to_stop_hands_over(self):
        stopped = []

        def stop(process):
            stopped.append(process)
            process.terminate()

        self.interrupt_rollout(stop)
        began = time.monotonic()
        for process in stopped:
            self.assertEqual(process.wait(timeout=15), 0)
        self.wait(lambda: len(self.owners()) == 4, 15, "another steward owns the partitions")
        print(f"ownership was handed over after {time.monotonic() - began:.1f} s")
        self.wait_done("v2")


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BINARIES = sys.argv.pop(1)
    unittest.main(verbosity=2)
