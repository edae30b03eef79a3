#!/usr/bin/env python3
"""Tests a cluster under faults of its stores and of its rollouts; the checks use the stand-ins' records."""

import itertools
import json
import os
import random
import sys
import tempfile
import threading
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "support"))

import cluster  # noqa: E402
import faults  # noqa: E402

BINARIES = os.path.join(ROOT, "build", "bin")
SEED = int(os.environ.get("LYCHEEPLANK_TEST_SEED", "1"))
BLOCK_TOKENS = 500
BLOCKS = 5
BLOCK_BYTES = 500_000
TOKENS = 4
TEXT = "outline of a nursing course, week by week. " * 240
WORKSPACES = ("co-operative", "authority")
# Time limit for waits; it is generous, because no check depends on it.
TIMEOUT_S = 60.0
# With this factor, five blocks take 12 s over the link.
LINK_SLOWDOWN_FACTOR = 500
# Longer than the lease of 15 s.
LONG_OUTAGE_S = 20.0
ROLLOUT_LIMIT_S = 150.0
MAX_LOADING = 2
# Number of hosts whose directory records the stores of a prompt.
DIRECTORY_REPLICAS = 2
# Polls for the effect of a run before its prompt is run again.
MAX_POLLS = 30
POLL_S = 0.1


def is_reading(store):
    """Returns whether a store's link has a transfer in progress."""
    return json.loads(cluster.http("GET", store["http"] + "/v1/load")[1])["link_backlog_bytes"] > 0


