"""An index server dies and comes back cold. Until its shards are allocated it answers, as the search API says, with no
successful shard; the front gives its clients whole answers without that shard's documents."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, request, result, run

CELLS = [0, 1, 2, 0, 1]  # of the five servers; one of them dies, a fifth
DEAD = 9.0  # seconds; the page says 8.6 to 25
COLD = 13.5  # seconds for which the server that is back has no shard allocated; the page says warm within 14
QUIET = 2.0  # seconds before the server dies
WORK = 0.1  # seconds that a server needs for a part; one that has no shard to search answers at once
CLIENTS, PAUSE = 3, 0.05

# "total" 1 and "successful" 0 with nothing failed: the shard is not allocated. A whole result has "successful" 1.
NOT_ALLOCATED = (
    '{"took":0,"timed_out":false,"_shards":{"total":1,"successful":0,"skipped":0,"failed":0},'
    '"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}'
)


def answer(server, shard, index, body):
    if server.is_cold:
        return 200, NOT_ALLOCATED
    time.sleep(WORK)
    return 200, result([(f"document-{shard}", "{}", [1, f"document-{shard}"])])


class Portal(threading.Thread):
    """A client that searches again and again until `until`."""

    def __init__(self, case, listen, number, until, shards):
        super().__init__(daemon=True)
        self.case, self.listen, self.number, self.until, self.shards = case, listen, number, until, shards
        self.breaches, self.whole = [], 0

    def run(self):
        tries = 0
        while self.case.record.now() < self.until:
            tries += 1
            body = '{"size":10,"sort":["day"],"query":{"match":{"signer":"%d-%d"}}}' % (self.number, tries)
            try:
                status, _, text = request(self.listen, "POST", "/envelopes/_search", front.PORTAL, body, timeout=8)
            except OSError as error:
                self.case.record.add("portal", f"no answer: {error}")
                continue
            if status == 200:
                self.check(json.loads(text))
            else:
                self.case.record.add("portal", f"status {status}")
            time.sleep(PAUSE)

    def check(self, found):
        shards, ids = found["_shards"], {hit["_id"] for hit in found["hits"]["hits"]}
        missing = sorted({f"document-{shard}" for shard in range(self.shards)} - ids)
        is_marked_whole = shards["successful"] == shards["total"] and shards["failed"] == 0 and not found["timed_out"]
        if missing and is_marked_whole:
            at = self.case.record.add("portal", f"{shards}, without {missing}")
            self.breaches.append(f"at {at:.3f} s an answer marked whole ({shards}) lacked {', '.join(missing)}")
        self.whole += not missing


def main(case):
    shards = 6
    servers = [IndexServer(case.record, f"index-{n + 1}", answer) for n in range(len(CELLS))]
    for server in servers:
        server.is_cold = False
    listen = front.start(case, servers, CELLS, shards=shards)
    until = case.record.now() + QUIET + DEAD + COLD
    portals = [Portal(case, listen, number, until, shards) for number in range(CLIENTS)]
    for portal in portals:
        portal.start()
    time.sleep(QUIET)
    if case.trouble:
        servers[1].die()
        time.sleep(DEAD)
        servers[1].is_cold = True
        servers[1].come_back()
    for portal in portals:
        portal.join()
    if sum(portal.whole for portal in portals) == 0:
        raise CannotRun("no search was answered with all documents")
    return [breach for portal in portals for breach in portal.breaches]


run(HERE, main)
