"""A small stand-in of the platform's metadata store: items, leases, watches, conditional writes."""

import base64
import http.server
import json
import socketserver
import threading
import time
import urllib.parse

READ_ONLY_PREFIXES = ("op/", "servers/")


class Store:
    """Holds the items; the HTTP side is Handler. All times are in seconds of the monotonic clock."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 70000
        self.stopped = False
        self.cuts = 0
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes an item without a condition, as the operator and the servers do."""
        with self.changed:
            self.revision += 1
            self.write(key, base64.b64encode(value.encode()).decode(), lease, self.revision)
            self.changed.notify_all()
            return self.revision

    def remove(self, key):
        """Removes an item if it exists."""
        with self.changed:
            if key in self.items:
                self.revision += 1
                self.delete(key, self.revision)
                self.changed.notify_all()

    def write(self, key, value, lease, revision):
        created = self.items[key]["created"] if key in self.items else revision
        item = {"key": key, "value": value, "revision": revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key, revision):
        del self.items[key]
        self.events.append({"key": key, "revision": revision, "deleted": True})

    def end_lease(self, lease):
        """Ends a lease with its keys; the caller holds the lock."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key, self.revision)
            self.changed.notify_all()
        return True

    def expire_leases(self):
        while not self.stopped:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                for lease in [one for one, (_, end) in self.leases.items() if end <= now]:
                    self.end_lease(lease)

    def list(self, prefix, after):
        with self.changed:
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return {"items": page, "has-more": len(keys) > 500, "as-of": self.revision}

    def cut_watches(self):
        """Cuts the watches that are waiting."""
        with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    def watch(self, prefix, after, wait_s):
        """Returns the changes, or None if the watch is cut."""
        end = time.monotonic() + wait_s
        with self.changed:
            cuts = self.cuts
            while not self.stopped:
                found = [one for one in self.events if one["revision"] > after and one["key"].startswith(prefix)]
                left = end - time.monotonic()
                if cuts != self.cuts:
                    return None
                if found or left <= 0:
                    return {"events": found, "as-of": self.revision}
                self.changed.wait(left)
        return {"events": [], "as-of": after}

    def commit(self, body):
        with self.changed:
            now = {row["key"]: self.items.get(row["key"]) for row in body.get("precondition", [])}
            for row in body.get("precondition", []):
                item = now[row["key"]]
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item for item in now.values() if item]}
            keys = [put["key"] for put in body.get("puts", [])] + list(body.get("remove", []))
            if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
                return 403, {}
            if any(put.get("lease") and put["lease"] not in self.leases for put in body.get("puts", [])):
                return 404, {}
            self.revision += 1
            for put in body.get("puts", []):
                self.write(put["key"], put["value"], put.get("lease", 0), self.revision)
            for key in body.get("remove", []):
                if key in self.items:
                    self.delete(key, self.revision)
            self.changed.notify_all()
            return 200, {"revision": self.revision}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def read_json(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        store = self.server.store
        if url.path == "/-/kv-range":
            self.reply(200, store.list(query.get("prefix", ""), query.get("after", "")))
        elif url.path == "/-/kv-watch":
            wait = min(30.0, int(query.get("wait-ms", "0")) / 1000)
            changes = store.watch(query.get("prefix", ""), int(query.get("after", "0")), wait)
            if changes is None:
                self.close_connection = True
            else:
                self.reply(200, changes)
        else:
            self.reply(404, {})

    def do_POST(self):
        body = self.read_json()
        store = self.server.store
        if self.path == "/-/kv-txn":
            self.reply(*store.commit(body))
        elif self.path == "/-/kv-lease":
            with store.changed:
                store.next_lease += 1
                lease = store.next_lease
                store.leases[lease] = (body["ttl-ms"] / 1000, time.monotonic() + body["ttl-ms"] / 1000)
            self.reply(200, {"lease": lease, "ttl-ms": body["ttl-ms"]})
        elif self.path.startswith("/-/kv-keep/"):
            lease = int(self.path.rsplit("/", 1)[1])
            with store.changed:
                found = lease in store.leases
                if found:
                    ttl = store.leases[lease][0]
                    store.leases[lease] = (ttl, time.monotonic() + ttl)
            self.reply(200 if found else 404, {"ttl-ms": int(ttl * 1000)} if found else {})
        else:
            self.reply(404, {})

    def do_DELETE(self):
        if self.path.startswith("/-/kv-lease-end/"):
            with self.server.store.changed:
                found = self.server.store.end_lease(int(self.path.rsplit("/", 1)[1]))
            self.reply(200 if found else 404, {})
        else:
            self.reply(404, {})


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        # The system may close a connection at any time.
        pass


def serve(address):
    """Starts the store on a free port of a loopback address; returns the store and its address."""
    server = Server((address, 0), Handler)
    server.store = Store()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.store, f"{address}:{server.server_address[1]}"
