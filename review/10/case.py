"""A client leaves, and long after that its search that may run once is still sent to index servers."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import front
from standin import CannotRun, IndexServer, connect, encode_request, read_message, request, result, run

ROUNDS = 8
STANDS_STILL = 0.28  # seconds; the page says 60 to 290 ms
LEAVES_AFTER = 0.05  # seconds after the last byte of its search
ALLOWED = 0.1 + 0.05  # seconds after the close in which an attempt may begin: the rule's, and 50 ms as on all limits
FULL = '{"error":{"type":"rejected_execution_exception","reason":"queue is full"},"status":429}'


class Turns:
    """Each shard's first search of a round meets a server that stands still and whose queue is then full."""

    def __init__(self):
        self.lock, self.asked = threading.Lock(), set()

    def answer(self, server, shard, index, body):
        seal = json.loads(body)["query"]["term"]["seal"]
        with self.lock:
            is_first = (seal, shard) not in self.asked
            self.asked.add((seal, shard))
        if is_first:
            time.sleep(STANDS_STILL)
            return 429, FULL
        return 200, result([(f"{index}-{shard}", "{}", [1, f"{index}-{shard}"])])


def main(case):
    turns = Turns()
    servers = [IndexServer(case.record, f"index-{n + 1}", turns.answer) for n in range(3)]
    listen = front.start(case, servers)
    breaches, searches, seen = [], 0, set()
    for number in range(ROUNDS):
        status, _, text = request(listen, "POST", "/_clayshore/idempotency_keys", front.PORTAL)
        if status != 200:
            raise CannotRun(f"no key: {status}")
        fields = {**front.PORTAL, "Idempotency-Key": json.loads(text)["key"]}
        body = '{"size":1,"sort":["day"],"query":{"term":{"seal":"%d"}}}' % number
        before = sum(len(server.searches) for server in servers)
        client = connect(listen)
        client.sendall(encode_request("POST", "/seals/_search", fields, body))
        case.record.add("portal", f"search {number} is sent")
        if case.trouble:
            time.sleep(LEAVES_AFTER)
            client.close()
            left_at = case.record.add("portal", "leaves: the connection is closed")
            time.sleep(2)
        else:
            first = read_message(client, b"")[0]
            left_at = case.record.add("portal", f"is answered, and leaves: {first}")
            client.close()
            time.sleep(0.3)
        for server in servers:
            for at, shard, index in server.searches:
                if at > left_at + ALLOWED and (server.name, at) not in seen:
                    breaches.append(f"{server.name} was sent shard {shard} {at - left_at:.3f} s after the client had left")
                seen.add((server.name, at))
        searches += sum(len(server.searches) for server in servers) - before
    if searches < ROUNDS:
        raise CannotRun("the searches did not reach the servers")
    return breaches


run(HERE, main)
