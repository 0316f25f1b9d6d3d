"""Stand-ins for clients and index servers, and the start and end of the program's own processes.

Only the standard library is used. All addresses are loopback addresses, all ports are free ones, and all files lie in a
temporary folder that is removed at the end.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_RUN = 110  # seconds


class CannotRun(Exception):
    """The case cannot run: a program is missing, or a step that is not under test fails."""


class Record:
    """What was sent, answered and run, with times in seconds since the start; written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, who, what):
        with self.lock:
            at = self.now()
            self.lines.append(f"{at:8.3f} {who}: {what}")
            return at

    def write(self):
        with self.lock, open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Case:
    """One run of a case: its record, its temporary folder, and the processes that it started."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.record.add("case", f"trouble={'yes' if self.trouble else 'no'}")

    def gatherer(self, arguments=(), variables=None, name="gatherer"):
        """Starts target/release/gatherer as the deploy file does: from the root of the repository."""
        program = os.path.join(ROOT, "target/release/gatherer")
        if not os.path.exists(program):
            raise CannotRun(f"{program} is missing: build the release first")
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        environment = {**os.environ, "TMPDIR": self.folder, **(variables or {})}
        command = ["/bin/sh", "-c", 'exec target/release/gatherer "$@"', "sh", *arguments]
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.record.add("case", f"started {name}, process {process.pid}")
        return process

    def wait_healthy(self, address, seconds=10):
        """Waits until GET /_health answers 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if request(address, "GET", "/_health", timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the gatherer did not become healthy")

    def end(self):
        """Ends all processes that the case started, and adds the ends of their logs to the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), errors="replace") as log:
                    for line in log.read().splitlines()[-200:]:
                        self.record.lines.append(f"log of {name[:-4]}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, main):
    """Runs a case and exits with its status: `main` returns a list of texts, one for each breach of the rule."""
    case = Case(folder)

    def give_up(*_):
        raise CannotRun("out of time, or told to end")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LONGEST_RUN)
    status, breaches = CANNOT_RUN, []
    try:
        breaches = main(case)
        status = BROKEN if breaches else HELD
    except Exception as error:  # whatever it is, the case has not run
        case.record.add("case", f"cannot run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
    signal.alarm(0)
    case.end()
    for breach in breaches:
        case.record.add("breach", breach)
    for breach in breaches[:5]:
        print(f"breach: {breach}")
    verdict = {HELD: "the rule held", BROKEN: f"the rule was broken, {len(breaches)} breaches",
               CANNOT_RUN: "the case could not run"}[status]
    case.record.add("case", verdict)
    case.record.write()
    print(verdict)
    sys.stdout.flush()
    os._exit(status)


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# ---- HTTP ----


class Closed(OSError):
    """The peer ended the connection before the message was whole."""


def read_message(stream, buffer):
    """Reads one HTTP message. Returns its first line, its fields, its body, and the bytes that follow it."""
    while b"\r\n\r\n" not in buffer:
        more = stream.recv(65536)
        if not more:
            raise Closed("closed")
        buffer += more
    head, rest = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    length = int(fields.get("content-length", "0"))
    while len(rest) < length:
        more = stream.recv(65536)
        if not more:
            raise Closed("closed within a body")
        rest += more
    return lines[0], fields, rest[:length], rest[length:]


def encode_request(method, target, fields=None, body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(address, timeout=20):
    host, port = address.split(":")
    stream = socket.create_connection((host, int(port)), timeout=timeout)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def request(address, method, target, fields=None, body=b"", timeout=20):
    """Sends one request on a new connection. Returns the status, the fields and the body of the answer."""
    with connect(address, timeout) as stream:
        stream.sendall(encode_request(method, target, fields, body))
        first, answer_fields, answer_body, _ = read_message(stream, b"")
        return int(first.split()[1]), answer_fields, answer_body


class Server:
    """A server that serves each connection on a thread."""

    def __init__(self, host="127.0.0.1", port=0):
        self.streams = set()
        self.listen((host, port))

    def listen(self, address):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def die(self):
        """Ends as a process that is killed: its connections are reset and new ones are refused."""
        self.record.add(self.name, "dies")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for stream in list(self.streams):
            try:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def come_back(self):
        """Listens again at the same address."""
        host, port = self.address.split(":")
        self.listen((host, int(port)))
        self.record.add(self.name, "is back")

    def accept(self, listener):
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(stream,), daemon=True).start()

    def serve_quietly(self, stream):
        self.streams.add(stream)
        try:
            self.serve(stream)
        except OSError:
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    def serve(self, stream):
        raise NotImplementedError


def encode_answer(status, body, fields=None):
    body = body.encode() if isinstance(body, str) else body
    head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    return head.encode() + b"\r\n" + body


class IndexServer(Server):
    """An index server of the OpenSearch-style API. `answer(server, shard, index, body)` returns status and body."""

    def __init__(self, record, name, answer):
        self.record, self.name, self.answer = record, name, answer
        self.searches = []  # (time of the last byte, shard, index)
        super().__init__()

    def serve(self, stream):
        buffer = b""
        while True:
            first, _, body, buffer = read_message(stream, buffer)
            path, _, query = first.split()[1].partition("?")
            parameters = dict(pair.split("=", 1) for pair in query.split("&"))
            shard, index = int(parameters["preference"].split(":")[1]), path.strip("/").split("/")[0]
            at = self.record.add(self.name, f"search of {index}, shard {shard}, timeout {parameters['timeout']}")
            self.searches.append((at, shard, index))
            status, answer = self.answer(self, shard, index, body)
            self.record.add(self.name, f"answers shard {shard} with {status}")
            stream.sendall(encode_answer(status, answer))


def result(hits, total=None):
    """The result of one shard; each hit is (id, source as JSON text, sort values)."""
    texts = [
        '{"_index":"i","_id":%s,"_score":null,"_source":%s,"sort":%s}' % (json.dumps(i), source, json.dumps(sort))
        for i, source, sort in hits
    ]
    return (
        '{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},'
        '"hits":{"total":{"value":%d,"relation":"eq"},"max_score":null,"hits":[%s]}}'
        % (len(hits) if total is None else total, ",".join(texts))
    )
