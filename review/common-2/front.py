"""The OpenSearch-style front on a file like deploy/opensearch.toml, with index servers as stand-ins."""
import os

from standin import free_port

CLASSES = """
[[class]]
name = "envelope-search"
wanted_ms = 2500
deadline_ms = 5000
effect = "repeatable"
late_worth = 0.1

[[class]]
name = "seal-record"
wanted_ms = 2500
deadline_ms = 6000
effect = "once"
worth = 2.0
late_worth = 0.1

[[tenant]]
name = "kartuli-bank"

[[caller]]
id = "bank-portal"
tenant = "kartuli-bank"

[[index]]
name = "envelopes"
class = "envelope-search"

[[index]]
name = "seals"
class = "seal-record"
"""
ZONES = ["didube", "saburtalo", "rustavi"]

PORTAL = {"X-Opaque-Id": "bank-portal", "Content-Type": "application/json"}


def write_file(path, listen, servers, shards=6, cells=3, span=2, limits="max_open = 64"):
    text = f'listen = "{listen}"\nzone = "didube"\ngatherers = 1\n\n'
    text += f"[layout]\nshards = {shards}\ncells = {cells}\nspan = {span}\n\n[limits]\n{limits}\n" + CLASSES
    for name, address, cell in servers:
        text += f'\n[[server]]\nname = "{name}"\naddress = "{address}"\nzone = "{ZONES[cell % 3]}"\ncell = {cell}\n'
    with open(path + ".new", "w") as file:
        file.write(text)
    os.replace(path + ".new", path)


def start(case, servers, cells=None, **layout):
    """Starts the front with these index servers, the n-th in cell `cells[n]`. Returns its address."""
    listen = f"127.0.0.1:{free_port()}"
    path = os.path.join(case.folder, "opensearch.toml")
    cells = cells or range(len(servers))
    write_file(path, listen, [(s.name, s.address, cell) for s, cell in zip(servers, cells)], **layout)
    case.gatherer([path])
    case.wait_healthy(listen)
    return listen
