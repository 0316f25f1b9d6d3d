"""A search of a class that may run once is refused with 429 after all its parts have run, and runs again when its caller
follows the refusal."""

import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, request, result, run

LARGEST, SMALLEST = 400_000, 50  # bytes of a document of one shard, in the reports that are held
CERTIFICATE = 1_000  # bytes of the document that each part of the seal-record search finds
ORDER = '"sort":["day"]'


def answer(server, shard, index, body):
    """One document a shard. In a report of N "pages" it has N bytes."""
    size = json.loads(body)["query"]["match"]["pages"] if index == "envelopes" else CERTIFICATE
    source = json.dumps({"text": "x" * size})
    return 200, result([(f"{index}-{shard}", source, [1, f"{index}-{shard}"])])


def hold_reports(case, listen):
    """Holds paged reports until one of the smallest size finds no more room, as the README says of 32 MB."""
    size, held = LARGEST, 0
    while size >= SMALLEST:
        body = '{"size":1,%s,"query":{"match":{"pages":%d}}}' % (ORDER, size)
        status, _, text = request(listen, "POST", "/envelopes/_search?scroll=5m", front.PORTAL, body)
        case.record.add("reports", f"report with documents of {size} bytes: {status}")
        if status == 200:
            held += 1
        elif status == 429:
            size //= 2
        else:
            raise CannotRun(f"report: {status} {text[:200]}")
    case.record.add("reports", f"{held} reports are held")


def seal(case, listen, servers, key=None):
    """One try of the caller's seal-record search. Returns the key, the status, and how often each shard has run."""
    if key is None:
        status, _, text = request(listen, "POST", "/_clayshore/idempotency_keys", front.PORTAL)
        if status != 200:
            raise CannotRun(f"no key: {status}")
        key = json.loads(text)["key"]
    fields = {**front.PORTAL, "Idempotency-Key": key}
    body = '{"size":1,%s,"query":{"term":{"seal":"c41e77d0"}}}' % ORDER
    status, answered, text = request(listen, "POST", "/seals/_search?scroll=1m", fields, body)
    case.record.add("portal", f"seal-record with key {key}: {status} {text[:300].decode()}")
    runs = {}
    for server in servers:
        for _, shard, index in server.searches:
            if index == "seals":
                runs[shard] = runs.get(shard, 0) + 1
    case.record.add("portal", f"runs of each shard's part so far: {dict(sorted(runs.items()))}")
    return key, status, runs


def main(case):
    servers = [IndexServer(case.record, f"index-{n + 1}", answer) for n in range(3)]
    listen = front.start(case, servers)
    if case.trouble:
        hold_reports(case, listen)
    breaches = []
    key, status, runs = seal(case, listen, servers)
    if status in (429, 503) and runs:
        breaches.append(f"refused with {status} after {sum(runs.values())} parts had run")
        # The caller retries as clients do: with the same key, and then, since 429 says that nothing has run, anew.
        seal(case, listen, servers, key)
        _, _, runs = seal(case, listen, servers)
    for shard, count in sorted(runs.items()):
        if count > 1:
            breaches.append(f"the part of shard {shard} ran {count} times for one caller whose tries were refused")
    if not runs:
        raise CannotRun("no part of the search ran")
    return breaches


run(HERE, main)
