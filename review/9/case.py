"""Documents whose numbers do not fit into 64 bits, or have 17 digits, come to the client with other numbers than the index
server sent."""

import json
import os
import random
import sys
from decimal import Decimal

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, request, result, run

SHARDS, DOCUMENTS, PAGE = 6, 600, 100


def documents(trouble):
    """The source of each document, as the text that its index server holds."""
    chance = random.Random(20)
    texts = []
    for number in range(DOCUMENTS):
        if trouble:
            # A certificate's serial number has up to 20 octets; a rate is a double, written so that it reads back exactly.
            serial, rate = chance.getrandbits(159) | 1 << 158, repr(chance.uniform(0, 1))
        else:
            serial, rate = number, "0.5"
        texts.append('{"serial":%s,"rate":%s}' % (serial, rate))
    return texts


def main(case):
    texts = documents(case.trouble)

    def answer(server, shard, index, body):
        size = json.loads(body)["size"]
        mine = [(f"d{n:04d}", texts[n], [n, f"d{n:04d}"]) for n in range(DOCUMENTS) if n % SHARDS == shard]
        return 200, result(mine[:size], total=len(mine))

    servers = [IndexServer(case.record, f"index-{n + 1}", answer) for n in range(3)]
    listen = front.start(case, servers, shards=SHARDS)
    breaches, found = [], 0
    for begin in range(0, DOCUMENTS, PAGE):
        body = '{"from":%d,"size":%d,"sort":["number"]}' % (begin, PAGE)
        status, _, text = request(listen, "POST", "/envelopes/_search", front.PORTAL, body)
        if status != 200:
            raise CannotRun(f"status {status}")
        for hit in json.loads(text, parse_float=Decimal, parse_int=Decimal)["hits"]["hits"]:
            number = int(hit["_id"][1:])
            found += 1
            sent = json.loads(texts[number], parse_float=Decimal, parse_int=Decimal)
            for name, value in sent.items():
                got = hit["_source"].get(name)
                # Two texts of one double are the same number: a change below its precision is no breach.
                is_same = got == value or (name == "rate" and float(got) == float(value))
                if not is_same:
                    case.record.add("client", f"{hit['_id']}: {name} was sent as {value}, came as {got}")
                    breaches.append(f"{hit['_id']}: {name} was sent as {value} and came as {got}")
    if found != DOCUMENTS:
        raise CannotRun(f"{found} documents of {DOCUMENTS}")
    return breaches


run(HERE, main)
