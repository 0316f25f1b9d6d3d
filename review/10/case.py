"""Searches whose pages are held, within the 32 MB that may be held, take the process far over its limit of memory."""

import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, request, result, run

MEMORY_MB = 256  # the default of deploy/opensearch.toml, written into the file all the same
DOCUMENTS, SIGNERS, REPORTS = 400, 40, 6  # documents of a shard, signers of a document, reports whose pages are held


def source(trouble):
    """A document of about 1,100 bytes: a list of signers, each with an id and a time, or the same as one text."""
    signers = ",".join('{"id":%d,"at":%d}' % (number, 1733400000 + number) for number in range(SIGNERS))
    return '{"signers":[%s]}' % signers if trouble else json.dumps({"signers": "x" * len(signers)})


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        fields = dict(line.split(":", 1) for line in status)
    return int(fields["VmRSS"].split()[0]) / 1024


def main(case):
    text = source(case.trouble)

    def answer(server, shard, index, body):
        hits = [(f"{shard}-{number:04d}", text, [number, f"{shard}-{number:04d}"]) for number in range(DOCUMENTS)]
        return 200, result(hits)

    servers = [IndexServer(case.record, f"index-{n + 1}", answer) for n in range(3)]
    listen = front.start(case, servers, limits=f"max_open = 64\nmemory_mb = {MEMORY_MB}")
    gatherer, breaches, held = case.processes[0], [], 0
    case.record.add("case", f"a document has {len(text)} bytes; the process has {resident_mb(gatherer):.0f} MB")
    for number in range(REPORTS):
        body = '{"size":10,"sort":["day"],"query":{"match":{"month":%d}}}' % number
        status, _, answered = request(listen, "POST", "/envelopes/_search?scroll=5m", front.PORTAL, body)
        resident = resident_mb(gatherer)
        held += status == 200
        case.record.add("client", f"report {number + 1}: {status}, {len(answered)} bytes; the process has {resident:.0f} MB")
        if resident > MEMORY_MB:
            breaches.append(f"with {held} reports held the process has {resident:.0f} MB, its limit is {MEMORY_MB} MB")
    if held < 4:
        raise CannotRun(f"{held} reports are held")
    return breaches


run(HERE, main)
