"""A stand-in server. Its only argument is a JSON object: id, address, port, runs (file of its record), began
(start of the record's clock), kind and what the kind needs.

kind "engine": streams tokens; memory in tokens, prefill_per_ms, token_ms, events.
kind "summary": answers while it reads the body, without a length, and ends the answer with the connection;
  first_bytes (of the body that it reads before it answers), pause_s (in which it reads nothing), parts.
kind "call": answers after work_ms.
kind "file": answers with a length; the request's id is the size of the answer in KB.
"""

import json
import os
import socket
import sys
import threading
import time


class Server:
    def __init__(self, options):
        self.options = options
        self.room = threading.Condition()
        self.free = options.get("memory", 0)
        self.written = threading.Lock()
        # Cached parts: the tenant whose request made them, by salt and ids of the part and of all before it.
        self.parts = {}

    def note(self, text):
        """Appends a line to the record at once, so that it outlasts the process."""
        line = f"{time.monotonic() - self.options['began']:8.3f} s  {text}\n"
        with self.written:
            handle = os.open(self.options["runs"], os.O_WRONLY | os.O_APPEND)
            os.write(handle, line.encode())
            os.close(handle)

    def serve(self):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if "receive_buffer" in self.options:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.options["receive_buffer"])
        if "segment" in self.options:
            # Segments of an ordinary network; those of loopback are 45 times as large.
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.options["segment"])
        listener.bind((self.options["address"], self.options["port"]))
        listener.listen(128)
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.talk, args=(connection,), daemon=True).start()

    def talk(self, connection):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    got = connection.recv(65536)
                    if not got:
                        return
                    data += got
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
                if fields.get("x-expect-instance", self.options["id"]) != self.options["id"]:
                    connection.sendall(self.head("421 Misdirected Request", fields, "Content-Length: 0"))
                    continue
                data = getattr(self, self.options["kind"])(connection, fields, data)
                if data is None:
                    return
        except OSError:
            return
        finally:
            connection.close()

    def head(self, status, fields, *more):
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {fields.get('x-request-id', '')}"]
        lines += [f"X-Instance-Id: {self.options['id']}"]
        if status.startswith("200"):
            lines.append(f"X-Server-Stamp: stamp.{self.options['id']}")
        return ("\r\n".join(lines + list(more)) + "\r\n\r\n").encode()

    def read_body(self, connection, fields, data):
        """Returns the body and the bytes behind it."""
        length = int(fields.get("content-length", "0"))
        while len(data) < length:
            got = connection.recv(65536)
            if not got:
                raise OSError("cut")
            data += got
        return data[:length], data[length:]

    def engine(self, connection, fields, data):
        _, data = self.read_body(connection, fields, data)
        request = fields["x-request-id"]
        prompt, output = (int(one) for one in fields["x-token-count"].split(","))
        needs = prompt + output
        self.note(f"{request} arrives")
        if needs > self.options["memory"]:
            connection.sendall(self.head("503 Service Unavailable", fields, "X-Not-Run: 1", "Content-Length: 0"))
            return data
        with self.room:
            while self.free < needs:
                self.room.wait(0.01)
                if is_closed(connection):
                    self.note(f"{request} is dropped before it runs: its connection is closed")
                    return None
            self.free -= needs
        try:
            return self.stream(connection, fields, data, request, prompt)
        finally:
            with self.room:
                self.free += needs
                self.room.notify_all()

    def use_parts(self, request, fields):
        """Finds the parts of a prompt that are cached under its salt, and keeps the others."""
        salt = fields.get("x-cache-salt", "")
        tenant = fields.get("x-tenant", "")
        prefix = ()
        is_cached = True
        for entry in fields.get("x-prompt-prefix", "").split(","):
            prefix += (entry.split(":")[0],)
            is_cached = is_cached and (salt, prefix) in self.parts
            if is_cached:
                maker, maker_request = self.parts[salt, prefix]
                self.note(f"{request} of {tenant} USES part {prefix[-1]} made by {maker_request} of {maker}; salt {salt}")
            else:
                self.parts[salt, prefix] = (tenant, request)

    def stream(self, connection, fields, data, request, prompt):
        end = time.monotonic() + prompt / self.options["prefill_per_ms"] / 1000
        while time.monotonic() < end:
            if is_closed(connection):
                self.note(f"{request} is dropped before its first token: its connection is closed")
                return None
            time.sleep(0.005)
        self.note(f"{request} RUNS: first token")
        self.use_parts(request, fields)
        head = self.head(
            "200 OK",
            fields,
            "Content-Type: text/event-stream",
            "X-Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        )
        connection.sendall(head)
        for number in range(1, self.options["events"] + 1):
            event = f"id: {number}\ndata: {request} token {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if is_closed(connection):
                self.note(f"{request} is dropped after token {number}: its connection is closed")
                return None
            time.sleep(self.options["token_ms"] / 1000)
        connection.sendall(b"0\r\n\r\n")
        self.note(f"{request} ends after {self.options['events']} tokens")
        return data

    def summary(self, connection, fields, data):
        length = int(fields["content-length"])
        while len(data) < self.options["first_bytes"]:
            got = connection.recv(16384)
            if not got:
                return None
            data += got
        request = fields["x-request-id"]
        parts = [f"part {number} of the answer to {request}\n".encode() for number in range(self.options["parts"])]
        self.note(f"{request} RUNS; {len(data)} bytes of its body are read; its answer begins without a length")
        connection.sendall(self.head("200 OK", fields, "Content-Type: text/plain", "Connection: close"))
        half = len(parts) // 2
        connection.sendall(b"".join(parts[:half]))
        self.note(f"{request}: {len(b''.join(parts[:half]))} of {len(b''.join(parts))} bytes of its answer are sent")
        time.sleep(self.options["pause_s"])
        _, data = self.read_body(connection, fields, data)
        connection.sendall(b"".join(parts[half:]))
        connection.shutdown(socket.SHUT_WR)
        self.note(f"{request}: all {length} bytes of its body are read; its answer ends whole")
        while connection.recv(65536):
            pass
        return None

    def call(self, connection, fields, data):
        _, data = self.read_body(connection, fields, data)
        request = fields["x-request-id"]
        self.note(f"{request} RUNS")
        time.sleep(self.options["work_ms"] / 1000)
        connection.sendall(self.head("200 OK", fields, "Content-Type: text/plain", "Content-Length: 5") + b"done\n")
        return data

    def file(self, connection, fields, data):
        _, data = self.read_body(connection, fields, data)
        request = fields["x-request-id"]
        size = 1000 * int(request)
        self.note(f"{request} RUNS; its answer has {size} bytes")
        connection.sendall(self.head("200 OK", fields, "Content-Type: text/plain", f"Content-Length: {size}"))
        connection.sendall(b"x" * size)
        self.note(f"{request}: all of its answer is sent")
        return data


def is_closed(connection):
    """Returns whether the peer has closed or reset the connection."""
    connection.setblocking(False)
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.setblocking(True)


if __name__ == "__main__":
    Server(json.loads(sys.argv[1])).serve()