class Readers:
    """Threads that send random prompts through random entry hosts until stopped."""

    def __init__(self, case, prompts, count=4):
        self.case = case
        self.prompts = prompts
        self.results = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._work, args=(i,)) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def _work(self, reader):
        choice = random.Random(f"{SEED} {self.case.id()} {reader}")
        while not self.stopping.is_set():
            prompt = choice.choice(self.prompts)
            workspace = choice.choice(WORKSPACES)
            self.results.append(self.case.ask(prompt, workspace, choice.randrange(len(self.case.entries()))))

    def wait_more(self, count):
        """Waits until a number of further prompts have been answered."""
        goal = len(self.results) + count
        self.case.wait(lambda: len(self.results) >= goal, f"{count} more prompts are answered")

    def stop(self):
        """Stops the threads and waits for their last answers; returns all results."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.results


class StoreCase(unittest.TestCase):
    """Starts one cluster per test."""

    OPTIONS = {}

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        options = {
            "block_tokens": BLOCK_TOKENS,
            "cache_blocks": 20,
            "token_ms": 2.0,
            "report_lag_ms": 0.0,
            "policy": "always-import",
            **self.OPTIONS,
        }
        self.cluster = cluster.Cluster(cluster.Options(directory=self.folder.name, binaries=BINARIES, **options))
        self.records = faults.Records(self.cluster)
        self.fillers = itertools.count()
        self.addCleanup(self.cluster.stop)
        self.cluster.start()

    def wait(self, condition, what, limit_s=TIMEOUT_S):
        """Waits until a condition holds."""
        self.cluster.wait_until(condition, what, limit_s)

    def entries(self):
        """Returns the rows of the entry hosts."""
        return self.cluster.description["entries"]

    def stores(self):
        """Returns the rows of the stores."""
        return self.cluster.description["stores"]

    def engines(self):
        """Returns the rows of the engines."""
        return faults.targets(self.cluster, "engine")

    def ask(self, prompt, workspace="co-operative", host=0):
        """Reads one completion to its end."""
        return faults.StreamReader(self.cluster, workspace, prompt, TOKENS, host).join()

    def ask_complete(self, prompt, workspace="co-operative", host=0):
        """Reads one completion and asserts that it is complete."""
        result = self.ask(prompt, workspace, host)
        self.assertEqual(result.end, "done", result)
        return result

    def export(self, prompt, workspace="co-operative", host=0):
        """Sends a prompt until its blocks are in a store; a run whose blocks may soon be evicted is not exported."""
        goal = len(self.stored_keys()) + BLOCKS

        def is_exported():
            self.ask_complete(prompt, workspace, host)
            for _ in range(MAX_POLLS):
                if len(self.stored_keys()) >= goal:
                    return True
                threading.Event().wait(POLL_S)
            return False

        self.wait(is_exported, "the prompt is exported")

    def stored_keys(self):
        """Returns the keys of all blocks in stores."""
        return {row["key"] for store in self.stores() for row in self.contents(store)}

    def texts(self, prompts, versions=("v1",)):
        """Returns the reference texts of prompts from all engines, which must be serving one of the versions."""
        found = {prompt: set() for prompt in prompts}
        for engine in self.engines():
            for number, prompt in enumerate(prompts):
                name = f"reference-{'-'.join(versions)}-{engine['name']}-{number}"
                version, text = faults.reference_text(engine["http"], prompt, TOKENS, name)
                self.assertIn(version, versions)
                found[prompt].add(text)
        return found

    def evict_all(self):
        """Evicts all blocks from the engines' caches by prompts that bypass the entry hosts."""
        for engine in self.engines():
            for _ in range(5):
                name = f"filler-{engine['name']}-{next(self.fillers)}"
                faults.reference_text(engine["http"], f"{name} {TEXT}", 1, name)

    def runs(self):
        """Returns the records of the engines' runs, without reference runs."""
        return [run for run in self.records.rows("engine") if run["cache_salt"] != faults.REFERENCE_SALT]

    def imports(self, fault=None):
        """Returns the engines' import records, or only those with the given fault; an empty fault means success."""
        rows = [row for engine in self.engines() for row in faults.record(engine)["imports"]]
        return rows if fault is None else [row for row in rows if row["fault"] == fault]

    def blocks(self, call, refusal=None, stores=None):
        """Returns the stores' recorded calls of a kind, or only those with a refusal; an empty one means success."""
        rows = [row for store in stores or self.stores() for row in faults.record(store)["blocks"]]
        return [row for row in rows if row["call"] == call and refusal in (None, row["refusal"])]

    def contents(self, store):
        """Returns all blocks of a store with their payloads."""
        return json.loads(cluster.http("GET", store["http"] + "/contents")[1])["blocks"]

    def steward_metric(self, name):
        """Returns the sum of a counter over all stewards."""
        urls = [f"http://{cluster.LOOPBACK}:{entry['steward_port']}" for entry in self.entries()]
        return sum(faults.metric(url, name) for url in urls)

    def exports_are_reported(self):
        """Returns whether the stewards have reported all exported blocks to the entry hosts."""
        blocks = self.steward_metric("exported_bytes_total") / BLOCK_BYTES
        return self.steward_metric("told_sightings_total") >= blocks > 0

    def store_rows(self, name):
        """Returns the row of a store from the admin API of each entry host."""
        found = []
        for index in range(len(self.entries())):
            found += [row for row in self.cluster.admin("stores", index)["stores"] if row["name"] == name]
        return found

    def check_runs(self, results, texts, blocks, contents=()):
        """Asserts that all answers are complete and correct and that all used blocks were valid."""
        runs = self.runs()
        found = faults.check_streams(results, texts) + faults.check_blocks(runs)
        found += faults.check_generations(runs, blocks, contents)
        found += [f"not whole: {result}" for result in results if result.end != "done"]
        self.assertEqual(found, [], "\n".join(found))


