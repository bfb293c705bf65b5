#!/usr/bin/env python3
"""What heartbeats cost by the customers whose use of the VMs they tell: 7 entries, 28 shards."""

import json
import sys

import cell as c


def measure(customers):
    with c.Cell(7, 28, workers=56) as cell:
        cell.wait_served()
        c.time.sleep(12)  # moves of shards to the entries that came last
        document = c.rules(3, max(customers, 2))
        names = [each["name"] for each in document["customers"]][:customers]
        document["rules"].append({"name": "all", "match": {}, "treat": {}})
        status, _, text = cell.publish(document, "first", 0)
        assert status == 200, text
        c.time.sleep(3)
        for name in names:
            body = {"customer": name, "job": "stand", "kind": "service", "count": 56,
                    "needs": {"processors_milli": 100, "memory_mb": 100}, "run_ms": 0}
            assert c.ask(cell.entries[1].http, "POST", "/v1/jobs", json.dumps(body))[0] in (200, 201, 202)
        c.time.sleep(6)
        runs = [cell.spent(1, 4) for _ in range(3)]
        started = sum(json.loads(c.ask(port, "GET", "/stats")[2])["running"] for port in cell.ports["workers"])
    return {"customers": customers, "running": started,
            "peer_B/s": c.spread([each.bytes_with("peer") for each in runs], 0),
            "peer_msg/s": c.spread([each.messages_with("peer") for each in runs], 0),
            "cpu_percent": c.spread([100 * each.cpu for each in runs]),
            "rss_mb": c.spread([each.memory / 1024 for each in runs], 1)}


if __name__ == "__main__":
    c.report("heartbeats to 6 peers, by customers with running tasks, entry 1", [measure(int(each)) for each in sys.argv[1:] or (1, 7, 21)])
