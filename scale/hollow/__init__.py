"""Many policy engines in one process and on one virtual clock, among simulated peers.

What is real: `limiter.policy.engine.PolicyEngine`, one for each limiter, its events and its actions. The
driver around it does what limiter/transport/driver does. What is modelled: the network, gossip between
limiters, counter, discovery, servers, and customers with quotas; connections are free and never wait.
What is left out: handshakes, load reports, health checks, processor time, and errors of servers.

| module | what it owns |
| --- | --- |
| `plan` | the keys of the experiment's file |
| `simulation`, `context` | the parts of one experiment, put together; what all of them share |
| `limiters` | the policy engines: events are fed to them, their actions carried out |
| `customers`, `quota` | customers and their first requests, drawn ahead; the true state of their quotas |
| `clients`, `requests`, `attempts` | requests and retries, their one final outcome, attempts on servers |
| `faults` | what an experiment stops, and when it is back |
| `clock` | the virtual clock, which the simulations of tests/support use too |
| `network`, `counter`, `discovery`, `server`, `servers` | the simulated peers |
| `slow_start` | capacity of a server during slow start, which the simulations of tests/support use too |
| `tally`, `gossip_age` | what is counted, and the age of gossip |
| `run`, `result_lines` | running an experiment, and its result lines |

One seed gives the same figures, byte for byte, wherever the pinned packages run.
"""
