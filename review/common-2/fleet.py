"""The platform's front: its configuration, discovery (an agent that holds the list) and workers, as stand-ins."""
import json, os, struct, threading, time
from standin import Server, free_port, read_message, encode_answer

MS = 1_000_000


def settings(slices=12, cells=12, span=4, max_open=200):
    """The settings of tbilisi-signing, as the page on the wire shows them, with the classes in nanoseconds."""
    def category(name, promise, deadline, semantics, worth, late):
        return {"name": name, "promise": promise * MS, "deadline": deadline * MS, "semantics": semantics, "group": "all",
                "worth": worth, "late-worth": late, "window": 5000 * MS, "stream": False}
    return {
        "allowed": {"cancel": True, "conn-idle": 15000 * MS, "connect-timeout": 250 * MS, "max-open": max_open,
                    "max-retry-after": 500 * MS, "may-tell": False, "most-tries": 4, "multiplex": 32, "probing": False,
                    "retry-after": True, "second-copies": True, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000},
        "az": 0, "balancers": 1, "family": "fanout", "me": 0, "quantum": 5 * MS, "tier": 0, "weights": "rough",
        "categories": [category("audit-report", 3000, 6000, "repeatable", 3.0, 0.0),
                       category("envelope-search", 2500, 5000, "repeatable", 1.0, 0.1),
                       category("seal-record", 2500, 6000, "once", 2.0, 0.1)],
        "client-habits": {"marks-retry": True}, "discovery": "pushed",
        "domain": {"call": 0, "cells": cells, "follow-up": [0, 0, 0], "min-share": [1.0, 1.0, 1.0], "per-call": 1,
                   "short-worth": [0.9, 0.9, 0.9], "slices": slices, "span": span, "warm-keys": True,
                   "whole-at": [1.0, 1.0, 1.0]},
        "localities": ["didube", "saburtalo", "rustavi"], "skus": ["std-2c", "slow-2c"], "layers": ["envelope-index"],
        "report": {"fields": ["busy", "q"], "source": "piggyback"},
        "rules": {"cold-share": 0.2, "drain-grace": 250 * MS, "fall": 1500 * MS, "fall-multiple": 2.5,
                  "grace-to-answer": 20 * MS, "must-ask-in": 10000 * MS, "warm-up": 14000 * MS},
        "tenants": [{"name": "kartuli-bank", "portion": 0.49, "quota-per-s": 14.0},
                    {"name": "iveria-notary", "portion": 0.51, "quota-per-s": 14.0}],
        "over-share-worth": 0.1, "worth-by": "work",
    }


class Discovery(Server):
    """The agent: it answers at once with what it holds, and holds a watch until something newer exists."""

    def __init__(self, record, members, name="discovery"):
        self.record, self.name = record, name
        self.revision, self.members, self.changes = 41, dict((m["id"], m) for m in members), []
        self.changed = threading.Condition()
        self.told_at = {}
        super().__init__()

    def body(self, complete, members):
        return json.dumps({"revision": self.revision, "complete": complete, "members": members}, separators=(",", ":"))

    def whole(self):
        return self.body(True, list(self.members.values()))

    def change(self, member):
        with self.changed:
            self.revision += 1
            self.members[member["id"]] = member
            self.changes.append((self.revision, member))
            self.record.add(self.name, f"holds revision {self.revision}: {member['id']} is {member['phase']}")
            self.changed.notify_all()

    def serve(self, stream):
        buffer = b""
        while True:
            first, _, _, buffer = read_message(stream, buffer)
            _, _, query = first.split()[1].partition("?")
            parameters = dict(pair.split("=") for pair in query.split("&")) if query else {}
            with self.changed:
                if "index" in parameters:
                    index, wait = int(parameters["index"]), int(parameters["wait"]) / 1000
                    self.changed.wait_for(lambda: self.revision > index, timeout=wait)
                    body = self.body(False, [m for revision, m in self.changes if revision > index])
                else:
                    body = self.whole()
                revision = self.revision
            stream.sendall(encode_answer(200, body))
            self.record.add(self.name, f"wrote {len(body)} bytes, revision {revision}, for {first.split()[1]}")


class Worker(Server):
    """A worker: answers each part of a frame after `work` seconds; `behave(worker, id)` may return another end."""

    def __init__(self, record, name, cell, work=0.02, behave=None, log=True):
        self.record, self.name, self.cell, self.work, self.log = record, name, cell, work, log
        self.behave = behave or (lambda worker, part: ("good", b"v-" + part.encode()))
        self.parts = []  # (time, id of the part, milliseconds to wait)
        super().__init__()

    def member(self, phase="SERVING", since=0):
        zones = ["didube", "saburtalo", "rustavi"]
        return {"id": self.name, "host_port": self.address, "locality": zones[self.cell % 3], "flavor": "std-2c",
                "cell": self.cell, "phase": phase, "size": 1.0, "up_since_ms": since}

    def serve(self, stream):
        lock, buffer = threading.Lock(), b""
        while True:
            while len(buffer) < 4 or len(buffer) < 4 + struct.unpack("<I", buffer[:4])[0]:
                more = stream.recv(65536)
                if not more:
                    return
                buffer += more
            length = struct.unpack("<I", buffer[:4])[0]
            frame, buffer = buffer[4 : 4 + length], buffer[4 + length :]
            letter, rest = frame[:1], frame[1:]
            if letter == b"n":
                self.record.add(self.name, f"part {rest.decode()} is given up")
                continue
            while rest:
                line, rest = rest.split(b"\n", 1)
                part, shard, wait, size = line.decode().split(" ")
                text, rest = rest[: int(size)], rest[int(size) :]
                at = self.record.add(self.name, f"part {part}, {wait}") if self.log else self.record.now()
                self.parts.append((at, part, wait))
                threading.Thread(target=self.answer, args=(stream, lock, part), daemon=True).start()

    def answer(self, stream, lock, part):
        time.sleep(self.work)
        end, value = self.behave(self, part)
        if end is None:
            return
        rest = f"{part} {end} 1 util=0.3,queue=0\n".encode() + value
        try:
            with lock:
                stream.sendall(struct.pack("<I", len(rest) + 1) + b"q" + rest)
            if self.log:
                self.record.add(self.name, f"part {part} ends: {end}")
        except OSError:
            pass


def start(case, workers, discovery, known=None, sockets=1024, memory_mb=192, name="n1", operator=False, **more):
    """Starts a gatherer as deploy/balancer.toml does. Returns its address, its process and its configuration file."""
    listen = f"127.0.0.1:{free_port()}"
    known = known if known is not None else [w.member() for w in workers]
    config = {"name": name, "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
              "known": {"revision": 41, "complete": True, "members": known}, "settings": settings(**more)}
    if operator:
        config["operator"] = f"127.0.0.1:{free_port()}"
    path = os.path.join(case.folder, f"{name}.json")
    with open(path, "w") as file:
        json.dump(config, file)
    process = case.gatherer(variables={"LB_CONFIG": path}, name=name)
    return listen, process, path, config


def query(call, shards, kind="envelope-search", budget=4000, predicate="c41e77d0"):
    """The fields and the body of a query."""
    ranges = [{"range": shard, "portion": 1 / len(shards), "price": 20000} for shard in shards]
    fields = {"X-Call-Id": call, "X-Call-Class": kind, "X-Caller": "kartuli-bank", "X-Budget-Ms": str(budget)}
    return fields, json.dumps({"ranges": ranges, "predicate": predicate}, separators=(",", ":"))
