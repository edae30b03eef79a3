#!/usr/bin/env python3
"""Tests the request path end to end, with entry hosts, targets and stores as separate processes."""

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
PROMPT = "outline of a nursing course, week by week. " * 1000


class ClusterTest(unittest.TestCase):
    """All tests of the class share one cluster."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.cluster = cluster.Cluster(cluster.Options(directory=cls.folder.name, binaries=BINARIES))
        try:
            cls.cluster.start()
        except Exception:
            cls.cluster.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.cluster.stop()
        cls.folder.cleanup()

    def url(self, index=0):
        return self.cluster.description["entries"][index]["http"]

    def headers(self, workspace="co-operative", **more):
        return {"Authorization": "Bearer " + self.cluster.keys[workspace], **more}

    def complete(self, body, index=0, headers=None):
        return cluster.http("POST", self.url(index) + "/v1/completions", body, headers or self.headers(), timeout=30)

    def call(self, name, body, key=None, index=0, workspace="co-operative"):
        headers = self.headers(workspace)
        if key:
            headers["Idempotency-Key"] = key
        return cluster.http("POST", self.url(index) + "/v1/services/registry/" + name, body, headers, timeout=30)

    def assert_problem(self, answer, status, kind):
        self.assertEqual(answer[0], status, answer)
        body = json.loads(answer[1])
        self.assertEqual(body["kind"], kind)
        self.assertEqual(body["run"], "no")
        self.assertTrue(body["remedy"])

    def executed_calls(self):
        rows = []
        for target in self.cluster.description["targets"]:
            if target["kind"] == "service":
                rows += json.loads(cluster.http("GET", target["http"] + "/executions")[1])["calls"]
        return rows

    def runs(self):
        rows = []
        for target in self.cluster.description["targets"]:
            if target["kind"] == "engine":
                rows += json.loads(cluster.http("GET", target["http"] + "/executions")[1])["runs"]
        return rows

    @staticmethod
    def stream_text(body):
        text = ""
        for line in body.splitlines():
            if line.startswith("data: {"):
                event = json.loads(line[6:])
                text += event["choices"][0]["text"]
        return text

    def test_streamed_and_whole_answers_agree(self):
        body = {"model": "wording", "prompt": PROMPT, "max_tokens": 20}
        status, whole = self.complete(body)
        self.assertEqual(status, 200, whole)
        status, stream = self.complete({**body, "stream": True}, index=1)
        self.assertEqual(status, 200, stream)
        self.assertTrue(stream.rstrip().endswith("data: [DONE]"))
        self.assertEqual(self.stream_text(stream), json.loads(whole)["choices"][0]["text"])

    def test_a_returning_prompt_uses_cached_blocks(self):
        body = {"model": "wording", "prompt": "returning " + PROMPT, "max_tokens": 2}
        self.assertEqual(self.complete(body)[0], 200)
        status, _ = self.complete(body, index=2)
        self.assertEqual(status, 200)
        prompt_tokens = (len(body["prompt"]) + 3) // 4
        rows = [run for run in self.runs() if run["prompt_tokens"] == prompt_tokens]
        self.assertTrue(any(run["cached_blocks"] > 0 for run in rows), rows)

    def test_resume_on_another_host_gives_the_rest(self):
        body = {"model": "wording", "prompt": "resumed " + PROMPT, "max_tokens": 30, "stream": True}
        _, whole = self.complete(body)
        ids = [line[4:] for line in whole.splitlines() if line.startswith("id: ")]
        status, rest = self.complete(body, index=2, headers=self.headers(**{"Last-Event-ID": ids[9]}))
        self.assertEqual(status, 200, rest)
        self.assertTrue(rest.rstrip().endswith("data: [DONE]"))
        head = "".join(whole.split("\n\n")[i] + "\n\n" for i in range(10))
        self.assertEqual(self.stream_text(head) + self.stream_text(rest), self.stream_text(whole))

    def test_a_resume_token_of_another_workspace_is_refused(self):
        body = {"model": "wording", "prompt": "short", "max_tokens": 3, "stream": True}
        _, whole = self.complete(body)
        token = [line[4:] for line in whole.splitlines() if line.startswith("id: ")][0]
        headers = self.headers("authority", **{"Last-Event-ID": token})
        self.assert_problem(self.complete(body, headers=headers), 400, "bad_resume_token")
        altered = token[:-1] + ("0" if token[-1] != "0" else "1")
        headers = self.headers(**{"Last-Event-ID": altered})
        self.assert_problem(self.complete(body, headers=headers), 400, "bad_resume_token")

    def test_an_issuance_runs_once_through_any_host(self):
        answers = []
        threads = [
            threading.Thread(target=lambda i=i: answers.append(self.call("issue", {"learner": 7}, "once-1", i % 3)))
            for i in range(9)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        rows = [row for row in self.executed_calls() if row["key"] == "once-1"]
        self.assertEqual(len(rows), 1, rows)
        for status, body in answers:
            self.assertIn(status, (200, 409), body)
        first = self.call("issue", {"learner": 7}, "once-1", 0)
        again = self.call("issue", {"learner": 7}, "once-1", 1)
        self.assertEqual(first, again)
        self.assertEqual(first[0], 200)

    def test_workspaces_keep_their_keys_apart(self):
        mine = self.call("issue", {"a": 1}, "shared-key")
        theirs = self.call("issue", {"a": 1}, "shared-key", workspace="authority")
        self.assertEqual((mine[0], theirs[0]), (200, 200))
        self.assertNotEqual(mine[1], "")
        rows = [row for row in self.executed_calls() if row["key"] == "shared-key"]
        self.assertEqual(len(rows), 2)

    def test_wrong_requests_get_clear_errors(self):
        body = {"model": "wording", "prompt": "x"}
        self.assert_problem(self.complete(b"{"), 400, "malformed_request")
        self.assert_problem(self.complete({"model": "wording"}), 400, "malformed_request")
        self.assert_problem(self.complete({**body, "max_tokens": 0}), 400, "malformed_request")
        self.assert_problem(self.complete({**body, "priority": "high"}), 400, "malformed_request")
        self.assert_problem(self.complete({**body, "model": "none"}), 404, "unknown_model")
        self.assert_problem(self.complete(body, headers={"X": "y"}), 401, "missing_key")
        self.assert_problem(self.complete(body, headers={"Authorization": "Bearer no"}), 401, "wrong_key")
        self.assert_problem(self.complete(body, headers=self.headers("visitor")), 403, "forbidden")
        self.assert_problem(self.complete({**body, "prompt": "x" * (5 << 20)}), 413, "body_too_large")
        self.assert_problem(self.call("issue", {}), 400, "idempotency_key_required")
        self.assert_problem(self.call("erase", {}), 404, "unknown_service")
        self.assert_problem(cluster.http("GET", self.url() + "/v2", headers=self.headers()), 404, "unknown_path")

    def test_a_key_used_for_another_call_is_refused(self):
        self.assertEqual(self.call("issue", {"a": 1}, "mismatch")[0], 200)
        self.assert_problem(self.call("issue", {"a": 2}, "mismatch"), 422, "idempotency_key_mismatch")

    def test_entries_are_named_with_a_time_to_live(self):
        status, body = cluster.http("GET", self.url() + "/v1/entries", headers=self.headers())
        self.assertEqual(status, 200)
        answer = json.loads(body)
        self.assertGreater(answer["ttl_ms"], 0)
        self.assertTrue(answer["entries"])

    def test_metrics_count_refusals_by_kind(self):
        self.complete({"model": "none", "prompt": "x"})
        _, text = cluster.http("GET", self.url() + "/metrics")
        self.assertIn('lycheeplank_refusals_total{kind="unknown_model"}', text)

    def admin_request(self, method, path, body=None):
        headers = {"Authorization": "Bearer " + self.cluster.operator_key}
        return cluster.http(method, self.url() + "/v1/admin/" + path, body, headers)

    def test_a_rollout_needs_a_configured_version(self):
        self.assert_problem(self.admin_request("POST", "rollouts", {"model": "wording", "version": "v9"}), 404, "not_found")
        self.assert_problem(self.admin_request("POST", "rollouts", {"model": "none", "version": "v1"}), 404, "unknown_model")

    def test_a_request_is_explained_to_operators(self):
        status, body = self.complete({"model": "wording", "prompt": "explained", "max_tokens": 2})
        self.assertEqual(status, 200)
        name = json.loads(body)["id"]
        self.wait_last_event(name)
        status, text = self.admin_request("GET", "requests/" + name)
        self.assertEqual(status, 200, text)
        trace = json.loads(text)
        self.assertEqual((trace["workspace"], trace["kind"]), ("co-operative", "completion"))
        self.assertEqual([event["what"] for event in trace["events"]], ["placed", "started", "attempt_ended"])

    def test_a_caller_with_its_whole_answer_is_not_gone(self):
        last_events = []
        for number in range(100):
            status, body = self.complete({"model": "wording", "prompt": f"whole {number}", "max_tokens": 1})
            self.assertEqual(status, 200)
            last_events.append(self.wait_last_event(json.loads(body)["id"]))
        self.assertEqual(last_events, ["attempt_ended"] * len(last_events))

    def wait_last_event(self, name):
        """Waits until a request has ended; returns the name of its last trace event."""
        events = []

        def has_ended():
            _, text = self.admin_request("GET", "requests/" + name)
            events[:] = [event["what"] for event in json.loads(text)["events"]]
            return events[-1] in ("attempt_ended", "caller_gone")

        self.cluster.wait_until(has_ended, "the request has ended")
        return events[-1]

    def test_an_edit_is_in_force_on_all_hosts(self):
        before = self.cluster.admin("config")
        rules = [section for section in before["sections"] if section["name"] == "limits"][0]
        edited = rules["text"].replace("0.1", "0.2")
        status, body = self.cluster.edit([{"name": "limits", "text": edited}], before["revision"], 1)
        self.assertEqual(status, 200, body)
        revision = json.loads(body)["revision"]
        for index in range(3):
            self.cluster.wait_until(
                lambda i=index: self.cluster.admin("config", i)["revision"] >= revision, "the edit is in force on all hosts"
            )
        status, body = self.cluster.edit([{"name": "limits", "text": rules["text"]}], before["revision"], 2)
        self.assertEqual(status, 409, body)


if __name__ == "__main__":
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        BINARIES = sys.argv.pop(1)
    unittest.main(verbosity=2)
