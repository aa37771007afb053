"""One limiter as a real process among emulated peers on loopback, and the cost of the policy engine alone.

| module | what it owns |
| --- | --- |
| `plan` | the keys of the experiments' files |
| `run`, `phases` | the kind `process`: sizes, phases of load, and their result lines |
| `environment` | the emulated peers around one process |
| `limiter_process` | the limiter under test, its log and its resource usage |
| `fleet`, `endpoint_list` | settings, gossip and endpoint list of the fleet that the limiter is part of |
| `traffic`, `servers`, `discovery`, `counter`, `gossip_peers`, `clients` | the emulated peers |
| `engine_sweep`, `engine_benchmark` | the kind `module`: sizes, and the time of each event |
| `slopes`, `fleet_load` | figures derived from the measured ones |
"""