class LostStoreTest(StoreCase):
    """Killing a store under load may delay answers, but never makes them wrong or incomplete."""

    OPTIONS = {"engines": 2, "services": 1, "stores": 2}
    PROMPTS = [f"course {i} {TEXT}" for i in range(8)]

    def setUp(self):
        super().setUp()
        self.expected = self.texts(self.PROMPTS)
        for number, prompt in enumerate(self.PROMPTS):
            for workspace in WORKSPACES:
                self.export(prompt, workspace, number)
        self.victim = max(self.stores(), key=lambda store: len(self.blocks("commit", "", [store])))
        self.commits_before_kill = []
        self.readers = Readers(self, self.PROMPTS)
        self.addCleanup(self.readers.stop)
        self.wait(lambda: self.blocks("read", "", [self.victim]), "blocks are imported")

    def kill_while_reading(self):
        """Kills the store with the most blocks while blocks are read from it; returns its earlier contents."""
        faults.set_fault(self.victim["http"], "slow", factor=20)
        before = self.contents(self.victim)
        self.wait(lambda: is_reading(self.victim), "blocks are on the link")
        # The record cannot be read while the store is suspended, so later commits are taken from its contents.
        self.commits_before_kill += self.blocks("commit", "", [self.victim])
        held = self.contents(self.victim)
        self.commits_before_kill += [{**row, "call": "commit", "refusal": ""} for row in held]
        faults.kill_process(self.victim["pid"])
        self.wait(lambda: self.imports("transfer"), "an import fails because its store is lost")
        return before

    def wait_status(self, status):
        """Waits until all entry hosts report the given status of the victim."""
        self.wait(
            lambda: all(row["status"] == status for row in self.store_rows(self.victim["name"])),
            f"all hosts report that the store is {status}",
        )

    def test_store_killed_and_started_empty(self):
        self.kill_while_reading()
        self.wait_status("unreachable")
        self.wait(
            lambda: all(row["known_blocks"] == 0 for row in self.store_rows(self.victim["name"])),
            "the directory has no blocks of the dead store",
        )
        # Waits until the runs that were placed earlier have ended.
        self.readers.wait_more(2 * len(self.readers.threads))
        lost = len(self.imports("transfer"))
        self.readers.wait_more(20)
        self.assertEqual(len(self.imports("transfer")), lost, "imports are still ordered from the dead store")
        faults.restart_store(self.cluster, self.victim)
        self.wait_status("serving")
        self.wait(lambda: self.blocks("commit", "", [self.victim]), "blocks are exported to the store again")
        self.wait(lambda: self.blocks("read", "", [self.victim]), "blocks are imported from the store again")
        self.check_runs(self.readers.stop(), self.expected, self.commits_before_kill + self.blocks("commit"))
        committed = {(row["key"], row["generation"]) for row in self.blocks("commit", "", [self.victim])}
        stale = [
            row
            for row in self.blocks("read", "generation", [self.victim])
            if (row["key"], row["generation"]) not in committed
        ]
        self.assertEqual(stale, [], "blocks of the dead store were asked for again")

    def test_store_killed_and_started_at_once(self):
        self.kill_while_reading()
        faults.restart_store(self.cluster, self.victim)
        self.wait(lambda: self.blocks("commit", "", [self.victim]), "blocks are exported to the store again")
        self.wait(lambda: self.blocks("read", "", [self.victim]), "blocks are imported from the store again")
        self.check_runs(self.readers.stop(), self.expected, self.commits_before_kill + self.blocks("commit"))

    def test_store_killed_and_started_with_stale_contents(self):
        old = self.contents(self.victim)
        path = os.path.join(self.folder.name, "contents.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"blocks": old}, file)
        # Half of the blocks in the old contents are freed and written again with new generations.
        for row in old[::2]:
            url = f"{self.victim['http']}/v1/blocks/{row['key']}?generation={row['generation']}"
            self.wait(lambda u=url: cluster.http("DELETE", u)[0] in (200, 409), "the block is freed")
        freed = {row["key"] for row in old[::2]}
        self.wait(
            lambda: {row["key"] for row in self.blocks("commit", "", self.stores())[len(old):]} & freed
            and any(row["key"] in freed for row in self.contents(self.victim)),
            "freed blocks are exported again",
        )
        self.kill_while_reading()
        # One engine meanwhile loads another weight version, for which the restored blocks are not valid.
        faults.load_weights(self.cluster, self.engines()[1]["name"], "v2", 1)
        faults.restart_store(self.cluster, self.victim, path)
        self.wait_status("serving")
        self.wait(lambda: self.blocks("read", "", [self.victim]), "blocks are imported from the store again")
        self.check_runs(self.readers.stop(), self.expected, self.commits_before_kill + self.blocks("commit"), old)


class ImportCase(StoreCase):
    """Provides an import that takes several seconds."""

    PROMPT = "returning " + TEXT

    def start_slow_import(self):
        """Exports a prompt, evicts it from the engines and starts a run that imports it slowly; returns its reader."""
        self.export(self.PROMPT)
        self.wait(self.exports_are_reported, "the exports are reported to the hosts")
        self.wait(self.try_start_import, "the import is in progress")
        return self.reader

    def try_start_import(self):
        """Starts a run of the prompt; returns whether it imports blocks.

        It may not, because entry hosts receive evictions with a delay.
        """
        store = self.stores()[0]
        faults.set_fault(store["http"], "none")
        self.evict_all()
        faults.set_fault(store["http"], "slow", factor=LINK_SLOWDOWN_FACTOR)
        self.reader = faults.StreamReader(self.cluster, "co-operative", self.PROMPT, TOKENS, 0)
        self.addCleanup(self.reader.join)
        while self.reader.thread.is_alive():
            if is_reading(store):
                return True
        return False

    def importing_engine(self):
        """Returns an engine that has a run in progress, or None."""
        for engine in self.engines():
            if json.loads(cluster.http("GET", engine["http"] + "/v1/load")[1])["running"]:
                return engine
        return None


class StraddlingImportTest(ImportCase):
    """Blocks whose import is in progress during a change of weights are not used under the new version."""

    OPTIONS = {"engines": 2, "entries": 2, "services": 1, "stores": 1}

    def test_import_that_straddles_a_swap_of_weights(self):
        reader = self.start_slow_import()
        self.wait(self.importing_engine, "an engine shows its run")
        engine = self.importing_engine()
        faults.load_weights(self.cluster, engine["name"], "v2", 1)
        faults.set_fault(self.stores()[0]["http"], "none")
        result = reader.join()
        self.assertEqual(faults.check_blocks(self.runs()), [])
        self.assertEqual(result.end, "done", result)
        # The blocks arrived after the change of weights and were rejected.
        straddled = [row for row in faults.record(engine)["imports"] if row["fault"] == "scope"]
        self.assertTrue(straddled)
        self.assertEqual(self.straddled_runs(engine, straddled), [])
        others = [row for row in self.engines() if row is not engine]
        texts = {self.PROMPT: {faults.reference_text(others[0]["http"], self.PROMPT, TOKENS, "whole")[1]}}
        self.check_runs([result], texts, self.blocks("commit"))

    @staticmethod
    def straddled_runs(engine, straddled):
        """Returns the runs of an engine that used a block whose import straddled a change of weights."""
        ids = {row["run_id"] for row in straddled}
        keys = {row["key"] for row in straddled}
        runs = [run for run in faults.record(engine)["runs"] if run["run_id"] in ids]
        return [run for run in runs if keys & {block["key"] for block in run["blocks"]}]

    def test_imports_that_straddle_a_rollout(self):
        texts = self.texts([self.PROMPT])
        config = self.cluster.admin("config")
        text = next(section["text"] for section in config["sections"] if section["name"] == "models")
        both = text.replace("versions: {v1: 1.0}", "versions: {v1: 0.5, v2: 0.5}")
        self.assertEqual(self.cluster.edit([{"name": "models", "text": both}], config["revision"])[0], 200)
        reader = self.start_slow_import()
        command = [os.path.join(BINARIES, "lycheeplank"), "rollout", "start", cluster.MODEL, "v2"]
        started = self.cluster.start_process(
            "rollout",
            command,
            {
                "LYCHEEPLANK_ENTRIES": self.entries()[0]["http"],
                "LYCHEEPLANK_OPERATOR_KEY": self.cluster.operator_key,
            },
        )
        self.assertEqual(started.wait(), 0)
        self.wait(lambda: {self.version(engine) for engine in self.engines()} == {"v2"}, "the rollout is done")
        faults.set_fault(self.stores()[0]["http"], "none")
        result = reader.join()
        self.assertEqual(faults.check_blocks(self.runs()), [])
        self.assertTrue(self.imports("scope"), self.imports())
        texts[self.PROMPT] |= self.texts([self.PROMPT], ("v2",))[self.PROMPT]
        self.assertIn(result.end, ("done", "refused"), result)
        self.assertEqual(faults.check_streams([result], texts), [])

    @staticmethod
    def version(engine):
        """Returns the weight version that an engine serves."""
        return json.loads(cluster.http("GET", engine["http"] + "/v1/orders")[1])["weight_version"]


class PinnedBlockTest(ImportCase):
    """Blocks that an import is reading are not evicted from a full store."""

    # Five blocks fill 94 % of the store, so that eviction starts only when another block is added.
    OPTIONS = {
        "engines": 1, "entries": 2, "services": 1, "stores": 1, "memory_bytes": 2_600_000, "disk_bytes": 50_000
    }

    def test_eviction_of_blocks_that_an_import_reads(self):
        reader = self.start_slow_import()
        store = self.stores()[0]
        begun = {"bytes": 80_000, "checksum": "0" * 64, "root": "0" * 32}
        self.assertEqual(cluster.http("POST", f"{store['http']}/v1/blocks/{'f' * 32}/begin", begun)[0], 200)
        self.wait(lambda: self.blocks("free", "pinned"), "a steward tries to free a block that is being read")
        result = reader.join()
        self.assertEqual(result.end, "done", result)
        run = self.runs()[-1]
        self.assertEqual(run["imported_blocks"], BLOCKS, run)
        self.assertEqual(self.imports("generation"), [])
        self.assertGreater(self.steward_metric('evictions_total{result="pinned"}'), 0)
        texts = self.texts([self.PROMPT])
        self.check_runs([result], texts, self.blocks("commit"))
        self.wait(lambda: self.blocks("free", ""), "blocks are freed after the import has ended")


class FullStoreTest(StoreCase):
    """A store that rejects all new blocks causes no failed answers and is used again once it has room."""

    OPTIONS = {"engines": 1, "entries": 2, "services": 1, "stores": 1}
    PROMPTS = [f"full {i} {TEXT}" for i in range(6)]

    def test_store_that_refuses_all_blocks(self):
        expected = self.texts(self.PROMPTS)
        store = self.stores()[0]
        faults.set_fault(store["http"], "full")
        results = [self.ask_complete(prompt, host=number % 2) for number, prompt in enumerate(2 * self.PROMPTS)]
        self.wait(lambda: self.steward_metric('exports_total{result="failed"}') > 0, "an export fails")
        self.assertEqual(self.blocks("commit"), [])
        self.assertEqual(self.imports(), [])
        faults.set_fault(store["http"], "none")

        def is_imported():
            results.extend(self.ask_complete(prompt) for prompt in self.PROMPTS)
            return self.imports("")

        self.wait(is_imported, "blocks are exported and imported again", 2 * TIMEOUT_S)
        self.check_runs(results, expected, self.blocks("commit"))


class ExportedOnceTest(StoreCase):
    """A block that one host has exported is not exported again by another host."""

    OPTIONS = {"engines": 2, "entries": 3, "services": 1, "stores": 2, "cache_blocks": 40}
    PROMPTS = [f"once {i} {TEXT}" for i in range(6)]

    def test_prompts_that_return_through_all_hosts(self):
        for prompt in self.PROMPTS:
            self.export(prompt)
            self.wait(self.is_settled, "no export is in progress")
            for number in range(1, len(self.entries())):
                self.ask_until_reported(prompt, number)
                self.wait(self.is_settled, "no export is in progress")
        rows = self.blocks("commit", "")
        again = len(rows) - len({row["key"] for row in rows})
        print(f"exported {sum(row['bytes'] for row in rows)} bytes, of which {again * BLOCK_BYTES} were exported before")
        self.assertEqual(again, 0, "blocks were exported again")

    def ask_until_reported(self, prompt, host):
        """Sends a prompt until the steward of the host has received a report of a run, since a report may be lost."""
        url = f"http://{cluster.LOOPBACK}:{self.entries()[host]['steward_port']}"
        before = faults.metric(url, "reported_runs_total")

        def is_reported():
            self.ask_complete(prompt, host=host)
            for _ in range(MAX_POLLS):
                if faults.metric(url, "reported_runs_total") > before:
                    return True
                threading.Event().wait(POLL_S)
            return False

        self.wait(is_reported, "the steward receives a report of a run")

    def is_settled(self):
        """Returns whether all exports are complete and recorded by all directory replicas."""
        exported = self.steward_metric("exported_bytes_total")
        committed = sum(row["bytes"] for row in self.blocks("commit", ""))
        known = sum(row["known_blocks"] for store in self.stores() for row in self.store_rows(store["name"]))
        return exported == committed and known == DIRECTORY_REPLICAS * len(self.stored_keys())


class RolloutFaultsTest(StoreCase):
    """A rollout under platform faults never exceeds the limit of concurrent loads and ends at the requested version."""

    OPTIONS = {
        "engines": 8, "entries": 3, "services": 1, "stores": 1, "own_weights": True, "weights_ms": 1500.0
    }

    def setUp(self):
        super().setUp()
        self.random = random.Random(f"{SEED} {self.id()}")
        self.wait(lambda: len(self.owners()) == 4, "all partitions have owners")

    def platform(self, method, key, body=None):
        """Calls the platform's key-value service."""
        return cluster.http(method, f"{self.cluster.description['platform']['http']}/v1/kv?key={key}", body)

    def owners(self):
        """Returns the owner of each partition that has one."""
        answers = [self.platform("GET", f"rollout-owners/{index}") for index in range(4)]
        return [body.split()[0] for status, body in answers if status == 200]

    def start_rollout(self, version):
        """Writes the record that starts a rollout and waits until an engine loads the version."""
        record = {
            "model": cluster.MODEL, "version": version, "state": "running", "done": 0, "total": 0, "detail": ""
        }
        self.assertEqual(self.platform("PUT", "rollouts/" + cluster.MODEL, record)[0], 200)
        self.wait(lambda: self.loads(version), f"{version} is loaded by an engine")

    def state(self):
        """Returns the record of the rollout."""
        return json.loads(self.platform("GET", "rollouts/" + cluster.MODEL)[1])

    def loads(self, version):
        """Returns the recorded loads of a version at all engines."""
        return [load for engine in self.engines() for load in faults.record(engine)["loads"] if load["version"] == version]

    def wait_done(self, version):
        """Waits until the rollout is done, clears the platform's fault and checks the engines' records."""
        self.wait(lambda: self.state()["state"] != "running", "the rollout ends", ROLLOUT_LIMIT_S)
        self.set_platform_fault("none")
        self.assertEqual(self.state()["state"], "done", self.state())
        self.check_engines(version)

    def check_engines(self, version):
        """Asserts that fencing was respected, all engines serve the version and the load limit was kept."""
        records = {engine["name"]: faults.record(engine) for engine in self.engines()}
        found = []
        for name, record in records.items():
            found += faults.check_fences(name, record["orders"])
            last = record["loads"][-1]
            if last["version"] != version or not last["ok"]:
                found.append(f"{name} ended with {last}")
        self.assertEqual(found, [], "\n".join(found))
        peak = faults.max_concurrent_loads(records.values())
        self.assertLessEqual(peak, MAX_LOADING)
        self.assertGreater(peak, 0)

    def steward_pids(self):
        """Returns the ids of the stewards that own a partition."""
        return [self.cluster.processes["steward-" + name].pid for name in sorted(set(self.owners()))]

    def set_platform_fault(self, name, **fields):
        """Injects a fault into the platform."""
        faults.set_fault(self.cluster.description["platform"]["http"], name, **fields)

    def pause(self, seconds):
        """Waits while a fault lasts; no check depends on the duration."""
        threading.Event().wait(seconds)

    def test_lost_replies_and_a_killed_owner(self):
        owner = self.random.choice(self.steward_pids())
        self.start_rollout("v2")
        self.set_platform_fault("lose_reply", count=40, match="/v1/")
        faults.kill_process(owner)
        self.wait_done("v2")

    def test_slow_platform_and_a_frozen_owner(self):
        frozen = self.steward_pids()
        self.start_rollout("v2")
        for pid in frozen[:2]:
            faults.suspend_process(pid)
        self.set_platform_fault("slow", ms=700)
        self.pause(LONG_OUTAGE_S)
        for pid in frozen[:2]:
            faults.resume_process(pid)
        self.wait_done("v2")
        self.start_rollout("v3")
        self.wait_done("v3")

    def test_platform_down_for_longer_than_a_lease(self):
        owner = self.random.choice(self.steward_pids())
        self.start_rollout("v2")
        self.set_platform_fault("down", ms=int(LONG_OUTAGE_S * 1000))
        faults.suspend_process(owner)
        self.pause(LONG_OUTAGE_S)
        faults.resume_process(owner)
        self.wait_done("v2")


class IgnoredFencingTest(RolloutFaultsTest):
    """Repeats the tests with engines that ignore fencing numbers, so that only time prevents stale orders."""

    OPTIONS = {**RolloutFaultsTest.OPTIONS, "ignore_fencing": True}


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BINARIES = sys.argv.pop(1)
    unittest.main(verbosity=2)
