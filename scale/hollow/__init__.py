"""Hollow experiments: many policy engines run in one process, on one virtual clock, with simulated peers.

Real: one `limiter.policy.engine.PolicyEngine` per limiter, with its events and actions. The code around it
does what the driver in limiter/transport/driver does. Simulated: the network, gossip between limiters, the
counter, discovery, the servers, and customers with quotas. Connections cost nothing, and requests never wait
for one. Not simulated: handshakes, load reports, health checks, processor time, and servers' error responses.

| module | contents |
| --- | --- |
| `plan` | the keys of the experiment file |
| `simulation`, `context` | the assembly of one experiment, and the objects that its parts share |
| `limiters` | the limiters, which pass events to their policy engines and execute the actions |
| `customers`, `quota` | customers, their first requests, and the true state of their quotas |
| `clients`, `requests`, `attempts` | requests and retries, their final outcomes, and attempts at servers |
| `faults` | the injection of faults, and the restoration afterwards |
| `clock` | the virtual clock, also used by the simulations in tests/support |
| `network`, `counter`, `discovery`, `server`, `servers` | the simulated peers |
| `slow_start` | the capacity of a server during slow start, also used by the simulations in tests/support |
| `tally`, `gossip_age` | the counts of a run, and the age of gossip |
| `run`, `result_lines` | the run of an experiment, and its result lines |

The same seed gives the same results, byte for byte, on every machine that has the pinned packages.
"""
