#!/usr/bin/env python3
"""Tests that blocks of prompts are exported to a store and imported again after the engine has evicted them."""

import json
import os
import sys
import tempfile
import threading
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "support"))

import cluster  # noqa: E402

BINARIES = os.path.join(ROOT, "build", "bin")
TEXT = "outline of a nursing course, week by week. " * 1000
BLOCKS = 5
FILLERS = 8
CALLERS = 8
SHORT_RUNS = 40
MEMORY_BYTES = 60_000_000
DISK_BYTES = 40_000_000
STORE_BYTES = MEMORY_BYTES + DISK_BYTES


def metric(text, name):
    """Returns the sum of all values of a counter."""
    lines = [line for line in text.splitlines() if line.startswith("lycheeplank_" + name)]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


class ExportsTest(unittest.TestCase):
    """All tests share one cluster with one engine and one small store."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.cluster = cluster.Cluster(
            cluster.Options(
                directory=cls.folder.name,
                binaries=BINARIES,
                entries=2,
                engines=1,
                services=1,
                stores=1,
                memory_bytes=MEMORY_BYTES,
                disk_bytes=DISK_BYTES,
                # A low prefill rate makes an import cheaper than recomputing a prompt.
                prefill_rate=10000.0,
            )
        )
        try:
            cls.cluster.start()
        except Exception:
            cls.cluster.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.cluster.stop()
        cls.folder.cleanup()

    def entry(self):
        return self.cluster.description["entries"][0]

    def engine(self):
        return next(target for target in self.cluster.description["targets"] if target["kind"] == "engine")

    def steward(self, path, body=None, secret=None):
        url = f"http://{cluster.LOOPBACK}:{self.entry()['steward_port']}{path}"
        headers = {"Authorization": "Bearer " + (secret or self.cluster.token_secret)}
        return cluster.http("POST" if body is not None else "GET", url, body, headers)

    def counter(self, name):
        return metric(self.steward("/metrics")[1], name)

    def runs(self):
        return json.loads(cluster.http("GET", self.engine()["http"] + "/executions")[1])["runs"]

    def blocks_in_store(self):
        store = self.cluster.description["stores"][0]
        blocks = []
        after = ""
        while True:
            page = json.loads(cluster.http("GET", f"{store['http']}/v1/blocks?after={after}")[1])
            blocks += page["blocks"]
            if not page["more"] or not page["blocks"]:
                return blocks
            after = page["blocks"][-1]["key"]

    def complete(self, prompt):
        headers = {"Authorization": "Bearer " + self.cluster.keys["co-operative"]}
        body = {"model": cluster.MODEL, "prompt": prompt, "max_tokens": 2}
        status, answer = cluster.http("POST", self.entry()["http"] + "/v1/completions", body, headers, timeout=30)
        self.assertEqual(status, 200, answer)
        return self.runs()[-1]

    def block_keys(self, run):
        """Returns the keys of all full blocks of a run's prompt from the last event of its stream."""
        _, stream = cluster.http("GET", f"{self.engine()['http']}/v1/runs/{run['run_id']}/stream?from=0")
        events = [json.loads(line[6:]) for line in stream.splitlines() if line.startswith("data: {")]
        return events[-1]["blocks"]

    def test_a_prompt_is_imported_after_its_eviction(self):
        prompt = "returning " + TEXT
        run = self.complete(prompt)
        keys = set(self.block_keys(run))
        self.assertEqual(len(keys), BLOCKS)
        is_stored = lambda: keys <= {block["key"] for block in self.blocks_in_store()}  # noqa: E731
        self.cluster.wait_until(is_stored, "the store holds the prompt")
        self.cluster.wait_until(lambda: self.counter("exported_bytes_total") > 0, "the export is counted")
        self.cluster.wait_until(lambda: self.counter("told_sightings_total") > 0, "the entry host is told")
        for i in range(FILLERS):
            self.complete(f"filler {i} " + TEXT)

        def is_imported():
            again = self.complete(prompt)
            if again["imported_blocks"] > 0:
                return True
            for i in range(FILLERS):
                self.complete(f"filler {i} " + TEXT)
            return False

        self.cluster.wait_until(is_imported, "the prompt is imported", timeout=60)

    def test_a_full_store_is_freed(self):
        for i in range(14):
            self.complete(f"many {i} " + TEXT)
            self.assertLessEqual(sum(block["bytes"] for block in self.blocks_in_store()), STORE_BYTES)
        freed_blocks = lambda: sum(  # noqa: E731
            metric(
                cluster.http("GET", f"http://{cluster.LOOPBACK}:{entry['steward_port']}/metrics")[1],
                'evictions_total{result="freed"}',
            )
            for entry in self.cluster.description["entries"]
        )
        self.cluster.wait_until(lambda: freed_blocks() > 0, "blocks are freed", timeout=60)
        self.cluster.wait_until(
            lambda: sum(block["bytes"] for block in self.blocks_in_store()) < 0.95 * STORE_BYTES, "the store has room"
        )

    def test_a_caller_that_leaves_with_its_answer_has_not_given_up(self):
        def send_prompts(caller):
            for number in range(SHORT_RUNS):
                self.complete(f"short {caller} {number}")

        callers = [threading.Thread(target=send_prompts, args=(caller,)) for caller in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        # A run whose caller counts as gone would not be reported to the steward.
        self.assertEqual(metric(cluster.http("GET", self.entry()["http"] + "/metrics")[1], "callers_gone_total"), 0)

    def test_reports_without_the_secret_are_refused(self):
        self.assertEqual(self.steward("/internal/runs", {"runs": []}, secret="wrong")[0], 401)
        self.assertEqual(self.steward("/internal/runs", {"runs": 7})[0], 400)
        self.assertEqual(self.steward("/internal/runs", b"{")[0], 400)
        self.assertEqual(self.steward("/internal/runs", {"runs": [{"workspace": "x"}]})[0], 400)
        self.assertEqual(self.steward("/internal/runs", {"runs": []})[0], 202)
        self.assertEqual(self.steward("/healthz")[0], 200)


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BINARIES = sys.argv.pop(1)
    unittest.main(verbosity=2)
