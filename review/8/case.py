"""Pages of a search that is sorted by IP addresses repeat documents and leave others out."""

import ipaddress
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, request, result, run

ACCOUNT_SHARD = 2  # the index is sharded by account: all documents of one account are in one shard
DOCUMENTS, PAGE = 200, 10


def documents():
    """The account's documents: the id, the day, and the address that it was signed from."""
    chance = random.Random(7)
    address = lambda: f"127.0.{chance.randint(0, 20)}.{chance.randint(1, 254)}"
    return [(f"d{number:03d}", number, address()) for number in range(DOCUMENTS)]


def main(case):
    held = documents()
    field = "signed_from" if case.trouble else "day"
    # Servers sort addresses as numbers, and write them in their sort values as texts.
    value = (lambda d: int(ipaddress.ip_address(d[2]))) if case.trouble else (lambda d: d[1])
    shown = (lambda d: d[2]) if case.trouble else (lambda d: d[1])
    in_order = sorted(held, key=lambda d: (value(d), d[0]))

    def answer(server, shard, index, body):
        asked = json.loads(body)
        if list(asked["sort"][0])[0] != field:
            raise CannotRun(f"sorted by {asked['sort']}")
        mine = in_order if shard == ACCOUNT_SHARD else []
        hits = [(d[0], json.dumps({"day": d[1], "signed_from": d[2]}), [shown(d), d[0]]) for d in mine[: asked["size"]]]
        return 200, result(hits, total=len(mine))

    servers = [IndexServer(case.record, f"index-{n + 1}", answer) for n in range(3)]
    listen = front.start(case, servers)
    expected = [d[0] for d in in_order]
    breaches, seen = [], []
    for begin in range(0, DOCUMENTS, PAGE):
        body = '{"from":%d,"size":%d,"sort":[{"%s":"asc"}],"query":{"term":{"account":"bank"}}}' % (begin, PAGE, field)
        status, _, text = request(listen, "POST", "/envelopes/_search", front.PORTAL, body)
        if status != 200:
            raise CannotRun(f"status {status}: {text[:200]}")
        page = [hit["_id"] for hit in json.loads(text)["hits"]["hits"]]
        case.record.add("client", f"hits {begin} to {begin + PAGE - 1}: {' '.join(page)}")
        repeated = sorted(set(page) & set(seen))
        if repeated:
            breaches.append(f"page {begin // PAGE + 1} repeats {', '.join(repeated)}, which were on earlier pages")
        seen += page
    missing = [name for name in expected if name not in seen]
    if missing:
        breaches.append(f"{len(missing)} of {DOCUMENTS} documents are on no page: {', '.join(missing[:10])} ...")
    return breaches


run(HERE, main)
